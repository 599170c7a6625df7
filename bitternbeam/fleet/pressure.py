"""A booker's load as the whole fleet sees it, and what part of it each member may send.

Each member reports what it was offered and, for each booker, what it sent and what became of it. The owner
of a booker sums the reports and moves the fleet's limit for it once a period: pressed (more than 4 % of what
was sent was turned away or not answered in time), the limit falls to what the booker took, by half at the
most; unpressed, it grows while it is used: doubling far below what the booker last bore, then by a quarter,
and by 3 and soon 5.5 % around and above it (slow start and congestion avoidance, Jacobson 1988, on rates in
place of windows). 4 % unnoticed and 5.5 % of growth stay within the tenth by which it may be overloaded.

A member's share of the limit follows its demand, so that skewed traffic wastes no room; a tenth is split
evenly, so that a quiet member may send at once. Rates are per second, times microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

PRESSED_BAD_SHARE = 0.04  # of sends: from this share refused or unanswered on, a booker is pressed
MIN_USED_SHARE = 0.7  # of the limit: below it the limit does not grow
EVENLY_SPLIT_SHARE = 0.1  # of the limit: split evenly among the members
MIN_LIMIT_SHARE = 0.25  # of the capacity: a limit below it would take far too long to recover
MIN_LIMIT_PER_S = 1.0
STALLED_SHARE = 0.2  # of the capacity: a pressed booker that accepts less has stalled
SLOW_GROWTH = 1.03  # per period, around the capacity
FAST_GROWTH = 1.055  # per period, after SLOW_PERIODS without pressure
SLOW_PERIODS = 2
CAPACITY_HISTORY_PERIODS = 4
CALM_PERIODS = 60  # a limit that is unpressed and hardly used for so many periods is lifted


@dataclass(frozen=True, slots=True)
class Traffic:
    """What one member, or all, did at one booker in the last period, per second."""

    sent: float = 0.0
    accepted: float = 0.0
    refused: float = 0.0  # turned away, or an error
    late: float = 0.0  # not answered in time

    def row(self) -> list[float]:
        """Return it as a report carries it."""
        return [round(one, 3) for one in (self.sent, self.accepted, self.refused, self.late)]

    def plus(self, other: Traffic) -> Traffic:
        """Return the sum."""
        return Traffic(
            self.sent + other.sent, self.accepted + other.accepted,
            self.refused + other.refused, self.late + other.late,
        )  # fmt: skip

    @property
    def pressed(self) -> bool:
        """Whether it shows a booker that can't keep up."""
        bad = self.refused + self.late
        return bad > PRESSED_BAD_SHARE * max(bad + self.accepted, MIN_LIMIT_PER_S)


@dataclass(frozen=True, slots=True)
class Report:
    """One member's report: what it was offered, and its traffic by booker."""

    at_ms: int
    offered: float
    bookers: Mapping[str, Traffic]

    def value(self) -> dict[str, Any]:
        """Return it as it is stored."""
        rows = {name: one.row() for name, one in sorted(self.bookers.items())}
        return {"at_ms": self.at_ms, "offered": round(self.offered, 3), "bookers": rows}


def _is_rate(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e9


def parse_report(value: Any) -> Report | None:
    """Read a report; None where it is not one."""
    if not isinstance(value, dict):
        return None
    at_ms, offered, rows = value.get("at_ms"), value.get("offered"), value.get("bookers")
    if type(at_ms) is not int or at_ms < 0 or not _is_rate(offered) or not isinstance(rows, dict):
        return None
    bookers = {}
    for name, row in rows.items():
        if not isinstance(row, list) or len(row) != 4 or not all(_is_rate(one) for one in row):
            return None
        bookers[str(name)] = Traffic(*(float(one) for one in row))
    return Report(at_ms, float(offered or 0), bookers)


@dataclass(frozen=True, slots=True)
class Pressure:
    """What a booker's owner publishes: the fleet's limit and the demand it is split by."""

    limit: float | None = None  # sends a second from all members; None: none is needed
    demand: float = 0.0  # offered to all members a second
    members: int = 1
    pressed: bool = False
    at_ms: int = 0  # of the newest report that was summed; each member's of that period is a part of it
    bore: float = 0.0  # what the booker took when it was last pressed and serving; 0: not known

    def value(self) -> dict[str, Any]:
        """Return it as a record carries it."""
        limit = None if self.limit is None else round(self.limit, 3)
        return {
            "limit": limit, "demand": round(self.demand, 3), "members": self.members,
            "pressed": self.pressed, "at_ms": self.at_ms, "bore": round(self.bore, 3),
        }  # fmt: skip

    def within(self, limit: float) -> Pressure:
        """Return it with no more than that limit, per second."""
        return replace(self, limit=limit if self.limit is None else min(self.limit, limit))

    def share(self, offered: float, size: int) -> float | None:
        """Return what one member with that demand may send a second, in a fleet of at least `size`.

        Demands that are not known are taken for even; a fleet larger than the owner saw lessens each share.
        """
        if self.limit is None:
            return None
        members = max(self.members, size, 1)
        part = offered / max(self.demand, offered) if self.demand > 0 and offered > 0 else 0.0
        if self.demand <= 0:
            part = 1 / members
        lessened = self.members / members  # of the demand-led part too: the others' demand is not known
        return self.limit * (EVENLY_SPLIT_SHARE / members + (1 - EVENLY_SPLIT_SHARE) * part * lessened)


def parse_pressure(value: Any) -> Pressure | None:
    """Read a pressure; None where it is not one."""
    if not isinstance(value, dict):
        return None
    limit, demand = value.get("limit"), value.get("demand")
    members, pressed, at_ms = value.get("members"), value.get("pressed"), value.get("at_ms", 0)
    if limit is not None and not _is_rate(limit):
        return None
    if not _is_rate(demand) or type(members) is not int or members < 1 or not isinstance(pressed, bool):
        return None
    bore = value.get("bore", 0.0)
    if type(at_ms) is not int or at_ms < 0 or not _is_rate(bore):
        return None
    limit = None if limit is None else float(limit)
    return Pressure(limit, float(demand or 0), members, pressed, at_ms, float(bore))


class LimitController:
    """The fleet's limit for one booker, in the hands of its owner; moved once a period."""

    def __init__(self) -> None:
        self.limit: float | None = None
        self.capacity = 0.0  # what the booker took when it was last pressed and serving
        self.idle_periods = 0  # periods hardly used
        self.unpressed_periods = 0  # periods in a row that were used and not pressed
        self.capacity_history: deque[float] = deque(maxlen=CAPACITY_HISTORY_PERIODS)
        self.was_cold_unpressed = False  # in the last period it was cold, and took what it was sent

    def resume(self, pressure: Pressure) -> None:
        """Go on from what the owner before published.

        Danger: taken from the limit, what a booker bears was an eighth where a cold one changed owners, and
        the parts of its ramp eighths of that; and the most of all limits seen where it never was cold.
        """
        self.limit, self.capacity = pressure.limit, pressure.bore or max(self.capacity, pressure.limit or 0.0)
        self.idle_periods = self.unpressed_periods = 0

    def restore_capacity(self) -> None:
        """Take back what it bore some periods ago: since then it was another booker than was thought."""
        self.capacity = max(self.capacity, *self.capacity_history, 0.0)

    def step(self, traffic: Traffic, *, cold: bool = False) -> bool:
        """Move the limit by a period's traffic of the whole fleet; returns whether the booker is pressed.

        Danger: what a cold booker took, taken for what it bears, made its parts eighths of an eighth.
        """
        self.capacity_history.append(self.capacity)
        # Danger: two periods' traffic told in one was taken for what it bears, and a cold one got too much.
        accepted = traffic.accepted if self.limit is None else min(traffic.accepted, self.limit)
        warm, self.was_cold_unpressed = self.was_cold_unpressed and not cold, cold and not traffic.pressed
        if traffic.pressed:
            self._lower(traffic, accepted, cold)
            return True
        if self.limit is None:
            return False
        if warm:
            # Danger: what it turned away while it was cold and nobody knew had halved the limit. Warm, it got
            # half of what it bears, and as long as that was not used up it stayed so.
            self.limit = max(self.limit, 0.9 * self.capacity)
        if traffic.sent < MIN_USED_SHARE * self.limit:
            self.unpressed_periods = 0
            self.idle_periods += 1
            if self.idle_periods >= CALM_PERIODS:
                self.limit = None
            return False
        self.limit = self._raised(self.limit, accepted)
        return False

    def _lower(self, traffic: Traffic, accepted: float, cold: bool) -> None:
        """Lower the limit of a booker that is pressed."""
        self.idle_periods = self.unpressed_periods = 0
        # Danger: one late call where little was sent, as members had stood still, halved the limit
        # thrice, and what it took then passed for what it bears: 20 s till it was back. There it falls by
        # the part that was bad (as DCTCP does, Alizadeh et al. 2010); else to what was taken.
        part = 0.0
        if self.limit is not None and traffic.sent < MIN_USED_SHARE * self.limit:
            part = traffic.accepted / (traffic.accepted + traffic.refused + traffic.late)
        # One that takes a good part has a new capacity; one that takes next to nothing has stalled, and
        # what it bore before is where it is soon taken back to.
        if accepted >= STALLED_SHARE * self.capacity and not cold:
            self.capacity = max(accepted, part * self.capacity)
        least = max(MIN_LIMIT_PER_S, MIN_LIMIT_SHARE * self.capacity)
        self.limit = max(accepted, least, max(0.5, part) * (self.limit or 0.0))

    def _raised(self, limit: float, accepted: float) -> float:
        """Return the limit after a period in which it was used up and the booker was not pressed."""
        self.idle_periods = 0
        self.unpressed_periods += 1
        # Danger: kept at what it took while it was halved, the way back after a later stall began from there.
        self.capacity = max(self.capacity, accepted)
        if limit < 0.5 * self.capacity:
            return min(2 * limit, 0.9 * self.capacity)
        if limit < 0.9 * self.capacity:
            return min(1.25 * limit, 0.95 * self.capacity)
        return limit * (SLOW_GROWTH if self.unpressed_periods <= SLOW_PERIODS else FAST_GROWTH)


def cold_limit(share: float, capacity: float, other_rates: Iterable[float]) -> float:
    """Return what the whole fleet may send a booker that comes back, `share` of its usual load.

    What is usual is what it bore when it was last pressed; for one never pressed, what the others take now.
    """
    taken = [one for one in other_rates if one > 0]
    usual = capacity or (sum(taken) / len(taken) if taken else 0.0)
    return max(MIN_LIMIT_PER_S, share * usual)


def sum_reports(reports: Iterable[Report], booker: str) -> tuple[Traffic, float]:
    """Return the fleet's traffic at one booker and the demand on all members."""
    traffic, demand = Traffic(), 0.0
    for one in reports:
        demand += one.offered
        traffic = traffic.plus(one.bookers.get(booker, Traffic()))
    return traffic, demand
