"""The owner of the return epoch: opens it, sizes it by what members report, ends it.

It knows nothing that the record and the members' reports do not say, so a new owner goes on from the record.
All times are Unix ms of the owner's clock. Plans are moved only past what was promised before
(slots.respread); the promise grows with each record, to as far as a member that still believes that record
may tell a slot.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.sketches import merge_sketches
from bitternbeam.fleet.returns.slots import SlotPlan, plan_slots, replan_slots
from bitternbeam.fleet.returns.window import CLOSED, OPENING, PACED, AdmissionWindow, ReconnectReport

REPLAN_CHANGE_SHARE = 0.05  # the count of clients, or the budget, moved by less: nothing is planned anew
OVERLOAD_SHARE = 0.05  # of a period's budget: so many turned away open an epoch
MAX_OPENING_PERIODS = 5  # at the most, until the backlog counts as known
ABSENT_SHARE = 0.25  # of the slots gone by, unused: fewer clients are left than was thought
MIN_BUDGET_SECONDS = 3.0  # of budget: so many late clients get slots of their own
TAIL_PERIODS = 5  # an epoch leads so long past its last slot, or past its owner's last word
MAX_REPORTS = 4096  # reports remembered


class WindowPlanner:
    """The epoch in the hands of its owner; `name` is the owner's, or says that nobody leads."""

    def __init__(self, settings: ReconnectSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.window: AdmissionWindow | None = None
        self.window_requested = False
        self.reports: dict[tuple[str, int], ReconnectReport] = {}  # the last of each start of each member
        self.current: tuple[ReconnectReport, ...] = ()  # of the members that live
        self.last_count = 0.0  # clients, a period ago

    def resume(self, epoch: AdmissionWindow | None) -> None:
        """Go on from the record that an owner before has left."""
        self.window, self.last_count = epoch, 0.0
        self.reports.clear()

    def is_open(self, wall_ms: int) -> bool:
        """Tell whether an epoch is open."""
        return self.window is not None and self.window.is_open(wall_ms)

    def request_window(self) -> None:
        """Open an epoch: a verdict says that clients are about to come back."""
        self.window_requested = True

    def observe(self, reports: Mapping[str, ReconnectReport], budget_per_s: float, wall_ms: int) -> None:
        """Take the members' reports and the whole budget, once a period."""
        self.current = tuple(reports.values())
        for name, one in reports.items():
            self.reports.pop((name, one.since_ms), None)
            self.reports[name, one.since_ms] = one
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]
        epoch = self.window
        if epoch is None or not self.is_open(wall_ms):
            live = {(name, one.since_ms) for name, one in reports.items()}
            self.reports = {key: one for key, one in self.reports.items() if key in live}
            self._step_closed(budget_per_s, wall_ms)
        elif epoch.phase == OPENING:
            self._step_opening(epoch, budget_per_s, wall_ms)
        else:
            self._step_paced(epoch, budget_per_s, wall_ms)

    def plan(self, wall_ms: int) -> AdmissionWindow | None:
        """Return what to publish now; None: there has been no epoch yet.

        Danger: publish nothing else: members tell slots as far as the record promises, from then on.
        """
        epoch = self.window
        if epoch is not None and epoch.phase == PACED and wall_ms < epoch.ends_ms:
            ahead = wall_ms + self.settings.fresh_ms + self.settings.max_wait_ms
            self.window = epoch = replace(epoch, committed_until_ms=max(epoch.committed_until_ms, ahead))
        return epoch

    # What the reports say.

    @property
    def class_count(self) -> int:
        """Return how many urgencies the plans know, or the settings while there are none."""
        if self.window is not None and self.window.plans:
            return len(self.window.plans[0].clients)
        return max(1, len(self.settings.classes))

    def _clients(self) -> tuple[float, ...]:
        """Return how many clients came, by urgency."""
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

    def _late_clients(self, epoch: AdmissionWindow) -> tuple[float, ...]:
        """Return how many clients wait past their slots, by urgency; rather too few."""
        number = epoch.plans[0].number
        own = [
            one for one in self.reports.values() if one.window_id == epoch.id and one.plan_number == number
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

    # Its phases.

    def _slots_per_ms(self, budget_per_s: float) -> float:
        return self.settings.fill * max(budget_per_s, 1e-3) / 1000

    def _step_closed(self, budget: float, wall_ms: int) -> None:
        period_ms = self.settings.period_ms
        over = self._refused() > OVERLOAD_SHARE * budget * period_ms / 1000
        if not (self.window_requested or over or any(one.requests_window for one in self.current)):
            return
        self.window_requested = False
        # Danger: the same id twice would give the clients of the epoch before the same slots and strikes.
        self.last_count = sum(self._clients())
        self.window = AdmissionWindow(
            id=f"{wall_ms}-{self.name}", started_ms=wall_ms,
            ends_ms=wall_ms + 2 * MAX_OPENING_PERIODS * period_ms,
            budget_per_s=budget, classes=self.settings.classes,
        )  # fmt: skip

    def _step_opening(self, epoch: AdmissionWindow, budget: float, wall_ms: int) -> None:
        period_ms = self.settings.period_ms
        seen, let_in = self._clients(), self._admitted()
        before, self.last_count = self.last_count, sum(seen)
        late = wall_ms - epoch.started_ms >= MAX_OPENING_PERIODS * period_ms
        left = tuple(max(0.0, came - took) for came, took in zip(seen, let_in, strict=True))
        if not late and (
            self._refused() == 0 or abs(self.last_count - before) > REPLAN_CHANGE_SHARE * self.last_count
        ):
            return
        if (
            sum(left) <= budget * period_ms / 1000
            and self._refused() <= OVERLOAD_SHARE * budget * period_ms / 1000
        ):
            self.window = replace(epoch, phase=CLOSED, ends_ms=wall_ms)
            return
        # Since the members counted, as many more came in as the budget bears in half a period.
        part = max(0.0, 1 - budget * period_ms / 2000 / max(1.0, sum(left)))
        left = tuple(one * part for one in left)
        # From now on: who has not heard of its slot by then comes late, and finds the budget hardly used.
        plan = plan_slots(
            0, wall_ms, left, per_ms=self._slots_per_ms(budget), most_ms=self.settings.window_ms
        )
        self._set_plans(epoch, (plan,), wall_ms, budget=budget, seen=seen, taken=sum(let_in), missing=0.0)

    def _step_paced(self, epoch: AdmissionWindow, budget: float, wall_ms: int) -> None:
        settings, plans, seen = self.settings, list(epoch.plans), self._clients()
        came_in, late = self._admitted(), self._late_clients(epoch)
        taken, missing = epoch.admitted_before_plan, epoch.absent_clients
        turned = sum(sum(one.late_refused) for one in self.current)
        calm = turned <= OVERLOAD_SHARE * budget * settings.period_ms / 1000
        if calm and wall_ms > plans[-1].ends_ms + settings.grace_ms:
            self.window = replace(epoch, phase=CLOSED, ends_ms=wall_ms)
            return
        if len(plans) > 1 and wall_ms > plans[0].ends_ms + settings.grace_ms:
            taken += plans.pop(0).elapsed_slots(wall_ms)
        plans[0], changed = self._with_new_clients(plans[0], epoch, seen, budget)
        used = self._used_share(plans[0], sum(came_in) - taken + sum(late), budget, wall_ms)
        if len(plans) == 1 and used < 1 - ABSENT_SHARE:
            part = max(0.5, used)
            missing += (1 - part) * sum(plans[0].clients)
            plans[0] = replace(plans[0], clients=tuple(one * part for one in plans[0].clients))
            changed = True
        if changed:
            plans[0] = self._respread(plans[0], epoch.committed_until_ms, epoch.committed_until_ms, budget)
        left = tuple(max(0.0, came - took) for came, took in zip(seen, came_in, strict=True))
        over = sum(left) - missing - budget * max(0.0, plans[0].ends_ms - wall_ms) / 1000
        # Left behind: those late already, or more than the budget bears until the plan's end.
        behind = late if over <= sum(late) else tuple(over * one / sum(left) for one in left)
        self._plan_second_wave(plans, behind, epoch.committed_until_ms, budget, wall_ms, changed=changed)
        if changed or plans != list(epoch.plans):
            known = tuple(max(one) for one in zip(seen, epoch.counted_clients, strict=False))
            self._set_plans(
                epoch, tuple(plans), wall_ms, budget=budget, seen=known, taken=taken, missing=missing
            )
        else:
            self._set_plans(
                epoch, epoch.plans, wall_ms, budget=epoch.budget_per_s, seen=epoch.counted_clients,
                taken=taken,
                missing=missing,
            )  # fmt: skip

    def _with_new_clients(
        self, plan: SlotPlan, epoch: AdmissionWindow, seen: tuple[float, ...], budget: float
    ) -> tuple[SlotPlan, bool]:  # fmt: skip
        """Return the plan with the clients that came since it was made; whether it is to be spread anew."""
        changed = abs(budget - epoch.budget_per_s) > REPLAN_CHANGE_SHARE * epoch.budget_per_s
        more = [max(0.0, came - knew) for came, knew in zip(seen, epoch.counted_clients, strict=False)]
        if not changed and sum(more) <= REPLAN_CHANGE_SHARE * sum(plan.clients):
            return plan, False
        clients = tuple(one + new for one, new in zip(plan.clients, more, strict=False))
        return replace(plan, clients=clients), True

    def _respread(self, plan: SlotPlan, frozen_ms: float, start_ms: float, budget: float) -> SlotPlan:
        """Return a plan with what lies past `frozen_ms` spread anew over its clients."""
        return replan_slots(
            plan, frozen_ms, start_ms, plan.clients, per_ms=self._slots_per_ms(budget),
            most_ms=float(self.settings.window_ms),
        )  # fmt: skip

    def _plan_second_wave(
        self, plans: list[SlotPlan], behind: tuple[float, ...], frozen_ms: int, budget: float, wall_ms: int,
        *,
        changed: bool,
    ) -> None:  # fmt: skip
        """Plan a second wave for those left behind, or move the one that is planned."""
        first = plans[0]
        if len(plans) == 1:
            if sum(behind) > MIN_BUDGET_SECONDS * budget:
                start_ms = max(first.ends_ms, wall_ms)  # nobody was told a slot of this plan yet
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
        """Return what part of the slots gone by were used; 1 where too few are gone to tell."""
        gone = plan.elapsed_slots(wall_ms - self.settings.grace_ms - self.settings.first_ms)
        return came / gone if gone > MIN_BUDGET_SECONDS * budget else 1.0

    def _set_plans(
        self, epoch: AdmissionWindow, plans: tuple[SlotPlan, ...], wall_ms: int, *, budget: float,
        seen: tuple[float, ...],
        taken: float, missing: float,
    ) -> None:  # fmt: skip
        tail_ms = TAIL_PERIODS * self.settings.period_ms + self.settings.grace_ms
        ends_ms = int(max(plans[-1].ends_ms, wall_ms)) + tail_ms
        changed = plans != epoch.plans or budget != epoch.budget_per_s
        self.window = replace(
            epoch, phase=PACED, plans=plans, budget_per_s=budget, counted_clients=seen,
            admitted_before_plan=taken,
            absent_clients=missing,
            ends_ms=ends_ms, revision=epoch.revision + changed,
        )  # fmt: skip
