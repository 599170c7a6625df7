"""What a member is made of, from its [fleet] section."""

from __future__ import annotations

from typing import Any

from bitternbeam.configuration.fleet import Fleet, lease_times
from bitternbeam.configuration.limits import limits_of
from bitternbeam.configuration.returns import returns_of
from bitternbeam.configuration.tenants import belonging_of
from bitternbeam.configuration.verdicts import judged_limits, terms_of
from bitternbeam.configuration.versions import Versions
from bitternbeam.core.calls import Offer
from bitternbeam.counters import Counters
from bitternbeam.fleet.membership import Damping, Membership
from bitternbeam.fleet.rendezvous import weight
from bitternbeam.net.coordination import ConsulApi
from bitternbeam.tables.deadlines import Deadlines
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.budgets import BudgetsExtension
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.limits import LimitBudget, LimitsExtension
from bitternbeam.wiring.fleet.load import Load
from bitternbeam.wiring.fleet.presence import Presence
from bitternbeam.wiring.fleet.probe_work import ProbeWork
from bitternbeam.wiring.fleet.returns import ReturnsExtension
from bitternbeam.wiring.fleet.verdicts import VerdictsExtension


def bench_of(reactor: Any, deadlines: Deadlines, counters: Counters, fleet: Fleet) -> Bench:
    """Return what the pieces of work are handed: the settings, the engine's API and the roster."""
    times = lease_times(fleet)
    host, _, port = fleet.engine.rpartition(":")
    call_us = max(times.renew_every_us // 2, 200_000)
    api = ConsulApi(
        reactor,
        host,
        int(port),
        deadlines=deadlines,
        counters=counters,
        call_us=call_us,
        token=fleet.token,
        member=fleet.name,
    )
    roster = Membership(fleet.name, Damping(times.settle_us, fleet.recent_ms * 1000), deadlines.now_us())
    return Bench(reactor, deadlines, counters, fleet, times, api, roster)


def probes_of(bench: Bench) -> dict[str, ProbeWork]:
    """Return the probing of each booker that the settings name."""
    found = {}
    for one in bench.fleet.probes:
        booker, _, address = one.partition("=")
        host, _, port = address.rpartition(":")
        found[booker] = ProbeWork(bench, booker, (host, int(port)))
    return found


def extensions_of(
    bench: Bench,
    probes: dict[str, ProbeWork],
    presence: Presence,
    away_us: int,
    versions: Versions | None = None,
) -> list[Extension]:
    """Return the subsystems that the settings switch on; callers heed waits up to `away_us`."""
    found: list[Extension] = []
    fleet, returns = bench.fleet, bench.fleet.returns
    whose = belonging_of(fleet.tenant)

    def tenant_of(offer: Offer) -> str:
        return whose.tenant(offer.number, offer.client, offer.call_class)

    if fleet.verdicts is not None:
        # First: who is barred takes nothing of the others'.
        terms = terms_of(fleet.verdicts, fleet.period_ms)
        judged = judged_limits(fleet.limit)
        found.append(
            VerdictsExtension(bench, terms, judged, probes.keys(), tenant_of=tenant_of, versions=versions)
        )
    limits = None
    if fleet.limit:
        apart = (returns.limit,) if returns else ()
        limits = LimitsExtension(bench, limits_of(fleet.limit), apart=apart, tenant_of=tenant_of)
    if limits is not None and returns is not None:
        budget = LimitBudget(limits.limits, returns.limit)
        settings = returns_of(returns, budget.fleet_rate(), fleet.period_ms, away_us // 1000)
        # Before the limits: a return is told its time before a share is asked; its need goes out after its
        # report.
        seed = weight(fleet.name, "returns")
        found.append(ReturnsExtension(bench, settings, budget, seed, lambda: presence.standing.is_isolated))
    if bench.fleet.bounds:
        found.append(Load(bench, probes, weight(bench.fleet.name, "load")))
    if bench.fleet.budget:
        found.append(BudgetsExtension(bench))
    if limits is not None:
        found.append(limits)
    return found
