"""The owner of the return epoch: opens it, sizes it by what members report, ends it.

It knows nothing that the record and the members' reports do not say, so a new owner goes on from the record.
All times are Unix ms of the owner's clock. Plans are moved only past what was promised before
(slots.respread); the promise grows with each record, to as far as a member that still believes that record
may tell a slot.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from bitternbeam.fleet.returns.settings import ReturnSettings
from bitternbeam.fleet.returns.sketches import merged
from bitternbeam.fleet.returns.slots import Plan, respread, spread
from bitternbeam.fleet.returns.window import OPENING, OVER, PACED, Epoch, ReturnReport

STEADY = 0.05  # the count of clients, or the budget, moved by less: nothing is planned anew
OVERRUN = 0.05  # of a period's budget: so many turned away open an epoch
OPEN_PERIODS = 5  # at the most, until the backlog counts as known
MISSING = 0.25  # of the slots gone by, unused: fewer clients are left than was thought
LATE_S = 3.0  # of budget: so many late clients get slots of their own
TAIL_PERIODS = 5  # an epoch leads so long past its last slot, or past its owner's last word
MEMBERS = 4096  # reports remembered


class EpochPlanner:
    """The epoch in the hands of its owner; `name` is the owner's, or says that nobody leads."""

    def __init__(self, settings: ReturnSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.epoch: Epoch | None = None
        self.asked = False
        self.reports: dict[tuple[str, int], ReturnReport] = {}  # the last of each start of each member
        self.now: tuple[ReturnReport, ...] = ()  # of the members that live
        self.counted = 0.0  # clients, a period ago

    def resume(self, epoch: Epoch | None) -> None:
        """Go on from the record that an owner before has left."""
        self.epoch, self.counted = epoch, 0.0
        self.reports.clear()

    def live(self, wall_ms: int) -> bool:
        """Tell whether an epoch is open."""
        return self.epoch is not None and self.epoch.live(wall_ms)

    def restart(self) -> None:
        """Open an epoch: a verdict says that clients are about to come back."""
        self.asked = True

    def see(self, reports: Mapping[str, ReturnReport], budget_per_s: float, wall_ms: int) -> None:
        """Take the members' reports and the whole budget, once a period."""
        self.now = tuple(reports.values())
        for name, one in reports.items():
            self.reports.pop((name, one.since_ms), None)
            self.reports[name, one.since_ms] = one
        while len(self.reports) > MEMBERS:
            del self.reports[next(iter(self.reports))]
        epoch = self.epoch
        if epoch is None or not self.live(wall_ms):
            live = {(name, one.since_ms) for name, one in reports.items()}
            self.reports = {key: one for key, one in self.reports.items() if key in live}
            self._quiet(budget_per_s, wall_ms)
        elif epoch.phase == OPENING:
            self._opening(epoch, budget_per_s, wall_ms)
        else:
            self._paced(epoch, budget_per_s, wall_ms)

    def plan(self, wall_ms: int) -> Epoch | None:
        """Return what to publish now; None: there has been no epoch yet.

        Danger: publish nothing else: members tell slots as far as the record promises, from then on.
        """
        epoch = self.epoch
        if epoch is not None and epoch.phase == PACED and wall_ms < epoch.ends_ms:
            ahead = wall_ms + self.settings.fresh_ms + self.settings.step_ms
            self.epoch = epoch = replace(epoch, promised_ms=max(epoch.promised_ms, ahead))
        return epoch

    # What the reports say.

    @property
    def ranks(self) -> int:
        """Return how many urgencies the plans know, or the settings while there are none."""
        if self.epoch is not None and self.epoch.plans:
            return len(self.epoch.plans[0].clients)
        return max(1, len(self.settings.classes))

    def _seen(self) -> tuple[float, ...]:
        """Return how many clients came, by urgency."""
        return tuple(
            merged(one.seen[rank] for one in self.reports.values() if len(one.seen) > rank).count()
            for rank in range(self.ranks)
        )

    def _let_in(self) -> tuple[float, ...]:
        whole = self.reports.values()
        return tuple(
            float(sum(sum(one.let_in[rank : rank + 1]) for one in whole)) for rank in range(self.ranks)
        )

    def _turned(self) -> int:
        return sum(one.turned for one in self.now)

    def _late(self, epoch: Epoch) -> tuple[float, ...]:
        """Return how many clients wait past their slots, by urgency; rather too few."""
        number = epoch.plans[0].number
        own = [one for one in self.reports.values() if one.epoch == epoch.id and one.plan == number]
        count = merged(one.late for one in own if one.late).count() - sum(one.late_let_in for one in own)
        turned = [
            sum(sum(one.late_turned[rank : rank + 1]) for one in self.now) for rank in range(self.ranks)
        ]
        whole = sum(turned)
        return tuple(max(0.0, count) * one / whole if whole else 0.0 for one in turned)

    # Its phases.

    def _rate(self, budget_per_s: float) -> float:
        return self.settings.fill * max(budget_per_s, 1e-3) / 1000

    def _quiet(self, budget: float, wall_ms: int) -> None:
        period_ms = self.settings.period_ms
        over = self._turned() > OVERRUN * budget * period_ms / 1000
        if not (self.asked or over or any(one.asks for one in self.now)):
            return
        self.asked = False
        # Danger: the same id twice would give the clients of the epoch before the same slots and strikes.
        self.counted = sum(self._seen())
        self.epoch = Epoch(
            id=f"{wall_ms}-{self.name}", began_ms=wall_ms, ends_ms=wall_ms + 2 * OPEN_PERIODS * period_ms,
            budget=budget, urgency=self.settings.classes,
        )  # fmt: skip

    def _opening(self, epoch: Epoch, budget: float, wall_ms: int) -> None:
        period_ms = self.settings.period_ms
        seen, let_in = self._seen(), self._let_in()
        before, self.counted = self.counted, sum(seen)
        late = wall_ms - epoch.began_ms >= OPEN_PERIODS * period_ms
        left = tuple(max(0.0, came - took) for came, took in zip(seen, let_in, strict=True))
        if not late and (self._turned() == 0 or abs(self.counted - before) > STEADY * self.counted):
            return
        if sum(left) <= budget * period_ms / 1000 and self._turned() <= OVERRUN * budget * period_ms / 1000:
            self.epoch = replace(epoch, phase=OVER, ends_ms=wall_ms)
            return
        # Since the members counted, as many more came in as the budget bears in half a period.
        part = max(0.0, 1 - budget * period_ms / 2000 / max(1.0, sum(left)))
        left = tuple(one * part for one in left)
        # From now on: who has not heard of its slot by then comes late, and finds the budget hardly used.
        plan = spread(0, wall_ms, left, per_ms=self._rate(budget), most_ms=self.settings.window_ms)
        self._lead(epoch, (plan,), wall_ms, budget=budget, seen=seen, taken=sum(let_in), missing=0.0)

    def _paced(self, epoch: Epoch, budget: float, wall_ms: int) -> None:
        settings, plans, seen = self.settings, list(epoch.plans), self._seen()
        came_in, late = self._let_in(), self._late(epoch)
        taken, missing = epoch.taken, epoch.missing
        turned = sum(sum(one.late_turned) for one in self.now)
        calm = turned <= OVERRUN * budget * settings.period_ms / 1000
        if calm and wall_ms > plans[-1].ends_ms + settings.grace_ms:
            self.epoch = replace(epoch, phase=OVER, ends_ms=wall_ms)
            return
        if len(plans) > 1 and wall_ms > plans[0].ends_ms + settings.grace_ms:
            taken += plans.pop(0).gone(wall_ms)
        plans[0], changed = self._grown(plans[0], epoch, seen, budget)
        used = self._used(plans[0], sum(came_in) - taken + sum(late), budget, wall_ms)
        if len(plans) == 1 and used < 1 - MISSING:
            part = max(0.5, used)
            missing += (1 - part) * sum(plans[0].clients)
            plans[0] = replace(plans[0], clients=tuple(one * part for one in plans[0].clients))
            changed = True
        if changed:
            plans[0] = self._respread(plans[0], epoch.promised_ms, epoch.promised_ms, budget)
        left = tuple(max(0.0, came - took) for came, took in zip(seen, came_in, strict=True))
        over = sum(left) - missing - budget * max(0.0, plans[0].ends_ms - wall_ms) / 1000
        # Left behind: those late already, or more than the budget bears until the plan's end.
        behind = late if over <= sum(late) else tuple(over * one / sum(left) for one in left)
        self._next_wave(plans, behind, epoch.promised_ms, budget, wall_ms, changed=changed)
        if changed or plans != list(epoch.plans):
            known = tuple(max(one) for one in zip(seen, epoch.seen, strict=False))
            self._lead(epoch, tuple(plans), wall_ms, budget=budget, seen=known, taken=taken, missing=missing)
        else:
            self._lead(
                epoch, epoch.plans, wall_ms, budget=epoch.budget, seen=epoch.seen, taken=taken,
                missing=missing,
            )  # fmt: skip

    def _grown(
        self, plan: Plan, epoch: Epoch, seen: tuple[float, ...], budget: float
    ) -> tuple[Plan, bool]:  # fmt: skip
        """Return the plan with the clients that came since it was made; whether it is to be spread anew."""
        changed = abs(budget - epoch.budget) > STEADY * epoch.budget
        more = [max(0.0, came - knew) for came, knew in zip(seen, epoch.seen, strict=False)]
        if not changed and sum(more) <= STEADY * sum(plan.clients):
            return plan, False
        clients = tuple(one + new for one, new in zip(plan.clients, more, strict=False))
        return replace(plan, clients=clients), True

    def _respread(self, plan: Plan, frozen_ms: float, start_ms: float, budget: float) -> Plan:
        """Return a plan with what lies past `frozen_ms` spread anew over its clients."""
        return respread(
            plan, frozen_ms, start_ms, plan.clients, per_ms=self._rate(budget),
            most_ms=float(self.settings.window_ms),
        )  # fmt: skip

    def _next_wave(
        self, plans: list[Plan], behind: tuple[float, ...], frozen_ms: int, budget: float, wall_ms: int, *,
        changed: bool,
    ) -> None:  # fmt: skip
        """Plan a second wave for those left behind, or move the one that is planned."""
        first = plans[0]
        if len(plans) == 1:
            if sum(behind) > LATE_S * budget:
                start_ms = max(first.ends_ms, wall_ms)  # nobody was told a slot of this plan yet
                most_ms = float(self.settings.window_ms)
                wave = spread(first.number + 1, start_ms, behind, per_ms=self._rate(budget), most_ms=most_ms)
                plans.append(wave)
            return
        grown = sum(behind) > (1 + 2 * STEADY) * sum(plans[1].clients)
        if changed or grown:
            wave = replace(plans[1], clients=behind) if grown else plans[1]
            plans[1] = self._respread(wave, frozen_ms, max(frozen_ms, first.ends_ms), budget)

    def _used(self, plan: Plan, came: float, budget: float, wall_ms: int) -> float:
        """Return what part of the slots gone by were used; 1 where too few are gone to tell."""
        gone = plan.gone(wall_ms - self.settings.grace_ms - self.settings.first_ms)
        return came / gone if gone > LATE_S * budget else 1.0

    def _lead(
        self, epoch: Epoch, plans: tuple[Plan, ...], wall_ms: int, *, budget: float, seen: tuple[float, ...],
        taken: float, missing: float,
    ) -> None:  # fmt: skip
        tail_ms = TAIL_PERIODS * self.settings.period_ms + self.settings.grace_ms
        ends_ms = int(max(plans[-1].ends_ms, wall_ms)) + tail_ms
        changed = plans != epoch.plans or budget != epoch.budget
        self.epoch = replace(
            epoch, phase=PACED, plans=plans, budget=budget, seen=seen, taken=taken, missing=missing,
            ends_ms=ends_ms, revision=epoch.revision + changed,
        )  # fmt: skip
