"""A simulated fleet to which clients reconnect: members, a coordination service with delays, one owner.

`pacing` selects the admission: slots of bitternbeam.fleet.returns or, for comparison, none ("none"), full
jitter at the clients ("jitter"), or a plain token bucket in each member ("bucket").
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from bitternbeam.fleet.returns.admission import ReconnectAdmission
from bitternbeam.fleet.returns.outcome import Admit
from bitternbeam.fleet.returns.planner import WindowPlanner
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.slots import hash_in_window
from bitternbeam.fleet.returns.window import AdmissionWindow, ReconnectReport, parse_report, parse_window

WALL_MS = 1_800_000_000_000


@dataclass
class Part:
    """A member's part of the budget: a token bucket of a quarter of a second."""

    rate_per_s: float
    whole: float
    tokens: float = 1.0
    at_us: int = 0

    def try_take(self, now_us: int) -> bool:
        most = max(1.0, self.rate_per_s / 4)
        self.tokens = min(most, self.tokens + self.rate_per_s * (now_us - self.at_us) / 1e6)
        self.at_us = now_us
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def member_rate(self, now_us: int) -> float:
        return self.rate_per_s

    def fleet_rate(self) -> float:
        return self.whole


@dataclass
class Client:
    """A reconnecting client."""

    name: str
    home: int
    heeds: bool
    rank: int = 0
    late_ms: int = 0  # arrives so long after each told time
    wave: int = 0
    back_ms: float = 0.0  # time of admission
    tries: int = 0
    told_ms: int = 0  # its slot, once announced
    again: int = 0  # refusals at an announced slot


@dataclass
class Member:
    """One instance of the fleet."""

    name: str
    skew_ms: int
    part: Part
    returns: ReconnectAdmission | None = None
    capacity: Part = field(default_factory=lambda: Part(0, 0))
    cut: bool = False
    down: bool = False
    paused: bool = False


@dataclass
class World:
    """The whole simulation; times in microseconds; `at` and `after` schedule calls."""

    members: int = 20
    clients: int = 5_000
    heed: float = 0.4
    budget: float = 250.0
    pacing: str = "slots"
    seed: int = 7
    skew_ms: int = 200
    delay_ms: int = 100
    hop: bool = False  # clients pick any member at each try
    ordinary: float = 250.0  # ordinary calls per second, not under admission
    late: float = 0.0  # share of compliant clients that come 5 s late each time
    skewed: bool = False  # a quarter of the members have three in four of the clients
    safe: float = 0.5  # share of an even part that an isolated member has
    settings: ReconnectSettings = field(default_factory=lambda: ReconnectSettings("returns", 250.0))

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.now_us = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0
        self.let_in_ms: list[float] = []
        self.lost = self.came = 0
        self.offers: dict[tuple[int, int], int] = {}  # by member and second
        self.all_clients: list[Client] = []
        self.record: AdmissionWindow | None = None
        self.revisions: list[AdmissionWindow] = []
        self.stored: dict[str, ReconnectReport] = {}
        self.fleet: list[Member] = []
        each = self.budget / self.members
        for number in range(self.members):
            part = Part(each, self.budget)
            skew = round(self.skew_ms * (number / max(1, self.members - 1) - 0.5))
            one = Member(f"m{number}", skew, part)
            one.capacity = Part((self.budget + self.ordinary) * 1.1 / self.members, 0)
            self.fleet.append(one)
            if self.pacing == "slots":
                one.returns = self.started(one)
        self.owner = 0
        self.token = 1
        self.keeper = WindowPlanner(self.settings, "m0")
        self.at(500 * self.settings.period_ms, self.lead)
        self.at(0, self.turn)
        if self.ordinary:
            self.at(0, self.call)

    def started(self, one: Member, began_ms: int | None = None) -> ReconnectAdmission:
        wall = self.wall(one) - 60_000 if began_ms is None else began_ms
        return ReconnectAdmission(self.settings, one.name, one.part, random=self.random, wall_ms=wall)

    def at(self, at_us: float, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.queue, (int(at_us), self.number, what))

    def after(self, ms: float, what: Callable[[], None]) -> None:
        self.at(self.now_us + ms * 1000, what)

    def run(self, until_s: float) -> World:
        while self.queue and self.queue[0][0] <= until_s * 1e6:
            self.now_us, _number, what = heapq.heappop(self.queue)
            what()
        self.now_us = int(until_s * 1e6)
        return self

    def wall(self, one: Member) -> int:
        return WALL_MS + self.now_us // 1000 + one.skew_ms

    # The fleet: reports each period, the owner acts in the middle of it.

    def turn(self) -> None:
        self.after(self.settings.period_ms, self.turn)
        self.grant()
        for one in self.fleet:
            if one.returns is None or one.down or one.paused:
                continue
            one.returns.tick(self.now_us, self.wall(one), one.cut)
            if not one.cut:
                found = parse_report(one.returns.report(self.wall(one)).to_record())
                assert found is not None
                self.after(self.delay_ms, partial(self.stored.update, {one.name: found}))

    def grant(self) -> None:
        """Share the budget by demand, a tenth of it evenly; isolated members have their safe part."""
        safe = self.safe * self.budget / self.members
        live = [one for one in self.fleet if not one.cut and not one.down]
        rest = self.budget - safe * sum(one.cut and not one.down for one in self.fleet)
        wanted = sum(one.returns.due_clients for one in live if one.returns)
        for one in self.fleet:
            one.part.rate_per_s = safe
        for one in live:
            share = one.returns.due_clients / wanted if one.returns and wanted else 1 / len(live)
            one.part.rate_per_s = rest * (0.1 / len(live) + 0.9 * share)
            one.part.whole = self.budget

    def lead(self) -> None:
        self.after(self.settings.period_ms, self.lead)
        owner = self.fleet[self.owner]
        if self.pacing != "slots" or owner.cut or owner.down or owner.paused:
            return
        self.keeper.observe(self.stored, self.budget, self.wall(owner))
        epoch = self.keeper.plan(self.wall(owner))
        if epoch is not None:
            self.after(self.delay_ms / 2, partial(self.write, epoch, self.token))

    def write(self, epoch: AdmissionWindow, token: int) -> None:
        if token != self.token:
            return  # the record has a higher fencing token
        self.record = parse_window(epoch.to_record())
        assert self.record is not None
        self.revisions.append(self.record)
        for one in self.fleet:
            if not one.cut and not one.down:
                self.after(self.delay_ms / 2, partial(self.show, one, self.record))

    def show(self, one: Member, record: AdmissionWindow) -> None:
        if one.returns is not None and not one.cut:
            one.returns.update_window(record, self.now_us)

    def take_over(self, number: int) -> None:
        """Make another member the owner; it continues from the record."""
        self.owner, self.token = number, self.token + 1
        self.keeper = WindowPlanner(self.settings, self.fleet[number].name)
        self.keeper.resume(self.record)
        self.stored = {one.name: self.stored[one.name] for one in self.fleet if not one.down}

    # The clients.

    def storm(self, at_s: float, count: int | None = None, ranks: int = 1) -> None:
        """Let clients reconnect within a second."""
        for number in range(self.clients if count is None else count):
            home = self.random.randrange(self.members)
            if self.skewed and self.random.random() < 2 / 3:
                home = self.random.randrange(self.members // 4)
            heeds = self.random.random() < self.heed
            late_ms = 5_000 if heeds and self.random.random() < self.late else 0
            name = f"c{len(self.all_clients)}"
            one = Client(name, home, heeds, number % ranks, late_ms, int(at_s * 1000))
            self.all_clients.append(one)
            self.at((at_s + self.random.random()) * 1e6, partial(self.comes, one))

    def comes(self, one: Client) -> None:
        one.tries += 1
        member = self.fleet[self.random.randrange(self.members) if self.hop else one.home]
        while member.down or member.paused:
            member = self.fleet[self.random.randrange(self.members)]
        key = (int(member.name[1:]), self.now_us // 1_000_000)
        self.offers[key] = self.offers.get(key, 0) + 1
        wait_us = self.meets(member, one)
        if wait_us is None:
            one.back_ms = self.now_us / 1000
            self.let_in_ms.append(one.back_ms)
            return
        wait_ms = wait_us / 1000 if one.heeds else 500 + 1000 * self.random.random()
        self.after(wait_ms + self.random.random() * 50 + one.late_ms, partial(self.comes, one))

    def meets(self, member: Member, one: Client) -> float | None:
        """Return None if the client is admitted, else the wait that it is told, in microseconds."""
        wall = self.wall(member)
        if member.returns is not None:
            word = member.returns.decide(one.name, one.rank, self.now_us, wall)
            due = one.told_ms and one.heeds and not one.late_ms
            if isinstance(word, Admit):
                member.capacity.try_take(self.now_us)
                return None
            one.again += bool(due)
            epoch = member.returns.active_window(wall)
            slots = (
                [plan.slot_ms(one.rank, hash_in_window(epoch.id, one.name)) for plan in epoch.plans]
                if epoch
                else []
            )
            one.told_ms = wall + word.delay_us // 1000 if wall + word.delay_us // 1000 in slots else 0
            return word.delay_us
        if self.pacing == "bucket" and not member.part.try_take(self.now_us):
            return 1e6
        if member.capacity.try_take(self.now_us):
            return None
        if self.pacing == "jitter":
            return self.random.random() * min(30.0, 2.0**one.tries) * 1e6
        return (0.5 + self.random.random()) * 1e6

    def call(self) -> None:
        """Place an ordinary call; it is lost where reconnects used the capacity up."""
        self.after(self.random.expovariate(self.ordinary) * 1000, self.call)
        self.came += 1
        live = [one for one in self.fleet if not one.down]
        self.lost += not self.random.choice(live).capacity.try_take(self.now_us)

    # Results.

    def most_per_s(self, from_ms: float, seconds: int = 1) -> float:
        """Return the highest admission rate over a window of so many seconds, in steps of 0.1 s."""
        bins = [0] * (self.now_us // 100_000 + 1)
        for when in self.let_in_ms:
            bins[int(when // 100)] += 1
        first, span = int(from_ms // 100), 10 * seconds
        return (
            max(sum(bins[at : at + span]) for at in range(first, max(first + 1, len(bins) - span))) / seconds
        )

    def last_ms(self, heeds: bool = True) -> float:
        """Return when the last client was admitted, in ms; 1e12 if one was not."""
        return max((one.back_ms or 1e12 for one in self.all_clients if one.heeds is heeds), default=0.0)

    def jain(self, at_ms: float) -> float:
        """Return Jain's index of the shares of each member's clients that are admitted by a time."""
        parts = []
        for number in range(self.members):
            own = [one for one in self.all_clients if one.home == number]
            parts.append(sum(0 < one.back_ms <= at_ms for one in own) / max(1, len(own)))
        return sum(parts) ** 2 / (len(parts) * sum(one * one for one in parts) or 1)
