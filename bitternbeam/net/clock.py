"""The reactor's timer under the deadlines; times are Unix microseconds that only go forward."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from bitternbeam.net.polling import timed_poller


class ReactorClock:
    """Unix time at the start, carried on by the monotonic clock.

    Danger: the wall clock may be set while the daemon runs; deadlines and the module's
    intervals must not jump with it, yet a booker's start is told in Unix time.
    """

    def __init__(self, reactor: Any, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._reactor = reactor
        self._monotonic = monotonic
        self._offset_us = int(time.time() * 1e6) - int(monotonic() * 1e6)
        self._last_us = 0
        self._timer: Any = None
        self._polls = timed_poller(reactor)

    def now_us(self) -> int:
        """Return the time; it never runs backwards."""
        self._last_us = max(self._last_us, self._at(self._monotonic()))
        return self._last_us

    def input_read_until_us(self) -> int:
        """Return the time up to which whatever came has been read: the last poll's."""
        return self._at(self._polls.polled_s) if self._polls else self.now_us()

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which input that is being read now may have come."""
        return self._at(self._polls.arrival_s) if self._polls else self.now_us()

    def _at(self, monotonic_s: float) -> int:
        return int(monotonic_s * 1e6) + self._offset_us

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        """Keep one reactor timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if at_us is not None:
            self._timer = self._reactor.callLater(max(0, at_us - self.now_us()) / 1e6, wake)
