"""Which version a call is decided under: pinned at its offer, judged by its end: the core's PlanProvider."""

from __future__ import annotations

from dataclasses import dataclass, replace

from bitternbeam.configuration.buckets import Caps
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.probation import Before, Judge, Terms, Verdict, excused
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.core.calls import Offer, Plan
from bitternbeam.decision.interface import Outcome

PLUGIN = ("plugin", "")


@dataclass(frozen=True, slots=True)
class Pinned(Plan):
    """A plan, and what the judge needs to know of its call."""

    call_class: str = ""
    number: Number = Number(0, 0)  # noqa: RUF009 - immutable


class Pinning:
    """Holds the snapshot that new calls get. A swap is one assignment: no call sees parts of two."""

    def __init__(self, snapshot: Snapshot, terms: Terms) -> None:
        self.snapshot = snapshot
        self.terms = terms
        self.previous: Snapshot | None = None  # while the snapshot is on probation
        self.all_touched = False  # the version changes what every call meets, as the plug-in does
        self.moved: frozenset[str] = frozenset()  # bookers that it brings, changes or takes away
        self.caps = Caps()
        self.before = Before(terms)
        self.judge: Judge | None = None
        self.now_us = 0
        self.open: dict[Number, int] = {}  # calls by the version that they were offered under

    def swap(
        self,
        now_us: int,
        snapshot: Snapshot,
        against: Snapshot | None,
        moved: frozenset[str] = frozenset(),
        all_touched: bool = False,
    ) -> None:
        """Offer calls under another snapshot from here on; those that are there keep theirs.

        Against the last good one it is judged, if one is given: `moved` are the bookers that the two have
        otherwise, and all_touched tells that every call meets a change.
        """
        self.now_us = max(self.now_us, now_us)
        before = self.judge.before if self.judge else self.before.totals(now_us)
        self.snapshot, self.previous = snapshot, against
        self.moved, self.all_touched = moved, all_touched
        self.judge = Judge(now_us, before, self.terms) if against is not None else None

    def verdict(self, now_us: int) -> tuple[Verdict, str]:
        """Judge the version on probation; a version that is not is good."""
        verdict, reason = self.judge.verdict(now_us) if self.judge else (Verdict.GOOD, "no probation")
        if verdict is Verdict.GOOD:
            self.previous, self.judge = None, None
        return verdict, reason

    def meets_moved(self, plan: Plan) -> bool:
        """Tell whether a call may go to a booker that the version on probation moved."""
        if plan.allowed is None:
            return bool(self.moved)
        return any(not self.moved.isdisjoint(tier.switches) for tier in plan.allowed)

    # The core's side.

    def pin_plan(self, now_us: int, offer: Offer) -> Plan | int:
        """Return the plan of the version that runs now, or for how long to turn the caller away."""
        self.now_us = max(self.now_us, now_us)
        snapshot = self.snapshot
        plan = self.plan(snapshot, offer)
        if self.previous is not None:
            old = self.plan(self.previous, offer)
            limits = [one.class_limits(offer.call_class) for one in (snapshot, self.previous)]
            callers = [one.caller_limits(offer.client) for one in (snapshot, self.previous)]
            same = not self.meets_moved(plan) and (
                plan.allowed == old.allowed and plan.max_attempts == old.max_attempts
                and plan.answer_in_us == old.answer_in_us
                and limits[0] == limits[1] and callers[0] == callers[1]
            )  # fmt: skip
            if self.all_touched or not same:
                plan = replace(plan, differs_from_previous=True, previous_allowed=old.allowed)
        wait_us = self.caps.take(now_us, snapshot, offer.call_class, offer.client)
        if wait_us:
            self.final_answer_sent(plan, False)
            return wait_us
        self.open[snapshot.number] = self.open.get(snapshot.number, 0) + 1
        return plan

    @staticmethod
    def plan(snapshot: Snapshot, offer: Offer) -> Pinned:
        """Return what a snapshot says of a call."""
        bounds = snapshot.bounds(offer.call_class)
        return Pinned(
            version=str(snapshot.number),
            allowed=snapshot.candidates(offer.call_class, offer.cell, offer.number),
            max_attempts=bounds.attempts,
            answer_in_us=bounds.answer_us,
            client=offer.client,
            call_class=offer.call_class,
            number=snapshot.number,
        )

    def final_answer_sent(
        self, plan: Plan, stood: bool, booker: str = "", cell: int = -1, outcome: Outcome = Outcome.NOT_SENT
    ) -> None:
        """Note the final answer, and how the last attempt ended, if there was one, and where."""
        assert isinstance(plan, Pinned)
        tally = self.before.tally(self.now_us, plan.call_class)
        tally.calls += 1
        tally.answered += stood
        tally.sends += bool(booker)
        if self.judge is not None and plan.number == self.snapshot.number:
            blameless = not stood and booker not in self.moved and excused(plan, booker, cell, outcome)
            self.judge.settled(plan.call_class, plan.differs_from_previous, stood, bool(booker), blameless)

    def send_rejected(self, plan: Plan, why: str) -> None:
        """Note a send of the module's that the core did not carry out."""
        assert isinstance(plan, Pinned)
        tally = self.before.tally(self.now_us, plan.call_class)
        tally.sends += 1
        tally.barred += 1
        if self.judge is not None and plan.number == self.snapshot.number:
            self.judge.barred(plan.call_class, plan.differs_from_previous)

    def call_ended(self, plan: Plan) -> None:
        """Note that nothing of the call is left."""
        assert isinstance(plan, Pinned)
        self.caps.over(plan.client)
        left = self.open[plan.number] - 1
        if left:
            self.open[plan.number] = left
        else:
            del self.open[plan.number]
