"""Documents and versions that several tests start from."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from bitternbeam.configuration.compiling import compile_version
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.negotiation import Bounds, Negotiation
from bitternbeam.configuration.pinning import Pinning
from bitternbeam.configuration.probation import Terms
from bitternbeam.configuration.reading import read_tables, read_toml
from bitternbeam.configuration.rollout import Result, Rollout
from bitternbeam.configuration.schema import AnyEntry, Key
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.configuration.versions import Draft, Versions
from bitternbeam.counters import Counters
from bitternbeam.tables.deadlines import Deadlines
from tests.world import SECOND
from tests.world import SETTINGS as USUAL

SETTINGS = replace(USUAL, max_stay_away_us=2 * SECOND)
TERMS = Terms(watch_us=10 * SECOND, least=10)
FIRST = """
[group.city]
bookers = ["s0", "s1"]
weights = { s0 = 2.0 }
closed = { s1 = ["high"] }
[group.far]
cells = [2]
[route.all]
groups = ["city", "far"]
[route.gyor]
class = "high"
prefix = "+3696"
groups = ["far"]
"""


def entries(text: str) -> dict[Key, AnyEntry]:
    """Read a document."""
    return read_tables(read_toml(text))


def listed(name: str) -> bool:
    """Tell whether a booker is one of the five that the tests list."""
    return name in {"s0", "s1", "s2", "s3", "s4"}


def snapshot(text: str = FIRST, number: Number = Number(0, 1)) -> Snapshot:  # noqa: B008 - immutable
    """Compile a document."""
    return compile_version(Snapshot.empty(SETTINGS, Number(0, 0)), dict(entries(text)), number, listed)


class Waker:
    """A clock that is set by hand; `soon` queues what the reactor would call in its next turn."""

    def __init__(self) -> None:
        self.now = 1_000 * SECOND
        self.wake: Callable[[], None] | None = None
        self.at_us: int | None = None
        self.queue: list[Callable[[], None]] = []

    def now_us(self) -> int:
        return self.now

    def input_read_until_us(self) -> int:
        return self.now

    def earliest_arrival_us(self) -> int:
        return self.now

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        self.at_us, self.wake = at_us, wake

    def turn(self) -> None:
        """Run what is queued, until nothing is."""
        while self.queue:
            self.queue.pop(0)()

    def wait(self, us: int) -> None:
        """Let time pass, with everything that falls due."""
        end = self.now + us
        self.turn()
        while self.at_us is not None and self.at_us <= end and self.wake:
            self.now, wake = max(self.now, self.at_us), self.wake
            self.at_us = None
            wake()
            self.turn()
        self.now = end


class Home:
    """A keeper on a clock of its own, without a reactor."""

    def __init__(self, text: str = FIRST, store: Any = None) -> None:
        self.waker = Waker()
        self.deadlines = Deadlines(self.waker)
        self.counters = Counters()
        self.pinning = Pinning(snapshot(text), TERMS)
        self.versions = Versions.begin(self.pinning, Negotiation(Bounds()), "file")
        self.results: list[Result] = []
        self.bookers = {"s0", "s1", "s2", "s3", "s4"}
        self.keeper = Rollout(
            versions=self.versions,
            clock=self.deadlines,
            soon=self.waker.queue.append,
            listed=lambda name: name in self.bookers,
            counters=self.counters,
            store=store,
        )

    def submit(self, number: Number, document: str | dict[Key, Any], *, whole: bool = True) -> Version:
        """Submit a draft, without running it."""
        version = Version(number, "stream")
        version.step(Stage.RECEIVED, self.waker.now)
        made = dict(entries(document)) if isinstance(document, str) else dict(document)
        self.keeper.submit(Draft(version, made, whole), self.results.append)
        return version

    def offer(self, number: Number, document: str | dict[Key, Any], *, whole: bool = True) -> Result:
        """Submit a draft and run it to its end."""
        self.submit(number, document, whole=whole)
        self.waker.turn()
        return self.results[-1]
