"""A cold booker's part of what is sent: held by its owner at once, and by all members together."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.configuration.fleet import Fleet, lease_times
from bitternbeam.fleet.bearing import BookerLimit
from bitternbeam.fleet.bounds import Bounds, BoundSettings
from bitternbeam.fleet.pressure import Pressure, Report, Traffic
from bitternbeam.fleet.ramp import BookerHealth, Health
from bitternbeam.fleet.tokens import Token
from bitternbeam.wiring.fleet.load import Load
from bitternbeam.wiring.fleet.probe_work import ProbeWork

S = 1_000_000
READY, COLD = BookerHealth(), BookerHealth(Health.RAMPING, 0.125)
NAMES = ("b", "c")


def reported(sent: float, took: float) -> list[Report]:
    return [Report(0, 100.0, {"b": Traffic(sent, took, sent - took), "c": Traffic(40.0, 40.0)})]


def warm(demand: float = 60.0, capacity: float = 40.0) -> BookerLimit:
    one = BookerLimit()
    for _ in range(20):
        sent = min(demand, one.controller.limit or demand)
        one.step(reported(sent, min(sent, capacity)), "b", NAMES, READY)
    return one


@pytest.mark.parametrize("members", [5, 20, 40])
@pytest.mark.parametrize("before", [None, 400.0])
@pytest.mark.parametrize("seed", range(3))
def test_members_that_saved_up_sends_begin_at_a_cold_bookers_rate(
    members: int, before: float | None, seed: int
) -> None:
    fleet = [Bounds(BoundSettings(), lambda: members, Random(seed * 100 + one), 0) for one in range(members)]
    for one in fleet:
        one.pressure("b", Pressure(before, 0.0, members, False), True, 0)
        one.pressure("b", Pressure(5.0, 0.0, members, False), True, 10 * S)
    arrived = [
        now
        for now in range(10 * S, 14 * S, S // 20)
        for one in fleet
        if not one.try_send("b", False, None, now)
    ]
    for seconds in (1, 2, 4):
        takes = 5.0 * seconds
        assert sum(now < (10 + seconds) * S for now in arrived) <= takes + 3 * takes**0.5 + 3
    assert len(arrived) >= 20 - 3 * 20**0.5 - 3  # and it is used


@pytest.mark.parametrize("members", [5, 20, 40])
@pytest.mark.parametrize("idle_s", [2, 10, 60])
@pytest.mark.parametrize("seed", range(3))
def test_members_that_were_all_idle_and_are_called_at_once_send_what_a_cold_booker_takes(
    members: int, idle_s: int, seed: int
) -> None:
    # Each would have one send saved up, however small its share: 40 for what bears 5 a second.
    fleet = [Bounds(BoundSettings(), lambda: members, Random(seed * 100 + one), 0) for one in range(members)]
    cold = Pressure(5.0, 0.0, members, False)
    for one in fleet:
        one.pressure("b", cold, True, 0, cold=True)
    arrived = []
    for now in range(0, (idle_s + 4) * S, S // 20):
        for one in fleet:
            if now % S == 0:
                one.pressure("b", cold, True, now, cold=True)
            if now >= idle_s * S and not one.try_send("b", False, None, now):
                arrived.append(now - idle_s * S)
    for seconds in (1, 2, 4):
        takes = 5.0 * seconds
        assert sum(now < seconds * S for now in arrived) <= takes + 3 * takes**0.5 + 3
    assert len(arrived) >= 20 - 3 * 20**0.5 - 3  # and it is used


@settings(deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 20), st.integers(0, 20)), min_size=1, max_size=40), st.floats(1, 100)
)
def test_shares_of_a_demand_that_rose_since_sum_to_no_more_than_the_limit(
    offers: list[tuple[int, int]], limit: float
) -> None:
    # Set against the demand of a period before, the calls of now gave each member all of the limit.
    size = len(offers)
    fleet = [Bounds(BoundSettings(), lambda: size, Random(one), 0) for one in range(size)]
    published = None
    for period in (1, 2):
        for one, calls in zip(fleet, offers, strict=True):
            one.offers = calls[period - 1]
        reports = [one.report(period * S + 1_000 * number) for number, one in enumerate(fleet)]
        if published is None:
            owner = BookerLimit()
            owner.step(reports, "b", NAMES, READY)
            published = owner.pressure(READY, None)
    assert published is not None
    for one in fleet:
        one.pressure("b", published.within(limit), True, 2 * S)
    assert sum(one.buckets["b"].rate or 0.0 for one in fleet) <= limit * 1.000001


@pytest.mark.parametrize(
    ("health", "share"), [(Health.RAMPING, 0.125), (Health.RAMPING, 0.5), (Health.EJECTED, 0)]
)
def test_a_bookers_limit_follows_its_health_without_waiting_for_reports(health: Health, share: float) -> None:
    one = warm()
    published = one.pressure(READY, None)
    assert published is not None and 36 <= (published.limit or 0) <= 44
    held = one.pressure(BookerHealth(health, share), published)
    assert held is not None and held.limit == pytest.approx(max(1.0, share * one.controller.capacity))
    assert one.pressure(READY, held) == published  # and goes with it


def test_one_never_pressed_is_held_too_and_one_that_nothing_is_known_of_is_not() -> None:
    one = BookerLimit()
    assert one.pressure(COLD, None) is None
    one.step(reported(30.0, 30.0), "b", NAMES, READY)
    held = one.pressure(COLD, None)
    assert held is not None and held.limit == 5.0  # an eighth of what the other takes


def test_what_a_cold_booker_turns_away_does_not_pass_for_what_it_bears() -> None:
    # Found in the laboratory: an eighth of the eighth that it took till its start was known.
    one = warm()
    one.step(reported(40.0, 9.0), "b", NAMES, READY)  # replaced, and not known yet
    one.step(reported(20.0, 5.0), "b", NAMES, READY)
    one.replaced()
    for _ in range(3):
        held = one.pressure(COLD, None)
        assert held is not None and 4.5 <= (held.limit or 0) <= 5.5
        one.step(reported(6.0, 4.0), "b", NAMES, COLD)


@pytest.mark.parametrize(("turned_away", "least", "most"), [(0.0, 34.0, 42.0), (8.0, 0.0, 20.0)])
def test_what_it_turned_away_while_cold_does_not_bound_a_booker_that_is_warm_again(
    turned_away: float, least: float, most: float
) -> None:
    one = warm()
    for _ in range(3):
        one.step(reported(15.0, 5.0), "b", NAMES, COLD)
    one.step(reported(12.0 + turned_away, 12.0), "b", NAMES, BookerHealth(Health.RAMPING, 0.5))
    one.step(reported(10.0, 10.0), "b", NAMES, READY)  # members have not heard so
    held = one.pressure(READY, None)
    assert held is not None and least <= (held.limit or 0.0) <= most


def test_a_new_owner_goes_on_with_what_was_published() -> None:
    one = BookerLimit()
    one.step(reported(60.0, 40.0), "b", NAMES, READY)
    one.resume(Pressure(5.0, 100.0, 4, False))
    held = one.pressure(COLD, Pressure(5.0, 100.0, 4, False))
    assert held is not None and (held.limit or 0) <= 5.0


def test_a_cold_bookers_new_owner_goes_on_with_what_it_bears() -> None:
    # Found in the laboratory: it took the cold limit for that, and the whole ramp stayed at an eighth.
    before, after = warm(), BookerLimit()
    held = before.pressure(COLD, None)
    assert held is not None
    after.resume(held)
    assert after.controller.capacity == pytest.approx(before.controller.capacity)
    after.step(reported(5.0, 5.0), "b", NAMES, BookerHealth(Health.RAMPING, 0.25))
    then = after.pressure(BookerHealth(Health.RAMPING, 0.25), held)
    assert then is not None and 9 <= (then.limit or 0) <= 11


def work_of(clock: list[int], size: int = 2) -> ProbeWork:
    """Return a booker's work in a member whose clock is that list's one entry."""
    fleet = Fleet(engine="127.0.0.1:1", name="m")
    bench: Any = SimpleNamespace(
        fleet=fleet, times=lease_times(fleet), deadlines=SimpleNamespace(now_us=lambda: clock[0]),
        roster=SimpleNamespace(size=lambda _now: size), counters=SimpleNamespace(add=lambda _name: None),
    )  # fmt: skip
    return ProbeWork(bench, "b", ("127.0.0.1", 1))


@pytest.mark.parametrize(("members", "limited"), [(1, False), (14, False), (20, True), (40, True)])
def test_what_a_few_of_many_members_were_served_is_no_limit_for_all(members: int, limited: bool) -> None:
    # Found in the laboratory: 14 of 40 members had reported when the limit was made.
    owner = work_of([10 * S], size=40)
    owner.govern([Report(0, 4.8, {"b": Traffic(1.5, 1.0, 0.5)})] * members, NAMES)
    assert (owner.pressure is not None and owner.pressure.limit is not None) == limited


def test_the_record_that_tells_of_a_cold_booker_has_its_limit_and_members_take_it_within_a_tick() -> None:
    clock = [10 * S]  # the middle of a period lies half a second on
    owner = work_of(clock)
    token = owner.claim.token = Token(1, "m")
    for _ in range(4):
        owner.govern(reported(60.0, 40.0), NAMES)
    owner._answered("OK 1", token)
    before = owner.value()
    owner._answered("OK 2", token)
    told = owner.value()
    assert before is not None and told is not None
    assert (before["health"], told["health"]) == ("ready", "ramping")
    assert before["pressure"]["limit"] >= 36 and told["pressure"]["limit"] <= 5

    follower = work_of(clock)
    follower.heard(before)
    load = Load(follower.bench, {"b": follower}, 1)
    follower.follower.seen_us = clock[0]
    load.tick(clock[0] + 600_000)
    follower.heard(told)
    load.tick(clock[0] + 700_000)
    assert load.bounds.pressures["b"].limit == told["pressure"]["limit"]
