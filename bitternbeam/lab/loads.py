"""What the callers' and the bookers' logs say of a run under load. Pure; times are monotonic microseconds."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

S = 1_000_000
WAYS_US = 50_000  # so much later than another a process that shares cores may read what came to it


@dataclass
class Series:
    """Times of one kind of event, in order."""

    times: list[int] = field(default_factory=list)

    def count(self, from_us: int, to_us: int) -> int:
        """Return how many lie in [from, to)."""
        return bisect_left(self.times, to_us) - bisect_left(self.times, from_us)

    def rate(self, from_us: int, to_us: int) -> float:
        """Return how many a second."""
        return self.count(from_us, to_us) * S / max(1, to_us - from_us)


@dataclass
class Marks:
    """When each part of a script began."""

    at: dict[str, int] = field(default_factory=dict)


@dataclass
class Loads:
    """The events of a run by kind; arrivals by booker, repeated ones apart."""

    callers: dict[str, Series] = field(default_factory=dict)
    arrived: dict[str, Series] = field(default_factory=dict)
    retried: Series = field(default_factory=Series)
    in_vain: Series = field(default_factory=Series)
    probed: dict[str, Series] = field(default_factory=dict)

    def of(self, event: str) -> Series:
        """Return the callers' events of a kind."""
        return self.callers.get(event, Series())


def loads_of(
    callers: Iterable[dict[str, Any]], bookers: Iterable[dict[str, Any]], probes: Iterable[dict[str, Any]]
) -> Loads:
    """Read the logs; a set-up whose call came to some booker before is a repeated attempt."""
    found = Loads()
    for line in callers:
        found.callers.setdefault(line["event"], Series()).times.append(line["at_us"])
    seen: set[str] = set()
    for line in sorted(bookers, key=lambda one: int(one["at_us"])):
        if line["event"] == "arrived":
            found.arrived.setdefault(line["booker"], Series()).times.append(line["at_us"])
            if line["uid"] in seen:
                found.retried.times.append(line["at_us"])
            seen.add(line["uid"])
        elif line["event"] == "in_vain":
            found.in_vain.times.append(line["at_us"])
    for line in probes:
        if line["event"] == "probe":
            found.probed.setdefault(line["booker"], Series()).times.append(line["at_us"])
    return found


def peak(series: Series, from_us: int, to_us: int, window_us: int) -> float:
    """Return the highest rate over any window that lies in [from, to)."""
    step = window_us // 10
    starts = range(from_us, max(from_us, to_us - window_us) + 1, step)
    return max((series.rate(at, at + window_us) for at in starts), default=0.0)


def most_within(series: Series, from_us: int, to_us: int, window_us: int) -> int:
    """Return the most in any window at all that lies in [from, to)."""
    inside = series.times[bisect_left(series.times, from_us) : bisect_left(series.times, to_us)]
    first = most = 0
    for last, at in enumerate(inside):
        while inside[first] <= at - window_us:
            first += 1
        most = max(most, last - first + 1)
    return most


def stood_us(bookers: Iterable[dict[str, Any]], from_us: int, to_us: int) -> int:
    """Return for how long the bookers' process once stood still: what came meanwhile was read late."""
    stood = (one for one in bookers if one["event"] == "stood" and from_us <= one["at_us"] < to_us)
    return max((int(one["uid"]) for one in stood), default=0)


def recovery_s(good: Series, before: float, ended_us: int, until_us: int) -> float | None:
    """Return how long after a trigger's end the rate of good answers was back within 5 %, for good.

    Judged over seconds, which may be ragged by chance: the first of two in a row that are both within 5 %, or
    whose mean is. None: it did not come back in the time looked at.
    """
    at = ended_us
    while at + 2 * S <= until_us:
        if good.rate(at, at + 2 * S) >= 0.95 * before:
            return (at - ended_us) / S
        at += S // 4
    return None
