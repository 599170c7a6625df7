"""A version, compiled: an immutable snapshot that shares with the one before it all that did not change."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias, cast

from immutables import Map

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.schema import (
    AnyEntry,
    Booker,
    CallerLimits,
    ClassLimits,
    Consul,
    Group,
    Key,
    Plugin,
    Route,
    Sip,
)  # fmt: skip
from bitternbeam.decision.interface import Settings, Tier

Match: TypeAlias = tuple[str, int, str]  # class, cell and prefix; "" and -1 are any
Users: TypeAlias = Map[Key, int]  # how many entries name an entry

NO_CLASS = ClassLimits()
ANY_CALLER = "default"


def match_of(route: Route) -> Match:
    """Return what a route matches, as its index has it."""
    return route.call_class, route.cell, route.prefix


def uses(key: Key, entry: AnyEntry) -> list[Key]:
    """Return the entries that an entry names and can't do without."""
    if key[0] == "route":
        return [("group", name) for name in cast(Route, entry).groups]
    if key[0] == "group":
        return [("booker", name) for name in cast(Group, entry).bookers]
    return []


@dataclass(frozen=True, slots=True)
class Bounds:
    """What holds for one call: the operators' settings, narrowed by its version."""

    attempts: int
    answer_us: int


@dataclass(frozen=True, slots=True, eq=False)
class Snapshot:
    """One whole version. Nothing of it ever changes, but for what `tiers` remembers."""

    number: Number
    settings: Settings
    entries: Map[Key, AnyEntry]
    routes: Map[Match, str]  # which route's name stands for a match
    lengths: Map[int, int]  # of prefixes: how many routes have each
    users: Users
    content: int = 0  # digest, as reading.weigh() has it
    _tiers: dict[tuple[tuple[str, ...], str], tuple[Tier, ...]] = field(default_factory=dict, repr=False)

    @classmethod
    def empty(cls, settings: Settings, number: Number) -> Snapshot:
        """Return the version that says nothing: every call may go anywhere."""
        return cls(number, settings, Map(), Map(), Map(), Map())

    @classmethod
    def proven(
        cls, settings: Settings, number: Number, entries: dict[Key, AnyEntry], content: int
    ) -> Snapshot:
        """Build a version that was checked before, all at once: several times as fast as in slices."""
        routes = {match_of(one): key[1] for key, one in entries.items() if isinstance(one, Route)}
        lengths = Counter(len(match[2]) for match in routes)
        users = Counter(used for key, one in entries.items() for used in uses(key, one))
        return cls(number, settings, Map(entries), Map(routes), Map(lengths), Map(users), content)

    def route(self, call_class: str, cell: int, number: str) -> Route | None:
        """Return the narrowest route that matches: longest prefix first, then class, then cell."""
        if not self.routes:
            return None
        for length in sorted(self.lengths, reverse=True):
            if length > len(number):
                continue
            prefix = number[:length]
            for match in (
                (call_class, cell, prefix), (call_class, -1, prefix), ("", cell, prefix), ("", -1, prefix),
            ):  # fmt: skip
                name = self.routes.get(match)
                if name is not None:
                    return cast(Route, self.entries["route", name])
        return None

    def candidates(self, call_class: str, cell: int, number: str) -> tuple[Tier, ...] | None:
        """Return the bookers allowed to a call, in order of preference; None: all that are listed."""
        route = self.route(call_class, cell, number)
        if route is None:
            return None
        key = (route.groups, call_class)
        tiers = self._tiers.get(key)
        if tiers is None:
            tiers = self._tiers[key] = tuple(self.tier(name, call_class) for name in route.groups)
        return tiers

    def tier(self, name: str, call_class: str) -> Tier:
        """Return a group's bookers as a class may use them."""
        group = cast(Group, self.entries["group", name])
        shut = frozenset(booker for booker, classes in group.closed.items() if call_class in classes)
        named = {one: group.weights.get(one, 1.0) for one in group.bookers if one not in shut}
        return Tier(named, frozenset(group.cells), shut, group.weights)

    def bounds(self, call_class: str) -> Bounds:
        """Return a class's limits, never looser than the settings."""
        limits = self.class_limits(call_class)
        longest_us = next(
            (one.deadline_us for one in self.settings.classes if one.name == call_class), 3_600_000_000
        )
        return Bounds(
            min(limits.attempts, self.settings.max_attempts), min(limits.answer_ms * 1000, longest_us)
        )

    def class_limits(self, call_class: str) -> ClassLimits:
        """Return what the version says of a class."""
        return cast(ClassLimits, self.entries.get(("class", call_class), NO_CLASS))

    def caller_limits(self, caller: str) -> CallerLimits | None:
        """Return what the version says of a caller, by name or by default."""
        found = self.entries.get(("callers", caller)) or self.entries.get(("callers", ANY_CALLER))
        return cast("CallerLimits | None", found)

    def bookers(self) -> dict[str, Booker]:
        """Return the bookers that the version itself brings."""
        return {key[1]: one for key, one in self.entries.items() if isinstance(one, Booker)}

    @property
    def plugin(self) -> Plugin | None:
        """The plug-in's entry."""
        return cast("Plugin | None", self.entries.get(("plugin", "")))

    @property
    def sip(self) -> Sip | None:
        """The SIP side's entry."""
        return cast("Sip | None", self.entries.get(("sip", "")))

    @property
    def consul(self) -> Consul | None:
        """Consul's entry."""
        return cast("Consul | None", self.entries.get(("consul", "")))


Listed: TypeAlias = Callable[[str], bool]  # whether a booker stands on the list now
