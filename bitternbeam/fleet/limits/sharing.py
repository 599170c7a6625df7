"""Who gets how much of a limit: max-min fair on demand, of a rate weighted by demand, with head-room.

Max-min fairness by water-filling (Bertsekas and Gallager, Data Networks, 1992, 6.5.2): no member gets more
than it wants while another wants more than it gets. Of a rate the weights are what the members want: members
are no parties, and each call has the same chance to whichever it came. (Even parts also leave more unused: a
member that is asked for just its part is asked for less or for more in each second.) What nobody wants is
lent as head-room: a half of it, so that a member whose demand grows need not wait, one part of that evenly
and one by demand; the other half stays with the owner for members that come or come back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

Sharing = Callable[[Mapping[str, float], float], dict[str, float]]

LENT_SHARE = 0.5  # of what nobody wants
EVENLY_LENT_SHARE = 0.5  # of what is lent
MAX_MEDIAN_MULTIPLE = 10.0  # more than so many times what the middle member wants does not count
MIN_WEIGHT = 1e-9


def water_fill(
    wants: Mapping[str, float], amount: float, weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return max-min fair parts by weight, none above its want; they sum to at most the amount."""
    given: dict[str, float] = {}
    left = max(0.0, amount)
    weighs = weights or dict.fromkeys(wants, 1.0)
    ordered = sorted(wants, key=lambda name: (wants[name] / max(weighs[name], MIN_WEIGHT), name))
    heavy = sum(max(weighs[name], MIN_WEIGHT) for name in ordered)
    for name in ordered:
        weight = max(weighs[name], MIN_WEIGHT)
        given[name] = max(0.0, min(wants[name], left * min(1.0, weight / max(heavy, MIN_WEIGHT))))
        left, heavy = max(0.0, left - given[name]), heavy - weight
    return given


def capped_weights(wants: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return the weights of a rate: the wants, each up to FLOOD times the middle one or an even part.

    Danger: callers that flood one member would else take all from those at the others.
    """
    middle = sorted(wants.values())[len(wants) // 2] if wants else 0.0
    most = max(MAX_MEDIAN_MULTIPLE * middle, amount / max(1, len(wants)))
    return {name: min(want, most) for name, want in wants.items()}


def share_rate(wants: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return each member's part of a rate: by what it wants, and head-room of what is left."""
    return share(wants, amount, capped_weights(wants, amount))


def share(
    wants: Mapping[str, float], amount: float, weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return each member's part: its fair one, and head-room of what is left."""
    given = water_fill(wants, amount, weights)
    lent = max(0.0, amount - sum(given.values())) * LENT_SHARE
    total = sum(wants.values())
    for name in given:
        by_demand = wants[name] / total if total > 0 else 1 / len(given)
        given[name] += lent * (EVENLY_LENT_SHARE / len(given) + (1 - EVENLY_LENT_SHARE) * by_demand)
    return given


def round_to_whole(parts: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return the parts as whole numbers, summing to at most the amount: largest remainders first."""
    given = {name: float(int(part + 1e-9)) for name, part in parts.items()}
    left = int(min(amount, sum(parts.values())) + 1e-9) - sum(given.values())
    by_remainder = sorted(parts, key=lambda name: (given[name] - parts[name], name))
    for name in by_remainder[: max(0, int(left))]:
        given[name] += 1.0
    return given
