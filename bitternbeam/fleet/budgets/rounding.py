"""Whole amounts out of levels: connections and lines can't be cut in pieces.

Each tenant begins with its amount rounded down; what is left is given out one by one, always to the tenant
that would stand lowest after it, if the bookers allow (greedy over an integral polymatroid, Federgruen and
Groenevelt 1986). It is D'Hondt's divisor rule on a network. Largest remainders would now and then take one
from a tenant because a budget grew (the Alabama paradox); this rule can't: what more budget allows is added
to what was chosen before, as a heaviest basis of a matroid grows with it.
"""

from __future__ import annotations

import heapq
from collections.abc import Generator, Sequence

from bitternbeam.fleet.budgets.filling import ONE, Claim, Filled
from bitternbeam.fleet.budgets.flow import Flow
from bitternbeam.fleet.budgets.network import Network
from bitternbeam.fleet.budgets.slices import Meter

HAIR = 64  # of ONE: a level is known to about so much, and never rounded up over it


def rounded(
    network: Network, claims: Sequence[Claim], filled: Filled, meter: Meter
) -> Generator[None, None, list[int]]:
    """Return the whole amount of every tenant."""
    amounts = [
        max(one.base, min(one.cap, (int(one.at(level) * ONE) - HAIR) // ONE))
        for one, level in zip(claims, filled.levels, strict=True)
    ]
    yield
    flow = Flow(network.allowed, network.capacity)
    wanted = [0] * len(network.allowed)
    for tenant, amount in enumerate(amounts):
        wanted[network.group[tenant]] += amount
    for group, sent in enumerate(filled.flow.sent):
        for booker, fixed in sent.items():
            flow.put(group, booker, min(fixed // ONE, wanted[group] - flow.total[group]))
            if meter.spent(3):
                yield
        for _ in flow.push(group, wanted[group] - flow.total[group]):
            if meter.spent(flow.work):
                yield
            flow.work = 0
    flow.reopen()
    yield
    line = [
        (one.key(amounts[at] + 1), at) for at, one in enumerate(claims) if amounts[at] < one.cap
    ]  # by the level after the next unit, of equals the first by name
    heapq.heapify(line)
    while line:
        _key, tenant = heapq.heappop(line)
        group = network.group[tenant]
        if group in flow.reached or not sum(flow.push(group, 1)):
            continue  # nobody behind a bottleneck gets more again
        amounts[tenant] += 1
        if amounts[tenant] < claims[tenant].cap:
            heapq.heappush(line, (claims[tenant].key(amounts[tenant] + 1), tenant))
        if meter.spent(flow.work + 4):
            yield
        flow.work = 0
    return amounts
