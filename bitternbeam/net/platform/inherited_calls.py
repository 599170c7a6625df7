"""Calls established by an earlier process, whose releases arrive at this one."""

from __future__ import annotations

from collections.abc import Callable

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines


class InheritedCalls:
    """Passes on releases of calls that this process did not set up, for `strangers_us` after its start.

    A process that stops leaves its calls established at the bookers, which send each release to the process
    that replaces it. A release of a call that was set up here and is no longer known has crossed the call's
    end: the client already has its final answer and would get a second one. So the ids of all set-ups are
    kept for as long as inherited releases are passed on.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.counters = counters
        self.own_uids: set[str] | None = set()  # set up by this process; None after `expire`
        self.on_release: Callable[[str, int], None] = lambda _uid, _cause: None
        deadlines.after(limits.orphaned_calls_us, self.expire)

    def expire(self) -> None:
        """Stop passing on releases: the calls of earlier processes have ended."""
        self.own_uids = None

    def record_sent(self, uid: str) -> None:
        """Record a set-up by this process."""
        if self.own_uids is not None:
            self.own_uids.add(uid)

    def release_received(self, uid: str, cause: int) -> None:
        """Handle the release of a call that is not known here."""
        if self.own_uids is not None and uid not in self.own_uids:
            self.own_uids.add(uid)  # a booker may repeat the release on each new connection
            self.counters.add("booker.strangers_released")
            self.on_release(uid, cause)
