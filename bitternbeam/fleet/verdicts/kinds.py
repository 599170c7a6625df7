"""The kinds of verdicts: which way each fails when members can't hear, the reason, and its longest time.

No verdict outlives its expiry, heard or not. What differs is how a member acts while it can't hear whether
there is a verdict: `open` acts as if there were none, `shut` as if there were one.
"""

from __future__ import annotations

from dataclasses import dataclass

HOUR_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class VerdictKind:
    """One kind."""

    name: str
    failure_mode: str  # open or shut
    reason: str
    max_duration_ms: int  # no verdict lasts longer


KINDS = {
    one.name: one
    for one in (
        VerdictKind(
            "booker", "open",
            "a member's own outcomes still bar a bad booker; shut, a cut would stop all calls",
            10 * 60_000,
        ),
        VerdictKind(
            "tenant", "open",
            "its calls stay within the safe parts of its limits; shut, a cut would turn away all who pay",
            24 * HOUR_MS,
        ),
        VerdictKind(
            "caller", "open",
            "one caller does little within the safe parts; shut, a cut would turn away every caller",
            24 * HOUR_MS,
        ),
        VerdictKind(
            "version", "shut",
            "the version that runs is good already: waiting harms nobody, a bad one harms every call",
            7 * 24 * HOUR_MS,
        ),
    )
}  # fmt: skip
