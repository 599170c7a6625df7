"""All versions of one controller: the one that runs, the last good one, the one on its way, and the past.

Nothing here does input or output. Whoever drives it calls work() until it is through, hands the record that
comes out to the store, and tells staged() once that is durable. The order is what keeps the promise of the
stream: checked, durable, acknowledged, applied.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from bitternbeam.configuration.compiling import Compilation
from bitternbeam.configuration.delta import SLICE, Changes, Number, compose, difference, undo
from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.negotiation import Negotiation
from bitternbeam.configuration.pinning import PLUGIN, Pinning
from bitternbeam.configuration.probation import Verdict
from bitternbeam.configuration.reading import line_of, read_kept
from bitternbeam.configuration.schema import AnyEntry, Key
from bitternbeam.configuration.snapshot import Listed, Snapshot

MOST_PAST = 64  # versions that can be gone back to
MOST_BAD = 16  # contents that the probation turned back
MOST_PAST_KEYS = 2_000_000  # in all of their changes


Lines: TypeAlias = list[tuple[Key, bytes]]  # as the stream has them, removals included


def content_of(snapshot: Snapshot) -> str:
    """Return a snapshot's content digest as messages carry it."""
    return f"{snapshot.content:064x}"


@dataclass(slots=True)
class Past:
    """A version that was good, and what takes it back to the one before it."""

    number: Number
    content: str
    undo: Changes
    at_us: int = 0
    reason: str = ""
    kept: bytes = b""  # the undo as the store has it, in place of `undo`: read when it is wanted

    @property
    def size(self) -> int:
        """Number of entries of the undo."""
        return len(self.undo) + (self.kept.count(b"\n") + 1 if self.kept else 0)

    def changes(self) -> Changes:
        """Return the undo."""
        return dict(map(read_kept, self.kept.split(b"\n"))) if self.kept else self.undo


class FromGood(NamedTuple):
    """What leads from the last good version to another, and back."""

    changes: Changes
    undo: Changes
    lines: Lines  # of `changes`, as the store keeps them
    undo_lines: Lines
    moved: frozenset[str]  # bookers that it brings, changes or takes away


@dataclass(slots=True)
class Candidate:
    """A version on its way to being applied."""

    version: Version
    snapshot: Snapshot
    changes: Changes  # from the last good version
    undo: Changes  # back to it
    lines: Lines  # of `changes`, as the store keeps them
    undo_lines: Lines
    moved: frozenset[str]  # bookers that it brings, changes or takes away
    backwards: bool = False  # to an older number, on purpose


@dataclass(slots=True)
class Draft:
    """What a source wants to become a version."""

    version: Version
    entries: Changes
    whole: bool  # the entries are all there is; else changes of what runs
    content: str = ""  # that must come out; empty: not said
    backwards: bool = False
    proven: int | None = None  # its content digest, where it was checked before


def _lines_of(changes: Changes) -> Generator[None, None, Lines]:
    """Return changes as lines, in slices."""
    lines: Lines = []
    for count, (key, entry) in enumerate(changes.items()):
        lines.append((key, line_of(key, entry)))
        if count % SLICE == 0:
            yield None
    return lines


def _moved(changes: Changes) -> Generator[None, None, frozenset[str]]:
    """Return the names of the bookers that change, in slices."""
    moved: set[str] = set()
    for count, (section, name) in enumerate(changes):
        if section == "booker":
            moved.add(name)
        if count % SLICE == 0:
            yield None
    return frozenset(moved)


@dataclass(slots=True)
class Versions:
    """The versions of one controller."""

    pinning: Pinning
    negotiation: Negotiation
    version: Version  # of the snapshot that runs
    good: Snapshot
    changes: Changes = field(default_factory=dict)  # from the last good one to the one on probation
    undo: Changes = field(default_factory=dict)
    undo_lines: Lines = field(default_factory=list)
    past: list[Past] = field(default_factory=list)  # good ones, oldest first, the last good one included
    ended: list[Version] = field(default_factory=list)  # the latest that came to their end
    bad: dict[str, str] = field(default_factory=dict)  # contents that the probation turned back, and why
    condemned: Callable[[str], str] = lambda _content: ""  # elsewhere: why, if a content is

    @classmethod
    def begin(cls, pinning: Pinning, negotiation: Negotiation, source: str) -> Versions:
        """Begin with the snapshot that the pinning holds, as a version known to be good."""
        snapshot = pinning.snapshot
        version = Version(snapshot.number, source, Stage.GOOD, "at the start")
        versions = cls(pinning, negotiation, version, snapshot)
        versions.past.append(Past(snapshot.number, content_of(snapshot), {}, reason="at the start"))
        negotiation.runs(snapshot.number, content_of(snapshot))
        return versions

    @property
    def running(self) -> Snapshot:
        """The snapshot that new calls get."""
        return self.pinning.snapshot

    # The way of a version up to being applied.

    def work(self, draft: Draft, listed: Listed, now_us: int) -> Iterator[Candidate | None]:
        """Check and compile a draft in slices; the last thing yielded is the candidate.

        Raises DocumentError; the version is then turned down.
        """
        version, base = draft.version, self.running
        try:
            changes = {} if draft.whole else draft.entries
            if draft.whole:
                for _ in difference(base.entries, draft.entries, changes):
                    yield None
            compilation = Compilation(base, changes, version.number, listed, draft.proven)
            for _ in compilation.steps():
                yield None
            snapshot = compilation.result
            assert snapshot is not None
            if draft.content and content_of(snapshot) != draft.content:
                raise DocumentError([Fault("", "its content is not what the service says: bases differ")])
        except DocumentError as error:
            first = error.faults[0] if error.faults else Fault("", "no reason")
            self.end(version, Stage.TURNED_DOWN, now_us, first.what, first.key)
            raise
        from_good = yield from self._from_good(base, changes, snapshot)
        version.step(Stage.CHECKED, now_us)
        yield Candidate(version, snapshot, *from_good, draft.backwards)

    def _from_good(
        self, base: Snapshot, changes: Changes, snapshot: Snapshot
    ) -> Generator[None, None, FromGood]:
        """Return what leads from the last good version to a snapshot, which is `changes` from `base`.

        The version on probation may be judged between two slices. What was counted up to then leads from
        another version than the store's last good one, and is counted anew.
        """
        while True:
            good, judged = self.good, self.version
            total, back = yield from self._changes_from_good(base, changes, snapshot)
            lines = yield from _lines_of(total)
            undo_lines = yield from _lines_of(back)
            moved = yield from _moved(total)
            if self.good is good and self.version is judged:
                return FromGood(total, back, lines, undo_lines, moved)

    def _changes_from_good(
        self, base: Snapshot, changes: Changes, snapshot: Snapshot
    ) -> Generator[None, None, tuple[Changes, Changes]]:
        """Return the changes from the last good version and back, in slices."""
        good, back = self.good, dict[Key, AnyEntry | None]()
        if self.running is base:
            total = compose(self.changes, changes) if self.changes else changes
            undone, undo_before = changes, self.undo
        else:
            total = {}
            yield from difference(good.entries, snapshot.entries, total)
            undone, undo_before = total, {}
        yield from undo(good.entries, undone, back)
        return total, compose(back, undo_before) if undo_before else back

    def apply(self, now_us: int, candidate: Candidate) -> None:
        """Offer calls under a candidate that is durable, where there is a store."""
        version, snapshot = candidate.version, candidate.snapshot
        version.step(Stage.STAGED, now_us)
        if not self.version.over:
            self.end(self.version, Stage.SUPERSEDED, now_us, f"by {version.number}")
        self.version, self.changes, self.undo = version, candidate.changes, candidate.undo
        version.step(Stage.APPLIED, now_us)
        self.negotiation.runs(snapshot.number, content_of(snapshot), on_purpose=candidate.backwards)
        touched = PLUGIN in candidate.changes
        self.pinning.swap(now_us, snapshot, self.good, candidate.moved, touched)
        self.undo_lines = candidate.undo_lines
        version.step(Stage.PROBATION, now_us)

    # Probation and after.

    def judge(self, now_us: int) -> tuple[Verdict, str]:
        """Let the judge speak; what he says is done here, and is to be told to the store."""
        if self.version.stage is not Stage.PROBATION:
            return Verdict.WAIT, ""
        condemned = self.condemned(content_of(self.running))
        if condemned:
            # Not among the bad ones: those are told as judged here, and would be judged again without end.
            self.back_to_good(now_us, condemned)
            return Verdict.ROLL_BACK, condemned
        verdict, reason = self.pinning.verdict(now_us)
        if verdict is Verdict.GOOD:
            self.settle(now_us, reason)
        elif verdict is Verdict.ROLL_BACK:
            self.bad[content_of(self.running)] = f"{self.running.number}: {reason}"
            while len(self.bad) > MOST_BAD:
                del self.bad[next(iter(self.bad))]
            self.back_to_good(now_us, reason)
        return verdict, reason

    def settle(self, now_us: int, reason: str) -> None:
        """Take the version that runs for good."""
        self.version.step(Stage.GOOD, now_us, reason)
        self.good = self.running
        self.past.append(Past(self.good.number, content_of(self.good), self.undo, now_us, reason))
        self.changes, self.undo = {}, {}
        while len(self.past) > 2 and (
            len(self.past) > MOST_PAST or sum(one.size for one in self.past) > MOST_PAST_KEYS
        ):
            del self.past[0]

    def back_to_good(self, now_us: int, reason: str) -> None:
        """Go back from the version on probation to the last good one, which needs no check."""
        failed = self.version
        content, number = content_of(self.running), failed.number
        self.end(failed, Stage.ROLLED_BACK, now_us, reason)
        self.changes, self.undo = {}, {}
        self.pinning.swap(now_us, self.good, None)
        self.version = Version(self.good.number, "rollback", Stage.GOOD, f"{number} was rolled back")
        self.negotiation.runs(self.good.number, content_of(self.good))
        self.negotiation.rolled_back(now_us, number, content, f"rolled back: {reason}")

    def end(self, version: Version, stage: Stage, now_us: int, reason: str, key: str = "") -> None:
        """Bring a version to its end."""
        version.step(stage, now_us, reason, key)
        self.ended.append(version)
        del self.ended[:-MOST_PAST]

    # The past.

    def find(self, number: Number) -> int:
        """Return where in the past the latest version of a number stands; raises KeyError."""
        for place in reversed(range(len(self.past))):
            if self.past[place].number == number:
                return place
        raise KeyError(str(number))

    def changes_to(self, number: Number) -> Changes:
        """Return what leads from the version that runs to a good one of the past."""
        changes = dict(self.undo)
        for one in reversed(self.past[self.find(number) + 1 :]):
            changes.update(one.changes())
        return changes

    def compare(self, first: Number, second: Number) -> dict[Key, tuple[AnyEntry | None, AnyEntry | None]]:
        """Return the entries in which two versions differ, as (first's, second's)."""
        sides = [
            {} if number == self.running.number else self.changes_to(number) for number in (first, second)
        ]
        now = self.running.entries
        pairs = {
            key: (sides[0].get(key, now.get(key)), sides[1].get(key, now.get(key)))
            for key in sides[0].keys() | sides[1].keys()
        }
        return {key: pair for key, pair in sorted(pairs.items()) if pair[0] != pair[1]}
