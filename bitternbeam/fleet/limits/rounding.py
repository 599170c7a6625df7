"""Parts of a rate in whole sends, as a second holds no half one: the largest remainders first, and in turn.

A member keeps its rounded-up send until another is owed TURN more periods of it: each move costs about a
period in which nobody may use it (lower first, then raise).
"""

from __future__ import annotations

from collections.abc import Mapping

TURN_PERIODS = 8.0
SEND_TOLERANCE = 1e-6  # of a send: what sums of floats may be off
BUDGET_TOLERANCE = 1e-12  # of a budget, likewise
MIN_SENDS_PER_IDLE_MEMBER = (
    10  # so many sends for each member: then one that asks for nothing keeps one for its next call
)


def extra_cost(total: float, safe: float) -> float:
    """Return what a total takes of the extras."""
    return max(0.0, total - safe)


class Rounding:
    """Real parts into whole ones; remembers what each was left owing."""

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
        """Return whole totals near the parts, whose costs sum to at most the budget.

        Each that `asks` has one at least where there are so many, so that it is never starved by rounding.
        """
        asking = (
            len(parts) if MIN_SENDS_PER_IDLE_MEMBER * len(parts) <= budget else sum(is_requesting.values())
        )
        least = {
            name: int((is_requesting[name] or asking == len(parts)) and asking <= budget) for name in parts
        }
        given = {name: max(int(part + SEND_TOLERANCE), least[name]) for name, part in parts.items()}
        left = budget * (1 + BUDGET_TOLERANCE) - sum(
            extra_cost(given[name], safe_parts[name]) for name in given
        )
        while left < 0:
            name = max(given, key=lambda one: (given[one], one))
            left += extra_cost(given[name], safe_parts[name]) - extra_cost(given[name] - 1, safe_parts[name])
            given[name] -= 1
        ups = int(sum(parts.values()) + SEND_TOLERANCE) - sum(given.values())
        for name in sorted(parts, key=lambda one: (-self._priority(one, parts[one], given[one]), one)):
            more = extra_cost(given[name] + 1, safe_parts[name]) - extra_cost(given[name], safe_parts[name])
            if ups > 0 and parts[name] > given[name] + SEND_TOLERANCE and more <= left:
                given[name] += 1
                ups, left = ups - 1, left - more
        self.owed = {
            name: min(2 * TURN_PERIODS, max(-2 * TURN_PERIODS, self.owed.get(name, 0.0) + part - given[name]))
            for name, part in parts.items()
        }
        self.previous = given
        return dict(given)

    def _priority(self, name: str, part: float, given: int) -> float:
        has = self.previous.get(name, 0) > given
        return part - given + self.owed.get(name, 0.0) / TURN_PERIODS + has


def raise_extras(
    goals: Mapping[str, float], current: Mapping[str, float], safe_parts: Mapping[str, float], free: float
) -> dict[str, float]:
    """Return extras on the way from `base` to `goals`, with totals in whole numbers; rises take from `free`.

    Where not all can rise now, each rises by the same part of what it lacks, rounded as above.
    """
    wanted = sum(max(0.0, goal - current[name]) for name, goal in goals.items())
    part = min(1.0, max(0.0, free) / wanted) if wanted > 0 else 0.0
    real = {
        name: min(goal, current[name] + part * max(0.0, goal - current[name])) for name, goal in goals.items()
    }
    given = {
        name: extra_cost(int(safe_parts[name] + one + SEND_TOLERANCE), safe_parts[name])
        for name, one in real.items()
    }
    left = free * (1 + BUDGET_TOLERANCE) - sum(max(0.0, one - current[name]) for name, one in given.items())
    for name in sorted(real, key=lambda one: (given[one] - real[one], one)):
        up = int(safe_parts[name] + given[name] + SEND_TOLERANCE) + 1 - safe_parts[name]
        more = up - max(given[name], current[name])
        if up <= goals[name] + SEND_TOLERANCE and more <= left:
            given[name], left = up, left - max(0.0, more)
    return given
