"""What one controller may send: its shares of the bookers' limits, its retry budget and its throttle.

Implements the core's Bounds, beside the decision module: the module sees a send rejected here as an attempt
that was not sent. Sends stay within the module's decisions and the published share; without a fresh record
the last limit is divided by the largest recent fleet size, which is the safe side.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bitternbeam.fleet.pressure import Pressure, Report, Traffic
from bitternbeam.fleet.retries import RandomSource, RetryBudget, Throttle

MIN_BURST_SENDS = 1.5  # smallest bucket size; below two, so that no member sends twice at once
COLD_TOKEN_LIFETIME_S = 0.5  # unused tokens for a cold booker expire after it
REPORTS_KEPT = 4  # one a period


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """The settings of [fleet] that limit sends."""

    period_us: int = 1_000_000
    retry_fraction: float = 0.1
    retry_window_us: int = 10_000_000
    retry_floor_per_s: float = 2.0  # of the whole fleet
    accepts_factor: float = 2.0  # K of adaptive throttling


class Bucket:
    """A token bucket for this member's share of one booker's limit.

    When a booker became cold, each of forty members sent its saved token at once: 40 sends to a booker that
    bears 2.5 a second. On a reset a member therefore keeps a random part of a token at most, so that all
    members together start at the sum of their rates. While a booker is cold, an unused token expires and the
    next one follows a token's time later, so that idle members together hold no more than
    COLD_TOKEN_LIFETIME_S of their rates.
    A bucket of one token is too small: at one send a second, each of forty members lost the tokens that
    arrived before its next call, and they used six tenths of the limit.
    """

    def __init__(self, now_us: int, random: RandomSource) -> None:
        self.random = random
        self.rate: float | None = None  # per second; None: no limit
        self.cold = False
        self.tokens = 1.0
        self.at_us = now_us

    def set(
        self, rate: float | None, period_us: int, now_us: int, *, anew: bool = False, cold: bool = False
    ) -> None:
        """Set a new rate; tokens are kept, up to half a period's worth, unless `anew` resets them."""
        self.refill(period_us, now_us)
        if anew:
            self.tokens = min(self.tokens, self.random.random())
        self.rate, self.cold = rate, cold

    def refill(self, period_us: int, now_us: int) -> None:
        """Add tokens, up to half a period's worth or MIN_BURST_SENDS."""
        if self.rate is not None:
            self.tokens += self.rate * (now_us - self.at_us) / 1e6
            if not self.cold:
                self.tokens = min(self.tokens, max(MIN_BURST_SENDS, self.rate * period_us / 2e6))
            elif (past := self.tokens - 1 - self.rate * COLD_TOKEN_LIFETIME_S) > 0:
                self.tokens -= math.ceil(past)
        self.at_us = now_us

    def holds(self, period_us: int, now_us: int) -> bool:
        """Return whether a token is available now."""
        self.refill(period_us, now_us)
        return self.rate is None or self.tokens >= 1.0


class Bounds:
    """Shares, retry budget and throttle of one controller; `size` returns the largest recent size."""

    def __init__(
        self, terms: BoundSettings, size: Callable[[], int], random: RandomSource, now_us: int
    ) -> None:
        self.terms, self.size, self.random = terms, size, random
        self.budget = RetryBudget(terms.retry_fraction, terms.retry_window_us, terms.retry_floor_per_s)
        self.throttle = Throttle(terms.retry_window_us // 5, terms.accepts_factor, random)
        self.buckets: dict[str, Bucket] = {}
        self.pressures: dict[str, Pressure] = {}
        self.bookers_with_share: set[str] = set()  # with a fresh published share
        self.began_us = now_us
        self.offers = 0
        # Each report's time (ms) and the offers per second in it.
        self.reported: deque[tuple[int, float]] = deque(maxlen=REPORTS_KEPT)
        self.counts: dict[str, list[int]] = {}  # by booker: sent, accepted, refused, timed out

    # Called by the fleet's wiring.

    def pressure(
        self, booker: str, pressure: Pressure, fresh: bool, now_us: int, *, cold: bool = False
    ) -> None:
        """Apply a booker's published pressure; a stale one is split by the largest recent fleet size.

        The bucket is reset only when the limit falls by more than half. When it was reset as a member's share
        fell in a quiet moment of its own clients, forty members used six tenths of the limit.
        """
        before = self.pressures.get(booker)
        was = before.limit if before else None
        anew = pressure.limit is not None and (was is None or pressure.limit < was / 2)
        self.pressures[booker] = pressure
        (self.bookers_with_share.add if fresh else self.bookers_with_share.discard)(booker)
        size = self.size()
        offered = self._reported_offers(pressure)
        if not fresh:
            pressure, offered = Pressure(pressure.limit, 0.0, size, pressure.pressed), 0.0
        bucket = self.buckets.setdefault(booker, Bucket(now_us, self.random))
        bucket.set(pressure.share(offered, size), self.terms.period_us, now_us, anew=anew, cold=cold)

    def _reported_offers(self, pressure: Pressure) -> float:
        """Return this member's part of a published demand.

        It must be of the same period: compared with the demand of the previous one, the current calls gave
        each member of a fleet that had been idle the whole limit.
        """
        known = [offered for at_ms, offered in self.reported if at_ms <= pressure.at_ms]
        return known[-1] if known else min((offered for _, offered in self.reported), default=0.0)

    def report(self, now_us: int) -> Report:
        """Return the report since the previous one, and reset the counts."""
        took_s = max(1, now_us - self.began_us) / 1e6
        offered_per_s = self.offers / took_s
        self.reported.append((now_us // 1000, offered_per_s))
        bookers = {
            name: Traffic(*(one / took_s for one in row)) for name, row in self.counts.items() if any(row)
        }
        self.began_us, self.offers, self.counts = now_us, 0, {}
        return Report(now_us // 1000, offered_per_s, bookers)

    # Called by the core.

    def exhausted_bookers(self, offer: object, now_us: int) -> frozenset[str]:
        """Return the bookers for which no token is available."""
        period_us = self.terms.period_us
        return frozenset(name for name, one in self.buckets.items() if not one.holds(period_us, now_us))

    def admit(self, _offer: object, now_us: int) -> int | None:
        """Admit an offer (None), or reject it before any attempt, with no delay before a retry (0).

        The throttle applies only without fresh published shares, which limit sends otherwise.
        """
        self.offers += 1
        return None if self.bookers_with_share or not self.throttle.should_reject(now_us) else 0

    def try_send(self, booker: str, retry: bool, _offer: object, now_us: int) -> str:
        """Return why an attempt must not be sent, '' if it may; a retry is taken from the budget."""
        bucket = self.buckets.get(booker)
        if bucket is not None and not bucket.holds(self.terms.period_us, now_us):
            return "over_share"
        if retry:
            known = self.pressures.get(booker)
            if known is not None and known.pressed:
                return "retry_to_pressed"
            if not self.budget.retry(now_us, self.size()):
                return "retry_budget"
        else:
            self.budget.first(now_us)
        if bucket is not None and bucket.rate is not None:
            bucket.tokens -= 1
        self._count(booker, 0)
        return ""

    def cancel_send(self, booker: str, _offer: object) -> None:
        """Undo a send that was rejected elsewhere; a retry is not returned to the budget."""
        self.counts[booker][0] -= 1
        bucket = self.buckets.get(booker)
        if bucket is not None and bucket.rate is not None:
            bucket.tokens += 1

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Count an accepted attempt."""
        self._count(booker, 1)
        self.throttle.accepted(now_us)

    def attempt_refused(self, booker: str) -> None:
        """Count a refused attempt or an error."""
        self._count(booker, 2)

    def attempt_timed_out(self, booker: str) -> None:
        """Count an attempt that was not answered in time."""
        self._count(booker, 3)

    def attempt_ended(self, booker: str, _offer: object) -> None:
        """Do nothing: an attempt holds nothing here."""

    def call_ended(self, _offer: object) -> None:
        """Do nothing: an offer holds nothing here."""

    def _count(self, booker: str, what: int) -> None:
        self.counts.setdefault(booker, [0, 0, 0, 0])[what] += 1
