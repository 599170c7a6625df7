"""A fleet of decision modules before servers that restart: a discrete-event world with one clock.

Each process has its own module, its own arrivals (Poisson, with a skew between the processes) and its own
delay before discovery's news reach it. A server works one request after the other at its capacity; after a
start it has `cold_from` of that and gains evenly until `warm_after_us`. All that a process sends to a server
after it was told of its start is counted: first and further attempts, refused ones and probes.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import bitternbeam.decision.interface as api
from bitternbeam.decision.choice import Controller
from tests.slow_start_day import Attempt, Day, Excess, Process, Server, bound, replace_start
from tests.world import MS, SECOND

TRIP_US = 5 * MS  # one way between a process and a server
FULL_US = 1 * SECOND  # a server with a longer line refuses: processor full
LEFT_US = 3 * SECOND  # what a caller waits for one try
REDIALS = 2
START_US = 1_000 * SECOND  # the clock at the world's start
BUSY_US = 25 * SECOND  # of ordinary traffic before the servers restart


class FleetWorld:
    """Runs one day; `fullest` then tells the windows of the servers that restarted."""

    def __init__(self, day: Day) -> None:
        self.day, self.settings = day, day.settings()
        self.random = Random(f"slow start {day.seed}")
        self.now = START_US
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order = self.calls = 0
        self.finals = {"served": 0, "refused": 0, "failed": 0}
        self.redials: dict[str, int] = {}
        self.named_cell: dict[str, int] = {}
        self.out: dict[str, int] = {}  # the attempt that is out, by call
        self.attempts: dict[str, int] = {}
        shares = [1 + day.unequal * (2 * n / max(1, day.servers - 1) - 1) for n in range(day.servers)]
        self.servers = {
            f"s{n}": Server(f"s{n}", n, day.capacity_per_s * share) for n, share in enumerate(shares)
        }
        cell_weights = [share * self.random.lognormvariate(0, day.cell_skew) for share in shares]
        self.cell_weights = cell_weights
        weights = [self.random.lognormvariate(0, day.skew) for _ in range(day.processes)]
        total_per_s = day.load * sum(one.capacity_per_s for one in self.servers.values())
        self.fleet = [
            Process(n, total_per_s * weight / sum(weights), self.module()) for n, weight in enumerate(weights)
        ]
        self.factor = 1.0

    def module(self) -> Controller:
        """Return the module of a process that starts."""
        return Controller(self.settings, self.random.getrandbits(32))

    def at(self, when_us: float, act: Callable[[], None]) -> None:
        """Have something happen at a time."""
        self.order += 1
        heapq.heappush(self.due, (int(when_us), self.order, act))

    def feed(self, process: Process, event: api.Event) -> None:
        """Give a process's module an event and do what it asks for."""
        for action in process.module.handle(self.now, event):
            if isinstance(action, api.Send):
                self.send(process, action)
            elif isinstance(action, api.SetTimer):
                self.at(action.at_us, partial(self.timer, process, process.life, action.ref))
            elif isinstance(action, api.Refuse | api.Fail):
                self.final(process, action)
            elif isinstance(action, api.Probe):
                self.arrive(process, self.servers[action.switch])

    def timer(self, process: Process, life: int, ref: int) -> None:
        """Let a timer fall due, if it is of the process's present life."""
        if life == process.life:
            self.feed(process, api.TimerDue(ref))

    def entries(self, servers: Iterable[Server]) -> tuple[api.SwitchEntry, ...]:
        """Return the lines of the list for some servers."""
        return tuple(
            api.SwitchEntry(one.name, one.cell, api.SwitchState.READY, one.started_us) for one in servers
        )

    def start(self, process: Process) -> None:
        """Give a fresh module its list, as the process last had it."""
        known = [replace_start(one, process.knows.get(one.name, 0)) for one in self.servers.values()]
        self.feed(process, api.ListEvent(api.ListKind.CACHED, self.entries(known)))

    def restart(self, process: Process) -> None:
        """Let a process restart: it knows the list and nothing else."""
        process.life += 1
        process.module = self.module()
        self.start(process)

    def tell(self, process: Process, server: Server) -> None:
        """Bring a process the news of a server's start."""
        process.knows[server.name] = server.started_us
        self.feed(process, api.ListEvent(api.ListKind.CHANGES, self.entries([server])))

    def next_call(self, process: Process) -> None:
        """Let a process's next call come."""
        rate = process.rate_per_s * self.factor
        self.at(self.now + self.random.expovariate(rate) * SECOND, partial(self.new_call, process))

    def new_call(self, process: Process) -> None:
        """Hand a process a call of its own clients, and let the next one come."""
        self.next_call(process)
        cell = self.random.choices(range(self.day.servers), self.cell_weights)[0] if self.day.named else -1
        self.dial(process, cell, 0)

    def dial(self, process: Process, cell: int, redials: int) -> None:
        """Let a caller dial, for the first time or again."""
        self.calls += 1
        name = f"c{self.calls}"
        self.redials[name], self.named_cell[name], self.attempts[name] = redials, cell, 0
        kind = "low" if self.random.random() < 0.7 else "high"
        self.feed(process, api.NewCall(name, kind, cell, LEFT_US))

    def final(self, process: Process, action: api.Refuse | api.Fail) -> None:
        """Count a refusal, and let the caller dial again."""
        self.finals["refused" if isinstance(action, api.Refuse) else "failed"] += 1
        redials, cell = self.redials[action.call], self.named_cell[action.call]
        if redials < REDIALS:
            wait_us = self.random.uniform(400 * MS, 1600 * MS)
            self.at(self.now + wait_us, partial(self.dial, process, cell, redials + 1))

    def send(self, process: Process, action: api.Send) -> None:
        """Carry an attempt to its server."""
        number = self.attempts[action.call]
        self.attempts[action.call] += 1
        self.out[action.call] = number
        server = self.servers[action.switch]
        attempt = Attempt(process, process.life, action.call, number, server, self.now)
        self.at(self.now + TRIP_US, partial(self.reach, attempt))
        self.at(self.now + action.timeout_us, partial(self.ended, attempt, api.Outcome.NO_ANSWER))

    def arrive(self, process: Process, server: Server) -> None:
        """Count what reaches a server in slow start."""
        if not server.started_us or self.now >= server.started_us + self.settings.warm_after_us:
            return
        if process.knows.get(server.name) == server.started_us:
            server.arrived.append(self.now)
        else:
            server.unknowing += 1

    def reach(self, attempt: Attempt) -> None:
        """Let an attempt arrive: it is refused, or takes its place in the line."""
        server, back_us = attempt.server, self.now + TRIP_US
        if self.now < server.down_until_us:
            self.at(back_us, partial(self.ended, attempt, api.Outcome.NO_CONNECTION))
            return
        self.arrive(attempt.process, server)
        if server.free_us - self.now > FULL_US:
            self.at(back_us, partial(self.ended, attempt, api.Outcome.TURNED_AWAY, full=True))
            return
        work_us = SECOND / (server.capacity_per_s * server.part(self.now, self.settings))
        server.free_us = max(server.free_us, self.now) + work_us * self.random.uniform(0.7, 1.3)
        self.at(server.free_us + TRIP_US, partial(self.worked, attempt, server.life))

    def worked(self, attempt: Attempt, server_life: int) -> None:
        """Bring the answer, or the cut where the server stopped before it."""
        server = attempt.server
        if server.life != server_life:
            self.ended(attempt, api.Outcome.CUT)
            return
        server.served += bool(server.started_us)
        if self.waits(attempt):
            self.finals["served"] += 1
            took_us = self.now - attempt.sent_us
            self.feed(
                attempt.process, api.AttemptAnswered(attempt.call, attempt.number, server.name, took_us)
            )
            self.ended(attempt, api.Outcome.SERVED)

    def waits(self, attempt: Attempt) -> bool:
        """Tell whether a process still waits for an attempt's outcome."""
        return attempt.life == attempt.process.life and self.out.get(attempt.call) == attempt.number

    def ended(self, attempt: Attempt, outcome: api.Outcome, full: bool = False) -> None:
        """Tell how an attempt ended, once."""
        if not self.waits(attempt):
            return
        del self.out[attempt.call]
        took_us, finished = self.now - attempt.sent_us, outcome is api.Outcome.SERVED
        name, number = attempt.call, attempt.number
        event = api.AttemptEnded(name, number, attempt.server.name, outcome, took_us, finished, full)
        self.feed(attempt.process, event)

    def restart_servers(self) -> None:
        """Let a part of the servers stop and start anew; the news come to each process by its own delay."""
        some = list(self.servers.values())
        self.random.shuffle(some)
        for server in some[: max(1, round(self.day.restarted_servers * len(some)))]:
            server.life += 1
            server.down_until_us = server.started_us = self.now + self.day.unavailable_us
            server.free_us = server.started_us
            together_us = self.random.uniform(0, self.day.told_us)
            for process in self.fleet:
                wait_us = self.random.uniform(0, self.day.told_us)
                if self.day.told_with_us:
                    wait_us = together_us + self.random.uniform(0, self.day.told_with_us)
                self.at(server.started_us + wait_us, partial(self.tell, process, server))

    def move(self) -> None:
        """Let the processes swap their rates, as when clients move from one to the other."""
        rates = [one.rate_per_s for one in self.fleet]
        self.random.shuffle(rates)
        for process, rate in zip(self.fleet, rates, strict=True):
            process.rate_per_s = rate

    def shift(self) -> None:
        """Let the load change and other servers be lost, so that calls turn to those in slow start."""
        self.factor = self.day.surge
        others = [one for one in self.servers.values() if not one.started_us]
        for server in others[: round(self.day.lost_servers * len(others))]:
            server.life += 1
            server.down_until_us = self.now + 3600 * SECOND
            entry = api.SwitchEntry(server.name, server.cell, api.SwitchState.GONE)
            news = api.ListEvent(api.ListKind.CHANGES, (entry,))
            for process in self.fleet:
                wait_us = self.random.uniform(0, 300 * MS)
                self.at(self.now + wait_us, partial(self.feed, process, news))

    def run(self) -> None:
        """Run the day through the ramp of the servers that restart."""
        day = self.day
        for process in self.fleet:
            self.start(process)
            self.next_call(process)
        for number in range(day.moves):
            self.at(START_US + (number + 1) * BUSY_US / (day.moves + 1), self.move)
        self.at(START_US + BUSY_US, self.restart_servers)
        for process in self.fleet:
            if self.random.random() < day.restarted_processes:
                when_us = START_US + BUSY_US + self.random.uniform(0, day.warm_after_us / 2)
                self.at(when_us, partial(self.restart, process))

        self.at(START_US + BUSY_US + self.random.uniform(SECOND, day.warm_after_us / 2), self.shift)
        end_us = START_US + BUSY_US + day.unavailable_us + day.warm_after_us
        while self.due and self.due[0][0] <= end_us:
            self.now, _, act = heapq.heappop(self.due)
            act()

    def fullest(self) -> Excess:
        """Return the window of a server in slow start that is fullest against its bound."""
        found = []
        window_us = self.settings.fall_us
        for server in self.servers.values():
            times = server.arrived
            for first, begin_us in enumerate(times):
                sent = bisect_left(times, begin_us + window_us) - first
                can_do = server.capacity_per_s * server.part(begin_us, self.settings)
                budget = self.settings.fall_multiple * can_do * window_us / SECOND
                found.append(Excess(server.name, sent, budget, bound(budget)))
        return max(found, key=lambda one: one.sent / one.bound, default=Excess("", 0, 0.0, 3.0))

    def use(self) -> float:
        """Return what the servers in slow start served, as a share of what they could have."""
        part = (1 + self.settings.cold_from) / 2 * self.settings.warm_after_us / SECOND
        cold = [one for one in self.servers.values() if one.started_us]
        return sum(one.served for one in cold) / sum(one.capacity_per_s * part for one in cold)
