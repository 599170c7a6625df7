"""Rounds the parts of a rate to whole sends: largest remainders first, taking turns over the periods.

A member keeps its rounded-up send until another is owed TURN_PERIODS periods more of it: each move wastes
about one period in which nobody may use the send (one part is lowered before the other is raised).
"""

from __future__ import annotations

from collections.abc import Mapping

TURN_PERIODS = 8.0
SEND_TOLERANCE = 1e-6  # of a send: rounding error of sums of floats
BUDGET_TOLERANCE = 1e-12  # of a budget: the same
IDLE_SENDS_FACTOR = 10  # idle members too keep a send each if the budget has this many a member


def extra_cost(total: float, safe: float) -> float:
    """Return what a member's total takes from the shared extras."""
    return max(0.0, total - safe)


def total_cost(given: Mapping[str, int], safe_parts: Mapping[str, float]) -> float:
    """Return what all members' totals take from the shared extras."""
    return sum(extra_cost(given[name], safe_parts[name]) for name in given)


class Rounding:
    """Rounds real parts to whole ones; keeps what each member is owed between calls."""

    def __init__(self) -> None:
        self.owed: dict[str, float] = {}
        self.previous: dict[str, int] = {}

    def round_parts(
        self,
        parts: Mapping[str, float],
        is_requesting: Mapping[str, bool],
        safe_parts: Mapping[str, float],
        budget: float,
    ) -> dict[str, int]:
        """Return whole totals near the parts, with costs that sum to at most the budget.

        Each member that is requesting gets at least one if the budget allows that for all of them, so that
        rounding starves none.
        """
        requesting = len(parts) if IDLE_SENDS_FACTOR * len(parts) <= budget else sum(is_requesting.values())
        minimum = {
            name: int((is_requesting[name] or requesting == len(parts)) and requesting <= budget)
            for name in parts
        }
        given = {name: max(int(part + SEND_TOLERANCE), minimum[name]) for name, part in parts.items()}
        available = budget * (1 + BUDGET_TOLERANCE)
        # Summed anew each time: a running difference keeps rounding errors, and may never reach 0.
        while (left := available - total_cost(given, safe_parts)) < 0:
            name = max(given, key=lambda one: (given[one], one))
            given[name] -= 1
        round_ups = int(sum(parts.values()) + SEND_TOLERANCE) - sum(given.values())
        for name in sorted(parts, key=lambda one: (-self._priority(one, parts[one], given[one]), one)):
            additional = extra_cost(given[name] + 1, safe_parts[name]) - extra_cost(
                given[name], safe_parts[name]
            )
            if round_ups > 0 and parts[name] > given[name] + SEND_TOLERANCE and additional <= left:
                given[name] += 1
                round_ups, left = round_ups - 1, left - additional
        self.owed = {
            name: min(2 * TURN_PERIODS, max(-2 * TURN_PERIODS, self.owed.get(name, 0.0) + part - given[name]))
            for name, part in parts.items()
        }
        self.previous = given
        return dict(given)

    def _priority(self, name: str, part: float, given: int) -> float:
        had_more = self.previous.get(name, 0) > given
        return part - given + self.owed.get(name, 0.0) / TURN_PERIODS + had_more


def raise_extras(
    goals: Mapping[str, float], current: Mapping[str, float], safe_parts: Mapping[str, float], free: float
) -> dict[str, float]:
    """Return extras between `current` and `goals` that make whole totals; increases are taken from `free`.

    If `free` is not enough for all, each gets the same fraction of its missing amount, rounded as above.
    """
    wanted = sum(max(0.0, goal - current[name]) for name, goal in goals.items())
    part = min(1.0, max(0.0, free) / wanted) if wanted > 0 else 0.0
    real = {
        name: min(goal, current[name] + part * max(0.0, goal - current[name])) for name, goal in goals.items()
    }
    given = {
        name: extra_cost(int(safe_parts[name] + extra + SEND_TOLERANCE), safe_parts[name])
        for name, extra in real.items()
    }
    left = free * (1 + BUDGET_TOLERANCE) - sum(
        max(0.0, extra - current[name]) for name, extra in given.items()
    )
    for name in sorted(real, key=lambda member: (given[member] - real[member], member)):
        next_extra = int(safe_parts[name] + given[name] + SEND_TOLERANCE) + 1 - safe_parts[name]
        additional = next_extra - max(given[name], current[name])
        if next_extra <= goals[name] + SEND_TOLERANCE and additional <= left:
            given[name], left = next_extra, left - max(0.0, additional)
    return given
