"""A sketch of so many clients."""

from __future__ import annotations

from bitternbeam.fleet.returns.sketches import HyperLogLog
from bitternbeam.fleet.returns.slots import hash_client


def sketch_of(count: float) -> HyperLogLog:
    one = HyperLogLog()
    for number in range(int(count)):
        one.add(hash_client(f"x{number}"))
    return one
