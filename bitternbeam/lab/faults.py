"""Faults of a fleet as small scripts: each hurts on entering, and heals on leaving.

A script is a context; what it is handed is the laboratory, the named work whose owner is hurt, and how long
the fault lasts at the least. `FAULTS` has them all by name.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from functools import partial

from bitternbeam.lab.fleet import Laboratory
from bitternbeam.lab.processes import wait_for

Script = Callable[[Laboratory, str], AbstractContextManager[None]]
REACHED_S = 30.0


def owner_of(lab: Laboratory, work: str) -> str:
    """Return who acts on a work now, once someone does."""
    wait_for(lambda: lab.owners().get(work) in lab.running(), REACHED_S, f"someone owns {work}")
    return lab.owners()[work]


def in_the_middle(lab: Laboratory, work: str, when: str) -> str:
    """Wait until the owner stands in the middle of publishing: its write is never answered.

    `when`: before or after the engine carried it out.
    """
    since = lab.now_us()
    lab.engine_fault(f"trap?op=cas&key=record/{work}&when={when}")
    wait_for(lambda: lab.trapped(since) is not None, REACHED_S, f"an owner publishes {work}")
    return str(lab.trapped(since))


@contextmanager
def none(lab: Laboratory, work: str) -> Iterator[None]:
    """No fault: what all others are compared with."""
    yield


@contextmanager
def paused(lab: Laboratory, work: str, *, when: str = "") -> Iterator[None]:
    """SIGSTOP the owner, in the middle of a write where `when` says so; SIGCONT."""
    name = in_the_middle(lab, work, when) if when else owner_of(lab, work)
    lab.members[name].pause()
    yield
    lab.members[name].resume()


@contextmanager
def killed(lab: Laboratory, work: str, *, when: str = "") -> Iterator[None]:
    """SIGKILL the owner, likewise; start it again."""
    name = in_the_middle(lab, work, when) if when else owner_of(lab, work)
    lab.members[name].kill()
    yield
    lab.members[name].start()


@contextmanager
def cut(lab: Laboratory, work: str, *, whom: str, way: str) -> Iterator[None]:
    """Cut the owner, half of the members with it, or all from the engine, one way or both."""
    name = owner_of(lab, work)
    others = [one for one in lab.names if one != name]
    names = {"one": [name], "half": [name, *others[: len(lab.names) // 2 - 1]], "all": lab.names}[whom]
    for one in names:
        lab.fault(one, "engine", cut=way)
    yield
    for one in names:
        lab.fault(one, "engine")


@contextmanager
def slow(lab: Laboratory, work: str, *, delay_ms: int) -> Iterator[None]:
    """Delay all between members and engine, each way."""
    lab.fault("*", "engine", delay_ms=delay_ms)
    yield
    lab.fault("*", "engine")


@contextmanager
def engine(lab: Laboratory, work: str, *, what: str) -> Iterator[None]:
    """Let the engine forget (`restart`), answer wrong (`garbage`, `error`) or nothing (`silent`)."""
    lab.engine_fault(what)
    if what == "restart":
        lab.list_bookers()
    yield
    lab.engine_fault("well")


@contextmanager
def back(lab: Laboratory, work: str, *, after_s: float = 3.0) -> Iterator[None]:
    """Take the engine back to what it held some seconds ago, its index too, as a restored snapshot does."""
    lab.engine_fault("keep")
    time.sleep(after_s)
    lab.engine_fault("back")
    yield
    lab.engine_fault("well")


@contextmanager
def resized(lab: Laboratory, work: str) -> Iterator[None]:
    """Restart a member under settings for a fleet of another size (the laboratory's `resized`)."""
    name = owner_of(lab, work)
    path = lab.folder / f"{name}.toml"
    text = path.read_text()
    told = text
    for old, new in lab.resized.items():
        told = told.replace(old, new)
    lab.members[name].terminate()
    path.write_text(told)
    lab.members[name].start()
    yield
    lab.members[name].terminate()
    path.write_text(text)
    lab.members[name].start()


@contextmanager
def versioned(lab: Laboratory, work: str, *, change: Callable[[str], str]) -> Iterator[None]:
    """Let every member read its file anew, changed; then as it was."""
    before = {name: (lab.folder / f"{name}.toml").read_text() for name in lab.names}

    def tell(told: Callable[[str], str]) -> None:
        for name in lab.names:
            (lab.folder / f"{name}.toml").write_text(told(before[name]))
            lab.members[name].reload()

    tell(change)
    yield
    tell(str)


FAULTS: dict[str, Script] = {
    "none": none,
    "owner_paused": paused,
    "owner_killed": killed,
    **{f"owner_paused_{when}_write": partial(paused, when=when) for when in ("before", "after")},
    **{f"owner_killed_{when}_write": partial(killed, when=when) for when in ("before", "after")},
    **{
        f"cut_{whom}_{way}": partial(cut, whom=whom, way=way)
        for whom in ("one", "half", "all")
        for way in ("there", "back", "both")
    },
    "slow_500ms": partial(slow, delay_ms=500),
    "slow_3s": partial(slow, delay_ms=3_000),
    "engine_forgets": partial(engine, what="restart"),
    "engine_back": back,
    "engine_garbage": partial(engine, what="garbage"),
    "engine_error": partial(engine, what="error"),
    "engine_silent": partial(engine, what="silent"),
    "member_resized": resized,
}
