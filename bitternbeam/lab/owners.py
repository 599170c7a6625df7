"""`lab owners`: kills and pauses of owners, and how soon and how cleanly others take over."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from bitternbeam.lab import judging
from bitternbeam.lab.fleet import Laboratory
from bitternbeam.lab.processes import wait_for
from bitternbeam.lab.terms import Terms
from bitternbeam.lab.timeline import merge

STEADY_S = 5.0  # over which the requests to the engine are counted


@dataclass
class Faults:
    """What was done to whom, for the result and the plot."""

    done: list[tuple[int, str, str]] = field(default_factory=list)  # (at_us, what, whom)
    takeovers_us: dict[str, list[int]] = field(default_factory=lambda: {"kill": [], "pause": []})


def requests_per_process_s(lab: Laboratory, seconds: float = STEADY_S) -> float:
    """Count the members' requests to the engine over a steady while, per member and second."""
    before = lab.ask_engine("GET", "/lab/requests")["askers"]
    began = time.monotonic()
    time.sleep(seconds)
    after = lab.ask_engine("GET", "/lab/requests")["askers"]
    took = time.monotonic() - began
    asked = sum(after.get(name, 0) - before.get(name, 0) for name in lab.names)
    return float(asked / took / len(lab.names))


def victim_of(lab: Laboratory, random: Random) -> tuple[str, list[str]]:
    """Choose a member that owns something now, and return what it owns."""
    recent_us = 5 * lab.terms.probe_ms * 1000 + lab.terms.view_age_ms * 1000
    owned: dict[str, list[str]] = {}
    for work, holder in lab.owners(recent_us).items():
        if lab.members[holder].alive:
            owned.setdefault(holder, []).append(work)
    name = random.choice(sorted(owned))
    return name, sorted(owned[name])


def one_cycle(lab: Laboratory, kind: str, random: Random, faults: Faults) -> None:
    """Hurt one owner, wait for the takeovers, and bring it back."""
    name, works = victim_of(lab, random)
    probes = [work for work in works if work.startswith("probe/")] or works
    process = lab.members[name]
    since = lab.now_us()
    faults.done.append((since, kind, name))
    bound_s = 3 * lab.terms.takeover_ms / 1000 + 10
    if kind == "kill":
        process.kill()
        taken = lab.await_takeovers(name, probes, since, bound_s)
        process.start()
    else:
        process.pause()
        until = time.monotonic() + 2 * lab.terms.ttl_ms / 1000
        taken = lab.await_takeovers(name, probes, since, bound_s)
        time.sleep(max(0.0, until - time.monotonic()))
        process.resume()
        faults.done.append((lab.now_us(), "resume", name))
    faults.takeovers_us[kind] += taken.values()
    wait_for(lambda: name in lab.present(), 60, f"{name} is in the catalogue again")


def takeover_figures(takeovers_us: dict[str, list[int]], terms: Terms) -> dict[str, Any]:
    """Return how long takeovers took, over all and by kind of fault, beside the bound on them."""

    def ms(values: list[int], share: float) -> float | None:
        found = judging.quantile(values, share)
        return None if found is None else round(found / 1000, 1)

    every = [one for values in takeovers_us.values() for one in values]
    result: dict[str, Any] = {
        "takeovers": len(every),
        "takeover_ms_p50": ms(every, 0.5),
        "takeover_ms_p99": ms(every, 0.99),
        "ttl_ms": terms.ttl_ms,
        "lock_delay_ms": terms.lock_delay_ms,
        "takeover_bound_ms": terms.takeover_ms,
    }
    for kind, values in takeovers_us.items():
        if values:
            result[f"{kind}_takeover_ms_p50"] = ms(values, 0.5)
            result[f"{kind}_takeover_ms_p99"] = ms(values, 0.99)
    return result


def owners(
    folder: Path,
    *,
    processes: int,
    bookers: int,
    cycles: int,
    kinds: tuple[str, ...],
    terms: Terms,
    seed: int,
    plot: Path | None = None,
) -> dict[str, Any]:
    """Run `cycles` cycles of each kind and return what the receivers' logs say of them."""
    began = time.monotonic()
    random, faults = Random(seed), Faults()
    with Laboratory(folder, processes=processes, bookers=bookers, terms=terms) as lab:
        asked = requests_per_process_s(lab)
        for kind in kinds:
            for _ in range(cycles):
                one_cycle(lab, kind, random, faults)
        acts, engine = lab.acts(), list(lab.lines(lab.engine_log))
        offset_us = lab.wall_less_monotonic_us
    merge(folder, offset_us)
    result: dict[str, Any] = {
        "processes": processes,
        "bookers": bookers,
        "cycles": cycles,
        "kinds": list(kinds),
        "seed": seed,
        "acts": len(acts),
        "acts_refused": sum(not one.accepted for one in acts),
        "stale_accepted": judging.stale_accepted(acts),
        "overlaps": judging.overlaps(acts),
        "late_accepted": judging.late_accepted(acts, engine),
    }
    result |= takeover_figures(faults.takeovers_us, terms)
    result["engine_requests_per_process_s"] = round(asked, 3)
    result["run_s"] = round(time.monotonic() - began, 1)
    if plot is not None:
        from bitternbeam.lab.plots import ownership  # noqa: PLC0415 - matplotlib is for development

        ownership(plot, judging.holdings(engine), acts, faults.done)
    return result
