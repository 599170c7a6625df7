"""What the settings say of tenants and budgets, and what in them cannot work.

A tenant (a practice group, a franchise) shares the bookers with others. For each kind of what is scarce,
connections and lines, it has a guaranteed part and a ceiling, whole numbers over all of its bookers
together; its weight counts for both. A budget says what one booker has of each kind, over the whole fleet.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from bitternbeam.fleet.budgets.flow import Flow
from bitternbeam.fleet.budgets.network import Network

MOST = 1_000_000  # of a booker's budget, a guarantee, a ceiling, a weight


class Kind(StrEnum):
    """What is scarce at a booker."""

    CONNECTIONS = "connections"
    LINES = "lines"


@dataclass(frozen=True, slots=True)
class Part:
    """A tenant's guaranteed part and ceiling of one kind; a ceiling of 0 is none."""

    guarantee: int = 0
    ceiling: int = 0

    @property
    def most(self) -> int:
        """Return the ceiling as a number that can be compared."""
        return self.ceiling or MOST


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: `[[fleet.tenant]]`. Without bookers it may use every one; weight 0 stands last in line."""

    name: str
    weight: float = 1.0
    lines: Part = Part()
    connections: Part = Part()
    bookers: tuple[str, ...] = ()
    idle: int = 0  # connections that it may keep warm without a call on them

    def part(self, kind: Kind) -> Part:
        """Return its part of one kind."""
        return self.lines if kind is Kind.LINES else self.connections


@dataclass(frozen=True, slots=True)
class Budget:
    """What one booker has: `[[fleet.budget]]`. One that drains gives nothing new."""

    booker: str
    connections: int
    lines: int
    draining: bool = False

    def of(self, kind: Kind) -> int:
        """Return what may be held there of one kind."""
        if self.draining:
            return 0
        return self.lines if kind is Kind.LINES else self.connections


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Times and measures of the owner's decisions; times are microseconds."""

    period_us: int = 1_000_000
    recall_periods: int = 3  # a guarantee is met within so many, five after a hand-over
    rebuild_periods: int = 2  # a new owner waits so long for the reports of all members
    stale_periods: int = 3  # what a member wanted counts no more so long after its last report
    debt_half_us: int = 60_000_000  # half of what was borrowed is forgotten after
    penalty_half_us: int = 10_000_000  # likewise of opening without use
    step: int = 4  # asked beyond twice what was used: so much is believed at once


Fault = tuple[str, int, str, str]  # table, its index, key, what is wrong


def _numbers(tenant: Tenant, index: int) -> list[Fault]:
    found: list[Fault] = []
    if not math.isfinite(tenant.weight) or not 0 <= tenant.weight <= MOST:
        found.append(("tenant", index, "weight", f"must be from 0 to {MOST}"))
    if tenant.idle < 0:
        found.append(("tenant", index, "idle", "must not be negative"))
    for kind in Kind:
        part = tenant.part(kind)
        if part.guarantee < 0 or part.guarantee > MOST:
            found.append(("tenant", index, f"{kind}.guarantee", f"must be from 0 to {MOST}"))
        if part.ceiling < 0 or part.ceiling > MOST:
            found.append(("tenant", index, f"{kind}.ceiling", f"must be from 0 (none) to {MOST}"))
        elif part.ceiling and part.ceiling < part.guarantee:
            found.append(("tenant", index, f"{kind}.ceiling", f"lies under the guarantee {part.guarantee}"))
    return found


def faults(tenants: Sequence[Tenant], budgets: Sequence[Budget]) -> list[Fault]:
    """Return what cannot work, as (table, index, key, what); empty when all is well.

    Guarantees are added one by one into a flow to the bookers; the first that finds no room is named
    (max-flow feasibility, Gale 1957): all together may pass what its bookers have.
    """
    found: list[Fault] = []
    seen: set[str] = set()
    for index, budget in enumerate(budgets):
        if budget.booker in seen:
            found.append(("budget", index, "booker", f"booker {budget.booker!r} has a budget already"))
        seen.add(budget.booker)
        for kind in Kind:
            amount = budget.lines if kind is Kind.LINES else budget.connections
            if not 0 <= amount <= MOST:
                found.append(("budget", index, str(kind), f"must be from 0 to {MOST}"))
    names: set[str] = set()
    for index, tenant in enumerate(tenants):
        if tenant.name in names or not tenant.name:
            what = f"tenant {tenant.name!r} stands there twice" if tenant.name else "no name"
            found.append(("tenant", index, "name", what))
        names.add(tenant.name)
        found += _numbers(tenant, index)
        for booker in tenant.bookers:
            if booker not in seen:
                found.append(("tenant", index, "bookers", f"booker {booker!r} has no budget"))
    return found or [one for kind in Kind for one in _beyond(tenants, budgets, kind)]


def _beyond(tenants: Sequence[Tenant], budgets: Sequence[Budget], kind: Kind) -> list[Fault]:
    """Name each guarantee that finds no room beside those before it."""
    network = Network.of(
        [one.bookers for one in tenants], {one.booker: getattr(one, kind) for one in budgets}
    )
    flow = Flow(network.allowed, network.capacity)
    found: list[Fault] = []
    for index, tenant in enumerate(tenants):
        wanted = tenant.part(kind).guarantee
        given = sum(flow.push(network.group[index], wanted))
        if given < wanted:
            what = f"{wanted} and the guarantees before it pass what its bookers have, by {wanted - given}"
            found.append(("tenant", index, f"{kind}.guarantee", what))
    return found
