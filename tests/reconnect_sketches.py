"""Sketches of a given number of distinct clients."""

from __future__ import annotations

from bitternbeam.fleet.returns.sketches import HyperLogLog
from bitternbeam.fleet.returns.slots import hash_client


def sketch_of(count: float) -> HyperLogLog:
    sketch = HyperLogLog()
    for number in range(int(count)):
        sketch.add(hash_client(f"x{number}"))
    return sketch
