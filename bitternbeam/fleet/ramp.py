"""A booker as its owner's probes show it: ready, ejected, or coming back under a growing share.

Three probes lost in a row eject it; two good ones let it come back with an eighth of its share, doubled after
each `step_us` in which no probe was lost (slow start, as Envoy's and HAProxy's slow-start windows; doubling,
since a booker's caches warm in proportion to what it serves). A lost probe meanwhile ejects it again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

EJECT_AFTER_LOST_PROBES = 3  # probes lost in a row that eject
RETURN_AFTER_GOOD_PROBES = 2  # good probes in a row that let it come back
INITIAL_SHARE = 0.125  # of its share


class Health(StrEnum):
    """What the fleet is told of a booker."""

    READY = "ready"
    RAMPING = "ramping"
    EJECTED = "ejected"


@dataclass(frozen=True, slots=True)
class BookerHealth:
    """One booker's state for the fleet: the share of its usual load that it takes, and since when."""

    health: Health = Health.READY
    share: float = 1.0
    since_ms: int = 0

    def value(self) -> dict[str, Any]:
        """Return it as a record carries it."""
        return {"health": self.health.value, "share": self.share, "since_ms": self.since_ms}


def parse_booker_health(value: dict[str, Any]) -> BookerHealth | None:
    """Read a record's value; None where it is not one."""
    health, share, since = value.get("health"), value.get("share"), value.get("since_ms")
    if health not in [one.value for one in Health] or type(since) is not int or since < 0:
        return None
    if not isinstance(share, int | float) or isinstance(share, bool) or not 0 <= share <= 1:
        return None
    return BookerHealth(Health(str(health)), float(share), since)


class Ramp:
    """One booker's probes, in the hands of its owner."""

    def __init__(self, step_us: int, state: BookerHealth | None = None) -> None:
        self.step_us = step_us
        self.state = state or BookerHealth()
        self.lost_in_row = 0
        self.good_in_row = 0
        self.last_step_us: int | None = None

    def resume(self, state: BookerHealth) -> None:
        """Go on from what the owner before published; a ramp under way stays where it was."""
        self.state, self.last_step_us = state, None
        self.lost_in_row = self.good_in_row = 0

    def booker_replaced(self, now_us: int, wall_ms: int) -> None:
        """Note that the booker was replaced: it begins with the first share."""
        self._set_state(Health.RAMPING, INITIAL_SHARE, now_us, wall_ms)

    def probe_answered(self, good: bool, now_us: int, wall_ms: int) -> bool:
        """Take the outcome of a probe; True when what the fleet is told changes."""
        self.lost_in_row = 0 if good else self.lost_in_row + 1
        self.good_in_row = self.good_in_row + 1 if good else 0
        before = self.state
        if not good:
            if before.health is not Health.EJECTED and (
                self.lost_in_row >= EJECT_AFTER_LOST_PROBES or before.health is Health.RAMPING
            ):
                self._set_state(Health.EJECTED, 0.0, now_us, wall_ms)
        elif before.health is Health.EJECTED and self.good_in_row >= RETURN_AFTER_GOOD_PROBES:
            self._set_state(Health.RAMPING, INITIAL_SHARE, now_us, wall_ms)
        elif before.health is Health.RAMPING:
            if self.last_step_us is None:
                self.last_step_us = now_us
            if now_us - self.last_step_us >= self.step_us:
                share = min(1.0, before.share * 2)
                health = Health.READY if share >= 1.0 else Health.RAMPING
                self._set_state(health, share, now_us, before.since_ms)
        return self.state != before

    def _set_state(self, health: Health, share: float, now_us: int, since_ms: int) -> None:
        self.state = BookerHealth(health, share, since_ms)
        self.last_step_us = now_us
