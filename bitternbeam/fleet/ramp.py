"""A booker as its owner's probes show it: ready, ejected, or coming back under a growing share.

Three probes lost in a row eject it; two good ones let it come back with an eighth of its share, doubled after
each `step_us` in which no probe was lost (slow start, as Envoy's and HAProxy's slow-start windows; doubling,
since a booker's caches warm in proportion to what it serves). A lost probe meanwhile ejects it again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

LOST = 3  # probes lost in a row that eject
GOOD = 2  # good probes in a row that let it come back
FIRST = 0.125  # of its share


class Health(StrEnum):
    """What the fleet is told of a booker."""

    READY = "ready"
    RAMPING = "ramping"
    EJECTED = "ejected"


@dataclass(frozen=True, slots=True)
class Told:
    """One booker's state for the fleet: the share of its usual load that it takes, and since when."""

    health: Health = Health.READY
    share: float = 1.0
    since_ms: int = 0

    def value(self) -> dict[str, Any]:
        """Return it as a record carries it."""
        return {"health": self.health.value, "share": self.share, "since_ms": self.since_ms}


def told_of(value: dict[str, Any]) -> Told | None:
    """Read a record's value; None where it is not one."""
    health, share, since = value.get("health"), value.get("share"), value.get("since_ms")
    if health not in [one.value for one in Health] or type(since) is not int or since < 0:
        return None
    if not isinstance(share, int | float) or isinstance(share, bool) or not 0 <= share <= 1:
        return None
    return Told(Health(str(health)), float(share), since)


class Ramp:
    """One booker's probes, in the hands of its owner."""

    def __init__(self, step_us: int, told: Told | None = None) -> None:
        self.step_us = step_us
        self.told = told or Told()
        self.lost_in_row = 0
        self.good_in_row = 0
        self.stepped_us: int | None = None

    def resume(self, told: Told) -> None:
        """Go on from what the owner before published; a ramp under way stays where it was."""
        self.told, self.stepped_us = told, None
        self.lost_in_row = self.good_in_row = 0

    def cold(self, now_us: int, wall_ms: int) -> None:
        """Note that the booker was replaced: it begins with the first share."""
        self._become(Health.RAMPING, FIRST, now_us, wall_ms)

    def probed(self, good: bool, now_us: int, wall_ms: int) -> bool:
        """Take the outcome of a probe; True when what the fleet is told changes."""
        self.lost_in_row = 0 if good else self.lost_in_row + 1
        self.good_in_row = self.good_in_row + 1 if good else 0
        before = self.told
        if not good:
            if before.health is not Health.EJECTED and (
                self.lost_in_row >= LOST or before.health is Health.RAMPING
            ):
                self._become(Health.EJECTED, 0.0, now_us, wall_ms)
        elif before.health is Health.EJECTED and self.good_in_row >= GOOD:
            self._become(Health.RAMPING, FIRST, now_us, wall_ms)
        elif before.health is Health.RAMPING:
            if self.stepped_us is None:
                self.stepped_us = now_us
            if now_us - self.stepped_us >= self.step_us:
                share = min(1.0, before.share * 2)
                health = Health.READY if share >= 1.0 else Health.RAMPING
                self._become(health, share, now_us, before.since_ms)
        return self.told != before

    def _become(self, health: Health, share: float, now_us: int, since_ms: int) -> None:
        self.told = Told(health, share, since_ms)
        self.stepped_us = now_us
