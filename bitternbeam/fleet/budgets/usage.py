"""A member's own count of what each tenant holds, gives back and is refused: what its reports are made of."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.budgets.demand import Demand, demands
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.terms import Kind

MOST_ROWS = 20_000  # of one kind in one report
FADES = 0.85  # a period's part of what was wanted: half after four
LEAST = 0.3  # what is less is nothing


@dataclass(slots=True)
class _Count:
    held: int = 0
    idle: int = 0
    refused: int = 0
    released: int = 0
    unused: int = 0


class Usage:
    """Counts of one kind in one member; `report` tells them and begins a new period."""

    def __init__(self) -> None:
        self.counts: dict[Pair, _Count] = {}

    def _of(self, tenant: str, booker: str) -> _Count:
        return self.counts.setdefault((tenant, booker), _Count())

    def refused(self, tenant: str, booker: str) -> None:
        """Note one that was turned away for want of a part; `booker`: the one that it would have gone to."""
        self._of(tenant, booker).refused += 1

    def opened(self, tenant: str, booker: str, idle: bool = False) -> None:
        """Note one more that is held; `idle`: a connection without a call on it yet."""
        count = self._of(tenant, booker)
        count.held += 1
        count.idle += idle

    def turned(self, tenant: str, booker: str, idle: bool) -> None:
        """Note that one connection became idle, or busy."""
        count = self._of(tenant, booker)
        count.idle = min(count.held, max(0, count.idle + (1 if idle else -1)))

    def closed(self, tenant: str, booker: str, used: bool, idle: bool = False) -> None:
        """Note that one was given back, after use or without any; `idle`: it was idle."""
        count = self._of(tenant, booker)
        count.held = max(0, count.held - 1)
        count.idle = min(count.held, max(0, count.idle - idle))
        count.released += used
        count.unused += not used

    def undone(self, tenant: str, booker: str) -> None:
        """Note that one was not opened after all: neither used nor dropped."""
        count = self._of(tenant, booker)
        count.held = max(0, count.held - 1)

    def report(self) -> list[Demand]:
        """Return what was counted, and begin anew; what is held stays."""
        rows = []
        for pair, one in list(self.counts.items()):
            if not (one.held or one.refused or one.released or one.unused):
                del self.counts[pair]
                continue
            wanted = one.held + one.refused
            rows.append(Demand(*pair, wanted, one.held, one.idle, one.released, one.unused))
            one.refused = one.released = one.unused = 0
        return rows


class Wants:
    """What each tenant wants in one member, over all bookers: the most lately, fading.

    Danger: where a member sees a call in two periods, what a single period saw would move its line about.
    """

    def __init__(self) -> None:
        self.asked: dict[str, int] = {}  # taken or refused since the last report
        self.want: dict[str, float] = {}

    def came(self, tenant: str) -> None:
        """Note a call that was let through, or found no room."""
        self.asked[tenant] = self.asked.get(tenant, 0) + 1

    def told(self, held: Mapping[str, int]) -> dict[str, float]:
        """Return what is wanted, what is held now included, and begin anew."""
        found: dict[str, float] = {}
        for name in self.asked.keys() | held.keys() | self.want.keys():
            now = self.asked.get(name, 0) + held.get(name, 0)
            want = max(float(now), round(FADES * self.want.get(name, 0.0), 2))
            if want >= LEAST:
                found[name] = want
        self.asked, self.want = {}, found
        return found


def demands_of(value: Any) -> dict[Kind, list[Demand]] | None:
    """Read what a report carries of budgets, `{"lines": [row, ...], ...}`; None where it is not that."""
    if not isinstance(value, dict):
        return None
    found: dict[Kind, list[Demand]] = {}
    for kind in Kind:
        rows = value.get(str(kind), [])
        if not isinstance(rows, list) or len(rows) > MOST_ROWS:
            return None
        read = demands(rows)
        if read is None:
            return None
        found[kind] = read
    return found
