"""The settings of the detectors and the durations of verdicts, and their validation."""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.fleet.verdicts.kinds import KINDS


@dataclass(frozen=True, slots=True)
class VerdictSettings:
    """Settings of all detectors; times in milliseconds."""

    kinds: tuple[str, ...] = tuple(KINDS)
    judge_ms: int = 3_000  # span of the attempts at a booker that a member reports
    least: int = 3  # attempts that a member needs to have an opinion
    fail_share: float = 0.5  # of the attempts; not answered in time
    quorum: float = 0.5  # share of the members with an opinion
    members_least: int = 2
    eject_ms: int = 30_000
    eject_share: float = 0.5  # of the known bookers; the most ejected at once
    over_factor: float = 3.0  # demand divided by the limit
    over_ms: int = 10_000
    bar_ms: int = 60_000
    bad_ms: int = 86_400_000
    period_ms: int = 1_000

    @property
    def booker_periods(self) -> int:
        """Return how many periods a member's opinion of a booker covers, at least 1."""
        return max(1, -(-self.judge_ms // self.period_ms))

    def first_duration_ms(self, kind: str) -> int:
        """Return the duration of a first verdict of a kind."""
        return {"booker": self.eject_ms, "version": self.bad_ms}.get(kind, self.bar_ms)


DURATION_KEYS = {"eject_ms": ("booker",), "bar_ms": ("tenant", "caller"), "bad_ms": ("version",)}


def find_faults(settings: VerdictSettings) -> list[tuple[str, str]]:
    """Return the faults as (key, message); empty if the settings are valid."""
    found = []
    if not settings.kinds:
        found.append(("kinds", f"names no kind; known kinds are {', '.join(KINDS)}"))
    for name in settings.kinds:
        if name not in KINDS:
            found.append(("kinds", f"{name!r} is unknown; known kinds are {', '.join(KINDS)}"))
    if len(set(settings.kinds)) != len(settings.kinds):
        found.append(("kinds", "names a kind twice"))
    for key in ("judge_ms", "over_ms"):
        if getattr(settings, key) < settings.period_ms:
            found.append(
                (key, f"must be at least a period ({settings.period_ms} ms): reports come once a period")
            )
    for key, kinds in DURATION_KEYS.items():
        most_ms = min(KINDS[kind].max_duration_ms for kind in kinds)
        if getattr(settings, key) > most_ms:
            found.append((key, f"no verdict on a {' or '.join(kinds)} lasts longer than {most_ms} ms"))
        if getattr(settings, key) <= 2 * settings.period_ms:
            found.append(
                (key, "must be above two periods, or verdicts expire before all members receive them")
            )
    if settings.eject_ms <= settings.judge_ms:
        found.append(
            (
                "eject_ms",
                f"must be above judge_ms ({settings.judge_ms}): old attempts would lead to another ejection",
            )
        )
    if settings.over_factor < 1:
        found.append(("over_factor", "must be at least 1: demand within the limit is not barred"))
    for key in ("fail_share", "quorum", "eject_share"):
        if not 0 < getattr(settings, key) <= 1:
            found.append((key, "must be above 0 and at most 1"))
    for key in ("least", "members_least"):
        if getattr(settings, key) < 1:
            found.append((key, "must be at least 1"))
    return found
