"""Retry budget, client-side throttle and backoff of one controller.

- `RetryBudget`: retries at most a fraction of first attempts over a sliding window, with a floor for quiet
  times (as Finagle's and Envoy's retry budgets). A limit on attempts per call alone would let the whole fleet
  multiply its attempts just when the bookers are pressed.
- `Throttle`: client-side adaptive throttling (Beyer et al., Site Reliability Engineering, ch. 21 "Handling
  Overload"): rejects first attempts with probability max(0, (requests - K accepts) / (requests + 1)).
  One in ten always passes: with the formula alone, a service that returned after a long outage was still
  refused nine times in ten 40 s later (simulated, 100 calls a second).
- `backoff_us`: exponential backoff with full jitter (Brooker, "Exponential Backoff And Jitter", 2015).

Times are microseconds, passed in, as is the random source.
"""

from __future__ import annotations

from typing import Protocol

MAX_REJECT_PROBABILITY = 0.9  # the rest always passes
WINDOW_PARTS = 10  # old counts are dropped one part at a time


class RandomSource(Protocol):
    """A random source; random.Random is one."""

    def random(self) -> float:
        """Return a number from 0 to below 1."""
        ...


class SlidingWindow:
    """Counts over a sliding window, kept in tenths of it."""

    def __init__(self, window_us: int) -> None:
        self.part_us = max(1, window_us // WINDOW_PARTS)
        self.counts = [0.0] * WINDOW_PARTS
        self.newest_part = 0  # number of the newest part

    def _roll(self, now_us: int) -> None:
        part = now_us // self.part_us
        for number in range(max(self.newest_part + 1, part - WINDOW_PARTS + 1), part + 1):
            self.counts[number % WINDOW_PARTS] = 0.0
        self.newest_part = max(self.newest_part, part)

    def add(self, now_us: int, count: float = 1.0) -> None:
        """Add to the count."""
        self._roll(now_us)
        self.counts[self.newest_part % WINDOW_PARTS] += count

    def total(self, now_us: int) -> float:
        """Return the count over the window."""
        self._roll(now_us)
        return sum(self.counts)


class RetryBudget:
    """Limits retries to a fraction of the first attempts."""

    def __init__(self, fraction: float, window_us: int, floor_per_s: float) -> None:
        self.fraction, self.window_us, self.floor_per_s = fraction, window_us, floor_per_s
        self.firsts, self.retries = SlidingWindow(window_us), SlidingWindow(window_us)

    def first(self, now_us: int) -> None:
        """Count a first attempt."""
        self.firsts.add(now_us)

    def retry(self, now_us: int, size: int) -> bool:
        """Take a retry from the budget; return False if it is empty. `size` members share the floor."""
        floor = self.floor_per_s * self.window_us / 1e6 / max(1, size)
        if self.retries.total(now_us) + 1 > self.fraction * self.firsts.total(now_us) + max(1.0, floor):
            return False
        self.retries.add(now_us)
        return True


class Throttle:
    """Rejects first attempts before they are sent."""

    def __init__(self, window_us: int, accepts_factor: float, random: RandomSource) -> None:
        self.accepts_factor, self.random = accepts_factor, random
        self.requests, self.accepts = SlidingWindow(window_us), SlidingWindow(window_us)

    def probability(self, now_us: int) -> float:
        """Return the share of first attempts to reject now."""
        requests = self.requests.total(now_us)
        turned = (requests - self.accepts_factor * self.accepts.total(now_us)) / (requests + 1)
        return min(MAX_REJECT_PROBABILITY, max(0.0, turned))

    def should_reject(self, now_us: int) -> bool:
        """Decide on one first attempt, and count it either way."""
        turned = self.random.random() < self.probability(now_us)
        self.requests.add(now_us)
        return turned

    def accepted(self, now_us: int) -> None:
        """Count an attempt that a booker accepted."""
        self.accepts.add(now_us)


def backoff_us(attempt: int, base_us: int, most_us: int, random: RandomSource) -> int:
    """Return a random delay before attempt 1, 2, ..., below a bound that doubles with each attempt."""
    bound_us = min(most_us, base_us << min(attempt, 30))
    return int(random.random() * bound_us)
