"""What all processes together send a server in slow start stays within its budget, whatever each one knows.

The days are simulated (tests/slow_start_world.py): a fixed seed gives the same day each time.
"""

from __future__ import annotations

import math
from typing import Any

import pytest

from bitternbeam.decision.chance import SLACK_STEP_REQUESTS, planned_mean, planned_share
from tests.slow_start_day import Day, bound
from tests.slow_start_world import FleetWorld
from tests.world import MS, SECOND

PROCESSES = [2, 8, 20, 30, 200]
SMALL_SERVERS: dict[str, Any] = {"servers": 24, "capacity_per_s": 8.0}
DAYS: dict[str, dict[str, Any]] = {
    "half of the servers start anew": {},
    "at full load": {"load": 1.1},
    "news that reach all within 0.3 s, then a surge": {"told_with_us": 300 * MS, "surge": 1.6, "load": 1.0},
    "news that come late": {"told_us": 6 * SECOND, "load": 1.0},
    "calls that name no server": {"named": False, "surge": 1.6, "load": 1.0},
    "unequal servers": {"unequal": 0.4, "cell_skew": 0.5},
    "clients that moved before": {"moves": 2, "skew": 1.5, "load": 1.0},
    "small servers, multiple 3, 12 s": {
        **SMALL_SERVERS, "fall_multiple": 3.0, "warm_after_us": 12 * SECOND, "load": 1.0, "surge": 1.5,
    },
    "a window of 2 s, aims of 2.5 s": {"fall_us": 2 * SECOND, "aim_us": 2_500 * MS},
    "warm servers lost in the ramp": {"lost_servers": 0.8, "load": 0.8},
    "idle before a surge": {**SMALL_SERVERS, "load": 0.3, "surge": 4.0, "restarted_servers": 0.1},
    "too low a number of processes, aims of 0.4 s": {"gateways": 0.25, "aim_us": 400 * MS},
    "that, processes that restarted, and probes": {
        "gateways": 0.25, "aim_us": 400 * MS, "restarted_processes": 0.7, "may_probe": True,
    },
    "too high a number of processes, some restarted": {"gateways": 4.0, "restarted_processes": 0.5},
    "all servers start anew and most processes": {"restarted_servers": 1.0, "restarted_processes": 0.7},
}  # fmt: skip


@pytest.mark.parametrize("processes", PROCESSES)
@pytest.mark.parametrize("name", DAYS)
def test_no_window_of_a_slow_start_gets_more_than_its_budget_and_slack(name: str, processes: int) -> None:
    world = FleetWorld(Day(processes, seed=processes, **DAYS[name]))
    world.run()
    fullest = world.fullest()
    assert 0 < fullest.sent <= fullest.bound, fullest


@pytest.mark.parametrize("processes", PROCESSES)
def test_a_server_in_slow_start_is_used(processes: int) -> None:
    # The bound would be kept by sending nothing.
    world = FleetWorld(Day(processes, 0, load=1.1))
    world.run()
    assert world.use() > 0.5


def poisson_above(mean: float, most: float) -> float:
    """Return the chance that a Poisson count is above a number."""
    terms = (math.exp(-mean + n * math.log(mean) - math.lgamma(n + 1)) for n in range(math.floor(most) + 1))
    return 1 - math.fsum(terms)


@pytest.mark.parametrize("windows", [6, 12, 15, 30])
@pytest.mark.parametrize("budget", [1, 3, 8, 20, 29, 30, 31, 50, 100, 300, 1000])
def test_the_planned_part_of_any_budget_passes_its_bound_with_the_chance_that_was_named(
    windows: int, budget: int
) -> None:
    chance = 0.01
    part = planned_share(windows, chance)
    assert 0.6 < part < 1
    assert poisson_above(part * budget, bound(budget)) * windows <= chance


@pytest.mark.parametrize("limit", [5.0, 20.0, 43.0, 122.0])
def test_the_planned_mean_is_what_the_inequality_allows(limit: float) -> None:
    mean = planned_mean(limit, 0.001)
    room = limit - mean
    assert 0 < mean < limit
    assert math.exp(-(room**2) / (2 * (mean + room / 3))) == pytest.approx(0.001)


def test_the_planned_part_is_that_of_the_budget_with_the_least_room() -> None:
    chance = 0.01 / 15
    assert planned_share(15, 0.01) == pytest.approx(
        planned_mean(bound(SLACK_STEP_REQUESTS), chance) / SLACK_STEP_REQUESTS
    )
    assert all(planned_mean(bound(n), chance) / n >= planned_share(15, 0.01) for n in range(2, 1000))
