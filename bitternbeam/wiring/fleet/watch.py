"""Blocking queries at the engine, one after the other."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternbeam.net.coordination import Reply
from bitternbeam.net.repeated_query import RepeatedQuery
from bitternbeam.tables.deadlines import Deadlines

ASK_LEAST_US = 100_000  # between two questions of one watch
ASK_MOST_US = 2_000_000  # after questions that failed, doubled each time up to this


class Watch(RepeatedQuery):
    """One blocking query after the other, paced, and starting anew where the engine's index goes back.

    `period_us`: news is asked for once a period, at its third quarter in Unix time: what all owners
    write in the middle of one wakes a member once. Without news the question stands, and the first comes
    at once.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        ask: Callable[[int], Any],
        told: Callable[[Reply], None],
        failed: Callable[[Any], None],
        restarted: Callable[[], None],
        *,
        period_us: int = 0,
    ) -> None:
        super().__init__()
        self.deadlines, self.ask, self.told, self.failed, self.restarted = (
            deadlines, ask, told, failed, restarted,
        )  # fmt: skip
        self.period_us = period_us
        self.index = 0
        self.failures = 0

    def start(self) -> None:
        """Ask the first question."""
        if self.stopped:
            return
        self.query = self.ask(self.index)
        self.query.addCallbacks(self._answered, self._failed)
        # A fault while an answer is taken must not end the watch; it is told as one of the engine's.
        self.query.addErrback(self._failed)

    def _answered(self, reply: Reply) -> None:
        self.failures = 0
        if reply.index < self.index:
            self.restarted()
            self.index = 0
        else:
            self.index = max(1, reply.index)
        self.later = self.deadlines.after(self._pause_us(), self.start)
        if not self.stopped:
            self.told(reply)

    def _pause_us(self) -> int:
        if not self.period_us or self.index == 0:
            return ASK_LEAST_US
        past_us = (self.deadlines.now_us() - self.period_us * 3 // 4) % self.period_us
        return max(ASK_LEAST_US, self.period_us - past_us)

    def _failed(self, failure: Any) -> None:
        if self.stopped:
            return
        if self.later:
            self.later.cancel()
        self.failed(failure)
        self.index = 0
        # Danger: what is news once a period would be heard some periods after the engine answers again.
        most_us = min(ASK_MOST_US, self.period_us or ASK_MOST_US)
        self.later = self.deadlines.after(min(ASK_LEAST_US << min(self.failures, 8), most_us), self.start)
        self.failures += 1
