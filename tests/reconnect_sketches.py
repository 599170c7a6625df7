"""A sketch of so many clients."""

from __future__ import annotations

from bitternbeam.fleet.returns.sketches import Distinct
from bitternbeam.fleet.returns.slots import client_mix


def seen(count: float) -> Distinct:
    one = Distinct()
    for number in range(int(count)):
        one.add(client_mix(f"x{number}"))
    return one
