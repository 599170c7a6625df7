"""Caps on rates and on open calls, by class and by caller: kept across versions, read from the snapshot."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from bitternbeam.configuration.snapshot import Snapshot

SECOND = 1_000_000
MOST_CALLERS = 10_000  # whose rates are remembered; beyond that the ones longest silent are forgotten


@dataclass(slots=True)
class Bucket:
    """A token bucket (as in ITU-T I.371's leaky one, seen from the tokens)."""

    tokens: float
    at_us: int

    def wait_us(self, now_us: int, rate: float, burst: int) -> int:
        """Return for how long there is no token at this rate a second; 0: there is one."""
        gained = max(0, now_us - self.at_us) / SECOND * rate
        self.tokens, self.at_us = min(float(burst), self.tokens + gained), now_us
        return 0 if self.tokens >= 1 else max(1, int((1 - self.tokens) / rate * SECOND))


class Caps:
    """What calls of a class and what a caller may do, by the snapshot's entries."""

    def __init__(self) -> None:
        self.classes: dict[str, Bucket] = {}
        self.callers: dict[str, Bucket] = {}
        self.open: Counter[str] = Counter()

    def take(self, now_us: int, snapshot: Snapshot, call_class: str, caller: str) -> int:
        """Count a call in: 0, or for how long its caller is to stay away.

        No token is taken, and nothing counted, unless every cap has room.
        """
        used: list[Bucket] = []
        wait_us = 0
        limits = snapshot.class_limits(call_class)
        if limits.rate:
            bucket = self.classes.setdefault(call_class, Bucket(limits.burst, now_us))
            wait_us = bucket.wait_us(now_us, limits.rate, limits.burst)
            used.append(bucket)
        own = snapshot.caller_limits(caller) if caller else None
        if own and own.rate:
            bucket = self._caller(caller, now_us, own.burst)
            wait_us = max(wait_us, bucket.wait_us(now_us, own.rate, own.burst))
            used.append(bucket)
        if own and own.most_open and self.open[caller] >= own.most_open:
            wait_us = max(wait_us, SECOND)
        if wait_us:
            return wait_us
        for bucket in used:
            bucket.tokens -= 1
        if caller:
            self.open[caller] += 1
        return 0

    def over(self, caller: str) -> None:
        """Count a call out."""
        if caller:
            self.open[caller] -= 1
            if self.open[caller] <= 0:
                del self.open[caller]

    def _caller(self, caller: str, now_us: int, burst: int) -> Bucket:
        """Return a caller's bucket and keep it from being forgotten."""
        bucket = self.callers.pop(caller, None) or Bucket(burst, now_us)
        self.callers[caller] = bucket
        if len(self.callers) > MOST_CALLERS:
            # Danger: callers' addresses are theirs to choose, and would fill the memory.
            del self.callers[next(iter(self.callers))]
        return bucket
