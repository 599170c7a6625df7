"""Overload handled by the fleet as one: reports out, pressures of the bookers owned here, shares in.

In the middle of each period the owners sum the reports, move their limits and publish. Decisions are
fleet.pressure and fleet.bounds.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from bitternbeam.configuration.fleet import bound_terms
from bitternbeam.fleet.bounds import Bounds
from bitternbeam.fleet.pressure import parse_report
from bitternbeam.fleet.ramp import Health
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.probe_work import ProbeWork

FRESH = 3  # periods, for which a pressure is believed


class Load(Extension):
    """One member's side of it; the works are the probes'."""

    name = "load"

    def __init__(self, bench: Bench, probes: dict[str, ProbeWork], seed: int) -> None:
        self.bench, self.probes = bench, probes
        terms = bound_terms(bench.fleet)
        self.period_us = terms.period_us
        now = bench.deadlines.now_us()
        self.bounds: Bounds = Bounds(
            terms, lambda: bench.roster.size(bench.deadlines.now_us()), Random(seed), now
        )
        self.middle = self._middle(now)

    def _middle(self, now_us: int) -> int:
        return (now_us + self.period_us // 2) // self.period_us

    def leads(self) -> bool:
        """Tell whether a booker is owned here."""
        return any(work.claim.token is not None for work in self.probes.values())

    def reports(self, now_us: int) -> dict[str, Any]:
        """Return what was done since the last report."""
        return self.bounds.report(now_us).value()

    def heard(self, parts: Mapping[str, dict[str, Any]], now_us: int) -> None:
        """Move the limits of the bookers owned here."""
        reports = [parse_report(part) for part in parts.values()]
        if None in reports:
            self.bench.counters.add("fleet.reports_malformed")
        known = [one for one in reports if one is not None]
        for work in self.probes.values():
            if work.claim.token is not None:
                work.govern(known, self.probes)
                self.take(work, now_us)

    def tick(self, now_us: int) -> None:
        """Take shares once a period, and news of them at once."""
        turned = self._middle(now_us) != self.middle
        self.middle = self._middle(now_us)
        for work in self.probes.values():
            # Danger: news that waited for the middle left a cold booker its old share for most of a period.
            if turned or self.bounds.pressures.get(work.booker) is not work.pressure:
                self.take(work, now_us)

    def take(self, work: ProbeWork, now_us: int) -> None:
        """Take one booker's pressure into the bounds: one's own, or the one published."""
        if work.pressure is None:
            return
        own = work.claim.token is not None
        fresh = own or now_us - work.follower.seen_us <= FRESH * self.period_us
        cold = work.told().health is not Health.READY
        self.bounds.pressure(work.booker, work.pressure, fresh, now_us, cold=cold)

    def status(self) -> dict[str, Any]:
        """Return each booker's limit and this member's part of it, per second."""
        shown = {}
        for name, pressure in self.bounds.pressures.items():
            rate = self.bounds.buckets[name].rate
            shown[name] = {
                "limit": pressure.limit and round(pressure.limit, 2),
                "share": rate and round(rate, 3),
                "pressed": pressure.pressed,
            }
        return shown
