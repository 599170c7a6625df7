"""A member's state of reconnect admission: the admission windows it follows, its counts and its reports."""

from __future__ import annotations

from dataclasses import replace

from bitternbeam.fleet.retries import RandomSource
from bitternbeam.fleet.returns.outcome import ReconnectBudget
from bitternbeam.fleet.returns.planner import WindowPlanner
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.sketches import HyperLogLog, RetryDeadlines, ViolationCounter
from bitternbeam.fleet.returns.slots import ClientHash
from bitternbeam.fleet.returns.window import PACED, AdmissionWindow, ReconnectReport

IDLE_RESET_PERIODS = 10  # without a window, the counts are reset after this many periods
DUE_SMOOTHING = 0.3
STARTUP_PERIODS = 3  # a member requests a window for so long after its start
STANDALONE_MAX_WAIT_MS = 3_000  # the fleet may lead again at any time, with more budget


class AdmissionState:
    """State of one member; `now_us` is monotonic, `wall_ms` Unix time."""

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
        self.fleet_window: AdmissionWindow | None = None  # from the fleet's record
        self.fleet_window_us = 0
        self.standalone = False
        self.own_planner: WindowPlanner | None = (
            None  # plans a window for this member alone while no owner is reachable
        )
        self.own_planned_ms = 0
        self.superseded: list[
            AdmissionWindow
        ] = []  # closed or replaced windows whose announced slots still hold
        self.violations, self.retry_deadlines = ViolationCounter(), RetryDeadlines()
        self.violations_window_id = ""  # the window that violations are counted in
        self.tokens = 0
        self.queue_end_us = 0  # when the queue of clients at their slots is worked off
        self.counts = dict.fromkeys(("at_slot", "late", "last", "first", "early", "queued", "struck"), 0)
        self.due_clients: float = 0.0  # clients that were due, smoothed over periods
        self._reset_counts(wall_ms)
        self._reset_period()

    def _reset_counts(self, wall_ms: int) -> None:
        self.since_ms = wall_ms
        self.clients = [HyperLogLog() for _ in range(self.class_count)]
        self.admitted = [0] * self.class_count
        self.admitted_at_slot = 0
        self._reset_late("", -1)

    def _reset_late(self, window_id: str, number: int) -> None:
        self.late_plan = (window_id, number)
        self.late_clients, self.late_admitted = HyperLogLog(), 0

    def _reset_period(self) -> None:
        self.offered_count = self.refused_count = self.due_count = 0
        self.late_refused = [0] * self.class_count

    def update_window(self, window: AdmissionWindow, now_us: int) -> None:
        """Apply the window of the fleet's record; called each time that the record is confirmed."""
        old = self.fleet_window
        if old is not None and (old.id != window.id or window.phase != old.phase):
            self._supersede(old)
        self.fleet_window, self.fleet_window_us = window, now_us

    def _supersede(self, window: AdmissionWindow) -> None:
        if window.plans:
            self.superseded = [*self.superseded[-1:], window]

    def tick(self, now_us: int, wall_ms: int, alone: bool) -> None:
        """Update time-dependent state; `alone`: the coordination service is unreachable for too long."""
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
        """Return the window in force: the fleet's, or the member's own while it is on its own."""
        if self.fleet_window is not None and self.fleet_window.is_open(wall_ms):
            return self.fleet_window
        return (
            self.own_planner.window
            if self.own_planner is not None and self.own_planner.is_open(wall_ms)
            else None
        )

    def _max_wait_ms(self, window: AdmissionWindow) -> int:
        """Return the longest wait that may be told under a window, in ms."""
        return (self.settings if window is self.fleet_window else self.standalone_settings).max_wait_ms

    def report(self, wall_ms: int) -> ReconnectReport:
        """Return the counts and start the next period."""
        window = self.active_window(wall_ms)
        asks = wall_ms - self.started_ms < STARTUP_PERIODS * self.settings.period_ms
        asks = asks or (self.own_planner is not None and not self.standalone)
        found = ReconnectReport(
            self.since_ms, window.id if window else "", asks, self.offered_count, self.refused_count,
            self.admitted_at_slot,
            tuple(self.admitted), tuple(HyperLogLog(one.registers) for one in self.clients),
            self.late_plan[1],
            HyperLogLog(self.late_clients.registers), self.late_admitted, tuple(self.late_refused),
        )  # fmt: skip
        # Smoothed while slots are evenly spread, as a single period has few clients.
        steady = window is not None and window.phase == PACED
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
        """Return the state shown to operators."""
        window = self.active_window(wall_ms)
        shown: dict[str, object] = dict(self.counts)
        if window is not None:
            alone = window is not self.fleet_window
            shown.update(
                epoch=window.id, phase=window.phase, revision=window.revision, budget=window.budget_per_s,
                alone=alone,
                backlog=round(window.backlog), window_ms=window.slot_span_ms, ends_ms=window.ends_ms,
            )  # fmt: skip
        return shown
