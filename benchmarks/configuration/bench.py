"""One controller at large size, in the process that measures."""

from __future__ import annotations

import os
import resource
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from twisted.internet import reactor as installed_reactor

from benchmarks.configuration.traffic import Back, Callers
from bitternbeam import memory
from bitternbeam.config import read_config
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Stage
from bitternbeam.configuration.probation import Terms
from bitternbeam.configuration.rollout import Rollout
from bitternbeam.configuration.schema import AnyEntry, Group, Key, Route
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.net.clock import ReactorClock
from bitternbeam.store.versions import VersionStore
from bitternbeam.tables.deadlines import Deadlines
from bitternbeam.wiring.recovering import recover
from bitternbeam.wiring.store import ThreadedStore

ROOT = Path(__file__).parents[2]
reactor: Any = installed_reactor


def until(holds: Callable[[], object], seconds: float = 60) -> None:
    """Run the reactor until it holds."""
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            raise SystemExit("it never came to hold")
        reactor.runUntilCurrent()  # iterate() would wait for its whole time, timers or not
        wait_s = reactor.timeout()
        reactor.doIteration(0.01 if wait_s is None else min(wait_s, 0.01))


def pause(seconds: float) -> None:
    """Run the reactor for a while."""
    end = time.monotonic() + seconds
    until(lambda: time.monotonic() >= end, seconds + 60)


def resident_mb() -> float:
    """Return the memory that is in use now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


class Bench:
    """A controller at large size."""

    def __init__(self, folder: Path, bookers: int, rate: int) -> None:
        os.environ["GW_CONFIG"] = str(ROOT / "example/config.json")
        config = read_config()
        # Every cell of the list is open to every class: the example's has two cells.
        kinds = tuple(replace(kind, cells=None) for kind in config.settings.classes)
        settings = replace(config.settings, classes=kinds)
        self.settings = settings
        self.deadlines = Deadlines(ReactorClock(reactor))
        self.counters = Counters()
        self.store = VersionStore(folder, 1024)
        # Before the large version there is a small one: without any route a call looks at every booker.
        first: dict[Key, AnyEntry] = {
            ("group", "first"): Group(tuple(f"b{n}" for n in range(10))),
            ("route", "first"): Route(("first",)),
        }
        versions, _ = recover(settings, first, self.store, Terms(watch_us=5_000_000), self.deadlines.now_us())
        module = Controller(settings, 1)
        self.core = CallControl(module, settings, self.deadlines, config.limits, self.counters)
        self.core.attach(Back(self.core, self.deadlines))
        self.core.plan_provider = versions.pinning
        entries = [SwitchEntry(f"b{n}", n % 100, SwitchState.READY) for n in range(bookers)]
        self.core.update_bookers(ListKind.CACHED, entries)
        self.threaded = ThreadedStore(reactor, self.store)
        self.keeper = Rollout(
            versions=versions,
            clock=self.deadlines,
            soon=lambda act: reactor.callLater(0, act),
            listed=self.core.states.__contains__,
            counters=self.counters,
            store=self.threaded,
            busy=memory.pause_collection,
        )
        self.threaded.start()
        self.callers = Callers(self.core, self.deadlines, rate)

    def runs(self, number: Number, stage: Stage) -> bool:
        """Tell whether a version has come so far."""
        now = self.keeper.versions.version
        return now.number == number and now.stage is stage
