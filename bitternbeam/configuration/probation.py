"""The judge of a version on probation: whether the service collapsed, and whether the version is to blame.

A version can be blamed for calls alone that it decides otherwise than the one before it. Among those it is
not blamed where the last attempt failed at a booker that the version before would have used as well, and
nothing was taken away that might have served instead: that is the booker's own failure, and going back would
not mend it. What is left is compared with the calls of the time before, class by class, as a share with its
uncertainty (Wilson 1927): a few unlucky calls turn no version back.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from enum import Enum

from bitternbeam.core.calls import Plan
from bitternbeam.decision.interface import Outcome, Tier

SECOND = 1_000_000
Z = 2.58  # of a normal distribution, both tails: one in a hundred
AT_BOOKER = frozenset(
    {Outcome.NO_ANSWER, Outcome.NO_CONNECTION, Outcome.CUT, Outcome.ERROR, Outcome.TURNED_AWAY}
)


class Verdict(Enum):
    """What the judge says."""

    WAIT = "wait"
    GOOD = "good"
    ROLL_BACK = "roll back"


@dataclass(frozen=True, slots=True)
class Terms:
    """How long it watches and what counts as a collapse."""

    watch_us: int = 30 * SECOND
    before_us: int = 60 * SECOND  # of the time before that counts
    least: int = 20  # calls that a judgement needs
    answered_fall: float = 0.25  # of the share of calls answered: more is a collapse
    barred_rise: float = 0.25  # of the share of sends barred: likewise


def wilson(hits: int, of: int, z: float = Z) -> tuple[float, float]:
    """Return the bounds of a share by Wilson's score interval; (0, 1) for nothing seen."""
    if not of:
        return 0.0, 1.0
    share, square = hits / of, z * z
    middle = (share + square / (2 * of)) / (1 + square / of)
    half = z / (1 + square / of) * (share * (1 - share) / of + square / (4 * of * of)) ** 0.5
    return max(0.0, middle - half), min(1.0, middle + half)


@dataclass(slots=True)
class Tally:
    """Counts of one class of calls."""

    calls: int = 0
    answered: int = 0
    sends: int = 0
    barred: int = 0

    def add(self, other: Tally) -> None:
        """Add another's counts."""
        self.calls += other.calls
        self.answered += other.answered
        self.sends += other.sends
        self.barred += other.barred


class Before:
    """The calls of the last while, in steps of a second."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.steps: deque[tuple[int, dict[str, Tally]]] = deque()

    def tally(self, now_us: int, call_class: str) -> Tally:
        """Return what the present second's calls of a class are counted in, and forget what is old."""
        second = now_us // SECOND
        if not self.steps or self.steps[-1][0] != second:
            self.steps.append((second, defaultdict(Tally)))
        self.forget(now_us)
        return self.steps[-1][1][call_class]

    def forget(self, now_us: int) -> None:
        """Drop the steps that are older than what counts."""
        while self.steps and self.steps[0][0] * SECOND < now_us - self.terms.before_us - SECOND:
            self.steps.popleft()

    def totals(self, now_us: int) -> dict[str, Tally]:
        """Return the sums by class."""
        self.forget(now_us)
        sums: dict[str, Tally] = defaultdict(Tally)
        for _, step in self.steps:
            for call_class, tally in step.items():
                sums[call_class].add(tally)
        return sums


class Judge:
    """Watches one version; `before` is fixed when it begins."""

    def __init__(self, now_us: int, before: dict[str, Tally], terms: Terms) -> None:
        self.since_us = now_us
        self.before = before
        self.terms = terms
        self.after: dict[str, Tally] = defaultdict(Tally)
        self.excused = 0
        self.untouched = 0

    def settled(self, call_class: str, changed: bool, stood: bool, sent: bool, blameless: bool) -> None:
        """Count a final answer, if the version can be blamed for it."""
        if not changed:
            self.untouched += 1
        elif blameless:
            self.excused += 1
        else:
            tally = self.after[call_class]
            tally.calls += 1
            tally.sends += sent
            tally.answered += stood

    def barred(self, call_class: str, changed: bool) -> None:
        """Count a send that was not carried out."""
        if changed:
            self.after[call_class].barred += 1
            self.after[call_class].sends += 1

    def verdict(self, now_us: int) -> tuple[Verdict, str]:
        """Judge by what was seen so far; a reason comes with each verdict but WAIT."""
        for call_class in sorted(self.after):
            reason = self.collapse(call_class, self.after[call_class])
            if reason:
                return Verdict.ROLL_BACK, reason
        if now_us - self.since_us < self.terms.watch_us:
            return Verdict.WAIT, ""
        seen = sum(tally.calls for tally in self.after.values())
        return Verdict.GOOD, (
            f"{seen} calls judged, {self.excused} excused by their bookers, {self.untouched} not touched"
        )

    def collapse(self, call_class: str, now: Tally) -> str:
        """Return why a class's service collapsed, or nothing."""
        then = self.before.get(call_class, Tally())
        least = self.terms.least
        if now.calls >= least and then.calls >= least:
            share, low = then.answered / then.calls, wilson(now.answered, now.calls)[1]
            if low < share - self.terms.answered_fall:
                return (
                    f"calls of {call_class} answered fell from {share:.0%} to {now.answered / now.calls:.0%}"
                    f" ({now.answered} of {now.calls})"
                )
        if now.sends >= least and then.sends >= least:
            share, high = then.barred / then.sends, wilson(now.barred, now.sends)[0]
            if high > share + self.terms.barred_rise:
                return (
                    f"sends of {call_class} barred rose from {share:.0%} to {now.barred / now.sends:.0%}"
                    f" ({now.barred} of {now.sends})"
                )
        return ""


def excused(plan: Plan, booker: str, cell: int, outcome: Outcome) -> bool:
    """Tell whether a changed call's failure is its booker's own, which going back would not mend."""
    if outcome not in AT_BOOKER or not allows(plan.previous_allowed, booker, cell):
        return False
    if plan.previous_allowed is None:
        return plan.allowed is None
    return all(
        all(allows(plan.allowed, name, -1) for name in tier.switches)
        and (plan.allowed is None or tier.cells <= frozenset().union(*(one.cells for one in plan.allowed)))
        for tier in plan.previous_allowed
    )


def allows(tiers: tuple[Tier, ...] | None, booker: str, cell: int) -> bool:
    """Tell whether a call may go to a booker."""
    return tiers is None or any(tier.contains(booker, cell) for tier in tiers)
