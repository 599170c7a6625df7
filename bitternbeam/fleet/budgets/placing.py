"""At which bookers a tenant's amount lies: where it holds already, then where room is free now.

Any maximum flow would do for fairness; this one moves little. The groups' flow begins from what their
tenants hold, goes on with what nobody holds, and re-routes only what is left. Inside a group every tenant
may use every one of its bookers, so that the group's parts are dealt out without any search: to those that
hold there, then one after the other (north-west corner rule), which leaves few pairs.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Mapping, Sequence

from bitternbeam.fleet.budgets.apportionment import apportion
from bitternbeam.fleet.budgets.flow import Flow
from bitternbeam.fleet.budgets.network import Network, bits
from bitternbeam.fleet.budgets.slices import Meter

Pair = tuple[str, str]  # tenant, booker
Seeds = list[dict[int, int]]  # by tenant: what it holds at a booker, within its amount


def placed(
    network: Network, names: Sequence[str], amounts: Sequence[int], *,
    bound: Mapping[Pair, int], urgent: Collection[str], meter: Meter,
) -> Generator[None, None, dict[Pair, int]]:  # fmt: skip
    """Return the amount of each (tenant, booker).

    bound: what may be held there now; urgent: tenants that need theirs soon get what nobody holds first.
    """
    seeds, free = yield from _standing(network, names, amounts, bound, meter)
    now = list(free)
    flow = Flow(network.allowed, network.capacity)
    members: list[list[int]] = [[] for _ in network.allowed]
    wanted = [0] * len(network.allowed)
    for tenant, group in enumerate(network.group):
        members[group].append(tenant)
        wanted[group] += amounts[tenant]
        for where, held in seeds[tenant].items():
            flow.put(group, where, held)
        if meter.spent(2 + 4 * len(seeds[tenant])):
            yield
    pressing = {group for name, group in zip(names, network.group, strict=True) if name in urgent}
    yield from _fill_free(network, flow, wanted, free=free, pressing=pressing, meter=meter)
    for group, amount in enumerate(wanted):
        for _ in flow.push(group, amount - flow.total[group]):
            if meter.spent(flow.work):
                yield
            flow.work = 0
    found: dict[Pair, int] = {}
    for group, parts in enumerate(flow.sent):
        line = sorted(members[group], key=lambda one: names[one] not in urgent)
        if meter.spent(len(line)):
            yield
        for tenant, where, amount in _dealt(parts, line, amounts, seeds, now):
            found[names[tenant], network.bookers[where]] = amount
            if meter.spent(6):
                yield
    return found


def _fill_free(
    network: Network, flow: Flow, wanted: Sequence[int], *,
    free: list[int], pressing: Collection[int], meter: Meter,
) -> Generator[None, None, None]:  # fmt: skip
    """Give groups what nobody holds, those that press first, each where most room is."""
    for group in sorted(range(len(wanted)), key=lambda one: one not in pressing):
        amount = wanted[group]
        if flow.total[group] >= amount:
            continue
        for room, where in sorted(((free[one], one) for one in bits(network.allowed[group])), reverse=True):
            if room <= 0 or flow.total[group] >= amount:
                break
            free[where] -= flow.put(group, where, min(room, amount - flow.total[group]))
        if meter.spent(2 * len(free)):
            yield


def _standing(
    network: Network, names: Sequence[str], amounts: Sequence[int], bound: Mapping[Pair, int], meter: Meter
) -> Generator[None, None, tuple[Seeds, list[int]]]:
    """Return what each tenant holds within its amount, and what nobody holds."""
    place = {name: at for at, name in enumerate(names)}
    at_booker = {name: at for at, name in enumerate(network.bookers)}
    free = list(network.capacity)
    rows: list[dict[int, int]] = [{} for _ in names]
    for (name, booker), held in bound.items():
        where, tenant = at_booker.get(booker), place.get(name)
        if where is None or held <= 0:
            continue
        free[where] -= held
        if tenant is not None and network.masks[tenant] >> where & 1:
            rows[tenant][where] = held
        if meter.spent(3):
            yield
    room = list(network.capacity)
    seeds: Seeds = [{} for _ in names]
    for tenant, held_at in enumerate(rows):
        # What is to be given up is spread over all that is held: it comes back sooner than from a few.
        for where, part in apportion(held_at, amounts[tenant]).items():
            took = min(part, room[where])
            if took > 0:
                seeds[tenant][where] = took
                room[where] -= took
        if meter.spent(2 + 4 * len(held_at)):
            yield
    return seeds, free


def _dealt(
    parts: Mapping[int, int],
    tenants: Sequence[int],
    amounts: Sequence[int],
    seeds: Seeds,
    free: Sequence[int],
) -> list[tuple[int, int, int]]:
    """Deal a group's parts out to its tenants; returns (tenant, booker, amount)."""
    quota = dict(parts)
    taken: dict[int, dict[int, int]] = {}
    for tenant in tenants:
        mine = taken[tenant] = {}
        for where, held in seeds[tenant].items():
            took = min(held, quota.get(where, 0))
            if took > 0:
                mine[where] = took
                quota[where] -= took
    line = sorted((where for where, left in quota.items() if left > 0), key=lambda one: free[one])
    for tenant in tenants:
        mine = taken[tenant]
        left = amounts[tenant] - sum(mine.values())
        while left > 0 and line:
            where = line[-1]
            took = min(left, quota[where])
            mine[where] = mine.get(where, 0) + took
            quota[where] -= took
            left -= took
            if not quota[where]:
                line.pop()
    return [(tenant, where, amount) for tenant, mine in taken.items() for where, amount in mine.items()]
