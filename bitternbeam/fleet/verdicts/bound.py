"""Upper bounds on how late a verdict reaches a member and how long it has effect (docs/design-limits.md)."""

from __future__ import annotations

from bitternbeam.fleet.lease import DRIFT_PPM
from bitternbeam.fleet.record import MAX_CLOCK_SKEW_MS

MAX_WATCH_RETRY_MS = 2_000  # longest pause before a failed watch is retried


def max_staleness_ms(period_ms: int, delay_ms: int = 200) -> int:
    """Return the longest time from issuing a verdict until a member on working links holds it."""
    return period_ms + delay_ms


def recovery_ms(period_ms: int, ttl_ms: int, delay_ms: int = 200) -> int:
    """Return the longest time from the end of a link fault until a member holds verdicts issued meanwhile.

    A lost request stays open for a TTL, then the watch is retried, and the record arrives as at any member.
    """
    return ttl_ms + MAX_WATCH_RETRY_MS + max_staleness_ms(period_ms, delay_ms)


def max_effect_ms(duration_ms: int) -> int:
    """Return the longest time from issuing a verdict until it bars nobody any more, under any fault."""
    return duration_ms + MAX_CLOCK_SKEW_MS + duration_ms * DRIFT_PPM // 1_000_000 + 1
