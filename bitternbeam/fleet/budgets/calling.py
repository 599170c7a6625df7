"""Calling back at the members: where a guarantee is short, who borrows takes less again than it may.

A member that has its part takes again what it releases, and only one that has more than its part gives it
back: of eight borrowed lines two may come back no sooner than the two calls that happen to stand there. So
more is held down than is owed, as much as surely ends within a turn of reports and records; what came back
beyond what is owed is granted anew in the next period.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Generator, Mapping

from bitternbeam.fleet.budgets.apportionment import apportion
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.slices import Meter
from bitternbeam.fleet.budgets.terms import Tenant

TURN = 1  # periods in which what ends is seen in time


def to_hold(owed: int, rate: float) -> int:
    """Return of how many lines `owed` surely end in a turn; rate: the part that ends in a period.

    A Poisson count of mean x reaches x - 2 sqrt(x) surely (lending.surely), here solved for x.
    """
    mean = (1 + math.sqrt(1 + owed)) ** 2
    part = 1 - (1 - min(1.0, rate)) ** TURN
    return math.ceil(mean / part) if part > 0.01 else 1 << 30


def called_back(
    tenants: Collection[Tenant], short: Collection[str], rates: Mapping[str, float], *,
    amounts: Mapping[Pair, int], out: Mapping[Pair, int],
) -> tuple[dict[str, int], set[str]]:  # fmt: skip
    """Return by tenant how many lines more than it owes are held down, and at which bookers.

    Those are where a guarantee is short. Nobody is brought below its own. short: who is under its guarantee;
    rates: of each booker, what part ends in a period; out: what may be held now.
    """
    pressing = [one.bookers or rates for one in tenants if one.name in short]
    pressed = {booker for names in pressing for booker in names}
    spare = {one.name: -one.lines.guarantee for one in tenants if one.name not in short}
    owed: dict[str, int] = {}
    for pair in amounts.keys() | out.keys():
        if pair[0] in spare:
            spare[pair[0]] += amounts.get(pair, 0)
            over = out.get(pair, 0) - amounts.get(pair, 0)
            if over > 0 and pair[1] in pressed:
                owed[pair[0]] = owed.get(pair[0], 0) + over
    rate = sum(rates.get(one, 0.0) for one in pressed) / max(1, len(pressed))
    more = {tenant: min(to_hold(much, rate) - much, spare[tenant]) for tenant, much in owed.items()}
    return {tenant: much for tenant, much in more.items() if much > 0}, pressed


def held_down(
    grants: Mapping[str, dict[Pair, float]], more: Mapping[str, int], pressed: Collection[str], meter: Meter
) -> Generator[None, None, None]:
    """Lower the members' grants of some tenants by so many lines each, spread over all that they have."""
    cells: dict[str, dict[tuple[str, Pair], int]] = {}
    for name, extras in grants.items():
        for pair, extra in extras.items():
            if pair[0] in more and pair[1] in pressed:
                cells.setdefault(pair[0], {})[name, pair] = int(extra)
        if meter.spent(3 * len(extras)):
            yield
    for tenant, mine in cells.items():
        for (name, pair), less in apportion(mine, more[tenant]).items():
            if grants[name][pair] > less:
                grants[name][pair] -= less
            else:
                del grants[name][pair]
        if meter.spent(8 * len(mine)):
            yield
