"""From a snapshot and changes to the next snapshot, in slices; all faults of the result are told at once.

Only what changes is looked at, and what names it or is named by it: a delta of ten keys costs as much in a
version of a hundred as in one of a hundred thousand. Whoever drives `Compilation.steps()` decides how long to
stay in it at a time.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator

from bitternbeam.config import ConfigError, read_address
from bitternbeam.configuration.delta import SLICE, Changes, Number
from bitternbeam.configuration.faults import MOST_FAULTS, DocumentError, Fault, path_of, shown
from bitternbeam.configuration.reading import MODULUS, weigh
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
from bitternbeam.configuration.snapshot import ANY_CALLER, Listed, Snapshot, match_of, uses


class Indexes:
    """The entries and indexes of the next snapshot, changed from those of the one before."""

    def __init__(self, base: Snapshot) -> None:
        self.settings = base.settings
        self.entries, self.routes = base.entries.mutate(), base.routes.mutate()
        self.lengths, self.users = base.lengths.mutate(), base.users.mutate()

    def remove(self, key: Key, entry: AnyEntry) -> None:
        """Take an entry out."""
        for used in uses(key, entry):
            self.users[used] -= 1
            if not self.users[used]:
                del self.users[used]
        if isinstance(entry, Route):
            length = len(entry.prefix)
            self.routes.pop(match_of(entry), None)
            self.lengths[length] -= 1
            if not self.lengths[length]:
                del self.lengths[length]
        del self.entries[key]

    def add(self, key: Key, entry: AnyEntry) -> str | None:
        """Put an entry in; returns the name of a route that matched the same calls."""
        self.entries[key] = entry
        for used in uses(key, entry):
            self.users[used] = self.users.get(used, 0) + 1
        if not isinstance(entry, Route):
            return None
        length, match = len(entry.prefix), match_of(entry)
        other = self.routes.get(match)
        self.routes[match] = key[1]
        self.lengths[length] = self.lengths.get(length, 0) + 1
        return other

    def finish(self, number: Number, content: int) -> Snapshot:
        """Return the snapshot."""
        return Snapshot(
            number, self.settings, self.entries.finish(), self.routes.finish(), self.lengths.finish(),
            self.users.finish(), content,
        )  # fmt: skip


class Compilation:
    """One run of the compiler; `result` is there once steps() has run out without a DocumentError."""

    def __init__(
        self, base: Snapshot, changes: Changes, number: Number, listed: Listed, proven: int | None = None
    ) -> None:
        """Take what is to be compiled; `proven` is the content digest of what was checked before."""
        self.base = base
        self.proven = proven
        self.changes = changes
        self.number = number
        self.content = base.content
        self.listed = listed
        self.classes = {one.name: one for one in base.settings.classes}
        self.faults: list[Fault] = []
        self.needed: set[Key] = set()  # that are removed, and named by others
        self.result: Snapshot | None = None

    def steps(self) -> Iterator[None]:
        """Compile; pauses between slices. Raises DocumentError with every fault found."""
        base = self.base
        indexes = Indexes(base)
        # What goes leaves the indexes first: a route may take over the match of one that is removed.
        for count, key in enumerate(self.changes):
            old = base.entries.get(key)
            if old is not None:
                indexes.remove(key, old)
                self.content -= weigh(key, old) if self.proven is None else 0
            if count % SLICE == 0:
                yield
        for count, (key, entry) in enumerate(self.changes.items()):
            if entry is not None:
                other = indexes.add(key, entry)
                self.content += weigh(key, entry) if self.proven is None else 0
                if other is not None:
                    self.fault(key, "", f"matches the same calls as route.{other}")
            if count % SLICE == 0:
                yield
        content = self.content % MODULUS if self.proven is None else self.proven
        built = indexes.finish(self.number, content)
        if self.proven is None:
            yield from self._check_changes(built)
        if self.needed:
            yield from self._check_needed(built)
        if self.faults:
            raise DocumentError(self.faults)
        self.result = built

    def _check_changes(self, built: Snapshot) -> Iterator[None]:
        """Check every entry that changes."""
        for count, (key, entry) in enumerate(self.changes.items()):
            self.check(built, key, entry)
            if count % SLICE == 0:
                yield
            if len(self.faults) >= MOST_FAULTS:
                break

    def _check_needed(self, built: Snapshot) -> Iterator[None]:
        """Find who still names what is removed."""
        for count, (key, entry) in enumerate(built.entries.items()):
            for used in self.needed.intersection(uses(key, entry)):
                self.fault(used, "", f"is removed, but {path_of(*key)} names it")
            if count % SLICE == 0:
                yield
            if len(self.faults) >= MOST_FAULTS:
                break

    def run(self) -> Snapshot:
        """Compile without a pause."""
        for _ in self.steps():
            pass
        assert self.result is not None
        return self.result

    def fault(self, key: Key, rest: str, what: str) -> None:
        """Note a fault, in TOML's words."""
        self.faults.append(Fault(path_of(*key, rest.replace("call_class", "class")), what))

    def check(self, built: Snapshot, key: Key, entry: AnyEntry | None) -> None:
        """Look for faults in one changed entry that its own schema can't find."""
        if entry is None:
            self.check_gone(built, key)
        elif isinstance(entry, Booker):
            self.check_address(key, "addr", entry.addr)
        elif isinstance(entry, Group):
            self.check_group(built, key, entry)
        elif isinstance(entry, Route):
            self.check_class(key, "call_class", entry.call_class or None)
            for place, name in enumerate(entry.groups):
                if ("group", name) not in built.entries:
                    self.fault(key, f"groups[{place}]", f"{shown(name)}: no such group")
        elif isinstance(entry, ClassLimits):
            self.check_class(key, "", key[1])
            self.check_bounds(key, entry)
        elif isinstance(entry, CallerLimits):
            self.check_caller(key)
        elif isinstance(entry, Plugin):
            if entry.enabled and not entry.file:
                self.fault(key, "file", "missing")
        elif isinstance(entry, Sip):
            self.check_sip(built, key, entry)
        elif isinstance(entry, Consul):
            self.check_address(key, "addr", entry.addr)

    def check_gone(self, built: Snapshot, key: Key) -> None:
        """Refuse to take away what others name; a booker may still be on the list."""
        if key[0] == "booker" and self.listed(key[1]):
            return
        if key in built.users:
            self.needed.add(key)

    def check_group(self, built: Snapshot, key: Key, group: Group) -> None:
        """Check a group's members."""
        if not group.bookers and not group.cells:
            self.fault(key, "bookers", "empty, and so is cells: a group needs members")
        if len(set(group.bookers)) < len(group.bookers):
            self.fault(key, "bookers", "a booker is named twice")
        for place, name in enumerate(group.bookers):
            if ("booker", name) not in built.entries and not self.listed(name):
                self.fault(
                    key,
                    f"bookers[{place}]",
                    f"{shown(name)}: no such booker, neither listed nor in the version",
                )
        for field, names in (("weights", group.weights), ("closed", group.closed)):
            for name in names:
                # A booker may be a member by its cell, and its name new; so only a plain slip is refused.
                if name not in group.bookers and not group.cells:
                    self.fault(key, f"{field}.{name}", "is no member of the group")
        for name, classes in group.closed.items():
            for place, kind in enumerate(classes):
                self.check_class(key, f"closed.{name}[{place}]", kind)

    def check_class(self, key: Key, rest: str, kind: str | None) -> None:
        """Check that a class is one of the settings."""
        if kind is not None and kind not in self.classes:
            known = ", ".join(self.classes)
            self.fault(key, rest, f"{shown(kind)} is not a class of the settings: {known}")

    def check_bounds(self, key: Key, limits: ClassLimits) -> None:
        """Refuse limits that are looser than the settings allow; what stands at its default is not said."""
        kind = self.classes.get(key[1])
        most = self.base.settings.max_attempts
        if limits.attempts != ClassLimits().attempts and limits.attempts > most:
            self.fault(key, "attempts", f"{limits.attempts} is looser than the settings allow: {most}")
        if (
            kind
            and limits.answer_ms != ClassLimits().answer_ms
            and limits.answer_ms * 1000 > kind.deadline_us
        ):
            most_ms = kind.deadline_us // 1000
            self.fault(key, "answer_ms", f"{limits.answer_ms} is looser than the settings allow: {most_ms}")

    def check_caller(self, key: Key) -> None:
        """Check that a caller is named by its address."""
        if key[1] != ANY_CALLER:
            try:
                ipaddress.ip_address(key[1])
            except ValueError:
                self.fault(key, "", f"{shown(key[1])} is neither an IP address nor {ANY_CALLER!r}")

    def check_address(self, key: Key, rest: str, addr: str) -> None:
        """Check host:port."""
        try:
            read_address(rest, addr)
        except ConfigError:
            self.fault(key, rest, f"{shown(addr)} is not host:port")

    def check_sip(self, built: Snapshot, key: Key, sip: Sip) -> None:
        """Check the SIP side."""
        if not sip.enabled:
            return
        self.check_address(key, "listen", sip.listen)
        self.check_class(key, "call_class", sip.call_class or None)
        brought = any(name[0] == "booker" for name in built.entries)
        if not brought and ("consul", "") not in built.entries:
            self.fault(key, "server", "at least one is needed without [consul]")


def compile_version(base: Snapshot, changes: Changes, number: Number, listed: Listed) -> Snapshot:
    """Return the snapshot of a version, all at once; raises DocumentError."""
    return Compilation(base, changes, number, listed).run()
