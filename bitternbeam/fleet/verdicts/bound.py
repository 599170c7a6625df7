"""How stale a verdict can be at a member, and by when it is over for all: docs/design-limits.md."""

from __future__ import annotations

from bitternbeam.fleet.lease import DRIFT_PPM
from bitternbeam.fleet.record import MAX_CLOCK_SKEW_MS

MAX_WATCH_RETRY_MS = 2_000  # a watch that failed asks again within


def max_staleness_ms(period_ms: int, delay_ms: int = 200) -> int:
    """Return within what time of its pronouncing a member holds a verdict, links whole."""
    return period_ms + delay_ms


def recovery_ms(period_ms: int, ttl_ms: int, delay_ms: int = 200) -> int:
    """Return within what time of a heal a member holds what was pronounced meanwhile.

    A question that was lost stands for a TTL; the next one waits, and the record comes as to all.
    """
    return ttl_ms + MAX_WATCH_RETRY_MS + max_staleness_ms(period_ms, delay_ms)


def max_effect_ms(lasts_ms: int) -> int:
    """Return within what time of its pronouncing a verdict bars nobody any more, in any fault."""
    return lasts_ms + MAX_CLOCK_SKEW_MS + lasts_ms * DRIFT_PPM // 1_000_000 + 1
