"""The owner's planning of an admission window: opens it, sizes it from the members' reports, closes it.

Its state is derived from the record and the reports alone, so a new owner continues from the record. Times
are Unix ms of the owner's clock. Plans change only after `committed_until_ms` (slots.replan_slots); each
record extends that to the latest slot that a member which still trusts the record may announce.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.sketches import merge_sketches
from bitternbeam.fleet.returns.slots import SlotPlan, plan_slots, replan_slots
from bitternbeam.fleet.returns.window import CLOSED, OPENING, PACED, AdmissionWindow, ReconnectReport

REPLAN_CHANGE_SHARE = 0.05  # smaller changes of the client count or the budget do not cause a new plan
OVERLOAD_SHARE = 0.05  # of a period's budget: more refusals than this open a window
MAX_OPENING_PERIODS = 5  # after these the backlog counts as known
ABSENT_SHARE = 0.25  # unused share of past slots above which the client count is lowered
MIN_BUDGET_SECONDS = 3.0  # so many seconds' budget of late clients get a wave of their own
TAIL_PERIODS = 5  # a window stays in force so long after its last slot or last record
MAX_REPORTS = 4096  # bounds the memory of reports


class WindowPlanner:
    """Plans the window; `name` is that of the owner, or marks a member's window of its own."""

    def __init__(self, settings: ReconnectSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.window: AdmissionWindow | None = None
        self.window_requested = False
        self.reports: dict[tuple[str, int], ReconnectReport] = {}  # the latest of each start of each member
        self.current: tuple[ReconnectReport, ...] = ()  # of the live members
        self.last_count = 0.0  # clients counted in the previous period

    def resume(self, window: AdmissionWindow | None) -> None:
        """Continue from the record of the previous owner."""
        self.window, self.last_count = window, 0.0
        self.reports.clear()

    def is_open(self, wall_ms: int) -> bool:
        """Tell whether a window is in force."""
        return self.window is not None and self.window.is_open(wall_ms)

    def request_window(self) -> None:
        """Request a window, as clients are about to reconnect."""
        self.window_requested = True

    def observe(self, reports: Mapping[str, ReconnectReport], budget_per_s: float, wall_ms: int) -> None:
        """Process the members' reports and the fleet's budget; called once per period."""
        self.current = tuple(reports.values())
        for name, one in reports.items():
            self.reports.pop((name, one.since_ms), None)
            self.reports[name, one.since_ms] = one
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]
        window = self.window
        if window is None or not self.is_open(wall_ms):
            live = {(name, one.since_ms) for name, one in reports.items()}
            self.reports = {key: one for key, one in self.reports.items() if key in live}
            self._step_closed(budget_per_s, wall_ms)
        elif window.phase == OPENING:
            self._step_opening(window, budget_per_s, wall_ms)
        else:
            self._step_paced(window, budget_per_s, wall_ms)

    def plan(self, wall_ms: int) -> AdmissionWindow | None:
        """Return the window to publish; None if there has been none yet.

        Only this may be published: members announce slots up to the committed time of the record.
        """
        window = self.window
        if window is not None and window.phase == PACED and wall_ms < window.ends_ms:
            ahead = wall_ms + self.settings.fresh_ms + self.settings.max_wait_ms
            self.window = window = replace(window, committed_until_ms=max(window.committed_until_ms, ahead))
        return window

    @property
    def class_count(self) -> int:
        """Return the number of classes of the plans, or of the settings while there are no plans."""
        if self.window is not None and self.window.plans:
            return len(self.window.plans[0].clients)
        return max(1, len(self.settings.classes))

    def _clients(self) -> tuple[float, ...]:
        """Return the number of distinct clients by class."""
        return tuple(
            merge_sketches(
                one.clients[rank] for one in self.reports.values() if len(one.clients) > rank
            ).count()
            for rank in range(self.class_count)
        )

    def _admitted(self) -> tuple[float, ...]:
        whole = self.reports.values()
        return tuple(
            float(sum(sum(one.admitted[rank : rank + 1]) for one in whole))
            for rank in range(self.class_count)
        )

    def _refused(self) -> int:
        return sum(one.refused for one in self.current)

    def _late_clients(self, window: AdmissionWindow) -> tuple[float, ...]:
        """Return how many clients wait past their slots, by class; a low estimate."""
        number = window.plans[0].number
        own = [
            one for one in self.reports.values() if one.window_id == window.id and one.plan_number == number
        ]
        count = merge_sketches(one.late_clients for one in own if one.late_clients).count() - sum(
            one.late_admitted for one in own
        )
        turned = [
            sum(sum(one.late_refused[rank : rank + 1]) for one in self.current)
            for rank in range(self.class_count)
        ]
        whole = sum(turned)
        return tuple(max(0.0, count) * one / whole if whole else 0.0 for one in turned)

    def _slots_per_ms(self, budget_per_s: float) -> float:
        return self.settings.fill * max(budget_per_s, 1e-3) / 1000

    def _step_closed(self, budget: float, wall_ms: int) -> None:
        period_ms = self.settings.period_ms
        over = self._refused() > OVERLOAD_SHARE * budget * period_ms / 1000
        if not (self.window_requested or over or any(one.requests_window for one in self.current)):
            return
        self.window_requested = False
        # Ids must be unique: reusing one would give its clients the same slots and violations again.
        self.last_count = sum(self._clients())
        self.window = AdmissionWindow(
            id=f"{wall_ms}-{self.name}", started_ms=wall_ms,
            ends_ms=wall_ms + 2 * MAX_OPENING_PERIODS * period_ms,
            budget_per_s=budget, classes=self.settings.classes,
        )  # fmt: skip

    def _step_opening(self, window: AdmissionWindow, budget: float, wall_ms: int) -> None:
        period_ms = self.settings.period_ms
        seen, let_in = self._clients(), self._admitted()
        before, self.last_count = self.last_count, sum(seen)
        late = wall_ms - window.started_ms >= MAX_OPENING_PERIODS * period_ms
        left = tuple(max(0.0, came - took) for came, took in zip(seen, let_in, strict=True))
        if not late and (
            self._refused() == 0 or abs(self.last_count - before) > REPLAN_CHANGE_SHARE * self.last_count
        ):
            return
        if (
            sum(left) <= budget * period_ms / 1000
            and self._refused() <= OVERLOAD_SHARE * budget * period_ms / 1000
        ):
            self.window = replace(window, phase=CLOSED, ends_ms=wall_ms)
            return
        # Since the reports were made, half a period's budget of clients was admitted.
        part = max(0.0, 1 - budget * period_ms / 2000 / max(1.0, sum(left)))
        left = tuple(one * part for one in left)
        # Slots start now: clients not yet told one come late, and find most of the budget unused.
        plan = plan_slots(
            0, wall_ms, left, per_ms=self._slots_per_ms(budget), most_ms=self.settings.window_ms
        )
        self._set_plans(window, (plan,), wall_ms, budget=budget, seen=seen, taken=sum(let_in), missing=0.0)

    def _step_paced(self, window: AdmissionWindow, budget: float, wall_ms: int) -> None:
        settings, plans, seen = self.settings, list(window.plans), self._clients()
        came_in, late = self._admitted(), self._late_clients(window)
        taken, missing = window.admitted_before_plan, window.absent_clients
        turned = sum(sum(one.late_refused) for one in self.current)
        calm = turned <= OVERLOAD_SHARE * budget * settings.period_ms / 1000
        if calm and wall_ms > plans[-1].ends_ms + settings.grace_ms:
            self.window = replace(window, phase=CLOSED, ends_ms=wall_ms)
            return
        if len(plans) > 1 and wall_ms > plans[0].ends_ms + settings.grace_ms:
            taken += plans.pop(0).elapsed_slots(wall_ms)
        plans[0], changed = self._with_new_clients(plans[0], window, seen, budget)
        used = self._used_share(plans[0], sum(came_in) - taken + sum(late), budget, wall_ms)
        if len(plans) == 1 and used < 1 - ABSENT_SHARE:
            part = max(0.5, used)
            missing += (1 - part) * sum(plans[0].clients)
            plans[0] = replace(plans[0], clients=tuple(one * part for one in plans[0].clients))
            changed = True
        if changed:
            plans[0] = self._respread(plans[0], window.committed_until_ms, window.committed_until_ms, budget)
        left = tuple(max(0.0, came - took) for came, took in zip(seen, came_in, strict=True))
        over = sum(left) - missing - budget * max(0.0, plans[0].ends_ms - wall_ms) / 1000
        # Left behind: clients already late, or more than the budget admits until the end of the plan.
        behind = late if over <= sum(late) else tuple(over * one / sum(left) for one in left)
        self._plan_second_wave(plans, behind, window.committed_until_ms, budget, wall_ms, changed=changed)
        if changed or plans != list(window.plans):
            known = tuple(max(one) for one in zip(seen, window.counted_clients, strict=False))
            self._set_plans(
                window, tuple(plans), wall_ms, budget=budget, seen=known, taken=taken, missing=missing
            )
        else:
            self._set_plans(
                window, window.plans, wall_ms, budget=window.budget_per_s, seen=window.counted_clients,
                taken=taken,
                missing=missing,
            )  # fmt: skip

    def _with_new_clients(
        self, plan: SlotPlan, window: AdmissionWindow, seen: tuple[float, ...], budget: float
    ) -> tuple[SlotPlan, bool]:  # fmt: skip
        """Return the plan with newly counted clients, and whether its slots must be planned again."""
        changed = abs(budget - window.budget_per_s) > REPLAN_CHANGE_SHARE * window.budget_per_s
        more = [max(0.0, came - knew) for came, knew in zip(seen, window.counted_clients, strict=False)]
        if not changed and sum(more) <= REPLAN_CHANGE_SHARE * sum(plan.clients):
            return plan, False
        clients = tuple(one + new for one, new in zip(plan.clients, more, strict=False))
        return replace(plan, clients=clients), True

    def _respread(self, plan: SlotPlan, frozen_ms: float, start_ms: float, budget: float) -> SlotPlan:
        """Return the plan with the slots after `frozen_ms` planned again."""
        return replan_slots(
            plan, frozen_ms, start_ms, plan.clients, per_ms=self._slots_per_ms(budget),
            most_ms=float(self.settings.window_ms),
        )  # fmt: skip

    def _plan_second_wave(
        self, plans: list[SlotPlan], behind: tuple[float, ...], frozen_ms: int, budget: float, wall_ms: int,
        *,
        changed: bool,
    ) -> None:  # fmt: skip
        """Plan a second wave for clients left behind, or update the planned one."""
        first = plans[0]
        if len(plans) == 1:
            if sum(behind) > MIN_BUDGET_SECONDS * budget:
                start_ms = max(first.ends_ms, wall_ms)  # no slot of this plan has been announced yet
                most_ms = float(self.settings.window_ms)
                wave = plan_slots(
                    first.number + 1, start_ms, behind, per_ms=self._slots_per_ms(budget), most_ms=most_ms
                )
                plans.append(wave)
            return
        grown = sum(behind) > (1 + 2 * REPLAN_CHANGE_SHARE) * sum(plans[1].clients)
        if changed or grown:
            wave = replace(plans[1], clients=behind) if grown else plans[1]
            plans[1] = self._respread(wave, frozen_ms, max(frozen_ms, first.ends_ms), budget)

    def _used_share(self, plan: SlotPlan, came: float, budget: float, wall_ms: int) -> float:
        """Return the used share of past slots; 1 while there are too few of them."""
        gone = plan.elapsed_slots(wall_ms - self.settings.grace_ms - self.settings.first_ms)
        return came / gone if gone > MIN_BUDGET_SECONDS * budget else 1.0

    def _set_plans(
        self, window: AdmissionWindow, plans: tuple[SlotPlan, ...], wall_ms: int, *, budget: float,
        seen: tuple[float, ...],
        taken: float, missing: float,
    ) -> None:  # fmt: skip
        tail_ms = TAIL_PERIODS * self.settings.period_ms + self.settings.grace_ms
        ends_ms = int(max(plans[-1].ends_ms, wall_ms)) + tail_ms
        changed = plans != window.plans or budget != window.budget_per_s
        self.window = replace(
            window, phase=PACED, plans=plans, budget_per_s=budget, counted_clients=seen,
            admitted_before_plan=taken,
            absent_clients=missing,
            ends_ms=ends_ms, revision=window.revision + changed,
        )  # fmt: skip
