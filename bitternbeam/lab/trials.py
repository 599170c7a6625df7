"""A subsystem of the fleet on trial: real members under calls, fault after fault, judged at the bookers.

A subsystem brings a `Trial`: its settings, its load, the work whose owner is hurt, and a judge that reads the
receivers' logs of one phase. The frame brings everything else.
"""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from bitternbeam.lab.called import Called
from bitternbeam.lab.faults import Script
from bitternbeam.lab.loads import S, Series
from bitternbeam.lab.processes import wait_for
from bitternbeam.lab.terms import Terms
from bitternbeam.lab.timeline import merge


@dataclass(frozen=True, slots=True)
class Settings:
    """What a subsystem's run is made of."""

    fleet: Mapping[str, Any] = field(default_factory=dict)  # keys of [fleet]
    toml: str = ""  # further tables, as [[fleet.limit]]
    resized: Mapping[str, str] = field(default_factory=dict)  # text of the file for another fleet size
    booker_rate: float = 500.0  # set-ups a second that a booker serves
    booker_words: tuple[str, ...] = ()  # for the stand-in, as --hold-ms 2000
    weights: tuple[float, ...] = ()  # of the members for the callers
    sources: tuple[str, ...] = ("127.0.0.1",)  # callers' addresses
    terms: Terms = field(default_factory=Terms)


@dataclass(frozen=True, slots=True)
class Phase:
    """One fault's time: hurt, healed, and over (monotonic microseconds of all logs)."""

    fault: str
    hurt_us: int
    healed_us: int
    over_us: int


class Described(Protocol):
    """What a laboratory is made from."""

    def settings(self, members: int, bookers: int) -> Settings:
        """Return the settings of a run."""
        ...


class Trial(Described, Protocol):
    """What each subsystem supplies."""

    name: str
    work: str  # whose owner is hurt, as limit/all

    def begin(self, lab: Called) -> None:
        """Begin the load; return once it is steady."""
        ...

    def script(self, fault: str) -> Script:
        """Return a fault's script, with what the load does around it."""
        ...

    def judge(self, lab: Called, phase: Phase) -> dict[str, Any]:
        """Return one phase's figures, from the receivers' logs alone; `broken` counts broken promises."""
        ...


def arrivals(lab: Called, bookers: Iterable[str] | None = None) -> Series:
    """Return the times of all set-ups at some bookers, or all, in order."""
    found = lab.loads().arrived
    return Series(sorted(at for name in bookers or found for at in found.get(name, Series()).times))


def most_held(lines: Iterable[dict[str, Any]], from_us: int, to_us: int) -> int:
    """Return the most set-ups and calls that bookers held at once in a while.

    A booker holds one from its arrival on until it turned it away, served it in vain, or the call is over.
    """
    held: set[tuple[str, str]] = set()
    most = 0
    for line in sorted(lines, key=lambda one: int(one["at_us"])):
        if line["at_us"] >= to_us:
            break
        if line["at_us"] >= from_us:
            most = max(most, len(held))
        one = (line["booker"], line["uid"])
        if line["event"] == "arrived":
            held.add(one)
        elif line["event"] in ("full", "in_vain", "over"):
            held.discard(one)
        if line["at_us"] >= from_us:
            most = max(most, len(held))
    return most


def laboratory(trial: Described, folder: Path, *, members: int, bookers: int) -> Called:
    """Return a trial's laboratory; use it as a context."""
    told = trial.settings(members, bookers)
    lab = Called(
        folder, processes=members, bookers=bookers, rate=told.booker_rate, terms=told.terms,
        fleet=dict(told.fleet), toml=told.toml, weights=told.weights, more=told.booker_words,
    )  # fmt: skip
    lab.resized = dict(told.resized)
    lab.sources = told.sources
    return lab


def one_fault(trial: Trial, lab: Called, fault: str, *, lasts_s: float, after_s: float) -> dict[str, Any]:
    """Play one fault and judge it."""
    (told,) = side_by_side([(trial, lab)], fault, lasts_s=lasts_s, after_s=after_s)
    return told


def side_by_side(
    runs: Sequence[tuple[Trial, Called]], fault: str, *, lasts_s: float, after_s: float
) -> list[dict[str, Any]]:
    """Play one fault in several fleets at once, each for as long at the least, and judge each."""
    scripts = [trial.script(fault)(lab, trial.work) for trial, lab in runs]
    began, hurt = [], []
    with ExitStack() as still_hurt:
        for (_trial, lab), script in zip(runs, scripts, strict=True):
            began.append(lab.now_us())
            still_hurt.enter_context(script)
            hurt.append(lab.now_us())
        time.sleep(lasts_s)
    healed = [lab.now_us() for _trial, lab in runs]
    time.sleep(after_s)
    found = []
    for at, (trial, lab) in enumerate(runs):
        phase = Phase(fault, began[at], healed[at], lab.now_us())
        told = trial.judge(lab, phase)
        found.append({"fault_s": round((healed[at] - hurt[at]) / S, 2)} | told)
    for _trial, lab in runs:
        wait_for(lambda: lab.present() >= set(lab.names), 60, f"all are back after {fault}")  # noqa: B023
    return found


def play(
    trial: Trial,
    folder: Path,
    *,
    members: int,
    bookers: int,
    faults: Iterable[str],
    lasts_s: float,
    after_s: float,
) -> dict[str, Any]:
    """Run a trial over the faults and return each one's figures, and how many promises were broken."""
    began = time.monotonic()
    found: dict[str, dict[str, Any]] = {}
    with laboratory(trial, folder, members=members, bookers=bookers) as lab:
        trial.begin(lab)
        for fault in faults:
            found[fault] = one_fault(trial, lab, fault, lasts_s=lasts_s, after_s=after_s)
        offset_us = lab.wall_less_monotonic_us
    merge(folder, offset_us)
    return {
        "trial": trial.name,
        "members": members,
        "bookers": bookers,
        "broken": sum(one.get("broken", 0) for one in found.values()),
        "faults": found,
        "run_s": round(time.monotonic() - began, 1),
    }
