"""Versions of the tenants' tables that come in service, and what each must do at the bookers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from bitternbeam.lab.budget_counts import Counts
from bitternbeam.lab.budget_world import HOLD_MS, NEWCOMER, PERIOD_MS, TENANTS, tenant_table
from bitternbeam.lab.faults import Script, versioned

PERIOD_US = PERIOD_MS * 1000
STORIES = ("tenant_added", "tenant_out", "tenant_weightless", "booker_drains")
TOLD_US = 3 * PERIOD_US  # all members read it, a report, a decision, a record


@dataclass(frozen=True, slots=True)
class Story:
    """A version: its script, the calls offered meanwhile, and what went wrong from then until it ended."""

    script: Script
    wrong: Callable[[Counts, int, int], str]
    offers: Mapping[str, float] = field(default_factory=dict)


def _added(times: int, counts: Counts, from_us: int, to_us: int) -> str:
    need = NEWCOMER.guarantee * times
    at_us = counts.reached(NEWCOMER.name, need, from_us)
    bound_us = from_us + TOLD_US + 3 * PERIOD_US
    return "" if at_us is not None and at_us <= bound_us else f"{need} were not held in time: {at_us}"


def _out(counts: Counts, from_us: int, to_us: int) -> str:
    came = counts.arrivals(from_us + TOLD_US, to_us, tenant="rest")
    return f"{came} calls came of a tenant that is gone" if came else ""


def _weight(times: int, counts: Counts, from_us: int, to_us: int) -> str:
    row = TENANTS["north"]
    over = counts.mean(to_us - PERIOD_US, to_us, [row.name])[row.name] - row.guarantee * times
    return f"{over} above a guarantee without weight, where others are hungry" if over > times else ""


def _drains(counts: Counts, from_us: int, to_us: int) -> str:
    came = counts.arrivals(from_us + TOLD_US, to_us, booker="b0")
    cut = counts.shorter("b0", from_us, to_us, int(HOLD_MS * 900))
    return f"{came} came to a booker that drains, {cut} were cut" if came or cut else ""


def stories(bookers: list[str], times: int) -> dict[str, Story]:
    """Return the versions by name."""
    rest, drains = tenant_table("rest", bookers, times), 'booker = "b0"\n'
    newcomer = tenant_table(NEWCOMER.name, bookers, times)
    north = tenant_table("north", bookers, times)

    def version(old: str, new: str) -> Script:
        return partial(versioned, change=lambda text: text.replace(old, new, 1))

    # The newcomer wants far more than its guarantee: a line that no call comes to is held by nobody.
    return {
        "tenant_added": Story(
            version(rest, rest + newcomer), partial(_added, times), {NEWCOMER.name: 4.0, "rest": 0.0}
        ),
        "tenant_out": Story(version(rest, ""), _out),
        "tenant_weightless": Story(
            version(north, north.replace("weight = 2.0", "weight = 0.0")),
            partial(_weight, times),
            {"south": 4.0, "west": 4.0, "rest": 6.0},
        ),
        "booker_drains": Story(version(drains, drains + "draining = true\n"), _drains),
    }
