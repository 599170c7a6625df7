"""Parameters and records of the simulated fleet with servers in slow start."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

import bitternbeam.decision.interface as api
from bitternbeam.decision.choice import Controller
from tests.world import MS, SECOND, SETTINGS


@dataclass(frozen=True)
class Day:
    """Parameters of one simulated scenario."""

    processes: int
    seed: int
    servers: int = 12
    capacity_per_s: float = 20.0  # of a server on average
    unequal: float = 0.0  # the largest server has (1 + unequal) times the mean, the smallest (1 - unequal)
    load: float = 0.85  # of the capacity of all servers
    skew: float = 0.5  # sigma of the logarithm of the processes' rates
    cell_skew: float = 0.0  # the same for the rates of the destination cells
    restarted_servers: float = 0.5  # share of the servers that restart, all at once
    restarted_processes: float = 0.0  # share of the processes that restart with them, keeping only the list
    told_us: int = 2 * SECOND  # longest delay of a list event
    told_with_us: int = 0  # all learn of a start within this time; 0: each after its own delay
    surge: float = 1.0  # load factor, from some time into the ramp
    lost_servers: float = 0.0  # share of the other servers that stop at that time and leave the list
    moves: int = 0  # how often the processes' rates are permuted before the restart
    named: bool = True  # calls name a preferred server
    unavailable_us: int = 300 * MS  # between a server's stop and its start
    aim_us: int = 1_500 * MS
    gateways: float = 1.0  # the configured number of instances, relative to the true one
    fall_multiple: float = 2.0
    fall_us: int = 1 * SECOND
    warm_after_us: int = 15 * SECOND
    may_probe: bool = False

    def settings(self) -> api.Settings:
        """Return the settings of the controllers."""
        kinds = tuple(replace(kind, aim_us=self.aim_us) for kind in SETTINGS.classes)
        return replace(
            SETTINGS, classes=kinds, gateways=max(1, round(self.processes * self.gateways)),
            fall_multiple=self.fall_multiple, fall_us=self.fall_us, warm_after_us=self.warm_after_us,
            may_probe=self.may_probe, max_attempts=5, cold_from=0.33, max_stay_away_us=2 * SECOND,
        )  # fmt: skip


@dataclass
class Server:
    """One server and its queue."""

    name: str
    cell: int
    capacity_per_s: float
    started_us: int = 0
    down_until_us: int = 0
    life: int = 0
    free_us: float = 0.0  # when its queue is empty
    arrived: list[int] = field(default_factory=list)  # in slow start, from processes that knew of it
    unknowing: int = 0  # in slow start, from those that did not
    served: int = 0  # in slow start

    def part(self, now_us: int, settings: api.Settings) -> float:
        """Return the share of its capacity available at a time."""
        if not self.started_us:
            return 1.0
        age = min(1.0, (now_us - self.started_us) / settings.warm_after_us)
        return settings.cold_from + (1 - settings.cold_from) * age


@dataclass
class Process:
    """One process: its controller, and the starts it knows of."""

    number: int
    rate_per_s: float
    module: Controller
    knows: dict[str, int] = field(default_factory=dict)  # the latest known start, by server
    life: int = 0


@dataclass(frozen=True)
class Attempt:
    """A request to a server; `life` counts the restarts of its process."""

    process: Process
    life: int
    call: str
    number: int
    server: Server
    sent_us: int


@dataclass(frozen=True)
class Excess:
    """The window of a slow start that comes closest to its bound."""

    server: str
    sent: int
    budget: float  # N
    bound: float  # N and its slack


def bound(budget: float) -> float:
    """Return how many requests a server in slow start may get in a window whose budget is N."""
    if budget < 30:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


def replace_start(server: Server, started_us: int) -> Server:
    """Return a server as a process knows it that learned of the given start."""
    return Server(server.name, server.cell, server.capacity_per_s, started_us)
