"""Unit tests of a fleet limit: which records and needs are applied or rejected, and how it is shared."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.fleet.limits.bound import (
    CASES,
    TakeoverTimes,
    current_excess,
    max_staleness_us,
    rate_excess,
    recovery_us,
)
from bitternbeam.fleet.limits.grants import GrantRow, Grants, parse_grants
from bitternbeam.fleet.limits.ledger import Ledger
from bitternbeam.fleet.limits.local_limit import LocalLimit
from bitternbeam.fleet.limits.member import CallScope, MemberLimits
from bitternbeam.fleet.limits.need import Need, parse_need
from bitternbeam.fleet.limits.records import LimitReader
from bitternbeam.fleet.limits.sharing import round_to_whole, share, water_fill
from bitternbeam.fleet.limits.terms import Limit, LimitTimes, check_limits
from bitternbeam.fleet.record import Record
from bitternbeam.fleet.tokens import Token

SECOND = 1_000_000
RATE = Limit("calls", "rate", 100.0, safe=0.1, most=10, lasts_ms=5_000)
HELD = Limit("lines", "held", 100.0, safe=0.1, most=10, lasts_ms=5_000, hold_most_ms=8_000)
TOKEN = Token(3, "m1")
GRANTS = Grants("calls", "m1.1.1", 7, 1.0, 5 * SECOND, {"m0": GrantRow(40.0, 2, 1)})


def make_limiter(limit: Limit = RATE, held: int | None = 0) -> LocalLimit:
    limiter = LocalLimit(limit, LimitTimes(), "m0", 2, 0 if limit.kind == "held" else -2 * SECOND, held=held)
    limiter.build_need(0)
    return limiter


@pytest.mark.parametrize(
    ("token", "change", "at_us", "applied", "usable"),
    [
        (TOKEN, {}, SECOND, True, 41.0),
        (TOKEN, {}, 5 * SECOND, True, 1.0),  # the need it answers was sent too long ago
        (TOKEN, {"rows": {"m0": GrantRow(40.0, 1, 1)}}, SECOND, True, 1.0),  # need of an earlier start
        (TOKEN, {"rows": {"m0": GrantRow(40.0, 2, 9)}}, SECOND, True, 1.0),  # a need that was never sent
        (TOKEN, {"rev": 4}, SECOND, False, 3.0),  # older than the applied record
        (Token(2, "m9"), {"rev": 99}, SECOND, False, 3.0),
        (Token(3, "m9"), {"rev": 99}, SECOND, False, 3.0),
        (Token(4, "m9"), {"rev": 1}, SECOND, True, 41.0),
        (TOKEN, {"grant_duration_us": 6 * SECOND}, SECOND, False, 3.0),
        (TOKEN, {"limit_name": "other"}, SECOND, False, 3.0),
        (TOKEN, {"rows": {}}, SECOND, True, 3.0),  # nothing said: it keeps what it has
    ],
)
def test_member_applies_only_grants_that_answer_its_need(
    token: Token, change: dict[str, Any], at_us: int, applied: bool, usable: float
) -> None:
    limiter = make_limiter()
    assert limiter.apply_grants(TOKEN, replace(GRANTS, rev=5, rows={"m0": GrantRow(2.0, 2, 1)}), 1)
    assert limiter.apply_grants(token, replace(GRANTS, **change), at_us) is applied
    assert limiter.usable(at_us) == usable


def test_owner_applies_only_newer_needs_for_its_own_term() -> None:
    ledger = Ledger(RATE, LimitTimes(), TOKEN, "m1.1.1", 0)
    need = Need("m0", 2, 5, 50.0, 0, 10.0, True, TOKEN, 1, "m1.1.1")
    assert ledger.apply_need(replace(need, owner_term="m1.0.1", rev=60), 0) and ledger.pool == 0
    assert ledger.plan_grants(1).rev == 61  # token reissued: revisions go on above the other term's
    assert ledger.apply_need(replace(need, seq=6, rev=61), 2) and ledger.pool == 10.0
    assert ledger.plan_grants(3).rows == {"m0": GrantRow(10.0, 2, 6)}  # what it reports holding, and no more
    assert not ledger.apply_need(replace(need, seq=5, extra=0.0, rev=62), 4)
    assert not ledger.apply_need(replace(need, boot=1, seq=9, extra=0.0, rev=62), 4)
    assert ledger.total_charge(5) == 10.0 and ledger.stale_needs == 2 and ledger.higher_token is None
    assert ledger.apply_need(replace(need, seq=7, token=Token(3, "m9"), owner_term="m9.1.1"), 6)
    assert ledger.higher_token == Token(3, "m9") and ledger.total_charge(7) == 10.0


def test_start_without_state_uses_no_safe_part_until_old_holds_must_have_ended() -> None:
    limiter = make_limiter(HELD, held=None)
    assert limiter.usable(0) == 0 and not limiter.build_need(1).holdings_known
    assert limiter.usable(8_100_000) == 1.0 and limiter.build_need(8_100_000).holdings_known


def test_held_use_returns_only_on_release() -> None:
    limiter = make_limiter(HELD)
    assert limiter.try_acquire(0) and not limiter.try_acquire(0) and not limiter.try_acquire(3_600 * SECOND)
    limiter.release()
    assert limiter.try_acquire(3_600 * SECOND)


def test_call_acquires_all_matching_limits_or_none() -> None:
    lines = replace(HELD, amount=20.0, most=1, tenants=("acme",))
    limits = MemberLimits([lines, replace(RATE, most=10)], LimitTimes(), "m0", 1, 0, recovered={"lines": 1})
    acme = CallScope("b1", "voice", "acme", "c1")
    assert limits.try_acquire(acme, 0) == "calls"  # an earlier start may have sent: no line acquired
    assert limits.readers["lines"].local_limit.held == 1
    assert limits.try_acquire(acme, 2 * SECOND) == "" and limits.readers["lines"].local_limit.held == 2
    assert (
        limits.try_acquire(acme, 4 * SECOND) == "lines"
        and limits.try_acquire(CallScope(tenant="bolt"), 4 * SECOND) == ""
    )
    limits.release(acme)
    assert limits.readers["lines"].local_limit.held == 1
    limits.set_limits([replace(lines, amount=10.0)], 4 * SECOND)
    shown = limits.status(4 * SECOND, 1)
    assert set(shown) == {"lines"} and shown["lines"]["held"] == 1 and shown["lines"]["over_most"] == 10.0


wants = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0, 1e4), min_size=1)


@settings(derandomize=True, deadline=None)
@given(wants, st.floats(0, 1e4))
def test_shares_are_fair_and_never_sum_to_more(wanted: dict[str, float], amount: float) -> None:
    fair, lent = water_fill(wanted, amount), share(wanted, amount)
    for given_to in (fair, lent, round_to_whole(lent, amount)):
        assert sum(given_to.values()) <= amount * (1 + 1e-9) + 1e-6
    level = max(fair.values())
    for name, want in wanted.items():
        assert fair[name] <= want + 1e-6 and (fair[name] >= want - 1e-6 or fair[name] >= level - 1e-6)
        assert lent[name] >= fair[name]


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"amount": 0.0}, "amount"),
        ({"amount": 0.5}, "amount"),
        ({"amount": float("nan")}, "amount"),
        ({"kind": "held", "amount": 1.5}, "amount"),
        ({"safe": 1.1}, "safe"),
        ({"most": 0}, "most"),
        ({"lasts_ms": 4_000}, "lasts_ms"),
        ({"kind": "held", "hold_most_ms": 0}, "hold_most_ms"),
        ({"kind": "other"}, "kind"),
        ({"name": "a/b"}, "name"),
        ({"name": "lines"}, "name"),
        ({"tenants": ("a", "a")}, "tenants"),
        ({"callers": ("",)}, "callers"),
    ],
)
def test_invalid_limits_are_reported_with_their_key(change: dict[str, Any], key: str) -> None:
    assert check_limits([HELD, RATE]) == []
    assert [(at, where) for at, where, _what in check_limits([HELD, replace(RATE, **change)])] == [(1, key)]


@pytest.mark.parametrize(
    "bad", [None, -1, [], "x", True, float("nan"), {"m0": [1.0, 2]}, {"m0": [-1.0, 1, 1]}]
)
@pytest.mark.parametrize("key", ["limit", "reign", "rev", "part", "lasts_us", "rows", "more"])
def test_malformed_records_and_needs_are_rejected_and_counted(key: str, bad: Any) -> None:
    value = json.loads(json.dumps(GRANTS.to_record_value()))
    assert parse_grants(value) == GRANTS
    value[key] = bad
    if isinstance(bad, str) and key in ("limit", "reign"):
        return
    reader = LimitReader(make_limiter(), SECOND)
    assert not reader.read_record(Record(TOKEN, 1_000, value).text(), 0, 1_000)
    assert not reader.read_record(
        Record(TOKEN, 9_000, GRANTS.to_record_value()).text(), 0, 1_000
    )  # from the future
    assert not reader.read_record("{", 0, 1_000)
    assert (
        reader.rejected["future"] == reader.rejected["malformed"] == 1 and sum(reader.rejected.values()) == 3
    )
    row = make_limiter().build_need(1).to_row()
    assert parse_need("m0", row) is not None
    for at in range(len(row)):
        assert parse_need("m0", [*row[:at], {}, *row[at + 1 :]]) is None


def test_excess_bound_is_zero_within_the_configured_terms() -> None:
    times, engine = LimitTimes(), TakeoverTimes()
    assert (
        current_excess(HELD, 10)
        == current_excess(RATE, 10)
        == current_excess(RATE, 10, window_us=5 * SECOND)
        == 0
    )
    assert current_excess(HELD, 12) == current_excess(RATE, 12) == 2 * 1.0 + 90.0
    assert current_excess(HELD, 10, [replace(HELD, amount=130.0)]) == 30.0
    assert current_excess(replace(RATE, amount=50.0), 10) == 10 * 0.5  # single sends on half a safe part
    assert (
        rate_excess(RATE, 10, SECOND, 100.0, delay_spread_us=20_000) == 60
    )  # a larger delay spread adds a burst
    stale = [max_staleness_us(RATE, times, engine, case) for case in CASES]
    assert stale[0] == 1_200_000 and max(stale) == 12_500_000
    known, unknown = (recovery_us(RATE, times, engine, "owner_paused", sure) for sure in (True, False))
    assert known < unknown and recovery_us(RATE, times, engine, "cut_in", True) == 2_400_000
