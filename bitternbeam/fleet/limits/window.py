"""A sliding window of a member's own sends: each counts for SEND_LIFETIME_US, at most its part at once.

This turns a rate into a number held at once, in which each send is released by itself: whenever the members
send, no second contains more sends than their parts sum to. A token bucket cannot guarantee that, as its
saved tokens come on top.
"""

from __future__ import annotations

from collections import deque

from bitternbeam.fleet.limits.terms import BURST_SPAN_US, SEND_LIFETIME_US


class SendWindow:
    """The unexpired sends, by the member's monotonic clock."""

    def __init__(self, now_us: int) -> None:
        self.sent: deque[int] = deque()
        self.last_send_us = now_us  # at start: now, as an earlier start may have sent

    def add(self, now_us: int, n: int) -> None:
        """Add n sends."""
        self.sent.extend([now_us] * n)
        self.last_send_us = now_us

    def expire(self, now_us: int) -> int:
        """Remove the expired sends and return their number."""
        expired = 0
        while self.sent and now_us - self.sent[0] >= SEND_LIFETIME_US:
            self.sent.popleft()
            expired += 1
        return expired

    def capacity(self, part: float, is_whole: bool, now_us: int) -> int:
        """Return how many sends may count at once for a part, given per second.

        `is_whole`: the part was granted in whole numbers. A safe part below one is used by single sends, each
        1 / part seconds after the last one; these may exceed the limit by bound.excess_of_single_sends.
        """
        if is_whole or part >= 1:
            return int(part + 1e-6)
        return int(part > 0 and (now_us - self.last_send_us) * part >= SEND_LIFETIME_US)

    def allows_send(self, capacity: int, now_us: int) -> bool:
        """Return whether less than a quarter of the capacity was sent within the last BURST_SPAN_US.

        Without this, a constant backlog of calls would be sent as one burst in every second.
        """
        quarter = -(-capacity // 4)
        return len(self.sent) < quarter or now_us - self.sent[-quarter] >= BURST_SPAN_US
