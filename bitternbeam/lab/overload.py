"""`lab overload`: one script of overload and failure, played with the fleet's sharing on and off."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bitternbeam.lab.called import Called
from bitternbeam.lab.loads import Loads, Marks, Series, peak, recovery_s
from bitternbeam.lab.terms import Terms
from bitternbeam.lab.timeline import merge

S = 1_000_000
WINDOW_US = 3 * S  # over which a booker's load is judged: a second holds too few set-ups
SETTLE_US = 4 * S  # after the load rose: limits are being found


@dataclass(frozen=True, slots=True)
class Script:
    """How long each part of a run lasts, in seconds, and how much of the capacity is offered."""

    load: float = 3.0
    calm: float = 0.7
    before_s: float = 8.0
    high_s: float = 12.0
    halved_s: float = 8.0
    restored_s: float = 6.0
    calm_s: float = 6.0
    stall_s: float = 10.0
    after_s: float = 15.0


# Longer leases than the owners' runs: ownership is not what is looked at.
TERMS = Terms(
    ttl_ms=4_000, margin_ms=1_000, tick_ms=100, probe_ms=500, view_age_ms=6_000, ramp_step_ms=2_000
)  # fmt: skip


class Overload(Called):
    """Members whose calls are skewed: a quarter of them get five times as many as each other."""

    def __init__(
        self, folder: Path, *, processes: int, bookers: int, rate: float, sharing: bool, skew: bool = True
    ) -> None:
        super().__init__(
            folder, processes=processes, bookers=bookers, rate=rate, terms=TERMS,
            fleet={"bounds": sharing, "period_ms": 500},
            weights=[5.0] * max(1, processes // 4) if skew else [],
        )  # fmt: skip

    @property
    def capacity(self) -> float:
        """Return what all bookers serve a second."""
        return self.rate * len(self.bookers)

    def offer(self, part_of_capacity: float) -> None:
        """Offer a part of the capacity from now on."""
        self.call(part_of_capacity * self.capacity)


def play(lab: Overload, script: Script) -> Marks:
    """Play the script."""
    marks = Marks()

    def part(name: str, seconds: float) -> None:
        marks.at[name] = lab.now_us()
        time.sleep(seconds)

    lab.offer(script.calm)
    time.sleep(3)
    part("before", script.before_s)
    lab.order(lab.callers, "leave 0.05")
    lab.offer(script.load)
    part("high", script.high_s)
    lab.order(lab.board, f"rate {lab.bookers[0]} {lab.rate / 2}")
    part("halved", script.halved_s)
    lab.order(lab.board, f"rate {lab.bookers[0]} {lab.rate}")
    part("restored", script.restored_s)
    lab.order(lab.callers, "leave 0")
    lab.offer(script.calm)
    part("calm", script.calm_s)
    # The trigger: half of the bookers answer nothing for a while, and callers come again three times.
    lab.order(lab.callers, "again 3")
    for booker in lab.bookers[: max(1, len(lab.bookers) // 2)]:
        lab.order(lab.board, f"stall {booker} {script.stall_s}")
    part("stalled", script.stall_s)
    part("after", script.after_s)
    lab.offer(0)
    marks.at["end"] = lab.now_us()
    time.sleep(0.5)
    return marks


def judge(lab: Overload, marks: Marks, script: Script) -> dict[str, Any]:
    """Return what the run's logs say."""
    loads, at = lab.loads(), marks.at
    good = loads.of("ok")
    high = (at["high"] + SETTLE_US, at["halved"])
    peaks = [peak(loads.arrived.get(one, Series()), *high, WINDOW_US) / lab.rate for one in lab.bookers]
    halved = loads.arrived.get(lab.bookers[0], Series())
    peaks_halved = peak(halved, at["halved"] + SETTLE_US, at["restored"], WINDOW_US) / (lab.rate / 2)
    first = sum(one.count(at["high"], at["end"]) for one in loads.arrived.values())
    retried = loads.retried.count(at["high"], at["end"])
    before = good.rate(at["before"], at["high"])
    probes = sum(one.rate(at["before"], at["end"]) for one in loads.probed.values()) / len(lab.bookers)
    back = recovery_s(good, before, at["after"], at["end"])
    restored = lab.capacity
    return {
        "booker_peak_over_capacity": round(max(peaks), 3),
        "booker_peak_over_halved_capacity": round(peaks_halved, 3),
        "goodput_share": round(good.rate(*high) / lab.capacity, 3),
        "goodput_share_halved": round(
            good.rate(at["halved"] + SETTLE_US, at["restored"]) / (lab.capacity - lab.rate / 2), 3
        ),
        "goodput_share_restored": round(good.rate(at["restored"] + SETTLE_US, at["calm"]) / restored, 3),
        "goodput_before_share": round(before / (script.calm * lab.capacity), 3),
        "goodput_stalled_share": round(good.rate(at["stalled"] + SETTLE_US, at["after"]) / before, 3),
        "retries_share": round(retried / max(1, first - retried), 4),
        "served_in_vain": loads.in_vain.count(at["high"], at["end"]),
        "probes_per_booker_s": round(probes, 3),
        "recovery_s": back,
    }


def overload(
    folder: Path, *, processes: int, bookers: int, rate: float, script: Script, plot: Path | None = None
) -> dict[str, Any]:
    """Play the script with sharing on, then off, and return both results."""
    began = time.monotonic()
    result: dict[str, Any] = {
        "processes": processes, "bookers": bookers, "load": script.load, "capacity_per_s": rate * bookers,
        "window_s": WINDOW_US / S,
    }  # fmt: skip
    drawn: dict[str, tuple[Loads, Marks]] = {}
    for name, sharing in (("on", True), ("off", False)):
        where = folder / name
        with Overload(where, processes=processes, bookers=bookers, rate=rate, sharing=sharing) as lab:
            marks = play(lab, script)
            result[name] = judge(lab, marks, script)
            drawn[name] = (lab.loads(), marks)
            offset_us = lab.wall_less_monotonic_us
        merge(where, offset_us)
    result["run_s"] = round(time.monotonic() - began, 1)
    if plot is not None:
        from bitternbeam.lab.plots import loads_drawn  # noqa: PLC0415 - matplotlib is for development

        loads_drawn(plot, drawn, rate * bookers)
    return result
