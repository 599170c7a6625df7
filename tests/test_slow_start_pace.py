"""The pace of one process to a server in slow start: what draws, keeps and ends a gap."""

from __future__ import annotations

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision import slow_start
from bitternbeam.decision.estimates import mean_per_interval
from bitternbeam.decision.state import Switch
from tests.world import MS, SECOND, World

READY, DRAINING = api.SwitchState.READY, api.SwitchState.DRAINING


def starting(**changes: object) -> tuple[World, Switch]:
    """Return a world with traffic, and its switch s0 that has just started anew."""
    world = World(switches=4, **changes)  # type: ignore[arg-type]
    for _ in range(10):
        for cell in range(4):
            world.offer_calls(1, 10, cell=cell)
    world.update_switch("s0", READY, started_at_us=world.now_us)
    return world, world.controller.switches["s0"]


def gap(world: World, switch: Switch) -> int:
    return slow_start.send_gap_us(world.controller, switch)


def turn(world: World, switch: Switch, past_us: int = 0) -> None:
    """Put the end of the gap so long before now."""
    switch.gap_phase = 0.0
    switch.gap_start_us = world.now_us - past_us


def test_a_server_that_fails_in_slow_start_keeps_its_gap_and_its_ramp() -> None:
    world, switch = starting()
    turn(world, switch)
    name, started_us = world.call(cell=0), world.now_us
    assert world.sent_to() == "s0"
    sent_us, phase = switch.gap_start_us, switch.gap_phase
    world.advance(50 * MS)
    world.end_attempt(name, api.Outcome.NO_CONNECTION)
    assert switch.suspect
    assert (switch.gap_start_us, switch.gap_phase, switch.slow_start_since_us) == (sent_us, phase, started_us)
    slow_start.clear_suspect(world.controller, switch)
    assert (switch.gap_start_us, switch.gap_phase, switch.slow_start_since_us) == (sent_us, phase, started_us)


def test_a_server_that_drains_and_is_up_again_keeps_its_ramp_and_a_new_start_begins_it_anew() -> None:
    world, switch = starting()
    first = switch.slow_start_since_us
    world.update_switch("s0", DRAINING, started_at_us=first or 0)
    world.update_switch("s0", READY, started_at_us=first or 0)
    assert switch.slow_start_since_us == first
    world.advance(SECOND)
    world.update_switch("s0", READY, started_at_us=world.now_us)
    assert switch.slow_start_since_us == world.now_us == switch.gap_start_us


@pytest.mark.parametrize("named", [True, False])
def test_the_end_of_a_gap_lapses_for_calls_that_do_not_name_the_server(named: bool) -> None:
    world, switch = starting(fall_us=SECOND // 10)
    turn(world, switch)
    assert not slow_start.must_wait(world.controller, switch, named)
    turn(world, switch, past_us=int(0.5 * gap(world, switch)))
    assert slow_start.must_wait(world.controller, switch, named) is not named


def test_two_calls_in_one_instant_are_not_both_sent() -> None:
    world, switch = starting()
    turn(world, switch)
    world.call(cell=0)
    assert world.sent_to() == "s0"
    world.call(cell=0)
    assert world.sent_to() != "s0"


def test_a_further_attempt_waits_its_turn_like_a_first_one() -> None:
    world, switch = starting()
    for name in ("s2", "s3"):
        world.update_switch(name, DRAINING)
    call = world.call(cell=1)
    assert world.sent_to() == "s1"
    turn(world, switch)
    switch.gap_phase = 1.0
    world.end_attempt(call, api.Outcome.TURNED_AWAY, "s1")
    assert world.sent_to() != "s0"


def test_what_the_core_does_not_send_gives_no_gap_back() -> None:
    world, switch = starting()
    turn(world, switch)
    call = world.call(cell=0)
    world.end_attempt(call, api.Outcome.NOT_SENT)
    assert world.sent_to() != "s0" and switch.gap_start_us == world.now_us and switch.gap_phase == 1.0


def test_a_server_in_slow_start_is_not_probed() -> None:
    world, _ = starting(may_probe=True, gateways=1)
    done = world.advance(3 * SECOND)
    asked = {action.switch for action in done if isinstance(action, api.Probe)}
    assert asked == {"s1", "s2", "s3"}


@pytest.mark.parametrize("aim_us", [400 * MS, 2_500 * MS])
@pytest.mark.parametrize("gateways", [1, 50, 1000])
def test_what_a_process_that_learned_nothing_sends_is_bounded_by_its_own_calls(
    gateways: int, aim_us: int
) -> None:
    kind = api.CallClass("low", aim_us, 9 * SECOND, worth=1.0)
    world = World(gateways=gateways, classes=(kind,))
    world.update_switch("s0", READY, started_at_us=world.now_us)
    switch = world.controller.switches["s0"]
    assert gap(world, switch) > 3600 * SECOND  # no call came yet
    for _ in range(20):
        world.call(cell=0)
        world.advance(50 * MS)
    calls_per_us = (
        mean_per_interval(world.controller, world.controller.arrived_calls) / world.controller.interval_us
    )
    share = 0.5 * 0.5 * 2.0 * (0.3 + 0.7 / 15)  # half the calls, of two cells one, twice what it can do
    assert gap(world, switch) >= 1 / (share * calls_per_us)


def test_a_rate_is_a_mean_and_falls_with_the_traffic() -> None:
    world = World()
    world.offer_calls(20, 20)
    busy = mean_per_interval(world.controller, world.controller.answered_calls)
    world.offer_calls(20, 4)
    assert busy == pytest.approx(20, rel=0.15)
    assert mean_per_interval(world.controller, world.controller.answered_calls) == pytest.approx(6, rel=0.3)
