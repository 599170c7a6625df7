"""Clients that come back at once, on a member: paced at the offer, counted in its report, led by a record."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from bitternbeam.core.calls import Offer
from bitternbeam.core.limiters import UnlimitedTraffic
from bitternbeam.fleet.returns.admission import ReconnectAdmission
from bitternbeam.fleet.returns.outcome import Admit
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.window import AdmissionWindow, parse_report
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.limits import LimitBudget
from bitternbeam.wiring.fleet.return_work import ReturnWork
from bitternbeam.wiring.fleet.work import Work


class ReturnBounds(UnlimitedTraffic):
    """What the cores ask: whether it is a return's time."""

    def __init__(self, bench: Bench, pacing: ReconnectAdmission) -> None:
        self.bench, self.pacing, self.settings = bench, pacing, pacing.settings

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Let a return in, or tell it at once for how long to stay away."""
        rank = self.settings.rank(offer.call_class)
        if rank is None:
            return None
        named = offer.client if self.settings.identity == "caller" else offer.number
        # Danger: under one empty name all those that tell none would share one slot.
        told = self.pacing.decide(named or offer.uid, rank, now_us, now_us // 1000)
        if isinstance(told, Admit):
            self.bench.counters.add("fleet.returns.let_in")
            return None
        self.bench.counters.add("fleet.returns.refused")
        return told.delay_us


class ReturnsExtension(Extension):
    """The returns of one member; `alone` tells that no engine leads it."""

    name = "returns"

    def __init__(
        self,
        bench: Bench,
        settings: ReconnectSettings,
        budget: LimitBudget,
        seed: int,
        alone: Callable[[], bool],
    ) -> None:
        self.bench, self.budget, self.alone = bench, budget, alone
        wall_ms = bench.deadlines.now_us() // 1000
        self.pacing = ReconnectAdmission(
            settings, bench.fleet.name, budget, random=Random(seed), wall_ms=wall_ms
        )
        self.work = ReturnWork(bench, settings, self._epoch)
        self.works: Sequence[Work] = [self.work]
        self.bounds = ReturnBounds(bench, self.pacing)

    def _epoch(self, epoch: AdmissionWindow) -> None:
        self.pacing.update_window(epoch, self.bench.deadlines.now_us())

    def tick(self, now_us: int) -> None:
        """Let epochs end, and lead one of its own while alone."""
        self.pacing.tick(now_us, now_us // 1000, self.alone())

    def reports(self, now_us: int) -> dict[str, Any]:
        """Return what was counted; alone the pacing itself takes it."""
        if self.alone():
            return {}
        told = self.pacing.report(now_us // 1000).to_record()
        self.budget.wants(self.pacing.due_clients)
        return told

    def heard(self, parts: Mapping[str, dict[str, Any]], now_us: int) -> None:
        """Hand the members' counts to the epoch that is led here."""
        rows = {member: parse_report(part) for member, part in parts.items()}
        if None in rows.values():
            self.bench.counters.add("fleet.reports_malformed")
        known = {member: report for member, report in rows.items() if report is not None}
        self.work.reports(known, self.budget.fleet_rate())

    def status(self) -> dict[str, Any]:
        """Return the epoch that leads, and what became of the returns here."""
        return self.pacing.status(self.bench.deadlines.now_us() // 1000)
