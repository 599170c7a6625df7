"""A clock that stands until a test moves it."""

from __future__ import annotations

from collections.abc import Callable

from bitternbeam.tables.deadlines import Deadlines


class ManualClock:
    """The waker under Deadlines; times are microseconds."""

    def __init__(self, now_us: int = 1_000_000_000) -> None:
        self.time_us = now_us
        self.due_us: int | None = None
        self.wake: Callable[[], None] = lambda: None
        self.deadlines = Deadlines(self)

    def now_us(self) -> int:
        return self.time_us

    def input_read_until_us(self) -> int:
        return self.time_us

    def earliest_arrival_us(self) -> int:
        return self.time_us

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        self.due_us, self.wake = at_us, wake

    def run_due(self) -> None:
        """Run what is due now, once."""
        if self.due_us is not None and self.due_us <= self.time_us:
            self.due_us = None
            self.wake()

    def advance(self, by_us: int) -> None:
        """Move on, stopping at each deadline on the way."""
        end_us = self.time_us + by_us
        while self.due_us is not None and self.due_us <= end_us:
            self.time_us, self.due_us = max(self.time_us, self.due_us), None
            self.wake()
        self.time_us = end_us
