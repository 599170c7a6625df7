"""Shares a limit between members: max-min fair, for a rate weighted by demand, with headroom.

Max-min fairness by water-filling (Bertsekas and Gallager, Data Networks, 1992, 6.5.2): no member gets more
than it wants while another wants more than it gets. For a rate the weights are the members' demands, so that
each call has the same chance at whichever member it arrives. (Even parts would also leave more unused: a
member whose demand equals its part on average gets fewer or more calls in each second.) Half of what is not
wanted is lent as headroom, so that a member whose demand grows need not wait: one half of that evenly and one
by demand. The rest stays with the owner for members that join or return.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

Sharing = Callable[[Mapping[str, float], float], dict[str, float]]

LENT_SHARE = 0.5  # of the amount that is not wanted
EVENLY_LENT_SHARE = 0.5  # of the headroom; the rest goes by demand
MAX_MEDIAN_MULTIPLE = 10.0  # demand above this multiple of the median has no weight
MIN_WEIGHT = 1e-9


def water_fill(
    wants: Mapping[str, float], amount: float, weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return weighted max-min fair parts, none above its want; they sum to at most the amount."""
    given: dict[str, float] = {}
    left = max(0.0, amount)
    weight_of = weights or dict.fromkeys(wants, 1.0)
    ordered = sorted(wants, key=lambda name: (wants[name] / max(weight_of[name], MIN_WEIGHT), name))
    weight_left = sum(max(weight_of[name], MIN_WEIGHT) for name in ordered)
    for name in ordered:
        weight = max(weight_of[name], MIN_WEIGHT)
        given[name] = max(0.0, min(wants[name], left * min(1.0, weight / max(weight_left, MIN_WEIGHT))))
        left, weight_left = max(0.0, left - given[name]), weight_left - weight
    return given


def capped_weights(wants: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return the weights of a rate: the wants, capped at a multiple of the median or at an even part.

    Without the cap, clients that flood one member would take the whole rate from those of the others.
    """
    median = sorted(wants.values())[len(wants) // 2] if wants else 0.0
    cap = max(MAX_MEDIAN_MULTIPLE * median, amount / max(1, len(wants)))
    return {name: min(want, cap) for name, want in wants.items()}


def share_rate(wants: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return each member's part of a rate: fair by demand, plus headroom."""
    return share(wants, amount, capped_weights(wants, amount))


def share(
    wants: Mapping[str, float], amount: float, weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return each member's part: its fair part plus headroom from the rest."""
    given = water_fill(wants, amount, weights)
    lent = max(0.0, amount - sum(given.values())) * LENT_SHARE
    total = sum(wants.values())
    for name in given:
        by_demand = wants[name] / total if total > 0 else 1 / len(given)
        given[name] += lent * (EVENLY_LENT_SHARE / len(given) + (1 - EVENLY_LENT_SHARE) * by_demand)
    return given


def round_to_whole(parts: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return the parts rounded to whole numbers that sum to at most the amount, largest remainders first."""
    given = {name: float(int(part + 1e-9)) for name, part in parts.items()}
    left = int(min(amount, sum(parts.values())) + 1e-9) - sum(given.values())
    by_remainder = sorted(parts, key=lambda name: (given[name] - parts[name], name))
    for name in by_remainder[: max(0, int(left))]:
        given[name] += 1.0
    return given
