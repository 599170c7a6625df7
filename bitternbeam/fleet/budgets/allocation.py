"""One tenant's amounts allocated to the members: who gets how much, and at which bookers.

How much a member gets goes by what it wants over all of the tenant's bookers: max-min with some room, then a
part of what nobody wants, evenly. Where goes by what it may have already, then wherever something is left. So
a member has few pairs, and what it gets does not depend on the booker at which it was refused.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from functools import lru_cache

from bitternbeam.fleet.limits.sharing import water_fill

LENT = 0.5  # of what nobody wants; the rest stays with the owner for those that come
ROOM = 4  # a member is lent a fourth of its demand beyond it, one at least

Parts = dict[str, dict[str, int]]  # by booker and member


@lru_cache(maxsize=1 << 16)
def _turn(tenant: str, name: str) -> int:
    """Return where a member stands in a tenant's line, of those that are alike."""
    return zlib.crc32(f"{tenant}/{name}".encode())


def quotas(tenant: str, wants: Mapping[str, float], total: int, has: Mapping[str, float]) -> dict[str, int]:
    """Return how many lines each member gets; where there are few, those first that have them."""
    if not wants or total <= 0:
        return dict.fromkeys(wants, 0)
    roomy = {name: want + max(1.0, want / ROOM) for name, want in wants.items()}
    parts = water_fill(roomy, total)
    spare = max(0.0, total - sum(parts.values())) * LENT / len(parts)
    given = {name: int(part + spare + 1e-9) for name, part in parts.items()}
    left = int(sum(parts.values()) + spare * len(parts) + 1e-6) - sum(given.values())

    def behind(name: str) -> tuple[float, bool, float, int]:
        # Danger: a line that moves is of no use to anybody for two periods.
        stays = has.get(name, 0.0) >= given[name] + 1
        far = round(given[name] - parts[name] - spare, 6)
        return far, not stays, given[name] - wants[name], _turn(tenant, name)

    if left > 0:
        for name in sorted(parts, key=behind)[:left]:
            given[name] += 1
    return given


def allocated(
    tenant: str,
    amounts: Mapping[str, int],
    wants: Mapping[str, float],
    has: Mapping[str, Mapping[str, float]],
) -> Parts:
    """Return each member's part at each booker; has: by booker and member, what it may have there now."""
    standing: dict[str, float] = {}
    for mine in has.values():
        for name, much in mine.items():
            standing[name] = standing.get(name, 0.0) + much
    left = quotas(tenant, wants, sum(amounts.values()), standing)
    found: Parts = {booker: {} for booker in amounts}
    free = dict(amounts)
    for booker, mine in has.items():
        for name in sorted(mine, key=lambda one: -mine[one]):
            kept = min(int(mine[name] + 1e-9), left.get(name, 0), free.get(booker, 0))
            if kept > 0:
                found[booker][name] = kept
                left[name] -= kept
                free[booker] -= kept
    line = sorted((booker for booker, much in free.items() if much > 0), key=lambda one: -free[one])
    for name in left:
        while left[name] > 0 and line:
            booker = line[-1]
            took = min(left[name], free[booker])
            found[booker][name] = found[booker].get(name, 0) + took
            free[booker] -= took
            left[name] -= took
            if not free[booker]:
                line.pop()
    return found


def issued(goals: Mapping[str, int], base: Mapping[str, float], free: float) -> dict[str, float]:
    """Return what each member is granted of one pair: of its part what it may have, and more from `free`.

    base: what it may have; what it loses comes free once it said so. Danger: what is free is given out a
    line at a time, to who lacks most first. Split evenly, a line for two members was of use to neither.
    """
    given = {name: float(min(goal, base.get(name, 0.0))) for name, goal in goals.items()}
    line = [name for name, goal in goals.items() if goal > given[name]]
    if free >= sum(goals[name] - given[name] for name in line):
        given |= {name: float(goals[name]) for name in line}
        line = []
    while free > 0 and line:
        line.sort(key=lambda name: (given[name] - goals[name], given[name], name))
        for name in line:
            more = min(1.0, goals[name] - given[name], free)
            given[name] += more
            free -= more
        line = [name for name in line if goals[name] > given[name]]
    return {name: much for name, much in given.items() if much > 0}
