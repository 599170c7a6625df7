"""The version that is measured: many bookers and routes."""

from __future__ import annotations

from bitternbeam.configuration.schema import AnyEntry, Group, Key, Route


def document(bookers: int, routes: int) -> dict[Key, AnyEntry]:
    """Return a version: ten bookers a group, and routes by class, cell and prefix."""
    entries: dict[Key, AnyEntry] = {}
    groups = bookers // 10
    for group in range(groups):
        names = tuple(f"b{group * 10 + place}" for place in range(10))
        entries["group", f"g{group}"] = Group(names)
    for route in range(routes):
        chosen = (f"g{route % groups}", f"g{(route + 1) % groups}")
        entries["route", f"r{route}"] = Route(chosen, prefix=f"+{route:06d}")
    return entries
