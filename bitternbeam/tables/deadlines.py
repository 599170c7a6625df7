"""A heap of deadlines that shares a single timer, set to the earliest of them."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from itertools import count
from typing import Protocol

log = logging.getLogger(__name__)

COMPACT_ABOVE = (
    256  # cancelled entries are removed once there are more of them, and more than half of the heap
)


class TimerClock(Protocol):
    """A monotonic clock in microseconds with a single timer."""

    def now_us(self) -> int:
        """Return the time; it never runs backwards."""
        ...

    def input_read_until_us(self) -> int:
        """Return the time up to which all input that had arrived has been read."""
        ...

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which the input being read now may have arrived."""
        ...

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        """Set the timer to call wake at at_us, replacing the one set before; None clears it."""
        ...


class Deadline:
    """A scheduled callback; cancelling it more than once is harmless."""

    __slots__ = ("_owner", "at_us", "callback")

    def __init__(self, owner: Deadlines, at_us: int, callback: Callable[[], None]) -> None:
        self._owner = owner
        self.at_us = at_us
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; no effect once it has run."""
        if self.callback is not None:
            self.callback = None
            self._owner.count_cancelled()


class Deadlines:
    """Schedules callbacks; those of equal times run in the order in which they were set."""

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
        """Return the clock's time in microseconds."""
        return self._clock.now_us()

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which the input being read now may have arrived."""
        return self._clock.earliest_arrival_us()

    def call_at(self, at_us: int, due: Callable[[], None]) -> Deadline:
        """Call due at at_us (microseconds) or soon after, never before this method returns."""
        deadline = Deadline(self, at_us, due)
        heapq.heappush(self._heap, (at_us, next(self._order), deadline))
        self._arm()
        return deadline

    def after(self, wait_us: int, due: Callable[[], None]) -> Deadline:
        """Call due wait_us microseconds from now."""
        return self.call_at(self._clock.now_us() + wait_us, due)

    def count_cancelled(self) -> None:
        """Count a cancelled entry, and compact the heap when most of it is cancelled."""
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
        """Run the callbacks that are due; those they schedule for now run in the next round.

        After the event loop was blocked, a cancel, close or answer that arrived before a deadline may still
        be unread: a request whose client had left would be sent. A deadline therefore waits until all earlier
        input has been read, which takes one poll of the sockets.
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
                    # The other due callbacks have left the heap, so one failure must not stop them.
                    log.exception("deadline callback failed")
        finally:
            self._running = False
            self._arm()
