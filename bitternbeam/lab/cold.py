"""`cold`: a booker is replaced while all members send; what reaches it against what a cold one takes.

The booker bears its ramp's part of its capacity by its age, as the settings say (the stand-in's rate follows
it). Judged at its log over windows from its start on: none may hold more than N + 3 root N + 3 sends, where N
is what it takes in that window. The fleet can't act before it knows: `known_ms` is the bound on that.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bitternbeam.fleet.ramp import INITIAL_SHARE
from bitternbeam.lab.loads import S, Series
from bitternbeam.lab.overload import TERMS, Overload

PERIOD_MS = 500  # the laboratory's, in lab.overload
# A probe shows the start, the record is written at a tick, asked for once a period, its share taken at a tick
KNOWN_MS = TERMS.probe_ms + PERIOD_MS + 2 * TERMS.tick_ms
STEPS = 3  # doublings from the first part to all
STEP_US = TERMS.ramp_step_ms * 1000


@dataclass(frozen=True, slots=True)
class Told:
    """What one window, or more of them, held: sends seen, and what a cold booker takes in that time."""

    seen: int
    takes: float

    @property
    def over(self) -> float:
        """Return by how much it is past what counting noise explains; 0 or less: it is not."""
        return float(self.seen - self.takes - 3 * self.takes**0.5 - 3)


def takes(rate: float, from_us: int, to_us: int) -> float:
    """Return what a booker takes between two ages: its capacity (sends a second) by its ramp's part."""
    total = 0.0
    for step in range(STEPS + 1):
        begins, ends = step * STEP_US, (step + 1) * STEP_US if step < STEPS else to_us
        total += rate * INITIAL_SHARE * 2**step * max(0, min(to_us, ends) - max(from_us, begins)) / S
    return total


def windows(arrived: Series, started_us: int, rate: float, width_us: int, until_us: int) -> list[Told]:
    """Return every window of that width between when the fleet knows and that age, by quarters of it."""
    found = []
    for age in range(KNOWN_MS * 1000, until_us - width_us + 1, width_us // 4):
        seen = arrived.count(started_us + age, started_us + age + width_us)
        found.append(Told(seen, takes(rate, age, age + width_us)))
    return found


def play(lab: Overload, booker: str, rounds: int, load: float) -> list[int]:
    """Replace a booker so many times under a load; returns when, in monotonic microseconds."""
    lab.offer(load)
    lab.receiver(f"started {booker} 1")
    time.sleep(8)
    began = []
    for number in range(2, rounds + 2):
        lab.order(lab.board, f"rate {booker} {lab.rate * INITIAL_SHARE}")
        lab.receiver(f"started {booker} {number}")
        at_us = lab.now_us()
        began.append(at_us)
        for step in range(1, STEPS + 1):
            time.sleep(max(0.0, (at_us + step * STEP_US - lab.now_us()) / S))
            lab.order(lab.board, f"rate {booker} {lab.rate * INITIAL_SHARE * 2**step}")
        time.sleep(5)  # the fleet's ramp ends, and its limit is found again
    lab.offer(0)
    time.sleep(0.5)
    return began


def judge(lab: Overload, booker: str, began: list[int]) -> dict[str, Any]:
    """Return what the booker's log says."""
    loads = lab.loads()
    arrived, ramp_us = loads.arrived.get(booker, Series()), STEPS * STEP_US
    told = [one for at in began for one in windows(arrived, at, lab.rate, S, ramp_us)]
    after = KNOWN_MS * 1000
    early = sum(arrived.count(at, at + after) for at in began)
    whole = sum(arrived.count(at + after, at + ramp_us) for at in began)
    bears = len(began) * takes(lab.rate, after, ramp_us)
    others = [loads.arrived.get(one, Series()) for one in lab.bookers if one != booker]
    return {
        "over_windows": sum(one.over > 0 for one in told),
        "windows": len(told),
        "over_max": round(max(one.over for one in told), 1),
        "window_most_over_takes": round(max(one.seen / one.takes for one in told), 2),
        "sends_over_takes": round(whole / bears, 3),
        "first_step_over_takes": round(
            sum(arrived.count(at + after, at + STEP_US) for at in began)
            / (len(began) * takes(lab.rate, after, STEP_US)),
            3,
        ),
        "sends_before_known_per_s": round(early / len(began) / (after / S), 2),
        "others_per_s": round(
            sum(one.rate(began[0], began[-1] + ramp_us) for one in others) / len(others), 2
        ),
        "goodput_share": round(loads.of("ok").rate(began[0], began[-1] + ramp_us) / lab.capacity, 3),
    }


def cold(
    folder: Path, *, members: int, bookers: int, rate: float = 40.0, load: float = 1.2, rounds: int = 3
) -> dict[str, Any]:
    """Replace one booker with the fleet's sharing on, then off; `broken`: what was not kept with it on."""
    result: dict[str, Any] = {
        "members": members, "bookers": bookers, "rate": rate, "load": load, "rounds": rounds,
        "known_ms": KNOWN_MS,
    }  # fmt: skip
    for name, sharing in (("on", True), ("off", False)):
        with Overload(
            folder / name, processes=members, bookers=bookers, rate=rate, sharing=sharing, skew=False
        ) as lab:
            result[name] = judge(lab, lab.bookers[1], play(lab, lab.bookers[1], rounds, load))
    over = result["on"]["over_windows"]
    result["broken"] = [f"{over} windows held more than a cold booker takes"] if over else []
    return result
