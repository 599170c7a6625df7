"""Storms played: members die, their clients come back, faults fall; callers' and bookers' logs judge."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import AbstractContextManager, ExitStack
from functools import partial
from pathlib import Path
from typing import Any

from bitternbeam.lab.faults import FAULTS
from bitternbeam.lab.loads import S, peak
from bitternbeam.lab.processes import wait_for
from bitternbeam.lab.returned import called, seen
from bitternbeam.lab.storm import APART_MS, PACINGS, PERIOD_MS, SAFE, WINDOW_US, Storm

During = Callable[[Storm], AbstractContextManager[None]]
AGAIN = "restarted_again"  # half of the members, and half as many clients once more, while the epoch lasts
BEFORE = "cut_all_before"  # all from the engine, until no grant is left; then the clients come
STORM_FAULTS = (*FAULTS, BEFORE, AGAIN)
AHEAD_S = 4.5
EPOCH_S = 60.0


def lost_points(lab: Storm, from_us: int, to_us: int) -> tuple[float, float]:
    """Return how many of a hundred other calls were lost, and how many of those at a stopped process.

    What was out at a process while that was paused or killed, nobody could have answered.
    """
    stood = {name: one.stood for name, one in lab.members.items()}
    told = seen(lab.lines(lab.caller_log), lab.lines(lab.booker_log), from_us, to_us, stood)
    return 100 * told.lost / max(1, told.calls), 100 * told.lost_at_stopped / max(1, told.calls)


def cpu_s(lab: Storm) -> dict[str, float]:
    """Return the processor time that each member has used."""
    return {name: one.cpu_s() for name, one in lab.members.items()}


def calm(lab: Storm) -> dict[str, float]:
    """Return what a fleet loses, of a hundred calls, and what it uses of a processor, before any storm."""
    began_us, before = lab.now_us(), cpu_s(lab)
    time.sleep(3)
    used_s = sum(one - before[name] for name, one in cpu_s(lab).items()) / len(lab.names)
    lost, _ = lost_points(lab, began_us, lab.now_us() - S)
    return {"lost": lost, "cpu": used_s * S / (lab.now_us() - began_us)}


def restart(lab: Storm, names: Iterable[str]) -> None:
    """Kill members, start them again, and wait until they listen.

    Danger: on one machine twenty starts at once hold everything else up, the callers too; what they then call
    in one go is more than the bookers take, and counted as lost by the returns.
    """
    for name in names:
        lab.members[name].kill()
    for name in names:
        lab.members[name].start()
    for name in names:
        wait_for(partial(listens, lab.listen[name]), EPOCH_S, f"{name} listens")


def listens(port: int) -> bool:
    """Whether someone listens there."""
    with socket.socket() as one:
        return one.connect_ex(("127.0.0.1", port)) == 0


def back(lab: Storm, since_us: int) -> int:
    """Return how many clients have been let in."""
    good = (
        line
        for line in lab.lines(lab.caller_log)
        if "client" in line and line["event"] in ("ok", "late") and line["at_us"] >= since_us
    )
    return len({line["client"] for line in good})


def play(
    lab: Storm,
    *,
    clients: int,
    heed: float,
    down: int = 0,
    during: Sequence[During] = (),
    lasts_s: float = 0.0,
    ahead_s: float = 0.0,
    again: int = 0,
    most_s: float = 60.0,
    before: dict[str, float] | None = None,
) -> dict[str, Any]:
    """Kill `down` members and start them again, let their clients come back, and judge it.

    `during`: faults, one after the other, from the moment on that slots are told (the first from `ahead_s`
    before the clients come), each for `lasts_s`, or half of backlog over budget; `again`: so many clients
    come as they end, and half of the members restart. `before`: see calm().
    """
    wait_for(lambda: not lab.paced(), EPOCH_S, "no epoch leads")
    if lab.paces:
        # Danger: after a fault some members may still be without a grant, and the next one was blamed for it.
        wait_for(lab.even, EPOCH_S, "the budget is shared evenly again")
    before = before or calm(lab)
    restart(lab, lab.names[:down])
    lab.records.clear()
    whole, hurt_us, lasts_s = clients + again, lab.now_us(), lasts_s or clients / lab.budget / 2
    with ExitStack() as hurting:
        if ahead_s:
            hurting.enter_context(during[0](lab))
            lab.watch(ahead_s)
        used, began_us = cpu_s(lab), lab.now_us()
        lab.returns(clients, heed)
        if ahead_s:
            lab.watch(lasts_s)
    if not ahead_s:
        if lab.paces:
            wait_for(lab.paced, EPOCH_S, "slots are told")
        hurt_us = lab.now_us()
        for one in during:
            with one(lab):
                lab.watch(lasts_s)
    healed_us = lab.now_us()
    if again:
        restart(lab, lab.names[len(lab.names) // 2 :])
        lab.returns(again, heed)
    while lab.now_us() < began_us + most_s * S and back(lab, began_us) < whole:
        lab.watch(0.5)
    ended_us = lab.now_us()
    storm_s = (ended_us - began_us) / S
    costs = [(one.cpu_s() - used[name]) / storm_s for name, one in lab.members.items() if used[name]]
    time.sleep(0.2)  # until the logs are written
    return judge(lab, began_us, ended_us, whole, before["lost"]) | {
        "cpu_most": round(max(costs, default=0.0) - before["cpu"], 4),  # of a member, over its calm
        "safe_over_may": safe_over(lab, hurt_us, healed_us),
    }


def safe_over(lab: Storm, hurt_us: int, healed_us: int) -> float:
    """Return the most in a window in which every grant had lapsed, of what the safe parts allow."""
    since_us = hurt_us + (lab.limit.lasts_ms + 2 * PERIOD_MS) * 1000
    told = seen(lab.lines(lab.caller_log), lab.lines(lab.booker_log), 0, healed_us).at_bookers
    counts = [
        told.count(at, min(at + WINDOW_US, healed_us)) for at in range(since_us, healed_us - S // 2, S // 4)
    ]
    return round(max(counts, default=0) / lab.may_window(SAFE), 3)


def judge(lab: Storm, began_us: int, ended_us: int, clients: int, lost: float) -> dict[str, Any]:
    """Return a storm's figures, from the logs of callers and bookers and the epochs that the engine held."""
    callers = lab.lines(lab.caller_log)
    told = seen(callers, lab.lines(lab.booker_log), began_us, ended_us)
    ideal_s = clients / lab.budget
    over_us = max(began_us + 2 * S, told.last_us(began_us, heeding=False))
    last_us = told.last_us(began_us, heeding=True)
    most = peak(told.at_bookers, began_us + PERIOD_MS * 1000, over_us, S)  # from the second period on
    ever = peak(told.at_bookers, began_us, over_us, WINDOW_US)
    slots = called(
        (line for line in callers if began_us <= line["at_us"] < ended_us),
        lab.records,
        wall_less_us=lab.wall_less_monotonic_us,
        apart_ms=APART_MS,
        settings=lab.settings,
    )
    ends_ms = max((plan.ends_ms for _, epoch in lab.records for plan in epoch.plans), default=0.0)
    window_us = int(ends_ms * 1000) + lab.settings.grace_ms * 1000 - lab.wall_less_monotonic_us
    missed, at_stopped = lost_points(lab, began_us, max(began_us + S, over_us - S))
    parts = [told.jain(began_us + int(part * ideal_s * S)) for part in (0.25, 0.5, 0.75)]
    return {
        "clients": len(told.came),
        "in": len(told.back),
        "heeding_out": sum(one not in told.back for one, heeds in told.came.items() if heeds),
        "peak_over_budget": round(most / lab.budget, 3),
        "most_over_budget": round(ever / lab.budget, 3),  # in 3 s, from the first on
        "may_over_budget": round(lab.may_window() * S / WINDOW_US / lab.budget, 3),
        "last_in_over_ideal": round((last_us - began_us) / S / ideal_s, 3),  # of those that heed
        "all_in_over_ideal": round((over_us - began_us) / S / ideal_s, 3),
        "past_window_s": round((last_us - window_us) / S, 2) if ends_ms else None,  # the last that heeds
        "slots_told": slots.slots,
        "queued_at_slot": slots.queued,
        "next_wave": slots.next_wave,
        "called_twice": slots.twice,
        "jain": round(min(parts), 3),
        "calls_lost_points": round(missed - lost, 2),  # all of them
        "lost_at_stopped_points": round(at_stopped, 2),  # of these
        "longest_wait_s": told.longest_s,
        "heeding_asked": round(told.asked(True), 2),
        "heedless_asked": round(told.asked(False), 2),
    }


def at_the_owner(lab: Storm, name: str) -> AbstractContextManager[None]:
    """Return a fault by its name, at the epoch's owner."""
    told = {AGAIN: "none", BEFORE: "cut_all_both"}
    return FAULTS[told.get(name, name)](lab, "returns")


def broken(told: dict[str, Any]) -> list[str]:
    """Return which promises a storm broke, in any fault."""
    kept = {
        "budget": told["most_over_budget"] <= told["may_over_budget"],
        "safe part": told["safe_over_may"] <= 1 or not told["all_cut"],
        "all that heed are in": told["heeding_out"] == 0,
        "nobody called twice": told["called_twice"] == 0,
        "one wave": told["next_wave"] == 0 or told["again"],
    }
    return [what for what, good in kept.items() if not good]


def play_faults(
    lab: Storm,
    names: Sequence[str],
    *,
    clients: int,
    heed: float,
    down: int = 0,
    lasts_s: float = 0.0,
    most_s: float,
    before: dict[str, float],
) -> dict[str, Any]:
    """Play a storm with some faults, one after the other; `broken` names the promises that it broke."""
    told = play(
        lab, clients=clients, heed=heed, down=down, during=[partial(at_the_owner, name=one) for one in names],
        again=clients // 2 if AGAIN in names else 0, ahead_s=AHEAD_S if BEFORE in names else 0.0,
        lasts_s=lasts_s, most_s=most_s, before=before,
    )  # fmt: skip
    told |= {"all_cut": any(one.startswith("cut_all") for one in names), "again": AGAIN in names}
    return told | {"broken": broken(told)}


def storm_faults(
    folder: Path,
    faults: Iterable[str],
    *,
    members: int,
    clients: int,
    heed: float,
    budget: float,
    other: float,
) -> dict[str, Any]:
    """Play a storm for each fault, one after the other on one fleet."""
    found = {}
    with Storm(folder, members=members, budget=budget, other=other, pacing="returns") as lab:
        before = calm(lab)
        for name in faults:
            most_s = 6 * clients / budget
            found[name] = play_faults(
                lab, [name], clients=clients, heed=heed, most_s=most_s, before=before
            )  # fmt: skip
            wait_for(lambda: lab.present() >= set(lab.names), 60, f"all are back after {name}")
    whole = sum(len(one["broken"]) for one in found.values())
    return {"trial": "storm", "members": members, "budget": budget, "broken": whole, "faults": found}


def storm(
    folder: Path, *, members: int, clients: int, heed: float, budget: float, other: float
) -> dict[str, Any]:
    """Play one storm with each pacing and return the figures of the returns, the others as `baselines`."""
    found = {}
    for pacing in PACINGS:
        with Storm(folder / pacing, members=members, budget=budget, other=other, pacing=pacing) as lab:
            down = max(1, 7 * members // 10)
            found[pacing] = play(lab, clients=clients, heed=heed, down=down, most_s=4 * clients / budget)
    whole = found.pop("returns") | {"all_cut": False, "again": False}
    keys = (
        "peak_over_budget", "last_in_over_ideal", "all_in_over_ideal", "jain", "calls_lost_points", "in",
        "heeding_asked", "heedless_asked", "cpu_most",
    )  # fmt: skip
    told = {name: {key: one[key] for key in keys} for name, one in found.items()}
    terms = {"trial": "storm", "members": members, "budget": budget, "heed": heed}
    return terms | {"broken": len(broken(whole))} | whole | {"baselines": told}
