"""What one controller may send: its shares of the bookers' limits, its retry budget and its throttle.

Beside the decision module, which chooses: what is barred here it hears of as an attempt that was not sent.
It is the core's Bounds. What goes out is within the module's own word and the published share; without a
fresh record the last limit is split by the largest fleet seen lately (errs safe).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bitternbeam.fleet.pressure import Pressure, Report, Traffic
from bitternbeam.fleet.retries import RandomSource, RetryBudget, Throttle

MIN_BURST_SENDS = 1.5  # sends kept at the least: less than two, so that no member can send twice at once
COLD_TOKEN_LIFETIME_S = 0.5  # a send to a cold booker that is not used within it lapses
REPORTS_KEPT = 4  # periods, for which what was reported is known


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """The settings of [fleet] that bound what is sent."""

    period_us: int = 1_000_000
    retry_fraction: float = 0.1
    retry_window_us: int = 10_000_000
    retry_floor_per_s: float = 2.0  # of the whole fleet
    accepts_factor: float = 2.0  # K of adaptive throttling


class Bucket:
    """A token bucket of one booker's share.

    Danger: each member of forty that had one send saved up sent it at once when a booker became cold, 40 for
    what bears 2.5 a second. Where it begins anew, a member keeps a random part of a send at the most: all
    together then begin at the rate that their shares sum to. And while a booker is cold a send that is not
    used lapses, and the next one is a send's time later: members that were all idle hold no more than LAPSE_S
    of their rates together.
    Danger: kept to one send, a small share lost what came in until a call came: forty members of a send a
    second used six tenths of what they might.
    """

    def __init__(self, now_us: int, random: RandomSource) -> None:
        self.random = random
        self.rate: float | None = None  # per second; None: no bound
        self.cold = False
        self.tokens = 1.0
        self.at_us = now_us

    def set(
        self, rate: float | None, period_us: int, now_us: int, *, anew: bool = False, cold: bool = False
    ) -> None:
        """Take a new rate; what was saved up stays, up to half a period's worth, unless it begins anew."""
        self.refill(period_us, now_us)
        if anew:
            self.tokens = min(self.tokens, self.random.random())
        self.rate, self.cold = rate, cold

    def refill(self, period_us: int, now_us: int) -> None:
        """Let tokens come in, half a period's worth at the most, or what is carried."""
        if self.rate is not None:
            self.tokens += self.rate * (now_us - self.at_us) / 1e6
            if not self.cold:
                self.tokens = min(self.tokens, max(MIN_BURST_SENDS, self.rate * period_us / 2e6))
            elif (past := self.tokens - 1 - self.rate * COLD_TOKEN_LIFETIME_S) > 0:
                self.tokens -= math.ceil(past)
        self.at_us = now_us

    def holds(self, period_us: int, now_us: int) -> bool:
        """Whether a send may go out now."""
        self.refill(period_us, now_us)
        return self.rate is None or self.tokens >= 1.0


class Bounds:
    """Shares, budget and throttle of one controller; `size` tells the largest fleet seen lately."""

    def __init__(
        self, terms: BoundSettings, size: Callable[[], int], random: RandomSource, now_us: int
    ) -> None:
        self.terms, self.size, self.random = terms, size, random
        self.budget = RetryBudget(terms.retry_fraction, terms.retry_window_us, terms.retry_floor_per_s)
        self.throttle = Throttle(terms.retry_window_us // 5, terms.accepts_factor, random)
        self.buckets: dict[str, Bucket] = {}
        self.pressures: dict[str, Pressure] = {}
        self.bookers_with_share: set[str] = set()  # bookers whose share was published lately
        self.began_us = now_us
        self.offers = 0
        # Each report's time (ms) and the offers per second in it.
        self.reported: deque[tuple[int, float]] = deque(maxlen=REPORTS_KEPT)
        self.counts: dict[str, list[int]] = {}  # by booker: sent, accepted, refused, late

    # From the fleet.

    def pressure(
        self, booker: str, pressure: Pressure, fresh: bool, now_us: int, *, cold: bool = False
    ) -> None:
        """Take a booker's published pressure; one that is no longer fresh is split by the largest fleet.

        Danger: where a member's share fell with a quiet moment of its own callers, and what it had saved up
        went with it, forty of them used six tenths of the limit. Only a limit that falls far begins anew.
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
        """Return what this member's part of a published demand was.

        Danger: set against the demand of a period before, the calls of now gave each member of a fleet that
        was idle before all of the limit.
        """
        known = [offered for at_ms, offered in self.reported if at_ms <= pressure.at_ms]
        return known[-1] if known else min((offered for _, offered in self.reported), default=0.0)

    def report(self, now_us: int) -> Report:
        """Return what was done since the last report, and begin anew."""
        took_s = max(1, now_us - self.began_us) / 1e6
        offered_per_s = self.offers / took_s
        self.reported.append((now_us // 1000, offered_per_s))
        bookers = {
            name: Traffic(*(one / took_s for one in row)) for name, row in self.counts.items() if any(row)
        }
        self.began_us, self.offers, self.counts = now_us, 0, {}
        return Report(now_us // 1000, offered_per_s, bookers)

    # From the core.

    def exhausted_bookers(self, offer: object, now_us: int) -> frozenset[str]:
        """Return the bookers whose share is used up."""
        period_us = self.terms.period_us
        return frozenset(name for name, one in self.buckets.items() if not one.holds(period_us, now_us))

    def admit(self, _offer: object, now_us: int) -> int | None:
        """Take an offer, or turn it away before any attempt, to come again when it likes.

        Where shares are published they bound what is sent; the throttle is for when nobody leads.
        """
        self.offers += 1
        return None if self.bookers_with_share or not self.throttle.should_reject(now_us) else 0

    def try_send(self, booker: str, retry: bool, _offer: object, now_us: int) -> str:
        """Return why an attempt may not go out, '' if it may; a retry takes from the budget."""
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
        """Take back a send that was barred elsewhere; a retry's place in the budget stays taken."""
        self.counts[booker][0] -= 1
        bucket = self.buckets.get(booker)
        if bucket is not None and bucket.rate is not None:
            bucket.tokens += 1

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Note an attempt that stands."""
        self._count(booker, 1)
        self.throttle.accepted(now_us)

    def attempt_refused(self, booker: str) -> None:
        """Note an attempt that was turned away, or an error."""
        self._count(booker, 2)

    def attempt_timed_out(self, booker: str) -> None:
        """Note an attempt that was not answered in time."""
        self._count(booker, 3)

    def attempt_ended(self, booker: str, _offer: object) -> None:
        """Nothing here is held by an attempt."""

    def call_ended(self, _offer: object) -> None:
        """Nothing here is held by an offer."""

    def _count(self, booker: str, what: int) -> None:
        self.counts.setdefault(booker, [0, 0, 0, 0])[what] += 1
