"""From entitlements to what may be taken now: what is lent out stands until it is released.

An entitlement below what may be held there takes effect at once, so that nothing released is taken again,
but for a tenant that would fall under its guarantee by being moved to another booker. One above it grows only
into what nobody may hold: first for tenants under their guarantee, then for those under their own share, then
for the others. So at every booker the sum of what may be held, the larger of the published amount and of what
may still be held under older ones, never passes the budget.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping, Sequence

from bitternbeam.fleet.budgets.apportionment import apportion
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.slices import Meter, chunks


class Recall:
    """One kind's amounts of a period, from what may be held at each (tenant, booker) now."""

    def __init__(self, bound: Mapping[Pair, int], capacity: Mapping[str, int]) -> None:
        self.bound = bound
        self.free = dict(capacity)  # what nobody may hold
        self.amounts: dict[Pair, int] = {}
        self.has: dict[str, int] = {}  # by tenant: what it may hold or is given
        self.growing: dict[str, dict[str, int]] = {}  # by booker: how much less a tenant has than its target

    def published(
        self, target: Mapping[Pair, int], promised: Mapping[str, int], own: Mapping[str, int], *,
        bookers: Mapping[str, Sequence[str]], meter: Meter,
    ) -> Generator[None, None, dict[Pair, int]]:  # fmt: skip
        """Return what each (tenant, booker) may hold from now on.

        promised, own: up to how much over all its bookers a tenant is served first, and second; bookers: of
        the tenants that have less than is promised.
        """
        for chunk in chunks(self.bound.items()):
            for pair, held in chunk:
                tenant, booker = pair
                if booker in self.free:
                    self.free[booker] -= held
                amount = target.get(pair, 0)
                self.amounts[pair] = amount = min(held, amount)
                self.has[tenant] = self.has.get(tenant, 0) + amount
            if meter.spent(2 * len(chunk)):
                yield
        for rows in chunks(target.items()):
            for pair, amount in rows:
                gap = amount - self.bound.get(pair, 0)
                if gap > 0:
                    self.growing.setdefault(pair[1], {})[pair[0]] = gap
            if meter.spent(2 * len(rows)):
                yield
        yield from self._hold_back(own, bookers, meter)
        yield from self._grow(promised, meter)
        yield from self._anywhere(promised, bookers, meter)
        yield from self._stay(promised, meter)
        yield from self._grow(own, meter)
        yield from self._grow(None, meter)
        return {pair: amount for pair, amount in self.amounts.items() if amount > 0}

    def _give(self, tenant: str, booker: str, amount: int) -> None:
        pair = (tenant, booker)
        self.amounts[pair] = self.amounts.get(pair, 0) + amount
        self.has[tenant] = self.has.get(tenant, 0) + amount

    def _hold_back(
        self, own: Mapping[str, int], bookers: Mapping[str, Sequence[str]], meter: Meter
    ) -> Generator[None, None, None]:
        """Let who borrows where a promise is short take nothing again of what it releases over its own share.

        Lowered to its entitlement alone, it would release ever less as it comes near.
        """
        pressed = {booker for names in bookers.values() for booker in names}
        lent: dict[str, dict[Pair, int]] = {}
        for chunk in chunks(self.amounts.items() if pressed else ()):
            for pair, amount in chunk:
                if pair[1] in pressed and pair[0] not in bookers:
                    lent.setdefault(pair[0], {})[pair] = amount
            if meter.spent(2 * len(chunk)):
                yield
        for tenant, parts in lent.items():
            over = self.has[tenant] - own.get(tenant, 0)
            if over > 0:
                for pair, less in apportion(parts, over).items():
                    self._give(*pair, -less)
            if meter.spent(6 * len(parts)):
                yield

    def _grow(self, most: Mapping[str, int] | None, meter: Meter) -> Generator[None, None, None]:
        """Give what is free at each booker to those below their target there, up to `most` in all."""
        for booker, gaps in self.growing.items():
            if self.free[booker] > 0:
                wanted = {}
                for tenant, gap in gaps.items():
                    need = gap if most is None else min(gap, most.get(tenant, 0) - self.has.get(tenant, 0))
                    if need > 0:
                        wanted[tenant] = need
                for tenant, more in apportion(wanted, self.free[booker]).items():
                    self._give(tenant, booker, more)
                    gaps[tenant] -= more
                    self.free[booker] -= more
            if meter.spent(6 * len(gaps)):
                yield

    def _anywhere(
        self, promised: Mapping[str, int], bookers: Mapping[str, Sequence[str]], meter: Meter
    ) -> Generator[None, None, None]:
        """Give what is free to those still under their promise at any of their bookers, target or not.

        What was meant for them may be held by others for long, while something else comes free sooner.
        """
        for tenant, names in bookers.items():
            for booker in names:
                short = promised[tenant] - self.has.get(tenant, 0)
                more = min(short, self.free.get(booker, 0))
                # Only what is not held there above the amount already: that is not free to be given twice.
                pair = (tenant, booker)
                if more > 0 and self.amounts.get(pair, 0) >= self.bound.get(pair, 0):
                    self._give(tenant, booker, more)
                    self.free[booker] -= more
            if meter.spent(2 * len(names)):
                yield

    def _stay(self, promised: Mapping[str, int], meter: Meter) -> Generator[None, None, None]:
        """Let nobody fall under its promise for being moved: it keeps its place until it has the new one."""
        lacking = {name for name, much in promised.items() if self.has.get(name, 0) < much}
        for chunk in chunks(self.bound.items() if lacking else ()):
            for pair, held in chunk:
                if pair[0] in lacking:
                    back = min(promised[pair[0]] - self.has.get(pair[0], 0), held - self.amounts[pair])
                    if back > 0 and self.free.get(pair[1], -1) >= 0:  # Danger: one that drains keeps nothing
                        self._give(*pair, back)
            if meter.spent(2 * len(chunk)):
                yield
