"""The process's lifecycle, from its start to its end: one state machine, one owner.

The platform sends SIGTERM, goes on sending requests for a while, and sends SIGKILL a stated time later.
docs/lifecycles.md gives what every event does in every phase.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines
from bitternbeam.wiring.parts import Part, Serving

log = logging.getLogger("bitternbeam")


class Phase(IntEnum):
    """How far the process has come; it never goes back."""

    STARTING = 1  # not every part has come up
    SERVING = 2
    DRAINING = 3  # SIGTERM has come: what still arrives is served, and the readiness checks say no
    ANSWERING = 4  # nothing more should arrive; until no request is open or half read
    CLOSING = 5  # every request has its answer: listeners are closed, then connections, gracefully
    STOPPED = 6


@dataclass(frozen=True, slots=True)
class Timetable:
    """When the phases end at the latest, in microseconds after SIGTERM."""

    drained_us: int
    answered_us: int
    closed_us: int

    @classmethod
    def of(cls, limits: Limits, longest_us: int) -> Timetable:
        """Count back from SIGKILL, which follows the longest deadline of a request.

        Requests may arrive until `drain_us`, so no phase but the first ends before that, however short
        the deadlines are.
        """
        kill_us = min(longest_us, limits.kill_deadline_us) + limits.kill_margin_us
        answered_us = max(limits.drain_us, kill_us - limits.closing_reserve_us)
        closed_us = max(answered_us, kill_us - limits.exit_reserve_us)
        return cls(limits.drain_us, answered_us, closed_us)


class Lifecycle:
    """Takes a process from STARTING to STOPPED; its parts do the work of each phase."""

    def __init__(self, parts: list[Part], deadlines: Deadlines, limits: Limits) -> None:
        self.parts = parts
        self.deadlines = deadlines
        self.limits = limits
        self.phase = Phase.STARTING
        self.stopped: Callable[[], None] = lambda: None  # called once, on STOPPED
        self.closing_since_us = 0
        self.closed_by_us = 0

    @property
    def serving(self) -> list[Serving]:
        """The parts that take requests."""
        return [part for part in self.parts if isinstance(part, Serving)]

    @property
    def ending(self) -> bool:
        """Tell whether SIGTERM has come."""
        return self.phase >= Phase.DRAINING

    def started(self) -> None:
        """Note that every part has come up."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def terminate(self) -> None:
        """Begin to end, at SIGTERM; a second one changes nothing.

        A process that serves nobody yet has nothing to wait for and closes at once.
        """
        if self.ending:
            return
        log.info("SIGTERM: %d calls open", sum(len(part.core.calls) for part in self.serving))
        now_us = self.deadlines.now_us()
        longest_us = max((part.core.longest_us for part in self.serving), default=0)
        timetable = Timetable.of(self.limits, longest_us)
        self.closed_by_us = now_us + timetable.closed_us
        listening = any(part.listening() for part in self.serving)
        self.phase = Phase.DRAINING
        for part in self.serving:
            part.drain()
        if not listening:
            self._close()
            return
        self.deadlines.call_at(now_us + timetable.drained_us, self._drained)
        self.deadlines.call_at(now_us + timetable.answered_us, self._close)

    def _drained(self) -> None:
        if self.phase is not Phase.DRAINING:
            return
        self.phase = Phase.ANSWERING
        for part in self.serving:
            part.refuse_new()
        self._check_answered()

    def _check_answered(self) -> None:
        """Close once no part has a request, whole or half read, all parts looked at together."""
        if self.phase is not Phase.ANSWERING:
            return
        if any(part.busy() for part in self.serving):
            self.deadlines.after(self.limits.shutdown_check_us, self._check_answered)
        else:
            self._close()

    def _close(self) -> None:
        if self.phase >= Phase.CLOSING:
            return
        self.phase = Phase.CLOSING
        self.closing_since_us = self.deadlines.now_us()
        for part in self.serving:
            part.answer_rest()
        for each in self.parts:
            each.stop()
        self._check_closed()

    def _check_closed(self) -> None:
        """Stop once everything is closed and what was written has had its time to leave."""
        now_us = self.deadlines.now_us()
        flushed = now_us >= self.closing_since_us + self.limits.flush_us
        if now_us >= self.closed_by_us or (flushed and all(part.closed() for part in self.parts)):
            self.phase = Phase.STOPPED
            self.stopped()
        else:
            self.deadlines.after(self.limits.shutdown_check_us, self._check_closed)
