"""What each tenant is entitled to at each booker: claims, levels, whole amounts, places.

Two questions a kind. Its *own* share is what a tenant would get if all asked for everything; it changes only
with the settings and the budgets, and is kept. What it *wants* is then granted up to its own share before
anybody borrows, guarantees next, and what is left over by weight, lessened by what was borrowed before.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Mapping, Sequence
from dataclasses import dataclass

from bitternbeam.fleet.budgets.filling import Claim, fill
from bitternbeam.fleet.budgets.network import Network
from bitternbeam.fleet.budgets.placing import Pair, placed
from bitternbeam.fleet.budgets.rounding import rounded
from bitternbeam.fleet.budgets.slices import Meter
from bitternbeam.fleet.budgets.terms import Budget, Kind, Tenant

LAST = 1e-6  # weight of a tenant without one, as a part of the least: it gets what nobody else wants


@dataclass(frozen=True, slots=True)
class Sharing:
    """Tenants and budgets of one kind, and every tenant's own share."""

    kind: Kind
    tenants: tuple[Tenant, ...]  # by name
    network: Network
    weights: tuple[float, ...]
    own: tuple[int, ...]

    def by_name(self) -> dict[str, int]:
        """Return the own shares by tenant."""
        return {one.name: own for one, own in zip(self.tenants, self.own, strict=True)}


def amounts_of(network: Network, claims: Sequence[Claim], meter: Meter) -> Generator[None, None, list[int]]:
    """Return the whole amounts of claims."""
    filled = yield from fill(network, claims, meter)
    return (yield from rounded(network, claims, filled, meter))


def sharing(
    kind: Kind, tenants: Sequence[Tenant], budgets: Sequence[Budget], meter: Meter
) -> Generator[None, None, Sharing]:
    """Build the network of one kind and find the own shares."""
    tenants = tuple(sorted(tenants, key=lambda one: one.name))
    network = Network.of([one.bookers for one in tenants], {one.booker: one.of(kind) for one in budgets})
    least = min((one.weight for one in tenants if one.weight > 0), default=1.0)
    weights = tuple(one.weight or least * LAST for one in tenants)
    whole = sum(network.capacity)
    claims = []
    for one, weight in zip(tenants, weights, strict=True):
        part = one.part(kind)
        cap = min(part.most, whole)
        claims.append(Claim(0, min(part.guarantee, cap), cap, weight))
    yield
    own = yield from amounts_of(network, claims, meter)
    return Sharing(kind, tenants, network, weights, tuple(own))


def solve(
    shares: Sharing, wanted: Mapping[str, int], debts: Mapping[str, float], *,
    bound: Mapping[Pair, int], urgent: Collection[str], meter: Meter,
) -> Generator[None, None, dict[Pair, int]]:  # fmt: skip
    """Return the entitlement of each (tenant, booker).

    wanted: what each tenant could use, over all of its bookers; debts: what it borrowed lately, in own
    shares; bound: what may be held now (entitlements stay where calls are); urgent: who is under its
    guarantee.
    """
    claims = []
    for one, weight, own in zip(shares.tenants, shares.weights, shares.own, strict=True):
        part = one.part(shares.kind)
        cap = max(0, min(wanted.get(one.name, 0), part.most))
        base = min(cap, own)
        floor = max(base, min(cap, part.guarantee))
        claims.append(Claim(base, floor, cap, weight / (1.0 + max(0.0, debts.get(one.name, 0.0)))))
    yield
    amounts = yield from amounts_of(shares.network, claims, meter)
    names = [one.name for one in shares.tenants]
    return (yield from placed(shares.network, names, amounts, bound=bound, urgent=urgent, meter=meter))
