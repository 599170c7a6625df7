"""When members judge, and for how long a verdict lasts: the terms, and what in them contradicts."""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.fleet.verdicts.kinds import KINDS


@dataclass(frozen=True, slots=True)
class VerdictSettings:
    """Terms of all judges; times in milliseconds."""

    kinds: tuple[str, ...] = tuple(KINDS)
    judge_ms: int = 3_000  # a member tells of a booker's attempts of so long
    least: int = 3  # attempts, or a member has no opinion
    fail_share: float = 0.5  # of them not answered in time
    quorum: float = 0.5  # share of the members with an opinion
    members_least: int = 2
    eject_ms: int = 30_000
    eject_share: float = 0.5  # of the bookers known, ejected at once
    over_factor: float = 3.0  # demand to the limit
    over_ms: int = 10_000
    bar_ms: int = 60_000
    bad_ms: int = 86_400_000
    period_ms: int = 1_000

    @property
    def booker_periods(self) -> int:
        """Return how many periods a member's opinion of a booker covers."""
        return max(1, -(-self.judge_ms // self.period_ms))

    def first_duration_ms(self, kind: str) -> int:
        """Return for how long a first verdict of a kind lasts."""
        return {"booker": self.eject_ms, "version": self.bad_ms}.get(kind, self.bar_ms)


DURATION_KEYS = {"eject_ms": ("booker",), "bar_ms": ("tenant", "caller"), "bad_ms": ("version",)}


def find_faults(terms: VerdictSettings) -> list[tuple[str, str]]:
    """Return what cannot work, as (key, message)."""
    found = []
    if not terms.kinds:
        found.append(("kinds", f"names no kind; known are {', '.join(KINDS)}"))
    for name in terms.kinds:
        if name not in KINDS:
            found.append(("kinds", f"{name!r} is not known; known are {', '.join(KINDS)}"))
    if len(set(terms.kinds)) != len(terms.kinds):
        found.append(("kinds", "names a kind twice"))
    for key in ("judge_ms", "over_ms"):
        if getattr(terms, key) < terms.period_ms:
            found.append(
                (key, f"must be at least a period ({terms.period_ms} ms): reports come once a period")
            )
    for key, kinds in DURATION_KEYS.items():
        most_ms = min(KINDS[kind].max_duration_ms for kind in kinds)
        if getattr(terms, key) > most_ms:
            found.append((key, f"no verdict on a {' or '.join(kinds)} lasts longer than {most_ms} ms"))
        if getattr(terms, key) <= 2 * terms.period_ms:
            found.append((key, "must be above two periods, or it is over before all have heard"))
    if terms.eject_ms <= terms.judge_ms:
        found.append(
            ("eject_ms", f"must be above judge_ms ({terms.judge_ms}): old attempts would eject anew")
        )
    if terms.over_factor < 1:
        found.append(("over_factor", "must be at least 1: below its limit nobody is barred"))
    for key in ("fail_share", "quorum", "eject_share"):
        if not 0 < getattr(terms, key) <= 1:
            found.append((key, "must be above 0 and at most 1"))
    for key in ("least", "members_least"):
        if getattr(terms, key) < 1:
            found.append((key, "must be at least 1"))
    return found
