"""The fleet's limits on a member: needs out in its report, grants in by record, calls let through or not."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from bitternbeam.configuration.fleet import Fleet
from bitternbeam.configuration.limits import limits_of
from bitternbeam.core.calls import Offer
from bitternbeam.fleet.limits.member import MemberLimits
from bitternbeam.fleet.limits.sharing import Sharing
from bitternbeam.fleet.limits.terms import Limit, LimitTimes
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.limit_bounds import LimitBounds
from bitternbeam.wiring.fleet.limit_work import LimitWork
from bitternbeam.wiring.fleet.work import Work

log = logging.getLogger(__name__)

RESTART = "is taken by a restart alone"
NOBODY = ("\x00",)  # a tenant that no call has


class LimitBudget:
    """One limit in the hands of another subsystem, which alone takes from it."""

    def __init__(self, limits: MemberLimits, name: str) -> None:
        self.limits, self.name = limits, name

    def try_take(self, now_us: int) -> bool:
        """Take one of this member's part, if there is one."""
        return self.limits.readers[self.name].local_limit.try_acquire(now_us)

    def member_rate(self, now_us: int) -> float:
        """Return this member's part now, a second."""
        return self.limits.readers[self.name].local_limit.usable(now_us)

    def fleet_rate(self) -> float:
        """Return the whole amount."""
        return self.limits.limits[self.name].amount

    def wants(self, count: float) -> None:
        """Tell how many of the period that ends now are asked for, before the need is reported.

        Danger: callers that come again and again would make a member's need of many that wait for their time.
        """
        self.limits.readers[self.name].local_limit.requested = round(count)


class LimitsExtension(Extension):
    """All limits of one member.

    `apart`: limits that no call meets by itself, kept for a LimitBudget. `sharings`: who gets how much of a
    limit, where it is not by demand. `tenant_of`: whose a call is; nobody's unless told.
    """

    name = "limits"

    def __init__(
        self,
        bench: Bench,
        limits: Iterable[Limit],
        *,
        apart: Collection[str] = (),
        sharings: Mapping[str, Sharing] | None = None,
        tenant_of: Callable[[Offer], str] = lambda _offer: "",
    ) -> None:
        self.bench, self.apart = bench, apart
        fleet, now = bench.fleet, bench.deadlines.now_us()
        times = LimitTimes(fleet.period_ms * 1000, bench.times.ttl_us)
        # A start's number: its Unix time, which grows from start to start.
        self.limits = MemberLimits(self._set_apart(limits), times, fleet.name, now // 1000, now)
        given = sharings or {}
        self.kept = {
            name: LimitWork(bench, limit, self.limits, given.get(name))
            for name, limit in self.limits.limits.items()
        }
        self.works: Sequence[Work] = list(self.kept.values())
        self.bounds = LimitBounds(bench, self.limits, tenant_of)

    def _set_apart(self, limits: Iterable[Limit]) -> list[Limit]:
        return [replace(one, tenants=NOBODY) if one.name in self.apart else one for one in limits]

    def change(self, limits: Iterable[Limit], now_us: int) -> None:
        """Take new terms of the same limits, amounts above all."""
        told = self._set_apart(limits)
        self.limits.set_limits(told, now_us)
        for limit in told:
            self.kept[limit.name].keeper.set_limit(limit)

    def reload(self, fleet: Fleet) -> None:
        """Take changed amounts; anything else about limits is taken by a restart alone."""
        told = limits_of(fleet.limit)
        now_us = self.bench.deadlines.now_us()
        known = {name: replace(one, amount=1.0) for name, one in self.limits.limits.items()}
        if known != {one.name: replace(one, amount=1.0) for one in self._set_apart(told)}:
            log.warning("fleet: limits differ in more than amounts, which %s", RESTART)
            return
        for one in told:
            if one.amount != self.limits.limits[one.name].amount:
                log.info("fleet: limit %s is %g from now on", one.name, one.amount)
        self.change(told, now_us)

    def reports(self, now_us: int) -> dict[str, Any]:
        """Return what this member needs of each limit."""
        return self.limits.build_needs(now_us)

    def heard(self, parts: Mapping[str, dict[str, Any]], now_us: int) -> None:
        """Hand the members' needs to the limits that are owned here."""
        for name, work in self.kept.items():
            rows = {member: part[name] for member, part in parts.items() if name in part}
            work.needs(rows, now_us)

    def status(self) -> dict[str, Any]:
        """Return each limit: what may be used, what is held, and how far over the fleet may be."""
        now = self.bench.deadlines.now_us()
        return self.limits.status(now, self.bench.roster.size(now))
