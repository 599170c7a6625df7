"""Calls that stood before this process began: they belong to no connection, and their releases come here."""

from __future__ import annotations

from collections.abc import Callable

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines


class InheritedCalls:
    """Hands on the release of a call that this process never sent, while it is young.

    A process that ends leaves its calls standing at their bookers, which send each release on a connection of
    whoever came after it. Danger: a release of a call that was sent here and is known no more has crossed its
    end: the caller has had its final answer, and would get a second one. So what was sent is remembered, for
    as long as strangers are handed on.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.counters = counters
        self.own_uids: set[str] | None = set()  # sent by this process; None: it is young no more
        self.on_release: Callable[[str, int], None] = lambda _uid, _cause: None
        deadlines.after(limits.orphaned_calls_us, self.expire)

    def expire(self) -> None:
        """Hand on no more: what stood before this process is over."""
        self.own_uids = None

    def record_sent(self, uid: str) -> None:
        """Note a set-up of this process's own."""
        if self.own_uids is not None:
            self.own_uids.add(uid)

    def release_received(self, uid: str, cause: int) -> None:
        """Take a release of a call that is not known here."""
        if self.own_uids is not None and uid not in self.own_uids:
            self.own_uids.add(uid)  # a booker may repeat it on each new connection
            self.counters.add("booker.strangers_released")
            self.on_release(uid, cause)
