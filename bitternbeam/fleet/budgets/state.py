"""The owner of the budgets: what it is told, what it remembers, and what it publishes each period.

    keeper = BudgetController(terms, now_us)
    keeper.configure(version, tenants, budgets)        a version came; again with each new one
    keeper.resume(record's value or None, now_us)      once, when it becomes the owner
    keeper.report(member, kind, rows, now_us)          as reports come in
    plan = yield from keeper.plan(now_us, bounds)      once a period, in slices; then publish keeper.value

A new owner publishes what the record says, or without one what may be held already, until it has heard all
members or waited `rebuild_periods`; demand and holdings come from the reports alone, debts and penalties from
the record.
A plan that is left half-way changes nothing that is published: drop it when the lease is lost.
`bounds` says what may be held at each (tenant, booker) whatever is published now: the live grants of the
limits that the amounts become (fleet.limits), or what is held where it is more. Amounts stay within the
budgets as long as `bounds` tells the truth.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bitternbeam.fleet.budgets.demand import Demand
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.records import Amounts, Kept, kept_of
from bitternbeam.fleet.budgets.sides import Side
from bitternbeam.fleet.budgets.slices import Meter
from bitternbeam.fleet.budgets.solve import Sharing, sharing
from bitternbeam.fleet.budgets.terms import Budget, BudgetTerms, Kind, Tenant
from bitternbeam.fleet.budgets.warm import warmed

GAP_PERIODS = 10  # an owner that was away longer forgets debts and penalties no faster

Version = tuple[tuple[Tenant, ...], tuple[Budget, ...]]


@dataclass(slots=True)
class Plan:
    """What is published for a period, and what an operator may want to know of it."""

    amounts: dict[Kind, Amounts] = field(default_factory=dict)
    warm: Amounts = field(default_factory=dict)
    short: dict[Kind, dict[str, int]] = field(default_factory=dict)  # under their guarantee, by how much
    unknown: set[str] = field(default_factory=set)  # tenants that members named and no version knows
    rebuilt: bool = True


class BudgetController:
    """The budgets in the hands of their owner."""

    def __init__(self, terms: BudgetTerms, now_us: int) -> None:
        self.terms = terms
        self.version = ""
        self.tenants: tuple[Tenant, ...] = ()
        self.budgets: tuple[Budget, ...] = ()
        self.sides = {kind: Side(kind, terms) for kind in Kind}
        self.warm: Amounts = {}
        self.began_us = self.stepped_us = now_us
        self.expected: frozenset[str] = frozenset()
        self.rebuilt = False
        self.value: dict[str, Any] = {}  # what the record carries: as the last plan left it

    def configure(self, version: str, tenants: Sequence[Tenant], budgets: Sequence[Budget]) -> None:
        """Take a version's tenants and budgets (checked: terms.faults), or a booker that drains."""
        if (tuple(tenants), tuple(budgets)) != (self.tenants, self.budgets):
            self.tenants, self.budgets = tuple(tenants), tuple(budgets)
            for side in self.sides.values():
                side.shares = None
        self.version = version

    def resume(self, value: Any, now_us: int) -> None:
        """Begin as the owner, from the record of the one before (anything else than a record: from none)."""
        kept = kept_of(value) or Kept()
        for kind, side in self.sides.items():
            side.amounts = dict(kept.amounts.get(kind, {}))
            side.debts.balance = dict(kept.balance.get(kind, {}))
            side.damping.resume(kept.penalty.get(kind, {}))
            side.turnover.rate = dict(kept.turnover.get(kind, {}))
        self.warm = dict(kept.warm)
        self.began_us = self.stepped_us = now_us
        self.rebuilt = False

    def expect(self, members: Iterable[str]) -> None:
        """Say who is in the fleet: a new owner waits for their reports."""
        self.expected = frozenset(members)

    def report(self, member: str, kind: Kind, rows: Iterable[Demand], now_us: int) -> None:
        """Take one member's report of one kind."""
        self.sides[kind].needs.report(member, rows, now_us)

    def forget(self, member: str) -> None:
        """Count a member no more: all that it held has surely ended."""
        for side in self.sides.values():
            side.needs.forget(member)

    def _kept(self, meter: Meter) -> Generator[None, None, dict[str, Any]]:
        """Return what the record carries from now on."""
        kept = Kept(self.version, warm=self.warm)
        for kind, side in self.sides.items():
            kept.amounts[kind] = side.amounts
            kept.balance[kind] = side.debts.balance
            kept.penalty[kind] = side.damping.penalty
            kept.turnover[kind] = side.turnover.rate
        return (yield from kept.packed(meter))

    def _shares(self, side: Side, version: Version, meter: Meter) -> Generator[None, None, Sharing]:
        """Find the own shares of one kind, and keep them unless a version came meanwhile."""
        found = yield from sharing(side.kind, *version, meter)
        if version == (self.tenants, self.budgets):
            side.shares = found
        return found

    def _heard(self, now_us: int) -> bool:
        waited = now_us - self.began_us >= self.terms.rebuild_periods * self.terms.period_us
        if waited or not self.expected:
            return waited
        heard = [side.needs.heard_us for side in self.sides.values()]
        return all(one.get(name, -1) >= self.began_us for one in heard for name in self.expected)

    def plan(
        self, now_us: int, bounds: Mapping[Kind, Mapping[Pair, int]] | None = None
    ) -> Generator[None, None, Plan]:
        """Decide a period, in slices; the amounts are in force once the record is written."""
        self.rebuilt = self.rebuilt or self._heard(now_us)
        plan = Plan(rebuilt=self.rebuilt)
        if not self.rebuilt:
            before = bounds or {}
            # Without a record what may be held already is left at that: nothing grows, nobody is stopped.
            for kind, side in self.sides.items():
                side.amounts = plan.amounts[kind] = dict(side.amounts or before.get(kind, {}))
            plan.warm = dict(self.warm)
            self.value = yield from self._kept(Meter())
            return plan
        elapsed_us = max(0, min(now_us - self.stepped_us, GAP_PERIODS * self.terms.period_us))
        self.stepped_us = now_us
        meter = Meter()
        version = (self.tenants, self.budgets)
        for kind, side in self.sides.items():
            told = None if bounds is None else bounds.get(kind, {})
            shares = side.shares or (yield from self._shares(side, version, meter))
            decided = yield from side.decide(shares, told, now_us, elapsed_us=elapsed_us, meter=meter)
            plan.amounts[kind], plan.short[kind] = decided.amounts, decided.short
            plan.unknown |= decided.sums.tenants.keys() - {one.name for one in shares.tenants}
            if kind is Kind.CONNECTIONS:
                plan.warm = yield from warmed(
                    shares, decided.sums.tenants, decided.amounts,
                    short=decided.short, damped=side.damping.damped, meter=meter,
                )  # fmt: skip
        self.warm = plan.warm
        self.value = yield from self._kept(meter)
        return plan
