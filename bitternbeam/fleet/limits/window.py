"""A member's own sends of the last second: each one stands for STANDS_US, and no more stand than its part.

So a rate is a number held at once, and each send a holding that ends by itself: whatever each member's sends
fall on, no second holds more of them than the parts sum to. A bucket can't promise that: what it saved up
comes on top.
"""

from __future__ import annotations

from collections import deque

from bitternbeam.fleet.limits.terms import BURST_SPAN_US, SEND_LIFETIME_US


class SendWindow:
    """The sends that stand, by the member's monotonic clock."""

    def __init__(self, now_us: int) -> None:
        self.sent: deque[int] = deque()
        self.last_send_us = now_us  # of the last send; as it starts, now: an earlier start may have sent

    def add(self, now_us: int, n: int) -> None:
        """Note n sends."""
        self.sent.extend([now_us] * n)
        self.last_send_us = now_us

    def expire(self, now_us: int) -> int:
        """Return how many stand no more since this was asked last."""
        gone = 0
        while self.sent and now_us - self.sent[0] >= SEND_LIFETIME_US:
            self.sent.popleft()
            gone += 1
        return gone

    def capacity(self, part: float, is_whole: bool, now_us: int) -> int:
        """Return how many may stand at once, for a part of so many a second.

        `whole`: the part was dealt out in whole numbers. A safe part under one is used by single sends that
        far apart: it fails open, and the bound names those sends (bound.single).
        """
        if is_whole or part >= 1:
            return int(part + 1e-6)
        return int(part > 0 and (now_us - self.last_send_us) * part >= SEND_LIFETIME_US)

    def allows_send(self, capacity: int, now_us: int) -> bool:
        """Whether no more than a quarter of what may stand was sent within SPELL_US.

        Danger: calls that come without end would else be sent all at once, each second anew.
        """
        quarter = -(-capacity // 4)
        return len(self.sent) < quarter or now_us - self.sent[-quarter] >= BURST_SPAN_US
