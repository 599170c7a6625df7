"""Tenants and bookers as a bipartite network: bookers are bits, tenants with the same bookers one group.

A tenant's demand may be served at any of its bookers, so that its arcs have no bound of their own and
those that share a set of bookers can be one node of the flow.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass


def bits(mask: int) -> Iterator[int]:
    """Yield the places of the bits that are set, lowest first."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


@dataclass(frozen=True, slots=True)
class Network:
    """Groups of tenants by allowed bookers, and what each booker has."""

    bookers: list[str]
    capacity: list[int]  # by booker
    allowed: list[int]  # by group: mask of bookers
    group: list[int]  # by tenant
    masks: list[int]  # by tenant: mask of bookers

    @classmethod
    def of(cls, allowed: Sequence[Sequence[str]], budgets: Mapping[str, int]) -> Network:
        """Build it; a tenant without bookers may use all; those unknown are left out."""
        bookers = sorted(budgets)
        place = {name: at for at, name in enumerate(bookers)}
        whole = (1 << len(bookers)) - 1
        groups: dict[int, int] = {}
        group, masks = [], []
        for names in allowed:
            mask = 0 if names else whole
            for name in names:
                if name in place:
                    mask |= 1 << place[name]
            masks.append(mask)
            group.append(groups.setdefault(mask, len(groups)))
        return cls(bookers, [budgets[name] for name in bookers], list(groups), group, masks)
