"""Takes drafts through their lives, one at a time, without ever holding the reactor up.

Checking and compiling run in slices between which everything else has its turn; the store works in a thread
of its own. An acknowledgement is given only after the store has the version durably, and calls are offered
under it only after that. What can't be kept is turned down: calls go on under the version that runs.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.probation import Verdict
from bitternbeam.configuration.snapshot import Listed, Snapshot
from bitternbeam.configuration.versions import Candidate, Draft, Lines, Versions, content_of
from bitternbeam.core.ports import Clock
from bitternbeam.counters import Counters
from bitternbeam.tables.deadlines import Deadline

log = logging.getLogger(__name__)

SECOND = 1_000_000
SLICE_US = 1_000  # of work in one turn of the reactor
ENTRIES = 512  # let go of in one turn

Done = Callable[["Result"], None]
Stored = Callable[[str], None]  # told '' or what went wrong


@dataclass(frozen=True, slots=True)
class Result:
    """What became of a draft: held, or the faults that it was turned down for."""

    number: Number
    faults: tuple[Fault, ...] = ()
    durable: bool = False

    @property
    def held(self) -> bool:
        """Whether it is held and will be applied."""
        return not self.faults


class Store(Protocol):
    """A store whose methods return at once; `stored` is told in a later turn."""

    def stage(
        self,
        number: Number,
        *,
        content: str,
        lines: Lines,
        floor: Number,
        ends: Version | None,
        stored: Stored,
    ) -> None:
        """Keep a checked version."""
        ...

    def settle(self, at_us: int, reason: str, undo_lines: Lines, stored: Stored) -> None:
        """Take the staged version for good."""
        ...

    def drop(self, ends: Version, stored: Stored) -> None:
        """Forget the staged version."""
        ...

    def note(self, ends: Version, stored: Stored) -> None:
        """Keep how a version ended that was never staged."""
        ...


class Rollout:
    """Owns the versions; sources submit drafts, watchers hear of each swap."""

    def __init__(
        self,
        *,
        versions: Versions,
        clock: Clock,
        soon: Callable[[Callable[[], None]], object],
        listed: Listed,
        counters: Counters,
        store: Store | None = None,
        busy: Callable[[bool], None] = lambda _busy: None,
    ) -> None:
        self.versions = versions
        self.clock = clock
        self.soon = soon
        self.listed = listed
        self.counters = counters
        self.store = store
        self.busy = busy  # told when a draft is begun, and when none is worked on
        self.store_trouble = ""
        self.waiting: deque[tuple[Draft, Done]] = deque()
        self.draft: tuple[Draft, Done] | None = None
        self.work: Iterator[Candidate | None] | None = None
        self.staging = False  # the store has it: it can't be called off
        self.tick: Deadline | None = None
        self.waste: list[dict[Any, Any] | list[Any]] = []
        # Each may refuse a snapshot before it is staged, by raising DocumentError, and hears of a swap.
        self.checks: list[Callable[[Snapshot, Snapshot], None]] = []
        self.watchers: list[Callable[[Snapshot], None]] = []
        self.reports: list[Callable[[Number, Stage, str], None]] = []

    def submit(self, draft: Draft, done: Done) -> None:
        """Take a draft; `done` hears once whether it is held. One that is still being checked gives way."""
        self.counters.add("configuration.drafts")
        for old in (*([] if self.staging or not self.draft else [self.draft]), *self.waiting):
            self._supersede(old, draft.version.number)
        self.waiting.clear()
        self.waiting.append((draft, done))
        if self.draft is None:
            self._next()

    def _supersede(self, old: tuple[Draft, Done], by: Number) -> None:
        draft, done = old
        if old is self.draft:
            self.draft = self.work = None
        self.versions.end(draft.version, Stage.SUPERSEDED, self.clock.now_us(), f"by {by}, while checked")
        done(Result(draft.version.number, (Fault("", f"superseded by {by}"),)))

    def _next(self) -> None:
        if self.draft is None and self.waiting:
            self.draft = self.waiting.popleft()
            self.busy(True)
            self.work = self.versions.work(self.draft[0], self.listed, self.clock.now_us())
            self.soon(self._turn)

    def _turn(self) -> None:
        """Work for a slice of time."""
        if self.work is None or self.draft is None:
            return
        end_us = self.clock.now_us() + SLICE_US
        try:
            candidate = None
            while candidate is None and self.clock.now_us() < end_us:
                candidate = next(self.work)
            if candidate is None:
                self.soon(self._turn)
                return
            self.work = None
            for check in self.checks:
                check(self.versions.running, candidate.snapshot)
        except DocumentError as error:
            self._turned_down(error.faults)
            return
        self._stage(candidate)

    def _turned_down(self, faults: tuple[Fault, ...]) -> None:
        assert self.draft is not None
        (draft, done), self.draft, self.work = self.draft, None, None
        version, now_us = draft.version, self.clock.now_us()
        if not version.over:
            self.versions.end(version, Stage.TURNED_DOWN, now_us, faults[0].what, faults[0].key)
        self.counters.add("configuration.turned_down")
        log.warning("version %s turned down: %s", version.number, "; ".join(map(str, faults[:3])))
        if self.store and not self.store_trouble:
            self.store.note(version, self._stored)
        done(Result(version.number, faults))
        self._discard(draft.entries)
        self.busy(False)
        self._next()

    def _stage(self, candidate: Candidate) -> None:
        if self.store is None:
            self._staged(candidate, "")
            return
        self.staging = True
        old = self.versions.version
        ends = old if old.stage is Stage.PROBATION else None
        floor = max(self.versions.negotiation.floor, candidate.version.number)
        if candidate.backwards:
            floor = candidate.version.number
        content = content_of(candidate.snapshot)
        self.store.stage(
            candidate.version.number,
            content=content,
            lines=candidate.lines,
            floor=floor,
            ends=ends,
            stored=lambda trouble: self._staged(candidate, trouble),
        )

    def _staged(self, candidate: Candidate, trouble: str) -> None:
        """Go on with a version that the store has, or could not take."""
        self.staging = False
        self._stored(trouble)
        if trouble:
            # Danger: acknowledged and not durable, it would be gone after a crash and the service not know.
            self._turned_down((Fault("", trouble),))
            return
        assert self.draft is not None
        (draft, done), self.draft = self.draft, None
        number = candidate.version.number
        done(Result(number, durable=self.store is not None))
        self.versions.apply(self.clock.now_us(), candidate)
        self.counters.add("configuration.applied")
        log.info("version %s applied: %d changes", number, len(candidate.changes))
        self._discard(candidate.lines)
        if draft.whole:
            self._discard(draft.entries)
        self._swapped()
        self._report(number, Stage.PROBATION, "")
        self.watch()
        self.busy(False)
        self._next()

    def _swapped(self) -> None:
        for watcher in self.watchers:
            try:
                watcher(self.versions.running)
            except Exception:
                # Danger: a part that can't follow must cost no call; it was asked before.
                self.counters.add("configuration.watcher_faults")
                log.exception("a part did not follow version %s", self.versions.running.number)

    # Probation.

    def watch(self) -> None:
        """Let the judge speak every second while a version is on probation."""
        if self.tick:
            self.tick.cancel()
        self.tick = self.clock.call_at(self.clock.now_us() + SECOND, self._judge)

    def _judge(self) -> None:
        if self.versions.version.stage is not Stage.PROBATION:
            return
        if self.staging:
            # The store is putting the next version in this one's place: what is said of it would be late.
            self.watch()
            return
        version, changes, back = self.versions.version, self.versions.changes, self.versions.undo_lines
        now_us = self.clock.now_us()
        verdict, reason = self.versions.judge(now_us)
        if verdict is Verdict.WAIT:
            self.watch()
        elif verdict is Verdict.GOOD:
            log.info("version %s is good: %s", version.number, reason)
            if self.store and not self.store_trouble:
                self.store.settle(now_us, reason, back, lambda trouble: self._settled(trouble, back))
            self._report(version.number, Stage.GOOD, reason)
            self._discard(changes)
        else:
            self.counters.add("configuration.rolled_back")
            log.error("version %s rolled back: %s", version.number, reason)
            if self.store and not self.store_trouble:
                self.store.drop(version, self._stored)
            self._swapped()
            self._report(version.number, Stage.ROLLED_BACK, reason)
            self._discard(changes)

    def _settled(self, trouble: str, back: Lines) -> None:
        self._stored(trouble)
        self._discard(back)

    def _stored(self, trouble: str) -> None:
        """Note a store that fails: what runs goes on, and every further version is turned down."""
        if trouble and not self.store_trouble:
            self.counters.add("configuration.store_faults")
            log.error("%s", trouble)
        self.store_trouble = trouble

    def _report(self, number: Number, stage: Stage, reason: str) -> None:
        for report in self.reports:
            report(number, stage, reason)

    # What is of no use any more.

    def _discard(self, waste: dict[Any, Any] | list[Any]) -> None:
        """Let go of a large table bit by bit: freed at once it would hold the reactor up for milliseconds."""
        if len(waste) > ENTRIES:
            self.waste.append(waste)
            if len(self.waste) == 1:
                self.soon(self._empty)

    def _empty(self) -> None:
        waste = self.waste[-1]
        if isinstance(waste, list):
            del waste[-ENTRIES:]
        else:
            for _ in range(min(ENTRIES, len(waste))):
                waste.popitem()
        if not waste:
            self.waste.pop()
        if self.waste:
            self.soon(self._empty)
