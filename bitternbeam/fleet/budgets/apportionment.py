"""Whole parts of an amount."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Name = TypeVar("Name", bound=Hashable)


def apportion(wanted: Mapping[Name, int], room: int) -> dict[Name, int]:
    """Split `room` by what is wanted, in whole parts; never more than wanted (by largest remainders)."""
    total = sum(wanted.values())
    if total <= room:
        return dict(wanted)
    parts = {name: amount * room // total for name, amount in wanted.items()}
    left = room - sum(parts.values())
    for name in sorted(wanted, key=lambda one: -(wanted[one] * room % total))[:left]:
        parts[name] += 1
    return parts
