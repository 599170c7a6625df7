"""A booker's load summed over the fleet, the fleet's limit for it, and each member's share of that limit.

Each member reports its offered calls and, for each booker, its sends and their results. The owner of a booker
sums the reports and updates the fleet's limit for it once a period. If the booker is pressed (more than 4 %
of the sends were refused or not answered in time), the limit falls to what was accepted, by half at most.
Otherwise it grows while it is used: doubling far below the booker's last capacity, then by a quarter, then by
3 and soon 5.5 % around and above it (slow start and congestion avoidance, Jacobson 1988, on rates instead of
windows). An undetected 4 % and 5.5 % of growth stay within the tenth by which a booker may be overloaded.

A member's share of the limit follows its demand, so that skewed traffic leaves nothing unused; a tenth is
split evenly, so that a quiet member may send at once. Rates are per second, times microseconds.
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
    """The traffic of one member, or of all, to one booker in the last period, per second."""

    sent: float = 0.0
    accepted: float = 0.0
    refused: float = 0.0  # refused, or an error
    late: float = 0.0  # not answered in time

    def row(self) -> list[float]:
        """Return it as a row of a report."""
        return [round(one, 3) for one in (self.sent, self.accepted, self.refused, self.late)]

    def plus(self, other: Traffic) -> Traffic:
        """Return the sum."""
        return Traffic(
            self.sent + other.sent, self.accepted + other.accepted,
            self.refused + other.refused, self.late + other.late,
        )  # fmt: skip

    @property
    def pressed(self) -> bool:
        """Return whether the booker is overloaded."""
        bad = self.refused + self.late
        return bad > PRESSED_BAD_SHARE * max(bad + self.accepted, MIN_LIMIT_PER_S)


@dataclass(frozen=True, slots=True)
class Report:
    """One member's report: its offered calls per second, and its traffic by booker."""

    at_ms: int
    offered: float
    bookers: Mapping[str, Traffic]

    def value(self) -> dict[str, Any]:
        """Return the stored form."""
        rows = {name: one.row() for name, one in sorted(self.bookers.items())}
        return {"at_ms": self.at_ms, "offered": round(self.offered, 3), "bookers": rows}


def _is_rate(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e9


def parse_report(value: Any) -> Report | None:
    """Parse a report; None if it is malformed."""
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
    """The state that a booker's owner publishes: the fleet's limit and the demand by which it is split."""

    limit: float | None = None  # sends per second of all members; None: no limit
    demand: float = 0.0  # calls per second offered to all members
    members: int = 1
    pressed: bool = False
    at_ms: int = 0  # time of the latest report in the sum; it includes the reports of that period
    bore: float = 0.0  # capacity: accepted per second when last pressed and not stalled; 0: not known

    def value(self) -> dict[str, Any]:
        """Return the record's value."""
        limit = None if self.limit is None else round(self.limit, 3)
        return {
            "limit": limit, "demand": round(self.demand, 3), "members": self.members,
            "pressed": self.pressed, "at_ms": self.at_ms, "bore": round(self.bore, 3),
        }  # fmt: skip

    def within(self, limit: float) -> Pressure:
        """Return a copy whose limit is at most `limit` per second."""
        return replace(self, limit=limit if self.limit is None else min(self.limit, limit))

    def share(self, offered: float, size: int) -> float | None:
        """Return how much a member with `offered` calls a second may send, in a fleet of at least `size`.

        Unknown demands are assumed to be equal; a fleet larger than the owner saw makes shares smaller.
        """
        if self.limit is None:
            return None
        members = max(self.members, size, 1)
        part = offered / max(self.demand, offered) if self.demand > 0 and offered > 0 else 0.0
        if self.demand <= 0:
            part = 1 / members
        lessened = (
            self.members / members
        )  # also for the part by demand, as the additional members' demand is unknown
        return self.limit * (EVENLY_SPLIT_SHARE / members + (1 - EVENLY_SPLIT_SHARE) * part * lessened)


def parse_pressure(value: Any) -> Pressure | None:
    """Parse a pressure; None if it is malformed."""
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
    """Computes the fleet's limit for one booker, once a period; run by the booker's owner."""

    def __init__(self) -> None:
        self.limit: float | None = None
        self.capacity = 0.0  # accepted per second when last pressed and not stalled
        self.idle_periods = 0  # periods with little use of the limit
        self.unpressed_periods = 0  # in a row, with the limit in use
        self.capacity_history: deque[float] = deque(maxlen=CAPACITY_HISTORY_PERIODS)
        self.was_cold_unpressed = False  # the last period: cold, and not pressed

    def resume(self, pressure: Pressure) -> None:
        """Continue from what the previous owner published.

        The published capacity is used, not the limit: when a cold booker changed owners, its limit was an
        eighth of the capacity and its slow start took eighths of that. Without a cold phase, the highest
        limit seen became the capacity.
        """
        self.limit, self.capacity = pressure.limit, pressure.bore or max(self.capacity, pressure.limit or 0.0)
        self.idle_periods = self.unpressed_periods = 0

    def restore_capacity(self) -> None:
        """Restore the highest recent capacity: the booker had been replaced in the meantime."""
        self.capacity = max(self.capacity, *self.capacity_history, 0.0)

    def step(self, traffic: Traffic, *, cold: bool = False) -> bool:
        """Update the limit from the whole fleet's traffic of a period; return whether the booker is pressed.

        A cold booker's accepted traffic is no capacity: slow start would take eighths of an eighth.
        """
        self.capacity_history.append(self.capacity)
        # Capped: two periods' traffic in one report would overstate the capacity of a cold booker.
        accepted = traffic.accepted if self.limit is None else min(traffic.accepted, self.limit)
        warm, self.was_cold_unpressed = self.was_cold_unpressed and not cold, cold and not traffic.pressed
        if traffic.pressed:
            self._lower(traffic, accepted, cold)
            return True
        if self.limit is None:
            return False
        if warm:
            # Refusals while the booker was cold, before that was known, have halved the limit. A limit not
            # used up does not grow, so the warm booker would stay at half of its capacity.
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
        # With little traffic, after members had been paused, one late call halved the limit three times and
        # the little that was accepted became the capacity: recovery took 20 s. There the limit falls by
        # the bad part (as in DCTCP, Alizadeh et al. 2010); otherwise to what was accepted.
        part = 0.0
        if self.limit is not None and traffic.sent < MIN_USED_SHARE * self.limit:
            part = traffic.accepted / (traffic.accepted + traffic.refused + traffic.late)
        # A booker that still accepts a good part has a new capacity. One that accepts next to nothing has
        # stalled: its former capacity is kept, so that the limit soon returns to it.
        if accepted >= STALLED_SHARE * self.capacity and not cold:
            self.capacity = max(accepted, part * self.capacity)
        least = max(MIN_LIMIT_PER_S, MIN_LIMIT_SHARE * self.capacity)
        self.limit = max(accepted, least, max(0.5, part) * (self.limit or 0.0))

    def _raised(self, limit: float, accepted: float) -> float:
        """Return the limit after a period in which it was in use and the booker was not pressed."""
        self.idle_periods = 0
        self.unpressed_periods += 1
        # Raised again after a reduction: else recovery from a later stall starts at the reduced capacity.
        self.capacity = max(self.capacity, accepted)
        if limit < 0.5 * self.capacity:
            return min(2 * limit, 0.9 * self.capacity)
        if limit < 0.9 * self.capacity:
            return min(1.25 * limit, 0.95 * self.capacity)
        return limit * (SLOW_GROWTH if self.unpressed_periods <= SLOW_PERIODS else FAST_GROWTH)


def cold_limit(share: float, capacity: float, other_rates: Iterable[float]) -> float:
    """Return how much the whole fleet may send per second to a returning booker: `share` of its usual load.

    The usual load is its capacity; for a booker that was never pressed, the mean that the others accept now.
    """
    taken = [one for one in other_rates if one > 0]
    usual = capacity or (sum(taken) / len(taken) if taken else 0.0)
    return max(MIN_LIMIT_PER_S, share * usual)


def sum_reports(reports: Iterable[Report], booker: str) -> tuple[Traffic, float]:
    """Return the fleet's traffic to one booker and the demand on all members."""
    traffic, demand = Traffic(), 0.0
    for one in reports:
        demand += one.offered
        traffic = traffic.plus(one.bookers.get(booker, Traffic()))
    return traffic, demand
