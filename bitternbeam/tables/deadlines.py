"""All deadlines of the daemon in one ordered structure; one timer waits for the earliest."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from itertools import count
from typing import Protocol

log = logging.getLogger(__name__)

COMPACT_ABOVE = 256  # cancelled entries are swept out once they are that many and the larger part


class TimerClock(Protocol):
    """A clock in microseconds with a single timer."""

    def now_us(self) -> int:
        """Return the time; it never runs backwards."""
        ...

    def input_read_until_us(self) -> int:
        """Return the time up to which whatever came in has been read."""
        ...

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which input that is being read now may have come."""
        ...

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        """Call wake at that time, in place of what was asked before; None: never."""
        ...


class Deadline:
    """One entry; cancelling it more than once does no harm."""

    __slots__ = ("_owner", "at_us", "callback")

    def __init__(self, owner: Deadlines, at_us: int, callback: Callable[[], None]) -> None:
        self._owner = owner
        self.at_us = at_us
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Never call it."""
        if self.callback is not None:
            self.callback = None
            self._owner.count_cancelled()


class Deadlines:
    """A heap of deadlines; equal times keep the order in which they were set."""

    def __init__(self, clock: TimerClock) -> None:
        self._clock = clock
        self._heap: list[tuple[int, int, Deadline]] = []
        self._order = count()
        self._cancelled = 0
        self._running = False
        self._timer_at_us: int | None = None

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def now_us(self) -> int:
        """Return the clock's time."""
        return self._clock.now_us()

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which input that is being read now may have come."""
        return self._clock.earliest_arrival_us()

    def call_at(self, at_us: int, due: Callable[[], None]) -> Deadline:
        """Call due at that time or soon after; never at once."""
        deadline = Deadline(self, at_us, due)
        heapq.heappush(self._heap, (at_us, next(self._order), deadline))
        self._arm()
        return deadline

    def after(self, wait_us: int, due: Callable[[], None]) -> Deadline:
        """Call due after a wait."""
        return self.call_at(self._clock.now_us() + wait_us, due)

    def count_cancelled(self) -> None:
        """Note that an entry of the heap is dead."""
        self._cancelled += 1
        if self._cancelled > COMPACT_ABOVE and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _arm(self) -> None:
        if self._running:
            return
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        at_us = self._heap[0][0] if self._heap else None
        if at_us != self._timer_at_us:
            self._timer_at_us = at_us
            self._clock.wake_at(at_us, self._wake)

    def _wake(self) -> None:
        """Run what is due; what a handler sets for now waits for the next round.

        Danger: after the loop stood still, the cancel, close or answer that makes a deadline moot may lie
        unread, though it came first: a request whose client had left was sent on. So a deadline waits until
        all that came before it has been read, which takes one poll of the sockets.
        """
        self._running, self._timer_at_us = True, None
        now_us = min(self._clock.now_us(), self._clock.input_read_until_us())
        due: list[Deadline] = []
        while self._heap and self._heap[0][0] <= now_us:
            due.append(heapq.heappop(self._heap)[2])
        try:
            for deadline in due:
                if deadline.callback is None:
                    self._cancelled -= 1
                    continue
                handler, deadline.callback = deadline.callback, None
                try:
                    handler()
                except Exception:
                    # Danger: the others due now have left the heap; a fault in one must not lose them all.
                    log.exception("a deadline's handler failed")
        finally:
            self._running = False
            self._arm()
