"""A rate at one member: its sliding window of sends, and the rounding of parts to whole sends."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.fleet.limits.grants import GrantRow, Grants
from bitternbeam.fleet.limits.local_limit import LocalLimit
from bitternbeam.fleet.limits.rounding import Rounding, extra_cost, raise_extras
from bitternbeam.fleet.limits.sharing import share, share_rate
from bitternbeam.fleet.limits.terms import BURST_SPAN_US, SEND_LIFETIME_US, Limit, LimitTimes
from bitternbeam.fleet.tokens import Token

SECOND = 1_000_000
PARTS = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0, 50), min_size=1)


def holding(extra: float | None, most: int = 20, safe: float = 0.1) -> LocalLimit:
    limit = Limit("calls", "rate", 10.0 / safe, safe, most, lasts_ms=3_600_000)
    limiter = LocalLimit(limit, LimitTimes(), "m0", 1, -2 * SECOND)
    limiter.build_need(0)
    if extra is not None:
        rows = {"m0": GrantRow(extra, 1, 1)}
        assert limiter.apply_grants(
            Token(1, "m1"), Grants("calls", "r", 1, limit.safe_part, limit.grant_duration_us, rows), 0
        )
    return limiter


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.integers(1, 30), st.lists(st.sampled_from([0, 1, 5_000, 40_000, 300_000]), max_size=400))
def test_a_call_is_turned_away_only_where_a_second_or_a_spell_is_full(part: int, gaps: list[int]) -> None:
    one, now, sent = holding(part - 0.5), 0, [-SEND_LIFETIME_US]
    for gap in gaps:
        now += gap
        stand = sum(now - at < SEND_LIFETIME_US for at in sent)
        spell = sum(now - at < BURST_SPAN_US for at in sent)
        assert one.try_acquire(now) is (stand < part and spell < -(-part // 4))
        if one.held > stand:
            sent.append(now)
    assert one.build_need(now).held == sum(now - at < SEND_LIFETIME_US for at in sent)


def test_start_sends_nothing_while_earlier_sends_may_count() -> None:
    limiter = LocalLimit(Limit("calls", "rate", 100.0, safe=0.1, most=5), LimitTimes(), "m0", 2, 0, held=0)
    assert (
        not limiter.try_acquire(SEND_LIFETIME_US) and not limiter.build_need(SEND_LIFETIME_US).holdings_known
    )
    assert (
        limiter.try_acquire(SEND_LIFETIME_US + BURST_SPAN_US)
        and limiter.build_need(SEND_LIFETIME_US + BURST_SPAN_US).holdings_known
    )


@pytest.mark.parametrize(
    ("extra", "most", "safe", "sends"),
    [
        (None, 20, 0.1, 5),  # half a send a second, one by one
        (0.0, 20, 0.1, 0),  # the received grant is zero
        (0.0, 20, 1.0, 5),  # the safe parts leave nothing to grant
        (1.5, 20, 0.1, 20),
        (None, 8, 0.1, 10),  # 1.25, rounded down
    ],
)
def test_safe_part_under_one_is_used_by_single_sends_without_a_grant(
    extra: float | None, most: int, safe: float, sends: int
) -> None:
    limiter = holding(extra, most, safe)
    times = [at for at in range(0, 10_200_000, 10_000) if limiter.try_acquire(at)]
    assert len(times) in (sends, sends + 1)
    if sends == 5:
        assert min(after - at for at, after in pairwise(times)) >= 2 * SEND_LIFETIME_US


def test_demand_smooths_noise_and_follows_a_change_at_once() -> None:
    limiter, demands = holding(20.5), []
    for second, asked in enumerate([30, 30, 22, 38, 30, 90, 90, 10, 10], 1):
        for _ in range(asked):
            limiter.note_refused()
        demands.append(limiter.build_need(second * SECOND).demand)
    assert max(demands[1:5]) - min(demands[1:5]) <= 4 and demands[5:7] == [90, 90] and demands[7:] == [90, 10]


@settings(derandomize=True, deadline=None)
@given(PARTS, st.floats(0, 60), st.floats(0, 3), st.floats(0, 60))
def test_whole_parts_cost_no_more_than_there_is(
    parts: dict[str, float], budget: float, safe: float, free: float
) -> None:
    safes, asks = dict.fromkeys(parts, safe), {name: part > 1 for name, part in parts.items()}
    given_to = Rounding().round_parts(parts, asks, safes, budget)
    assert sum(extra_cost(one, safe) for one in given_to.values()) <= budget + 1e-6
    assert all(one <= max(1, parts[name] + 1) for name, one in given_to.items())
    if sum(extra_cost(part, safe) for part in parts.values()) <= budget - len(parts):
        assert all(one >= int(parts[name]) for name, one in given_to.items())
    goals = {name: extra_cost(one, safe) for name, one in given_to.items()}
    base = {name: goal / 3 for name, goal in goals.items()}
    extras = raise_extras(goals, base, safes, free)
    assert sum(max(0.0, one - base[name]) for name, one in extras.items()) <= free + 1e-6
    for name, one in extras.items():
        assert one <= goals[name] + 1e-6 and (one == 0 or abs(safe + one - round(safe + one)) < 1e-6)


@pytest.mark.parametrize("budget", [0.0, 1.3e-294, 1e-12])
def test_rounding_ends_for_a_budget_near_zero(budget: float) -> None:
    # Guards against an endless loop: what was left stayed at -8.9e-16 with nothing given any more.
    parts = {"a": 19.436008383837095, "g": 38.338601471990174}
    safes, asks = dict.fromkeys(parts, 2.0913713833350234), dict.fromkeys(parts, True)
    assert Rounding().round_parts(parts, asks, safes, budget) == {"a": 2, "g": 2}


def test_insufficient_whole_parts_rotate_among_members() -> None:
    rounding, names = Rounding(), [f"m{number}" for number in range(40)]
    parts, safes = dict.fromkeys(names, 0.25), dict.fromkeys(names, 0.0125)
    totals, moved, last = dict.fromkeys(names, 0), 0, dict.fromkeys(names, 0)
    for _ in range(400):
        given_to = rounding.round_parts(parts, dict.fromkeys(names, True), safes, 9.9)
        assert sum(given_to.values()) == 10
        moved += sum(given_to[name] > last[name] for name in names)
        totals, last = {name: totals[name] + given_to[name] for name in names}, given_to
    assert min(totals.values()) >= 80 and max(totals.values()) <= 120
    assert moved <= 10 * 400 / 4  # each keeps it for at least four periods


def test_asking_member_is_not_rounded_to_zero_and_a_flood_does_not_take_all() -> None:
    asks = {"hot": True, "cold": True, "idle": False}
    parts, none = {"hot": 19.8, "cold": 0.1, "idle": 0.1}, dict.fromkeys(asks, 0.0)
    assert Rounding().round_parts(parts, asks, none, 20) == {"hot": 19, "cold": 1, "idle": 0}
    assert Rounding().round_parts({**parts, "hot": 59.8}, asks, none, 60)["idle"] == 1
    wants = {"hot": 50_000.0, **{f"m{number}": 30.0 for number in range(11)}}
    assert min(share_rate(wants, 240.0).values()) >= 11
    wants["hot"] = 150.0
    parts = share_rate(wants, 240.0)
    assert parts["hot"] == pytest.approx(5 * parts["m0"]) and share(wants, 240.0)["hot"] == 20
