"""A booker's health by its owner's probes: ready, ejected, or returning with a growing share (slow start).

Three lost probes in a row eject it. After two good ones it returns with an eighth of its share, doubled after
each `step_us` without a lost probe (as the slow-start windows of Envoy and HAProxy; doubled, as a booker's
caches warm in proportion to what it serves). A probe lost during the ramp ejects it again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

EJECT_AFTER_LOST_PROBES = 3  # in a row
RETURN_AFTER_GOOD_PROBES = 2  # in a row
INITIAL_SHARE = 0.125  # of its usual load


class Health(StrEnum):
    """A booker's health as published to the fleet."""

    READY = "ready"
    RAMPING = "ramping"
    EJECTED = "ejected"


@dataclass(frozen=True, slots=True)
class BookerHealth:
    """A booker's published state: its health, its share of the usual load, and since when."""

    health: Health = Health.READY
    share: float = 1.0
    since_ms: int = 0

    def value(self) -> dict[str, Any]:
        """Return the record's value."""
        return {"health": self.health.value, "share": self.share, "since_ms": self.since_ms}


def parse_booker_health(value: dict[str, Any]) -> BookerHealth | None:
    """Parse a record's value; None if it is malformed."""
    health, share, since = value.get("health"), value.get("share"), value.get("since_ms")
    if health not in [one.value for one in Health] or type(since) is not int or since < 0:
        return None
    if not isinstance(share, int | float) or isinstance(share, bool) or not 0 <= share <= 1:
        return None
    return BookerHealth(Health(str(health)), float(share), since)


class Ramp:
    """Slow start and ejection of one booker by its probes, run by its owner."""

    def __init__(self, step_us: int, state: BookerHealth | None = None) -> None:
        self.step_us = step_us
        self.state = state or BookerHealth()
        self.lost_in_row = 0
        self.good_in_row = 0
        self.last_step_us: int | None = None

    def resume(self, state: BookerHealth) -> None:
        """Continue from the previous owner's state; a ramp in progress keeps its share."""
        self.state, self.last_step_us = state, None
        self.lost_in_row = self.good_in_row = 0

    def booker_replaced(self, now_us: int, wall_ms: int) -> None:
        """Handle a replaced booker: it starts with the initial share."""
        self._set_state(Health.RAMPING, INITIAL_SHARE, now_us, wall_ms)

    def probe_answered(self, good: bool, now_us: int, wall_ms: int) -> bool:
        """Handle a probe's outcome; return whether the published state changes."""
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
