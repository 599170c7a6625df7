"""The tenants' budgets on a member: demand out in reports, parts in by record, calls let through or not."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Any

from bitternbeam.configuration.fleet import Fleet
from bitternbeam.configuration.tenants import belonging_of, budgets_of, tenants_of, version_of
from bitternbeam.core.calls import Offer
from bitternbeam.core.limiters import UnlimitedTraffic
from bitternbeam.fleet.budgets.granted import PairTerms
from bitternbeam.fleet.budgets.holdings import Holdings
from bitternbeam.fleet.budgets.terms import Kind
from bitternbeam.fleet.limits.terms import LimitTimes
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.budget_work import BudgetWork
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.limit_bounds import OVER_SHARE
from bitternbeam.wiring.fleet.work import Work

log = logging.getLogger(__name__)


class BudgetBounds(UnlimitedTraffic):
    """What the cores ask: room for the call's tenant, taken at each send; one without a budget is open."""

    def __init__(self, bench: Bench, holdings: Holdings) -> None:
        self.bench, self.holdings = bench, holdings
        self.taken: dict[tuple[str, str], str] = {}  # by call and booker: whose part it stands on
        self.configure(bench.fleet)

    def configure(self, fleet: Fleet) -> None:
        """Take tables; what stands is given back to the tenant that it was taken of."""
        self.whose = belonging_of(fleet.tenant)
        everywhere = tuple(one.booker for one in fleet.budget)
        self.budgeted = frozenset(everywhere)
        self.bookers = {one.name: one.bookers or everywhere for one in fleet.tenant}

    def tenant(self, offer: Offer) -> str:
        """Return whose a call is; '': nobody's, and it goes to no booker that has a budget."""
        return self.whose.tenant(offer.number, offer.client, offer.call_class)

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Turn away a call whose tenant has no room left here."""
        if not self.budgeted:
            return None
        tenant = self.tenant(offer)
        bookers = self.bookers.get(tenant)
        if bookers is None:
            self.bench.counters.add("fleet.budgets.nobodys")
        elif any(self.holdings.room(tenant, booker, now_us) for booker in bookers):
            return None
        else:
            self.holdings.turned(tenant, bookers)
            self.bench.counters.add("fleet.budgets.refused")
        return self.holdings.times.period_us

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the bookers where the call's tenant has no room here."""
        # Danger: a call is over after some bookers that bar it, and few lines lie at one of many.
        tenant = self.tenant(offer)
        return frozenset(one for one in self.budgeted if not self.holdings.room(tenant, one, now_us))

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Take one of the tenant's part at a booker."""
        if booker not in self.budgeted:
            return ""
        tenant = self.tenant(offer)
        if not self.holdings.take(tenant, booker, now_us):
            return OVER_SHARE
        self.taken[offer.uid, booker] = tenant
        return ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Give back what was not used."""
        # Danger: by the tables of now it could be another's, who would be let take more than it has.
        tenant = self.taken.pop((offer.uid, booker), None)
        if tenant is not None:
            self.holdings.undo(tenant, booker)

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Give back what was used."""
        tenant = self.taken.pop((offer.uid, booker), None)
        if tenant is not None:
            self.holdings.release(tenant, booker)


class BudgetsExtension(Extension):
    """The budgets of one member."""

    name = "budgets"

    def __init__(self, bench: Bench) -> None:
        self.bench, fleet, now = bench, bench.fleet, bench.deadlines.now_us()
        pairs = PairTerms(fleet.budget_members, fleet.budget_lasts_ms, fleet.budget_hold_most_ms)
        times = LimitTimes(fleet.period_ms * 1000, bench.times.ttl_us)
        # A start's number: its Unix time, which grows from start to start.
        self.holdings = Holdings(pairs, times, fleet.name, now // 1000, now)
        self.work = BudgetWork(bench, self.holdings)
        self.works: Sequence[Work] = [self.work]
        self.bounds = self.asked = BudgetBounds(bench, self.holdings)
        self.version = ""
        self.reload(fleet)

    def reload(self, fleet: Fleet) -> None:
        """Take the tenants and budgets of a section."""
        version = version_of(fleet.tenant, fleet.budget)
        if version == self.version:
            return
        self.version = version
        self.asked.configure(fleet)
        self.work.configure(version, tenants_of(fleet.tenant), budgets_of(fleet.budget))
        log.info("fleet: budgets: version %s of the tenants' tables", version)

    def reports(self, now_us: int) -> dict[str, Any]:
        """Return what its tenants want and hold here."""
        return self.holdings.report(now_us)

    def heard(self, parts: Mapping[str, dict[str, Any]], now_us: int) -> None:
        """Hand the members' reports to the owner's decision."""
        self.work.reported(parts, now_us)

    def status(self) -> dict[str, Any]:
        """Return what is held and may be held here; at the owner also how the decisions go."""
        told: dict[str, Any] = {"held": self.holdings.status(self.bench.deadlines.now_us())}
        told |= {"version": self.version, "decided": self.work.version()}
        if self.leads():
            granting = self.work.granting
            told |= {
                "known": granting.known,
                "short": granting.plan.short.get(Kind.LINES, {}),
                "unknown": sorted(granting.plan.unknown),
            } | self.work.figures()
        return told
