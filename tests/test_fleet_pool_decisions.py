"""Ramps, the pool view and commits of the fleet: what is decided, in simulated time."""

from __future__ import annotations

import json

import pytest

from bitternbeam.fleet.commit import Committed, parse_committed, version_to_publish
from bitternbeam.fleet.ramp import INITIAL_SHARE, BookerHealth, Health, Ramp, parse_booker_health
from bitternbeam.fleet.view import (
    DRAINING,
    EMPTY_GRACE_MULTIPLE,
    READY,
    Pool,
    Server,
    change,
    parse_servers,
    view_value,
)

S = 1_000_000


def health(ramp: Ramp) -> Health:
    return ramp.state.health


def test_three_lost_probes_eject_and_good_ones_let_it_come_back_by_doubling() -> None:
    ramp = Ramp(step_us=S)
    assert [ramp.probe_answered(False, 0, 0) for _ in range(3)] == [False, False, True]
    assert health(ramp) is Health.EJECTED and ramp.state.share == 0
    assert not ramp.probe_answered(True, S, 1000) and ramp.probe_answered(True, S, 1000)
    shares, now = [ramp.state.share], S
    while health(ramp) is Health.RAMPING:
        now += S // 2
        if ramp.probe_answered(True, now, now // 1000):
            shares.append(ramp.state.share)
    assert shares == [INITIAL_SHARE, 0.25, 0.5, 1.0]
    assert ramp.state == BookerHealth(Health.READY, 1.0, 1000)


def test_one_probe_lost_while_it_comes_back_ejects_and_two_lost_apart_do_not() -> None:
    ramp = Ramp(step_us=S)
    for good in (False, False, True, False, False, True):
        ramp.probe_answered(good, 0, 0)
    assert health(ramp) is Health.READY
    ramp.booker_replaced(0, 5)
    assert ramp.state == BookerHealth(Health.RAMPING, INITIAL_SHARE, 5)
    assert ramp.probe_answered(False, 0, 6) and health(ramp) is Health.EJECTED


def test_a_new_owner_goes_on_where_the_ramp_was() -> None:
    ramp = Ramp(step_us=S)
    ramp.resume(BookerHealth(Health.RAMPING, 0.5, 9))
    assert not ramp.probe_answered(True, 10 * S, 10_000)  # its own step begins with the first good probe
    assert ramp.probe_answered(True, 11 * S, 11_000) and ramp.state == BookerHealth(Health.READY, 1.0, 9)


@pytest.mark.parametrize(
    "value",
    [
        {}, {"health": "well", "share": 1, "since_ms": 0}, {"health": "ready", "share": 2, "since_ms": 0},
        {"health": "ready", "share": True, "since_ms": 0}, {"health": "ready", "share": 1, "since_ms": -1},
        {"health": ["ready"], "share": 1, "since_ms": 0}, {"health": "ready", "share": "1", "since_ms": 0},
    ],
)  # fmt: skip
def test_what_is_no_bookers_state_is_none(value: dict[str, object]) -> None:
    assert parse_booker_health(value) is None
    assert parse_booker_health(BookerHealth().value()) == BookerHealth()


# The view.


def server(name: str, state: str = READY, started_ms: int = 0, share: float = 1.0) -> Server:
    return Server(name, "127.0.0.1", 5060, "UDP", 0, state, started_ms, share)


def listed(*names: str) -> dict[str, Server]:
    return {name: server(name) for name in names}


def states(pool: Pool) -> dict[str, str]:
    return {one.name: one.state for one in pool.servers({})}


def test_one_that_a_reply_leaves_out_drains_at_once_and_goes_later() -> None:
    pool = Pool(gone_us=S)
    pool.update(listed("a", "b"), 0)
    pool.update(listed("a"), 1)
    assert states(pool) == {"a": READY, "b": DRAINING}
    pool.update(listed("a"), S)
    assert states(pool) == {"a": READY, "b": DRAINING}
    pool.update(listed("a"), S + 1)
    assert states(pool) == {"a": READY}


def test_one_that_comes_back_in_time_is_as_before() -> None:
    pool = Pool(gone_us=S)
    pool.update(listed("a", "b"), 0)
    pool.update(listed("a"), 1)
    pool.update(listed("a", "b"), 2)
    pool.update(listed("a", "b"), 10 * S)
    assert states(pool) == {"a": READY, "b": READY}


def test_an_empty_reply_changes_nothing_until_it_was_said_for_long() -> None:
    pool = Pool(gone_us=S)
    pool.update(listed("a", "b"), 0)
    pool.update({}, 1)
    pool.update({}, EMPTY_GRACE_MULTIPLE * S)
    assert states(pool) == {"a": READY, "b": READY}
    pool.update(listed("a", "b"), EMPTY_GRACE_MULTIPLE * S)
    pool.update({}, EMPTY_GRACE_MULTIPLE * S + 1)
    assert states(pool) == {"a": READY, "b": READY}  # the time counts anew
    pool.update({}, 2 * EMPTY_GRACE_MULTIPLE * S + 1)
    assert states(pool) == {"a": DRAINING, "b": DRAINING}


def test_a_view_of_another_owner_replaces_what_was_read_here_before() -> None:
    # Found with real processes: an old half reply, kept, emptied the pool of a member that was cut off later.
    pool = Pool(gone_us=S)
    pool.update(listed("a", "b", "c"), 0)
    pool.update(listed("a"), 1)
    pool.resume(listed("a", "b", "c"))
    assert not pool.read and states(pool) == {"a": READY, "b": READY, "c": READY}


def test_probes_narrow_the_view_and_never_widen_it() -> None:
    pool = Pool(gone_us=S)
    pool.update({"a": server("a"), "b": server("b", DRAINING), "c": server("c", started_ms=50)}, 0)
    found = pool.servers(
        {
            "a": BookerHealth(Health.EJECTED, 0.0, 7),
            "b": BookerHealth(),
            "c": BookerHealth(Health.RAMPING, 0.25, 20),
            "gone": BookerHealth(Health.RAMPING, 0.5, 1),
        }
    )
    assert sorted(found, key=lambda one: one.name) == [
        server("a", DRAINING, share=0.0), server("b", DRAINING), server("c", READY, 50, 0.25),
    ]  # fmt: skip


@pytest.mark.parametrize(
    "spoil",
    [
        lambda row: row[:-1], lambda row: ["", *row[1:]], lambda row: [row[0], 5, *row[2:]],
        lambda row: [*row[:2], 70_000, *row[3:]], lambda row: [*row[:3], "SCTP", *row[4:]],
        lambda row: [*row[:5], "gone", *row[6:]], lambda row: [*row[:7], 1.5], lambda _row: None,
        lambda row: [*row[:2], True, *row[3:]],
    ],
)  # fmt: skip
def test_half_a_view_is_no_view(spoil: object) -> None:
    value = view_value([server("a"), server("b")], 3)
    assert parse_servers(json.loads(json.dumps(value))) == listed("a", "b")
    value["servers"][1] = spoil(value["servers"][1])  # type: ignore[operator]
    assert parse_servers(value) is None


def test_a_view_that_names_one_twice_is_no_view() -> None:
    assert parse_servers(view_value([server("a"), server("a")], 1)) is None
    assert parse_servers({}) is None


def test_what_changes_from_view_to_view_leaves_shares_out() -> None:
    old = listed("a", "b", "c")
    new = {"a": server("a", share=0.5), "b": server("b", DRAINING), "d": server("d")}
    found = change(old, new)
    assert [one.name for one in found.servers] == ["b", "d"] and [one.name for one in found.gone] == ["c"]
    assert change(new, new | {"a": server("a", share=0.25)}).servers == ()


# Commits.


@pytest.mark.parametrize(
    ("own", "committed", "rolled_back", "published"),
    [
        ("1.2", None, [], "1.2"),
        ("1.10", "1.9", [], "1.10"),
        ("2.1", "1.9", [], "2.1"),
        ("1.2", "1.9", [], "1.9"),  # a member on an old store must not take the fleet back
        ("1.2", "1.9", ["1.9"], "1.2"),  # one that saw it rolled back does
        ("1.2", "1.9", ["1.8"], "1.9"),
    ],
)
def test_what_is_committed(own: str, committed: str | None, rolled_back: list[str], published: str) -> None:
    before = None if committed is None else Committed(committed, "theirs")
    assert version_to_publish(Committed(own, "ours"), before, rolled_back).number == published


@pytest.mark.parametrize("number", ["", "1", "1.", ".1", "a.b", "1.2.3", "-1.2", "1" * 40 + ".1", 3, None])
def test_what_is_no_commit_is_none(number: object) -> None:
    assert parse_committed({"number": number, "content": "c"}) is None
    assert parse_committed({"number": "1.2", "content": "c"}) == Committed("1.2", "c")
