"""The owner's amounts as "held" limits of fleet.limits, one for each (tenant, booker), in one record.

There are no safe parts: of a few lines a safe part is less than one. A member that hears nothing goes by
what it was granted until that lapses. What may be out counts for all pairs of a booker together, so a new
owner knows all pairs or none. As long as it does not know, a booker's budget is the pool there: what the
members that stand by its own records say that they have, of all tenants together. What the others may have
lies beside it, as all of it never passed the budget; the pool moves between members and tenants, and never
grows.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Mapping, Sequence
from dataclasses import replace
from math import ceil
from typing import Any

from bitternbeam.fleet.budgets.allocation import Parts, allocated, issued
from bitternbeam.fleet.budgets.calling import called_back, held_down
from bitternbeam.fleet.budgets.granted import PairTerms, Report, Telling, report_of
from bitternbeam.fleet.budgets.ledger import MemberLedger, Waits
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.records import Amounts
from bitternbeam.fleet.budgets.slices import Meter
from bitternbeam.fleet.budgets.state import BudgetController, Plan
from bitternbeam.fleet.budgets.terms import Budget, BudgetTerms, Kind, Tenant
from bitternbeam.fleet.budgets.usage import demands_of
from bitternbeam.fleet.limits.ledger import Ledger
from bitternbeam.fleet.limits.terms import LimitTimes
from bitternbeam.fleet.tokens import Token

PIECES = 2_000  # counted pieces of a slice (slices.Meter): most are a look-up and an addition

Shares = dict[Pair, dict[str, float]]  # by pair and member


class Granting:
    """The owner's side: reports in, the keeper's decision, every pair's grants out, in slices."""

    def __init__(self, pairs: PairTerms, times: LimitTimes, me: str, boot: int, terms: BudgetTerms) -> None:
        self.pairs, self.times, self.me, self.boot = pairs, times, me, boot
        self.terms = terms
        self.waits = Waits.of(pairs, times)
        self.token: Token | None = None
        self.keeper = BudgetController(terms, 0)
        self.version, self.tenants, self.budgets = "", tuple[Tenant, ...](), tuple[Budget, ...]()
        self.head: Ledger | None = None  # of no pair: whose records the members stand by
        self.ledgers: dict[str, MemberLedger] = {}
        self.reports: dict[str, tuple[int, Report]] = {}  # by member: the newest, and when it came
        self.reign, self.reigns, self.rev = "", 0, 0
        self.began_us = 0
        self.known = self.pooled = False  # pooled: the budgets are what is surely in known hands
        self.pool: dict[Pair, float] = {}  # what members had that said so first
        self.standing: dict[str, bool] = {}  # by member that stands by this reign: whether it is settled
        self.plan = Plan()
        self.malformed = 0
        self.stage = ""  # of a period's decision: reports, book, solve, deal

    def configure(self, version: str, tenants: Sequence[Tenant], budgets: Sequence[Budget]) -> None:
        """Take a version's tenants and budgets (state.BudgetController.configure)."""
        self.version, self.tenants, self.budgets = version, tuple(tenants), tuple(budgets)

    def owns(self, token: Token | None, value: Any, now_us: int) -> bool:
        """Follow the claim; a new token begins a new reign, from the record's value."""
        if token is not None and token != self.token:
            self.reigns += 1
            self.reign, self.rev = f"{self.me}.{self.boot}.{self.reigns}", 0
            self.token = token
            self.ledgers, self.reports = {}, {}
            self.keeper = BudgetController(self.terms, now_us)
            self.keeper.resume(value.get("budgets") if isinstance(value, dict) else None, now_us)
            self.forgot(now_us)
            self.head = Ledger(self.pairs.limit(("", "")), self.times, token, self.reign, now_us)
        self.token = token
        return token is not None

    def forgot(self, now_us: int) -> None:
        """Know no more what is out: another wrote over the record, or the engine went back."""
        self.began_us, self.known = now_us, False
        self.standing, self.pool = {}, {}
        for ledger in self.ledgers.values():
            ledger.forgot()

    def outranked(self) -> Token | None:
        """Return a token that some member stands by and this one must pass."""
        return None if self.head is None else self.head.higher_token

    def _reported(self, parts: Mapping[str, Any], now_us: int) -> Generator[None, None, None]:
        for member, part in parts.items():
            # Each of these goes over a few hundred rows at one go.
            demands = demands_of({key: part.get(key, []) for key in map(str, Kind)})
            report = report_of(member, part)
            if demands is None or report is None or self.head is None:
                self.malformed += 1
                continue
            yield
            for kind, rows in demands.items():
                self.keeper.report(member, kind, rows, now_us)
            # Danger: a report that is older than one already taken tells of what is out no more.
            if not self.head.apply_need(report.head, now_us):
                continue
            self.reports[member] = (now_us, report)
            mine = report.head.token == self.token and report.head.owner_term == self.reign
            # Danger: one that stood by this reign and was started anew has lost its memory since.
            if mine or member in self.standing:
                self.standing[member] = report.head.holdings_known
            ledger = self.ledgers.get(member)
            if ledger is None:
                ledger = self.ledgers[member] = MemberLedger(self.waits, report.head.boot, now_us)
            ledger.heard(report, mine, now_us)
            if mine and not ledger.counted:
                ledger.counted = True
                for pair, much in ledger.charge(now_us).items():
                    self.pool[pair] = self.pool.get(pair, 0.0) + much
            yield

    def _booked(self, now_us: int) -> Generator[None, None, tuple[Shares, Amounts]]:
        """Return what each member's start may have of each pair, and what may be out of it in all."""
        own: Shares = {}
        out: dict[Pair, float] = {}
        for name, ledger in self.ledgers.items():
            for pair, much in ledger.own(now_us).items():
                own.setdefault(pair, {})[name] = much
                out[pair] = out.get(pair, 0.0) + much
            for pair, much in ledger.forgotten(now_us).items():
                out[pair] = out.get(pair, 0.0) + much
            yield
        return own, {pair: much for pair, one in out.items() if (much := ceil(one - 1e-6)) > 0}

    def _dealt(
        self, amounts: Amounts, own: Shares, now_us: int, meter: Meter
    ) -> Generator[None, None, dict[str, Parts]]:
        """Deal each tenant's amounts out to the members that may be told."""
        tenants: dict[str, dict[str, int]] = {}
        for (tenant, booker), amount in amounts.items():
            if amount > 0:
                tenants.setdefault(tenant, {})[booker] = amount
        # Danger: one that reports but hears nothing would be dealt lines that it never takes.
        there = {
            name: self.reports[name][1] for name, ledger in self.ledgers.items() if self._told(ledger, now_us)
        }
        found: dict[str, Parts] = {}
        for tenant, mine in tenants.items():
            wants = {name: float(report.wants.get(tenant, 0)) for name, report in there.items()}
            has = {booker: held for booker in mine if (held := own.get((tenant, booker)))}
            found[tenant] = allocated(tenant, mine, wants, has)
            if meter.spent(10 * len(there) + 5 * sum(map(len, has.values())) + 5 * len(mine)):
                yield
        return found

    def _told(self, ledger: MemberLedger, now_us: int) -> bool:
        return (self.known or ledger.counted) and ledger.there(now_us)

    def _knows(self, now_us: int) -> bool:
        sure = len(self.standing) >= self.pairs.most and all(self.standing.values())
        return self.known or sure or now_us >= self.began_us + self._surely_us()

    def _surely_us(self) -> int:
        return self.waits.gone_us - self.pairs.hold_most_ms * 1000 + self.waits.lingers_us

    def _gone(self, now_us: int) -> None:
        for name, heard_us in list(self.keeper.sides[Kind.LINES].needs.heard_us.items()):
            if now_us - heard_us > self._surely_us():
                self.keeper.forget(name)

    def _budgets(self) -> Sequence[Budget]:
        """Return what there is to share: the budgets, or as much of them as is surely in known hands."""
        pools: dict[str, float] = {}
        for (_tenant, booker), much in self.pool.items():
            pools[booker] = pools.get(booker, 0.0) + much
        self.pooled = not self.known and any(pools.values())
        if not self.pooled:
            return self.budgets
        return [
            replace(one, lines=min(one.lines, int(pools.get(one.booker, 0.0) + 1e-6))) for one in self.budgets
        ]

    def _overcharged(self, bound: Mapping[Pair, int]) -> set[str]:
        """Return the bookers where more may be out at the worst than they have."""
        left = {one.booker: one.of(Kind.LINES) for one in self.keeper.budgets}
        for (_tenant, booker), out in bound.items():
            left[booker] = left.get(booker, 0) - out
        return {booker for booker, more in left.items() if more < 0}

    def _within(self, amounts: Amounts, bound: Mapping[Pair, int]) -> Amounts:
        """Return the amounts as they may be granted."""
        charged = self._overcharged(bound)
        found: Amounts = {}
        for pair, amount in amounts.items():
            most = amount
            if not (self.known or (self.pooled and self.plan.rebuilt)):
                most = min(most, int(self.pool.get(pair, 0.0) + 1e-6))
            if pair[1] in charged:
                # Danger: a start that lost its memory counts twice, and each pair alone has room for that; a
                # limit below what is out grants nothing but what was granted before.
                most = max(0, min(most, bound.get(pair, 0) - 1))
            found[pair] = most
        return found

    def _issued(
        self, amounts: Amounts, own: Shares, bound: Amounts, dealt: Mapping[str, Parts], *, now_us: int,
        meter: Meter,
    ) -> Generator[None, None, dict[str, dict[Pair, float]]]:  # fmt: skip
        """Return by member what it is granted of each pair: its part, as far as it is free."""
        told = {name for name, ledger in self.ledgers.items() if self.known or ledger.counted}
        granted: dict[str, dict[Pair, float]] = {}
        found: dict[str, dict[Pair, float]] = {name: {} for name in sorted(told)}
        for pair in sorted(own.keys() | amounts.keys()):
            amount, base = amounts.get(pair, 0), own.get(pair, {})
            free = amount - bound.get(pair, 0)
            if free < 0 and base:
                # Danger: what a report says is held may be long gone; granting it anew would make it real.
                for name in base.keys() - granted.keys():
                    granted[name] = self.ledgers[name].granted(now_us)
                base = {name: min(much, granted[name].get(pair, 0.0)) for name, much in base.items()}
            goals = dealt.get(pair[0], {}).get(pair[1], {})
            for name, extra in issued(goals, base, free).items():
                if name in told:
                    found[name][pair] = extra
            if meter.spent(5 + 4 * len(goals) + len(base)):
                yield
        keeper, short = self.keeper, self.plan.short.get(Kind.LINES, {})
        if short:
            known = keeper.sides[Kind.LINES].turnover.rate
            rates = {one.booker: known.get(one.booker, 0.0) for one in keeper.budgets}
            more, pressed = called_back(keeper.tenants, short, rates, amounts=amounts, out=bound)
            yield
            yield from held_down(found, more, pressed, meter)
        return found

    def turn(
        self, parts: Mapping[str, Any], members: Iterable[str], now_us: int
    ) -> Generator[None, None, dict[str, Any]]:
        """Decide a period from the members' reports and return the record's value."""
        meter = Meter(PIECES)
        self.stage = "reports"
        self.keeper.expect(members)
        yield from self._reported(parts, now_us)
        for side in self.keeper.sides.values():
            yield from side.needs.sums(meter)
        self.stage = "book"
        yield
        self._gone(now_us)
        self.known = self._knows(now_us)
        own, bound = yield from self._booked(now_us)
        self.stage = "solve"
        yield
        self.keeper.configure(self.version, self.tenants, self._budgets())
        self.plan = yield from self.keeper.plan(now_us, {Kind.LINES: bound, Kind.CONNECTIONS: {}})
        self.stage = "deal"
        yield
        assert self.head is not None
        self.rev = max(self.rev, self.head.rev) + 1
        amounts = self._within(self.plan.amounts.get(Kind.LINES, {}), bound)
        dealt = yield from self._dealt(amounts, own, now_us, meter)
        issue = yield from self._issued(amounts, own, bound, dealt, now_us=now_us, meter=meter)
        told = Telling()
        for name, extras in issue.items():
            ledger = self.ledgers[name]
            # From now on it counts, whether it is written or not.
            ledger.published(self.rev, extras, now_us)
            told.add(name, ledger.boot, ledger.seq, extras)
            if meter.spent(3 * len(extras)):
                yield
        return {
            "budgets": self.keeper.value, "reign": self.reign, "rev": self.rev,
            "lasts_us": self.pairs.lasts_ms * 1000, "pairs": told.pairs, "members": told.members,
        }  # fmt: skip
