"""The store behind a thread of its own: what takes a disk's time must not take the reactor's."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Version
from bitternbeam.configuration.rollout import Stored
from bitternbeam.configuration.versions import Lines
from bitternbeam.store.records import EndRecord
from bitternbeam.store.versions import VersionStore

SWITCH_S = 0.0005  # a thread that works holds the reactor up for at most about so long at a time


def end_of(version: Version) -> EndRecord:
    """Return the record of a version that came to its end."""
    at_us = version.steps[-1][1]
    return EndRecord(version.number, version.source, version.stage.value, at_us, version.reason, version.key)


class ThreadedStore:
    """The keeper's Store: one writer after another, none of them in the reactor's thread."""

    def __init__(self, reactor: Any, store: VersionStore) -> None:
        self.reactor = reactor
        self.store = store
        self.pool = ThreadPool(0, 1, "store")
        self.closed = False
        sys.setswitchinterval(SWITCH_S)

    def start(self) -> None:
        """Take work."""
        self.pool.start()

    def stop(self) -> None:
        """Finish what is being written and give the store back."""
        if not self.closed:
            self.closed = True
            self.pool.stop()
            self.store.close()

    def _do(self, work: Callable[[], None], stored: Stored) -> None:
        if self.closed:
            return
        done = deferToThreadPool(self.reactor, self.pool, work)
        done.addCallbacks(lambda _none: stored(""), lambda failure: stored(self.told(failure)))

    @staticmethod
    def told(failure: Failure) -> str:
        """Return what went wrong."""
        return failure.getErrorMessage()

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
        record = None
        if ends:
            record = EndRecord(ends.number, ends.source, "superseded", ends.steps[-1][1], f"by {number}")
        self._do(lambda: self.store.stage(number, content, lines, floor, record), stored)

    def settle(self, at_us: int, reason: str, undo_lines: Lines, stored: Stored) -> None:
        """Take the staged version for good."""
        self._do(lambda: self.store.settle(at_us, reason, undo_lines), stored)

    def drop(self, ends: Version, stored: Stored) -> None:
        """Forget the staged version."""
        self._do(lambda: self.store.drop(end_of(ends)), stored)

    def note(self, ends: Version, stored: Stored) -> None:
        """Keep how a version ended."""
        self._do(lambda: self.store.note(end_of(ends)), stored)
