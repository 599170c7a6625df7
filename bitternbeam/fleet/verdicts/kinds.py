"""The kinds of verdicts: each one's failure mode, the reason for it, and its longest duration.

Every verdict ends at its expiry, with or without a connection. The failure mode says how a member acts while
it receives no records: `open` (fail open) as if there were no verdict, `shut` (fail closed) as if there were.
"""

from __future__ import annotations

from dataclasses import dataclass

HOUR_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class VerdictKind:
    """A kind of verdicts."""

    name: str
    failure_mode: str  # open or shut
    reason: str
    max_duration_ms: int  # verdicts are limited to it


KINDS = {
    kind.name: kind
    for kind in (
        VerdictKind(
            "booker", "open",
            "members still avoid bad bookers by their own results; failing shut would stop all calls",
            10 * 60_000,
        ),
        VerdictKind(
            "tenant", "open",
            "its calls stay within the safe parts of its limits; failing shut would refuse every tenant",
            24 * HOUR_MS,
        ),
        VerdictKind(
            "caller", "open",
            "the safe parts limit what one caller can do; failing shut would refuse every caller",
            24 * HOUR_MS,
        ),
        VerdictKind(
            "version", "shut",
            "the running version is good, so waiting does no harm, while a bad version harms every call",
            7 * 24 * HOUR_MS,
        ),
    )
}  # fmt: skip
