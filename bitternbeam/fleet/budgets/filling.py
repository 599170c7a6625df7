"""Weighted max-min fairness among tenants with different bookers: the level of each, exactly.

What a tenant gets grows with a level (water-filling, Bertsekas and Gallager, Data Networks, 1992, 6.5): from
level -1 to 0 from its base to its floor, all by the same part; above 0 it is weight x level, at least
the floor and at most its cap. The lexicographically greatest levels that the bookers allow are found by
decomposition (Fujishige 1980, lexicographically optimal base of a polymatroid; Megiddo 1974 for flows):

    take the level at which a block of tenants would use up its bookers together; send that as a flow;
    if all of it goes through, the block stands at that level; if not, the source side of the minimum cut
    is a bottleneck: its tenants end at or below that level and fill their bookers alone, the others end
    at or above it, without those bookers. Go on with the two blocks, whose flows stand already.

At most twice as many flows as there are groups, each begun from the one before. Amounts are fixed point
(1 = ONE), rounded down, so that the flows are exact.
"""

from __future__ import annotations

import math
from collections.abc import Generator, Sequence
from dataclasses import dataclass

from bitternbeam.fleet.budgets.flow import Flow
from bitternbeam.fleet.budgets.network import Network, bits
from bitternbeam.fleet.budgets.slices import Meter

ONE = 1 << 20


@dataclass(frozen=True, slots=True)
class Claim:
    """What one tenant gets at each level: base <= floor <= cap, whole; weight above 0."""

    base: int
    floor: int
    cap: int
    weight: float

    def at(self, level: float) -> float:
        """Return the amount at a level of -1 or more."""
        if level < 0:
            return self.base + (self.floor - self.base) * (1 + level)
        if level == math.inf:
            return self.cap
        return min(self.cap, max(self.floor, self.weight * level))

    def key(self, amount: int) -> tuple[int, float]:
        """Return the level at which `amount` is reached, as (stage, level): the order of whole units."""
        if amount <= self.floor:
            return (0, (amount - self.base) / max(1, self.floor - self.base))
        return (1, amount / self.weight)


def level_of(claims: Sequence[Claim], target: int) -> float:
    """Return the level at which the claims come to `target` together; infinite if their caps stay below."""
    base = sum(one.base for one in claims)
    amount: float = sum(one.floor for one in claims)
    if target <= amount:
        return -1.0 + (target - base) / (amount - base) if amount > base else 0.0
    turns = []
    for one in claims:
        if one.cap > one.floor:
            turns += [(one.floor / one.weight, one.weight), (one.cap / one.weight, -one.weight)]
    turns.sort()
    slope = last = 0.0
    for at, change in turns:
        if slope > 0 and amount + slope * (at - last) >= target:
            return last + (target - amount) / slope
        amount += max(0.0, slope) * (at - last)
        last, slope = at, slope + change
    return math.inf


@dataclass(slots=True)
class Filled:
    """The levels found, and the flow of the groups in fixed point."""

    levels: list[float]
    flow: Flow


def fill(network: Network, claims: Sequence[Claim], meter: Meter) -> Generator[None, None, Filled]:
    """Find every tenant's level. The bases together must fit (they do when they were solved for alone)."""
    return (yield from _Filling(network, claims, meter).run())


class _Filling:
    """One decomposition: the blocks still to be filled share one flow."""

    def __init__(self, network: Network, claims: Sequence[Claim], meter: Meter) -> None:
        self.network, self.claims, self.meter = network, claims, meter
        self.members: list[list[int]] = [[] for _ in network.allowed]
        for tenant, group in enumerate(network.group):
            self.members[group].append(tenant)
        self.flow = Flow(network.allowed, [one * ONE for one in network.capacity])

    def run(self) -> Generator[None, None, Filled]:
        """Split until every block stands at one level."""
        levels = [0.0] * len(self.claims)
        blocks = [(list(range(len(self.members))), (1 << len(self.network.capacity)) - 1)]
        while blocks:
            groups, within = blocks.pop()
            level = self._level(groups, within)
            if self.meter.spent(6 * len(self.claims)):
                yield
            yield from self._send(groups, within, level)
            cut = self.flow.reached
            if cut and len(cut) < len(groups):
                closed = self.flow.closed
                blocks.append(([one for one in groups if one not in cut], within & ~closed))
                blocks.append(([one for one in groups if one in cut], within & closed))
                continue
            for group in groups:  # all cut: nothing but the rounding of the level itself
                for tenant in self.members[group]:
                    levels[tenant] = level
        return Filled(levels, self.flow)

    def _level(self, groups: Sequence[int], within: int) -> float:
        reach = 0
        for group in groups:
            reach |= self.network.allowed[group]
        room = sum(self.network.capacity[one] for one in bits(reach & within))
        return level_of([self.claims[one] for group in groups for one in self.members[group]], room)

    def _send(self, groups: Sequence[int], within: int, level: float) -> Generator[None, None, None]:
        """Make the flow of a block that of a level, as far as it goes: straight first, then by paths."""
        flow, meter, claims = self.flow, self.meter, self.claims
        flow.reopen()
        amounts = []
        for group in groups:
            amounts.append(sum(int(claims[one].at(level) * ONE) for one in self.members[group]))
            flow.trim(group, amounts[-1])
            if meter.spent(3 * len(self.members[group]) + 3):
                yield
        for group, amount in zip(groups, amounts, strict=True):
            for booker in bits(flow.allowed[group] & within & flow.open):
                if flow.total[group] >= amount:
                    break
                flow.put(group, booker, amount - flow.total[group])
                if meter.spent(3):
                    yield
        for group, amount in zip(groups, amounts, strict=True):
            if group not in flow.reached:
                for _ in flow.push(group, amount - flow.total[group], within):
                    if meter.spent(flow.work):
                        yield
                    flow.work = 0
        if meter.spent(flow.work):
            yield
        flow.work = 0
