"""The process's phases, one event at a time, on a clock that the test moves."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bitternbeam.limits import Limits
from bitternbeam.wiring.parts import Serving
from bitternbeam.wiring.shutdown import Lifecycle, Phase, Timetable
from tests.manual_clock import ManualClock

MS = 1_000


class Fake(Serving):
    """A part that does what the test says, and notes what it is told."""

    def __init__(self, longest_us: int = 3_000 * MS) -> None:
        self.core: Any = SimpleNamespace(calls=[], longest_us=longest_us)
        self.told: list[str] = []
        self.port = True
        self.is_busy = False
        self.is_closed = True

    def listening(self) -> bool:
        return self.port

    def drain(self) -> None:
        self.told.append("drain")

    def refuse_new(self) -> None:
        self.told.append("refuse_new")

    def busy(self) -> bool:
        return self.is_busy

    def answer_rest(self) -> None:
        self.told.append("answer_rest")

    def stop(self) -> None:
        self.told.append("stop")

    def closed(self) -> bool:
        return self.is_closed


class Stage:
    """A lifecycle around such parts."""

    def __init__(self, *parts: Fake) -> None:
        self.clock = ManualClock()
        self.parts = parts or (Fake(),)
        self.life = Lifecycle(list(self.parts), self.clock.deadlines, Limits())
        self.stops = 0
        self.life.stopped = self.count

    def phase(self) -> Phase:
        return self.life.phase

    def count(self) -> None:
        self.stops += 1

    def at(self, phase: Phase) -> None:
        """Go to a phase in the ordinary way."""
        if phase >= Phase.SERVING:
            self.life.started()
        if phase >= Phase.DRAINING:
            self.life.terminate()
        if phase >= Phase.ANSWERING:
            self.parts[0].is_busy = True
            self.clock.advance(700 * MS)
        if phase >= Phase.CLOSING:
            self.parts[0].is_closed, self.parts[0].is_busy = False, False
            self.clock.advance(20 * MS)
        if phase >= Phase.STOPPED:
            self.parts[0].is_closed = True
            self.clock.advance(170 * MS)
        assert self.phase() is phase


def test_an_idle_process_goes_through_every_phase_in_order() -> None:
    stage = Stage()
    stage.at(Phase.SERVING)
    assert not stage.life.ending
    stage.life.terminate()
    assert stage.life.ending and stage.parts[0].told == ["drain"]
    stage.clock.advance(699 * MS)
    assert stage.phase() is Phase.DRAINING  # what still arrives is served
    stage.clock.advance(1 * MS)
    assert stage.phase() is Phase.CLOSING
    assert stage.parts[0].told == ["drain", "refuse_new", "answer_rest", "stop"]
    stage.clock.advance(149 * MS)
    assert not stage.stops  # the last bytes are leaving
    stage.clock.advance(20 * MS)
    assert stage.phase() is Phase.STOPPED and stage.stops == 1


def test_the_start_is_left_only_from_itself() -> None:
    for phase in list(Phase)[1:]:
        stage = Stage()
        stage.at(phase)
        stage.life.started()
        assert stage.phase() is phase


@pytest.mark.parametrize("phase", [one for one in Phase if one >= Phase.DRAINING])
def test_a_second_sigterm_changes_nothing(phase: Phase) -> None:
    stage, other = Stage(), Stage()
    for one in (stage, other):
        one.at(phase)
    stage.life.terminate()
    assert stage.phase() is phase and stage.parts[0].told == other.parts[0].told
    for one in (stage, other):
        one.parts[0].is_closed = True
    for _ in range(200):  # the end comes no later, and once
        stage.clock.advance(20 * MS)
        other.clock.advance(20 * MS)
        assert stage.phase() is other.phase()
    assert stage.stops == other.stops == 1


def test_before_it_listens_a_process_closes_at_once() -> None:
    stage = Stage()
    stage.parts[0].port = False
    stage.life.terminate()
    assert stage.phase() is Phase.CLOSING and stage.parts[0].told == ["drain", "answer_rest", "stop"]
    stage.life.started()  # a part that came up too late
    stage.clock.advance(200 * MS)
    assert stage.phase() is Phase.STOPPED


def test_one_part_that_listens_is_served_though_another_does_not_yet() -> None:
    up, down = Fake(), Fake()
    down.port = False
    stage = Stage(up, down)
    stage.life.terminate()
    assert stage.phase() is Phase.DRAINING


def test_a_part_that_turns_busy_while_another_ends_is_waited_for() -> None:
    # Asked in turn, the first one's request came after it was asked and was refused for no reason.
    first, second = Fake(), Fake()
    second.is_busy = True
    stage = Stage(first, second)
    stage.at(Phase.SERVING)
    stage.life.terminate()
    stage.clock.advance(800 * MS)
    first.is_busy, second.is_busy = True, False
    stage.clock.advance(100 * MS)
    assert stage.phase() is Phase.ANSWERING
    first.is_busy = False
    stage.clock.advance(20 * MS)
    assert stage.phase() is Phase.CLOSING


@pytest.mark.parametrize("longest_us", [100 * MS, 800 * MS, 3_000 * MS, 9_000 * MS])
def test_all_is_over_before_the_kill_however_long_requests_and_closes_last(longest_us: int) -> None:
    stage = Stage(Fake(longest_us))
    stage.at(Phase.SERVING)
    stage.life.terminate()
    stage.parts[0].is_busy, stage.parts[0].is_closed = True, False
    kill_us = min(longest_us, 3_000 * MS) + 700 * MS
    stage.clock.advance(max(699 * MS, kill_us - 401 * MS))
    assert "answer_rest" not in stage.parts[0].told  # no request is refused before it must be
    stage.clock.advance(kill_us - 100 * MS - max(699 * MS, kill_us - 401 * MS))
    assert stage.phase() is Phase.STOPPED


@pytest.mark.parametrize("longest_us", [1, 50 * MS, 400 * MS, 1_000 * MS, 3_000 * MS, 60_000 * MS])
def test_the_timetable_keeps_its_order_and_ends_before_the_kill(longest_us: int) -> None:
    limits = Limits()
    table = Timetable.of(limits, longest_us)
    assert limits.drain_us == table.drained_us <= table.answered_us <= table.closed_us
    assert table.closed_us <= min(longest_us, limits.kill_deadline_us) + limits.kill_margin_us
