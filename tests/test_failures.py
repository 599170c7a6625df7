"""The failures found in measured days and incidents, one small test each."""

from __future__ import annotations

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision.budget import step_budget
from bitternbeam.decision.state import Switch
from tests.world import MS, SECOND, World

READY = api.SwitchState.READY


def test_a_switch_without_free_lines_is_passed_over_until_told_otherwise() -> None:
    world = World()
    world.feed(api.ProbeAnswer("s0", 0, api.Report(free_lines=0, total_lines=50)))
    name = world.call(cell=0)
    assert world.sent_to() == "s1"
    world.end_attempt(name, api.Outcome.TURNED_AWAY, "s1", no_line=True)
    world.call(cell=1)
    assert world.sent_to() is None
    world.feed(api.ProbeAnswer("s1", 0, api.Report(free_lines=2, total_lines=50)))
    world.call(cell=1)
    assert world.sent_to() == "s1"


def test_lines_are_counted_down_between_reports() -> None:
    world = World()
    world.feed(api.ProbeAnswer("s0", 0, api.Report(free_lines=2, total_lines=50)))
    sent = []
    for _ in range(3):
        world.call(cell=0)
        sent.append(world.sent_to())
    assert sent == ["s0", "s0", "s1"]


def test_one_old_unanswered_set_up_presses_a_switch_at_once() -> None:
    world = World()
    name = world.call(cell=0)
    world.answer_attempt(name)
    world.call(cell=0)
    world.now_us += 900 * MS
    world.call(cell=0)
    assert world.sent_to() == "s1"


def test_unthrottled_the_budget_follows_what_was_sent() -> None:
    world = World()
    switch = Switch("s", 0, send_rate=9, wait_observed=True)
    step_budget(world.controller, switch, {("low", True): 1.0})
    assert switch.budget >= 10


def test_cut_calls_with_an_answer_at_once_cost_no_cold_start() -> None:
    world = World()
    names = [world.call(cell=0) for _ in range(4)]
    for name in names:
        world.answer_attempt(name)
    for name in names:
        world.end_attempt(name, api.Outcome.CUT, finished=True)
    world.now_us += 900 * MS
    trial = world.call(cell=0)
    assert world.sent_to() == "s0"  # the first trial, paced
    world.call(cell=0)
    assert world.sent_to() == "s1"  # and alone
    world.now_us += 50 * MS
    world.answer_attempt(trial)
    world.call(cell=0)
    assert world.sent_to() == "s0"
    assert world.controller.switches["s0"].slow_start_since_us is None


@pytest.mark.parametrize("outcome", [api.Outcome.CUT, api.Outcome.NO_CONNECTION])
def test_a_switch_back_after_a_long_silence_counts_as_cold(outcome: api.Outcome) -> None:
    world = World()
    name = world.call(cell=0)
    world.end_attempt(name, outcome)
    world.advance(5 * SECOND)
    trial = world.call(cell=0)
    assert world.sent_to() == "s0"
    world.answer_attempt(trial)
    assert world.controller.switches["s0"].slow_start_since_us == world.now_us


def test_a_late_redial_goes_with_the_calls_that_earn_little() -> None:
    world = World()
    world.call(number="n1")
    world.advance(1_600 * MS)
    world.call(number="n1")
    world.call(number="n2", redial=True)  # its first try was at another gateway
    world.call(number="n3")
    groups = [call.group[1] for call in world.controller.calls.values()]
    assert groups == [True, False, False, True]


def test_a_redial_within_its_aim_keeps_the_rest_of_it() -> None:
    world = World()
    world.call(number="n1")
    world.advance(1_000 * MS)
    world.call(number="n1")
    (send,) = world.actions_of(api.Send)
    assert send.timeout_us == 500 * MS


def test_first_tries_are_forgotten_after_the_longest_deadline() -> None:
    world = World()
    world.call(number="n1")
    world.advance(11 * SECOND)
    assert not world.controller.first_try_times_us


def test_nothing_is_sent_where_twice_the_wait_overruns_the_aim() -> None:
    world = World(switches=1)
    for _ in range(5):
        world.feed(api.ProbeAnswer("s0", 0, api.Report(wait_ms=800.0)))
    world.controller.switches["s0"].credit["low", True] = 5
    world.call()
    assert world.sent_to() is None


def test_every_event_has_its_handler() -> None:
    world = World()
    world.feed(api.PeerMessage(1, b"x"))
    assert world.last_actions == []
    world.feed(api.TimerDue(999))
    assert world.last_actions == []
    switch = world.controller.switches["s0"]
    switch.send_rate = 3
    world.advance(2 * SECOND)
    assert switch.send_rate < 3  # the interval ran


def test_events_of_unknown_calls_and_switches_are_passed_over() -> None:
    world = World()
    world.answer_attempt("never", "s0")
    world.end_attempt("never", api.Outcome.SERVED)
    world.end_attempt("never", api.Outcome.SERVED, "s9")
    world.feed(api.ProbeAnswer("s9", 0, None))
    assert world.last_actions == []


def test_a_subscription_is_asked_for_and_asked_for_again() -> None:
    world = World(must_subscribe=True)
    assert world.actions_of(api.Subscribe)
    world.feed(api.ListEvent(api.ListKind.FAILED))
    assert any(isinstance(action, api.Subscribe) for action in world.advance(2 * SECOND))


def test_log_lines_tell_of_trials_and_of_the_return() -> None:
    world = World()
    name = world.call(cell=0)
    world.end_attempt(name, api.Outcome.NO_CONNECTION)
    assert [log.text for log in world.actions_of(api.Log)] == ["switch s0: no connection, trials only"]
    trial = world.call(cell=0)
    world.answer_attempt(trial)
    assert [log.text for log in world.actions_of(api.Log)] == ["switch s0: answers again"]


def test_a_set_up_overtaken_by_a_later_answer_is_lost_not_waiting() -> None:
    world = World()
    lost = world.call(cell=0)
    world.now_us += 100 * MS
    later = world.call(cell=0)
    world.now_us += 40 * MS
    world.answer_attempt(later)
    world.now_us += 900 * MS
    world.call(cell=0)
    assert world.sent_to() == "s0"
    world.answer_attempt(f"c{world.call_count}")
    world.now_us += 460 * MS
    world.end_attempt(lost, api.Outcome.NO_ANSWER, took_us=1_500 * MS)
    assert not world.controller.switches["s0"].overloaded


def test_a_silent_switch_gets_single_trials_and_no_cold_start() -> None:
    world = World()
    name = world.call(cell=0)
    world.now_us += 1_500 * MS
    world.end_attempt(name, api.Outcome.NO_ANSWER, took_us=1_500 * MS)
    world.advance(6 * SECOND)
    trial = world.call(cell=0)
    assert world.sent_to() == "s0"
    world.call(cell=0)
    assert world.sent_to() == "s1"
    world.answer_attempt(trial)
    assert world.controller.switches["s0"].slow_start_since_us is None
    assert not world.controller.switches["s0"].suspect


def test_log_lines_of_a_flapping_switch_are_few() -> None:
    world = World()
    lines = 0
    for _ in range(20):
        name = world.call(cell=0)
        world.answer_attempt(name, world.sent_to() or "")
        lines += len(world.actions_of(api.Log))
        world.end_attempt(name, api.Outcome.CUT, finished=True)
        lines += len(world.actions_of(api.Log))
        world.advance(100 * MS)
    assert lines == 2


@pytest.mark.parametrize("outcome", [api.Outcome.SERVED, api.Outcome.TURNED_AWAY, api.Outcome.ERROR])
def test_lines_that_are_told_once_are_given_back_as_calls_end(outcome: api.Outcome) -> None:
    # Where nothing else tells of them, lines were used up one a set-up: the switch then stood idle for ever.
    world = World(switches=1)
    world.feed(api.ProbeAnswer("s0", 0, api.Report(free_lines=3, total_lines=3)))
    for _ in range(12):
        call = world.call()
        assert world.sent_to() == "s0"
        if outcome is api.Outcome.SERVED:
            world.complete_call(call, "s0", 40_000)
        else:
            world.end_attempt(call, outcome, finished=True)
        world.advance(SECOND)
    held = [world.call() for _ in range(4)]
    assert world.actions_of(api.Refuse) and len(held) == 4  # three lines, and no fourth
