"""One kind of what is scarce, connections or lines, in the owner's hands: from reports to amounts."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass

from bitternbeam.fleet.budgets.damping import Damping
from bitternbeam.fleet.budgets.demand import NONE, Belief, Counts, Needs, Sums, plus
from bitternbeam.fleet.budgets.lending import Debts, Turnover, kept_back
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.recall import Recall
from bitternbeam.fleet.budgets.records import Amounts
from bitternbeam.fleet.budgets.slices import Meter, chunks
from bitternbeam.fleet.budgets.solve import Sharing, solve
from bitternbeam.fleet.budgets.terms import BudgetTerms, Kind


@dataclass(slots=True)
class Decided:
    """What comes of a period: amounts, who may hold less than is promised and by how much, and the totals."""

    amounts: Amounts
    short: dict[str, int]
    sums: Sums


class Side:
    """What is remembered of one kind."""

    def __init__(self, kind: Kind, terms: BudgetTerms) -> None:
        self.kind, self.terms = kind, terms
        self.needs = Needs()
        self.belief = Belief(terms.step)
        self.damping = Damping(terms.penalty_half_us)
        self.debts = Debts(terms.debt_half_us)
        self.turnover = Turnover()
        self.amounts: Amounts = {}
        self.shares: Sharing | None = None

    def decide(
        self, shares: Sharing, told: Mapping[Pair, int] | None, now_us: int, *, elapsed_us: int, meter: Meter
    ) -> Generator[None, None, Decided]:
        """Decide a period. told: what may be held whatever is published; None: what was published last."""
        self.needs.silent(now_us - self.terms.stale_periods * self.terms.period_us)
        sums = yield from self.needs.sums(meter)
        if not (sums.pairs or told or self.amounts or any(shares.network.capacity)):
            return Decided({}, {}, sums)  # nothing of this kind is budgeted
        own = shares.by_name()
        self.damping.step({name: (row[3], row[4]) for name, row in sums.tenants.items()}, elapsed_us)
        place = shares.network.bookers
        self.turnover.step({name: (row[1], row[3]) for name, row in sums.bookers.items()}, place)
        self.debts.step(own, {name: row[1] for name, row in sums.tenants.items()}, elapsed_us)
        yield
        wanted, promised = yield from self._wants(sums, shares, own, meter)
        yield
        bound = dict(self.amounts if told is None else told)
        has: dict[str, int] = {}
        for pair, row in sums.pairs.items():
            bound[pair] = max(bound.get(pair, 0), row[1])
        yield
        for (tenant, _booker), amount in bound.items():
            has[tenant] = has.get(tenant, 0) + amount
        yield
        urgent = {name for name, amount in promised.items() if has.get(name, 0) < amount}
        target = yield from solve(
            shares, wanted, self.debts.balance, bound=bound, urgent=urgent, meter=meter
        )  # fmt: skip
        capacity = dict(zip(shares.network.bookers, shares.network.capacity, strict=True))
        everywhere = tuple(shares.network.bookers)
        pressing = {one.name: one.bookers or everywhere for one in shares.tenants if one.name in urgent}
        served = {name: min(share, wanted[name]) for name, share in own.items()}
        recall = Recall(bound, capacity)
        self.amounts = yield from recall.published(target, promised, served, bookers=pressing, meter=meter)
        short = yield from self._short(promised, recall, sums, meter)
        return Decided(self.amounts, short, sums)

    def _wants(
        self, sums: Sums, shares: Sharing, own: Mapping[str, int], meter: Meter
    ) -> Generator[None, None, tuple[dict[str, int], dict[str, int]]]:
        """Return what each tenant is taken to want, and how much of that its guarantee covers.

        What of an unused guarantee is not lent counts as wanted: it stays free and is there at once.
        """
        wanted: dict[str, int] = {}
        unused: dict[str, int] = {}
        bookers: dict[str, tuple[str, ...]] = {}
        promises: dict[str, int] = {}
        for one in shares.tenants:
            name, part = one.name, one.part(self.kind)
            counts = sums.tenants.get(name, NONE)
            warm = one.idle if self.kind is Kind.CONNECTIONS else 0
            promises[name] = min(part.guarantee, part.most)
            wanted[name] = self.belief.believed(
                name, counts, promises[name], warm=warm, damped=name in self.damping.damped
            )  # fmt: skip
            left = promises[name] - max(wanted[name], counts[1])
            if left > 0:
                unused[name] = left
                bookers[name] = one.bookers or tuple(shares.network.bookers)
            if meter.spent(8):
                yield
        promised = {name: min(much, wanted[name]) for name, much in promises.items()}
        lent = yield from self._lent(sums, wanted, own, meter)
        periods = max(1, self.terms.recall_periods - 1)
        back = {at: self.turnover.comes_back(at, row[1], row[2], periods) for at, row in lent.items()}
        yield
        for name, more in kept_back(unused, bookers, back).items():
            wanted[name] = max(wanted[name], sums.tenants.get(name, NONE)[1]) + more
        return wanted, promised

    @staticmethod
    def _lent(
        sums: Sums, wanted: Mapping[str, int], own: Mapping[str, int], meter: Meter
    ) -> Generator[None, None, dict[str, Counts]]:
        """Return what borrowers hold and give back, by booker."""
        # Danger: one that is still below its own share takes what it releases again, and gives none back.
        borrowers = {
            name for name, row in sums.tenants.items() if wanted.get(name, 0) > own.get(name, 0) <= row[1]
        }
        lent: dict[str, Counts] = {}
        for chunk in chunks(sums.pairs.items()):
            for (tenant, booker), counts in chunk:
                if tenant in borrowers:
                    lent[booker] = plus(lent.get(booker, NONE), counts)
            if meter.spent(2 * len(chunk)):
                yield
        return lent

    def _short(
        self, promised: Mapping[str, int], recall: Recall, sums: Sums, meter: Meter
    ) -> Generator[None, None, dict[str, int]]:
        """Return who may hold less than is promised, by how much; what is held above an amount counts."""
        has = {name: 0 for name, much in promised.items() if recall.has.get(name, 0) < much}
        if not has:
            return {}
        for chunk in chunks(self.amounts.keys() | sums.pairs.keys()):
            for pair in chunk:
                if pair[0] in has:
                    has[pair[0]] += max(self.amounts.get(pair, 0), sums.pairs.get(pair, NONE)[1])
            if meter.spent(len(chunk)):
                yield
        return {name: promised[name] - much for name, much in has.items() if much < promised[name]}
