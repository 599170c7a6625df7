"""Forty simulated members that hold connections by the owner's record, judged by what they really hold.

Stands in for the limits that the amounts become: a member may hold what the newest record that it heard
grants it; the owner counts what older records may still let it hold until the member says what it heard.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from bitternbeam.fleet.budgets.apportionment import apportion
from bitternbeam.fleet.budgets.demand import Demand
from bitternbeam.fleet.budgets.slices import whole
from bitternbeam.fleet.budgets.state import BudgetController
from bitternbeam.fleet.budgets.terms import Budget, BudgetTerms, Kind, Tenant
from bitternbeam.fleet.record import Publication, RecordReader, Write, parse_record
from bitternbeam.fleet.tokens import Token

S = 1_000_000
Pair = tuple[str, str]
Grants = dict[Pair, dict[str, int]]


def rows_of(grants: Grants) -> list[Any]:
    return [[*pair, parts] for pair, parts in grants.items()]


def grants_of(rows: list[Any]) -> Grants:
    return {(tenant, booker): dict(parts) for tenant, booker, parts in rows}


class Engine:
    """One key with check-and-set."""

    def __init__(self) -> None:
        self.index, self.text = 0, ""

    def put(self, write: Write) -> bool:
        if write.cas != self.index:
            return False
        self.index, self.text = self.index + 1, write.record.text()
        return True


class Member:
    """One controller: what it holds of each (tenant, booker), within what it heard."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.follower = RecordReader(1000 * S)
        self.held: dict[Pair, int] = {}
        self.counts: dict[Pair, list[int]] = {}  # refused, released, unused
        self.version = 0
        self.paused = False

    def grants(self) -> dict[Pair, int]:
        record = self.follower.record
        if record is None:
            return {}
        return {(t, b): parts.get(self.name, 0) for t, b, parts in record.value["grants"]}

    def hear(self, engine: Engine, now: int) -> None:
        if engine.text and not self.paused:
            self.follower.read(engine.text, now * S, now * 1000)
            assert self.follower.record is not None
            self.version = self.follower.record.value["version"]


class Owner:
    """The keeper, and what the limits would do: parts by member, and what older ones may still let hold."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.token = fleet, Token(number, f"owner-{number}")
        self.keeper = BudgetController(BudgetTerms(), fleet.now * S)
        self.publication = Publication(S)
        record = parse_record(fleet.engine.text)
        value = record.value if record else {"budgets": None, "live": [], "version": 0}
        self.keeper.resume(value["budgets"], fleet.now * S)
        self.keeper.expect(one.name for one in fleet.members)
        self.live = grants_of(value["live"])
        self.version: int = value["version"]

    def step(self) -> Write:
        fleet, now = self.fleet, self.fleet.now
        self.publication.record_read(fleet.engine.index, fleet.engine.text or None)
        last = parse_record(fleet.engine.text)
        granted = grants_of(last.value["grants"]) if last else {}
        self.keeper.configure("1", fleet.tenants, fleet.budgets)
        held: Grants = {}
        wish: Grants = {}
        for name, (version, rows) in fleet.reports.items():
            self.keeper.report(name, Kind.LINES, rows, now * S)
            self.keeper.report(name, Kind.CONNECTIONS, [], now * S)
            for row in rows:
                held.setdefault((row.tenant, row.booker), {})[name] = row.held
                wish.setdefault((row.tenant, row.booker), {})[name] = row.wanted
            if version == self.version:  # it goes by the newest: older ones are over
                for pair in self.live:
                    self.live[pair][name] = granted.get(pair, {}).get(name, 0)
        most: Grants = {}
        for table in (self.live, held):
            for pair, parts in table.items():
                mine = most.setdefault(pair, {})
                for name, amount in parts.items():
                    mine[name] = max(mine.get(name, 0), amount)
        bound = {pair: sum(parts.values()) for pair, parts in most.items()}
        self.plan = whole(self.keeper.plan(now * S, {Kind.LINES: bound, Kind.CONNECTIONS: {}}))
        amounts = self.plan.amounts.get(Kind.LINES, {})
        grants: Grants = {}
        names = [one.name for one in fleet.members]
        for pair, amount in amounts.items():
            mine = most.get(pair, {})
            base = {n: min(mine.get(n, 0), wish.get(pair, {}).get(n, 0)) for n in names}
            parts = apportion(base, min(amount, sum(base.values())))
            extra = apportion(dict.fromkeys(names, amount), max(0, amount - sum(mine.values())))
            grants[pair] = {n: parts[n] + extra[n] for n in names if parts[n] + extra[n]}
            # What is not asked for stays where it is, if the amount allows.
            spare = {n: mine.get(n, 0) - base[n] for n in names}
            for n, more in apportion(
                spare, max(0, min(amount - sum(grants[pair].values()), sum(spare.values())))
            ).items():
                if more:
                    grants[pair][n] = grants[pair].get(n, 0) + more
        self.version += 1
        for pair, parts in grants.items():
            mine = self.live.setdefault(pair, {})
            for name, amount in parts.items():
                mine[name] = max(mine.get(name, 0), amount)
        value = {
            "budgets": self.keeper.value,
            "grants": rows_of(grants),
            "live": rows_of(self.live),
            "version": self.version,
        }
        write = self.publication.write(self.token, value, now * S, now * 1000)
        assert isinstance(write, Write)
        return write


class Fleet:
    """Members, an engine and the owners; `want` says how many lines a tenant would use in a period."""

    def __init__(
        self,
        tenants: list[Tenant],
        budgets: list[Budget],
        want: Callable[[str, int], int],
        hold: int,
        seed: int,
    ) -> None:
        self.tenants, self.budgets, self.want, self.hold = tenants, budgets, want, hold
        self.random = Random(seed)
        self.engine = Engine()
        self.members = [Member(f"m{one:02}") for one in range(40)]
        self.reports: dict[str, tuple[int, list[Demand]]] = {}
        self.now = self.drained = 0
        self.number = 1
        self.owner: Owner | None = Owner(self, 1)
        self.boast: set[str] = set()  # these say that they want ten times as much
        self.droppers: set[str] = set()  # these give all back after a period, without use
        self.held: list[dict[str, int]] = []
        self.at_booker: list[dict[str, int]] = []

    def kill(self) -> None:
        self.owner = None

    def drain(self, booker: str) -> None:
        self.drained = self.now
        self.budgets = [replace(one, draining=one.draining or one.booker == booker) for one in self.budgets]

    def amount(self, tenant: str) -> int:
        assert self.owner is not None
        amounts = self.owner.plan.amounts[Kind.LINES]
        return sum(amount for (name, _booker), amount in amounts.items() if name == tenant)

    def elect(self) -> None:
        self.number += 1
        self.owner = Owner(self, self.number)

    def period(self) -> None:
        order = list(self.members)
        self.random.shuffle(order)
        grants = {}
        for member in order:
            member.hear(self.engine, self.now)
            grants[member.name] = member.grants()
            member.counts = {}
            for pair, held in member.held.items():
                drops = pair[0] in self.droppers
                ended = sum(drops or self.random.random() < 1 / self.hold for _ in range(held))
                member.held[pair] -= ended
                member.counts[pair] = [0, 0, ended] if drops else [0, ended, 0]
        for tenant in self.tenants:
            self._arrive(tenant, order, grants)
        for member in self.members:
            if not member.paused:
                self.reports[member.name] = (member.version, self._rows(member))
        if self.owner is not None:
            write = self.owner.step()
            assert self.engine.put(write)
        sums: dict[str, int] = {}
        bookers: dict[str, int] = {}
        for member in self.members:
            for (name, booker), held in member.held.items():
                sums[name] = sums.get(name, 0) + held
                bookers[booker] = bookers.get(booker, 0) + held
        self.held.append(sums)
        self.at_booker.append(bookers)
        self.now += 1

    def _arrive(self, tenant: Tenant, order: list[Member], grants: dict[str, dict[Pair, int]]) -> None:
        """Open what a tenant would use, wherever there is room; what finds none is turned away somewhere."""
        left = self.want(tenant.name, self.now) - sum(
            held for one in self.members for (name, _b), held in one.held.items() if name == tenant.name
        )
        bookers = tenant.bookers or tuple(one.booker for one in self.budgets)
        for member in order:
            for booker in bookers:
                pair = (tenant.name, booker)
                room = grants[member.name].get(pair, 0) - member.held.get(pair, 0)
                if left > 0 and room > 0:
                    took = min(left, room)
                    left -= took
                    member.held[pair] = member.held.get(pair, 0) + took
        for turn in range(max(0, left)):
            member = order[turn % len(order)]
            member.counts.setdefault((tenant.name, bookers[turn % len(bookers)]), [0, 0, 0])[0] += 1

    def _rows(self, member: Member) -> list[Demand]:
        rows = []
        for pair in sorted(member.held.keys() | member.counts.keys()):
            held = member.held.get(pair, 0)
            refused, released, unused = member.counts.get(pair, [0, 0, 0])
            wanted = (held + refused) * (10 if pair[0] in self.boast else 1)
            if held or wanted or released or unused:
                rows.append(Demand(*pair, wanted, held, 0, released, unused))
        return rows
