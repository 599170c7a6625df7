"""Each of the five rules, kept by one gateway alone."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision.estimates import mean_per_interval
from bitternbeam.decision.load import expected_wait_us, is_throttled
from bitternbeam.decision.slow_start import begin_slow_start, send_gap_us
from tests.world import MS, SECOND, World

READY, DRAINING, GONE = api.SwitchState.READY, api.SwitchState.DRAINING, api.SwitchState.GONE


def finals(actions: list[api.Action]) -> int:
    return sum(isinstance(action, (api.Refuse, api.Fail)) for action in actions)


def test_a_call_with_no_switch_to_take_is_refused_at_once() -> None:
    world = World(switches=0)
    world.call()
    assert finals(world.last_actions) == 1


def test_an_attempt_never_outlives_the_caller() -> None:
    world = World()
    world.call(left_us=700 * MS)
    (send,) = world.actions_of(api.Send)
    assert 0 < send.timeout_us < 700 * MS


@pytest.mark.parametrize("left_us", [0, 1, 30 * MS])
def test_a_caller_about_to_leave_gets_an_answer_not_an_attempt(left_us: int) -> None:
    world = World()
    world.call(left_us=left_us)
    assert finals(world.last_actions) == 1 and world.sent_to() is None


def test_the_time_out_at_the_end_gets_the_one_final_answer() -> None:
    world = World()
    name = world.call()
    world.now_us += 1_500 * MS
    world.end_attempt(name, api.Outcome.NO_ANSWER, took_us=1_500 * MS)
    assert finals(world.last_actions) == 1
    world.end_attempt(name, api.Outcome.NO_ANSWER, took_us=1_500 * MS)  # an echo after the end
    assert world.last_actions == []


def test_a_withdrawn_call_is_owed_nothing() -> None:
    world = World()
    name = world.call()
    world.feed(api.Withdrawn(name))
    world.end_attempt(name, api.Outcome.TURNED_AWAY)
    assert finals(world.last_actions) == 0 and world.sent_to() is None
    world.feed(api.Withdrawn(name))
    world.feed(api.Withdrawn("never heard of"))
    assert world.last_actions == []


def test_a_withdrawal_while_the_release_is_awaited_stops_the_retry() -> None:
    world = World()
    name = world.call()
    world.end_attempt(name, api.Outcome.CUT)
    world.feed(api.Withdrawn(name))
    assert not any(isinstance(action, api.Send) for action in world.advance(SECOND))


def test_a_call_turned_away_tries_the_other_switch_with_one_attempt_out() -> None:
    world = World()
    name = world.call(cell=0)
    world.end_attempt(name, api.Outcome.TURNED_AWAY, no_line=True)
    assert world.sent_to() == "s1"
    world.end_attempt(name, api.Outcome.TURNED_AWAY, "s1", attempt=1, no_line=True)
    assert finals(world.last_actions) == 1


def test_attempts_are_counted() -> None:
    world = World(switches=5)
    name = world.call(cell=0)
    for attempt in range(3):
        world.end_attempt(name, api.Outcome.TURNED_AWAY, world.sent_to() or "", attempt=attempt)
    assert finals(world.last_actions) == 1


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_nothing_new_goes_to_a_draining_or_gone_switch(state: api.SwitchState) -> None:
    world = World()
    world.update_switch("s0", state)
    for _ in range(20):
        world.call(cell=0)
        assert world.sent_to() == "s1"


def test_a_switch_missing_from_a_complete_list_is_gone() -> None:
    world = World()
    world.feed(api.ListEvent(api.ListKind.COMPLETE, (api.SwitchEntry("s1", 1, READY),)))
    world.call(cell=0)
    assert world.sent_to() == "s1"


def cold_sends(world: World, seconds: int, per_s: int = 40) -> list[int]:
    """Return the times of sends to s0 while every call names it."""
    times = []
    for _ in range(seconds * per_s):
        name = world.call(cell=0)
        switch = world.sent_to()
        if switch == "s0":
            times.append(world.now_us)
        if switch:
            world.answer_attempt(name, switch)
            world.end_attempt(name, api.Outcome.SERVED, switch, finished=True)
        world.advance(SECOND // per_s)
    return times


def test_a_cold_switch_gets_a_bounded_share_from_the_first_send_on() -> None:
    world = World()
    world.offer_calls(20, 20)
    rate = mean_per_interval(world.controller, world.controller.answered_calls)
    world.update_switch("s0", READY, started_at_us=world.now_us - SECOND)
    times = cold_sends(world, 3)
    bound = (
        2.0 * (0.3 + 0.7 * 4 / 15) * rate
    )  # multiple x present part x all that was answered, which its cell did
    assert 0 < len(times) <= bound * 3
    assert min(b - a for a, b in pairwise(times)) >= SECOND / bound


def test_a_gateway_that_just_started_is_slow_to_a_cold_switch_at_once() -> None:
    world = World()
    world.update_switch("s0", READY, started_at_us=world.now_us)
    assert len(cold_sends(world, 2)) <= 3


def fleet_sends(prepare: Callable[[World], None]) -> int:
    """Return how many set-ups a hundred gateways that learned nothing send together to s0 in five seconds."""
    total = 0
    for seed in range(100):
        world = World(gateways=100, seed=seed)
        prepare(world)
        for _ in range(10):
            world.call(cell=0)
            total += world.sent_to() == "s0"
            world.advance(500 * MS)
    return total


def test_the_pace_of_a_cold_switch_does_not_grow_with_the_fleet() -> None:
    assert 1 <= fleet_sends(lambda world: world.update_switch("s0", READY, started_at_us=world.now_us)) <= 20


def test_trials_of_a_dead_switch_do_not_grow_with_the_fleet() -> None:
    assert (
        1 <= fleet_sends(lambda world: world.end_attempt(world.call(cell=0), api.Outcome.NO_CONNECTION)) <= 20
    )


def test_a_replaced_switch_is_paced_by_what_its_cell_answered() -> None:
    world = World()
    world.offer_calls(10, 20)
    world.offer_calls(2, 20, cell=1)
    world.update_switch("s0", api.SwitchState.GONE)
    entry = api.SwitchEntry("s9", 0, READY, world.now_us)
    world.feed(api.ListEvent(api.ListKind.CHANGES, (entry,)))
    world.advance(SECOND)
    assert send_gap_us(world.controller, world.controller.switches["s9"]) < SECOND
    begin_slow_start(world.controller, world.controller.switches["s1"], world.now_us)
    fast, slow = (send_gap_us(world.controller, world.controller.switches[name]) for name in ("s9", "s1"))
    assert slow > 3 * fast  # lines say nothing of it: the machine answered a sixth


def test_a_fresh_start_is_not_held_by_the_old_processors_throttle() -> None:
    world = World()
    switch = world.controller.switches["s0"]
    switch.throttled_intervals, switch.wait_us, switch.reports_overload = 3, 3.0 * SECOND, True
    world.update_switch("s0", READY, started_at_us=world.now_us)
    assert not is_throttled(switch) and expected_wait_us(world.controller, switch) == 0


def test_a_gone_switch_is_forgotten_and_its_calls_still_get_their_answer() -> None:
    world = World()
    name = world.call(cell=0)
    world.answer_attempt(name)
    world.update_switch("s0", api.SwitchState.GONE)
    world.advance(2 * SECOND)
    assert "s0" not in world.controller.switches
    world.end_attempt(name, api.Outcome.CUT)
    done = world.last_actions + world.advance(SECOND)
    assert finals(done) == 1 or any(isinstance(action, api.Send) for action in done)


def test_a_start_learned_late_counts_from_when_it_was() -> None:
    world = World()
    world.offer_calls(10, 20)
    world.update_switch("s0", READY, started_at_us=world.now_us - 16 * SECOND)
    world.advance(SECOND)
    assert world.controller.switches["s0"].slow_start_since_us is None


def test_a_switch_that_ends_its_cold_time_is_not_flooded() -> None:
    world = World()
    world.offer_calls(20, 20)
    world.update_switch("s0", READY, started_at_us=world.now_us - 12 * SECOND)
    cold_sends(world, 3)
    assert len(cold_sends(world, 1)) < 30  # of the 40 that name it


@pytest.mark.parametrize(("served_s", "least", "most"), [(0, 0.7, 1.5), (30, 0.0, 0.6)])
def test_a_gateway_that_restarted_in_a_cold_time_gives_the_warm_switch_an_even_part(
    served_s: int, least: float, most: float
) -> None:
    world = World(gateways=200)  # a step of the budget is small against what this one sends
    world.offer_calls(served_s, 40, cell=1)
    world.update_switch("s0", READY, started_at_us=world.now_us - world.settings.warm_after_us + 3 * SECOND)
    world.offer_calls(5, 40, cell=1)
    even = world.controller.even_demand
    assert even > 5
    assert least * even < world.controller.switches["s0"].budget < most * even


@pytest.mark.parametrize("outcome", [api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF])
def test_the_release_is_awaited_from_when_it_was_told(outcome: api.Outcome) -> None:
    world = World()
    name = world.call(cell=0)
    world.now_us += 250 * MS
    world.end_attempt(name, outcome)
    assert world.sent_to() is None and finals(world.last_actions) == 0
    assert not any(isinstance(action, api.Send) for action in world.advance(299 * MS))
    done = world.advance(2 * MS)
    assert [action.switch for action in done if isinstance(action, api.Send)] == ["s1"]


@pytest.mark.parametrize("effect", [api.Effect.ONCE, api.Effect.BY_KEY])
def test_what_may_have_run_is_not_repeated_where_repeats_count(effect: api.Effect) -> None:
    kind = api.CallClass("low", 1_500_000, 9 * SECOND, 1.0, effect=effect)
    world = World(classes=(kind,))
    name = world.call()
    world.end_attempt(name, api.Outcome.CUT)
    assert not any(isinstance(action, api.Send) for action in world.advance(2 * SECOND))
    assert [type(action) for action in world.last_actions if isinstance(action, (api.Refuse, api.Fail))] == [
        api.Fail
    ]
