"""What the members report of each tenant, summed, and how much of what is asked is believed.

A guarantee is believed at once. Beyond it a tenant is believed up to twice what it used lately and a step,
so that one that asks for ten times its need ties up at most twice of it, and one that really grows is
believed after a few periods (doubling, as in slow start, Jacobson 1988).
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.slices import Meter, chunks

LEAST = 0.5 ** (1 / 4)  # a period's decay of what was used: half after four


# Read by msgspec, as a period's reports carry some thousand rows.
Number = Annotated[int, msgspec.Meta(ge=0, lt=1_000_000_000)]


class Demand(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One tenant at one booker in one report, of one kind.

    wanted: what it would hold now (what it holds and what was turned away); released: given back since the
    last report, after use; unused: opened and given back without use; idle: of what it holds.
    """

    tenant: str
    booker: str
    wanted: Number
    held: Number
    idle: Number = 0
    released: Number = 0
    unused: Number = 0

    def counts(self) -> tuple[int, int, int, int, int]:
        """Return its numbers."""
        return (max(self.wanted, self.held), self.held, self.idle, self.released, self.unused)

    def row(self) -> list[Any]:
        """Return it as a report carries it."""
        return [self.tenant, self.booker, self.wanted, self.held, self.idle, self.released, self.unused]


def demands(rows: Any) -> list[Demand] | None:
    """Read rows; None where one of them is none."""
    try:
        found = msgspec.convert(rows, list[Demand])
    except msgspec.ValidationError:
        return None
    return None if any(one.idle > one.held for one in found) else found


Counts = tuple[int, int, int, int, int]  # wanted, held, idle, released, unused
NONE: Counts = (0, 0, 0, 0, 0)


def plus(a: Counts, b: Counts) -> Counts:
    """Return the sum of two rows."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3], a[4] + b[4])


@dataclass(frozen=True, slots=True)
class Sums:
    """All members' reports together."""

    pairs: dict[Pair, Counts]
    tenants: dict[str, Counts]
    bookers: dict[str, Counts]


class Needs:
    """All members' reports of one kind, by (tenant, booker)."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[Pair, Counts]] = {}
        self.summed: Sums | None = None  # until something changes
        self.heard_us: dict[str, int] = {}

    def report(self, member: str, rows: Iterable[Demand], now_us: int) -> None:
        """Take a member's report in place of its last one."""
        self.rows[member] = {(one.tenant, one.booker): one.counts() for one in rows}
        self.heard_us[member], self.summed = now_us, None

    def silent(self, before_us: int) -> None:
        """Count no more of what members want that were last heard before a time; what they hold stands."""
        for member, at_us in self.heard_us.items():
            if at_us < before_us and any(row[0] > row[1] or row[3] for row in self.rows[member].values()):
                kept = {pair: (row[1], row[1], row[2], 0, 0) for pair, row in self.rows[member].items()}
                self.rows[member], self.summed = kept, None

    def forget(self, member: str) -> None:
        """Count a member no more: it is gone and so is what it held."""
        self.rows.pop(member, None)
        self.heard_us.pop(member, None)
        self.summed = None

    def sums(self, meter: Meter) -> Generator[None, None, Sums]:
        """Return the sums over all members, in slices; none may report meanwhile."""
        if self.summed is None:
            pairs: dict[Pair, Counts] = {}
            for mine in list(self.rows.values()):
                for pair, row in mine.items():
                    before = pairs.get(pair)
                    pairs[pair] = row if before is None else plus(before, row)
                if meter.spent(2 * len(mine)):
                    yield
            yield
            found = Sums({pair: row for pair, row in pairs.items() if any(row)}, {}, {})
            for chunk in chunks(found.pairs.items()):
                for (tenant, booker), counts in chunk:
                    found.tenants[tenant] = plus(found.tenants.get(tenant, NONE), counts)
                    found.bookers[booker] = plus(found.bookers.get(booker, NONE), counts)
                if meter.spent(6 * len(chunk)):
                    yield
            self.summed = found
        return self.summed


class Belief:
    """How much each tenant's asking is believed, by what it used lately."""

    def __init__(self, step: int) -> None:
        self.step = step
        self.used: dict[str, float] = {}

    def believed(self, tenant: str, counts: Counts, guarantee: int, *, warm: int, damped: bool) -> int:
        """Return what counts as wanted; `warm`: idle ones that it may keep.

        damped: beyond its guarantee only such part of what it holds as it lately gave back after use.
        """
        wanted, held, idle = counts[:3]
        used = self.used[tenant] = max(held - idle, self.used.get(tenant, 0.0) * LEAST)
        if used < 0.5:
            del self.used[tenant]
        most = 2 * int(used) + self.step + warm
        if damped:
            most = (held - idle) * counts[3] // max(1, counts[3] + counts[4])
        return min(wanted, max(most, guarantee))
