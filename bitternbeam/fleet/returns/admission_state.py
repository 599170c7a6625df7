"""What one member knows of a return epoch: the records, what it counted, what it reports."""

from __future__ import annotations

from dataclasses import replace

from bitternbeam.fleet.retries import RandomSource
from bitternbeam.fleet.returns.outcome import ReconnectBudget
from bitternbeam.fleet.returns.planner import WindowPlanner
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.sketches import HyperLogLog, RetryDeadlines, ViolationCounter
from bitternbeam.fleet.returns.slots import ClientHash
from bitternbeam.fleet.returns.window import PACED, AdmissionWindow, ReconnectReport

IDLE_RESET_PERIODS = 10  # without an epoch, clients are counted anew after each
DUE_SMOOTHING = 0.3
STARTUP_PERIODS = 3  # a member that starts asks for an epoch for so long
STANDALONE_MAX_WAIT_MS = (
    3_000  # longest wait told alone: the fleet may lead again at any time, with more budget
)


class AdmissionState:
    """The pacing of one member; `now_us` is monotonic, `wall_ms` Unix time."""

    def __init__(
        self,
        settings: ReconnectSettings,
        name: str,
        budget: ReconnectBudget,
        *,
        random: RandomSource,
        wall_ms: int,
    ) -> None:
        self.settings, self.name, self.budget, self.random = settings, name, budget, random
        self.standalone_settings = replace(
            settings, horizon_ms=min(settings.horizon_ms, STANDALONE_MAX_WAIT_MS)
        )
        self.started_ms = wall_ms
        self.class_count = max(1, len(settings.classes))
        self.fleet_window: AdmissionWindow | None = None  # as the fleet's record says
        self.fleet_window_us = 0
        self.standalone = False
        self.own_planner: WindowPlanner | None = None  # since nobody led, until the fleet's record leads
        self.own_planned_ms = 0
        self.superseded: list[AdmissionWindow] = []  # epochs that no longer lead, whose promises stand
        self.violations, self.retry_deadlines = ViolationCounter(), RetryDeadlines()
        self.violations_window_id = ""  # the epoch that strikes are counted in
        self.tokens = 0
        self.queue_end_us = 0  # when the next return at its slot finds room
        self.counts = dict.fromkeys(("at_slot", "late", "last", "first", "early", "queued", "struck"), 0)
        self.due_clients: float = 0.0  # clients whose turn to come in it was, in the period before
        self._reset_counts(wall_ms)
        self._reset_period()

    def _reset_counts(self, wall_ms: int) -> None:
        self.since_ms = wall_ms
        self.clients = [HyperLogLog() for _ in range(self.class_count)]
        self.admitted = [0] * self.class_count
        self.admitted_at_slot = 0
        self._reset_late("", -1)

    def _reset_late(self, epoch: str, number: int) -> None:
        self.late_plan = (epoch, number)
        self.late_clients, self.late_admitted = HyperLogLog(), 0

    def _reset_period(self) -> None:
        self.offered_count = self.refused_count = self.due_count = 0
        self.late_refused = [0] * self.class_count

    # From the fleet.

    def update_window(self, epoch: AdmissionWindow, now_us: int) -> None:
        """Take what the fleet's record says, each time that it is shown anew."""
        old = self.fleet_window
        if old is not None and (old.id != epoch.id or epoch.phase != old.phase):
            self._supersede(old)
        self.fleet_window, self.fleet_window_us = epoch, now_us

    def _supersede(self, epoch: AdmissionWindow) -> None:
        if epoch.plans:
            self.superseded = [*self.superseded[-1:], epoch]

    def tick(self, now_us: int, wall_ms: int, alone: bool) -> None:
        """Do what time brings; `alone`: no good word from the engine for so long that nobody leads."""
        self.superseded = [
            one for one in self.superseded if wall_ms < one.committed_until_ms + self.settings.grace_ms
        ]
        self.standalone, led = alone, self.fleet_window is not None and self.fleet_window.is_open(wall_ms)
        if self.own_planner is not None and (led or not (alone or self.own_planner.is_open(wall_ms))):
            if self.own_planner.window is not None:
                self._supersede(self.own_planner.window)
            self.own_planner = None
        if alone and not led:
            if self.own_planner is None:
                self.own_planner, self.own_planned_ms = (
                    WindowPlanner(self.standalone_settings, f"alone-{self.name}"),
                    0,
                )
            if wall_ms - self.own_planned_ms >= self.settings.period_ms:
                self.own_planned_ms = wall_ms
                self.own_planner.observe(
                    {self.name: self.report(wall_ms)}, self.budget.member_rate(now_us), wall_ms
                )
                self.own_planner.plan(wall_ms)
        if self.active_window(wall_ms) is None:
            self.tokens = 0
            if wall_ms - self.since_ms >= IDLE_RESET_PERIODS * self.settings.period_ms:
                self._reset_counts(wall_ms)

    def active_window(self, wall_ms: int) -> AdmissionWindow | None:
        """Return the epoch that leads now: the fleet's, or this member's own while it is alone."""
        if self.fleet_window is not None and self.fleet_window.is_open(wall_ms):
            return self.fleet_window
        return (
            self.own_planner.window
            if self.own_planner is not None and self.own_planner.is_open(wall_ms)
            else None
        )

    def _max_wait_ms(self, epoch: AdmissionWindow) -> int:
        """Return the longest wait that is told under an epoch."""
        return (self.settings if epoch is self.fleet_window else self.standalone_settings).max_wait_ms

    def report(self, wall_ms: int) -> ReconnectReport:
        """Return what was counted, and begin the next period."""
        epoch = self.active_window(wall_ms)
        asks = wall_ms - self.started_ms < STARTUP_PERIODS * self.settings.period_ms
        asks = asks or (self.own_planner is not None and not self.standalone)
        found = ReconnectReport(
            self.since_ms, epoch.id if epoch else "", asks, self.offered_count, self.refused_count,
            self.admitted_at_slot,
            tuple(self.admitted), tuple(HyperLogLog(one.registers) for one in self.clients),
            self.late_plan[1],
            HyperLogLog(self.late_clients.registers), self.late_admitted, tuple(self.late_refused),
        )  # fmt: skip
        # Smoothed while slots are spread evenly: a single period counts few clients.
        steady = epoch is not None and epoch.phase == PACED
        self.due_clients = (
            self.due_clients + DUE_SMOOTHING * (self.due_count - self.due_clients)
            if steady
            else self.due_count
        )
        self._reset_period()
        return found

    def _count_late_refusal(self, where: ClientHash, rank: int) -> None:
        self.late_clients.add(where.sketch_hash)
        self.late_refused[rank] += 1

    def status(self, wall_ms: int) -> dict[str, object]:
        """Return what an operator is shown."""
        epoch = self.active_window(wall_ms)
        shown: dict[str, object] = dict(self.counts)
        if epoch is not None:
            alone = epoch is not self.fleet_window
            shown.update(
                epoch=epoch.id, phase=epoch.phase, revision=epoch.revision, budget=epoch.budget_per_s,
                alone=alone,
                backlog=round(epoch.backlog), window_ms=epoch.slot_span_ms, ends_ms=epoch.ends_ms,
            )  # fmt: skip
        return shown
