"""When the event loop last asked its sockets for input: what it can know of news that it has not read.

TCP tells no arrival times. But what a poll does not report as readable has not come yet, so that input read
now came after the last poll that was answered without it; and a timer may be due while the cancel, the close
or the answer that makes it moot lies unread, if the loop was busy or stood still in between.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

BLOCKED_S = 0.001  # a poll that took so long had nothing to report when it began
CHAIN = 2  # polls from a connection's place in the listen queue to its first bytes: accept, then read


class TimedPoller:
    """Stands before the reactor's poller (an epoll object) and notes its times, in seconds."""

    def __init__(self, poller: Any, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._poller = poller
        self._monotonic = monotonic
        self.register, self.modify, self.unregister = poller.register, poller.modify, poller.unregister
        self.polled_s = monotonic()  # the last poll's end
        self._ends = [self.polled_s] * CHAIN  # earliest arrivals that the polls before the last leave open

    def __getattr__(self, name: str) -> Any:
        """Pass on whatever else the reactor asks of its poller."""
        return getattr(self._poller, name)

    @property
    def arrival_s(self) -> float:
        """Return the earliest time at which input that is being read now may have come.

        A poll that blocked found nothing unread as it began: what it then reports has just come. One that
        did not block reports what came since the poll before it; and the first bytes of a connection, which
        the poll before that reported as waiting to be accepted, may be as old as the connection.
        """
        return self._ends[0]

    def poll(self, timeout_s: float, most: int) -> Any:
        """Poll, and note when that began and ended."""
        began_s = self._monotonic()
        found = self._poller.poll(timeout_s, most)
        ended_s = self._monotonic()
        if timeout_s and ended_s - began_s >= BLOCKED_S:
            self._ends = [ended_s] * CHAIN
        else:
            self._ends = [*self._ends[1:], self.polled_s]
        self.polled_s = ended_s
        return found


def timed_poller(reactor: Any) -> TimedPoller | None:
    """Return the watch on a reactor's polls, set up at the first call; None where it has no epoll object."""
    poller = getattr(reactor, "_poller", None)
    if poller is None or isinstance(poller, TimedPoller):
        return poller
    reactor._poller = timed = TimedPoller(poller)
    return timed
