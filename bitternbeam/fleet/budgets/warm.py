"""Idle connections: how many a tenant may keep warm, and which ones close when they are called back."""

from __future__ import annotations

from collections.abc import Collection, Generator, Mapping

from bitternbeam.fleet.budgets.apportionment import apportion
from bitternbeam.fleet.budgets.demand import NONE, Counts
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.slices import Meter
from bitternbeam.fleet.budgets.solve import Sharing


def warm_cap(idle: int, amount: int, busy: int, *, own: int, damped: bool, called_back: bool) -> int:
    """Return how many idle connections a tenant may keep over all of its bookers.

    At most its setting `idle`, and what it may hold beyond what is busy; none while it is damped; none
    beyond its own share while a guarantee at one of its bookers is short.
    """
    if damped:
        return 0
    most = min(amount, own) if called_back else amount
    return max(0, min(idle, most - busy))


def warmed(
    shares: Sharing, counts: Mapping[str, Counts], amounts: Mapping[Pair, int], *,
    short: Collection[str], damped: Collection[str], meter: Meter,
) -> Generator[None, None, dict[Pair, int]]:  # fmt: skip
    """Return how many idle connections each (tenant, booker) may keep, split by what it may hold at each.

    short: tenants under their guarantee: the others give up what they borrow at the bookers of these.
    """
    parts: dict[str, dict[str, int]] = {}
    for (tenant, booker), amount in amounts.items():
        parts.setdefault(tenant, {})[booker] = amount
        if meter.spent(2):
            yield
    pressed = 0
    for one, mask in zip(shares.tenants, shares.network.masks, strict=True):
        pressed |= mask if one.name in short else 0
    found: dict[Pair, int] = {}
    for one, mask, own in zip(shares.tenants, shares.network.masks, shares.own, strict=True):
        mine, row = parts.get(one.name, {}), counts.get(one.name, NONE)
        back = bool(mask & pressed) and one.name not in short
        cap = warm_cap(
            one.idle, sum(mine.values()), row[1] - row[2], own=own, damped=one.name in damped,
            called_back=back,
        )  # fmt: skip
        found |= {(one.name, booker): part for booker, part in apportion(mine, cap).items() if part}
        if meter.spent(6 + 4 * len(mine)):
            yield
    return found


def closing(held: int, idle: int, amount: int, warm: int) -> int:
    """Return how many idle connections close now: those over the warm part, or over what may be held."""
    return max(0, min(idle, max(idle - warm, held - amount)))
