"""A fleet in simulated time: real cores, modules and bounds, bookers of limited capacity, no sockets."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

from bitternbeam.core.calls import Attempt, AttemptEnd, Offer
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from bitternbeam.fleet.bearing import BookerLimit
from bitternbeam.fleet.bounds import Bounds, BoundSettings
from bitternbeam.fleet.pressure import Pressure, Report
from bitternbeam.fleet.ramp import INITIAL_SHARE, Health, Ramp
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines
from tests.inert_back import InertBack
from tests.world import SETTINGS

S, MS = 1_000_000, 1_000
QUEUE_US, TURNED_AWAY_COST, HOP_US, HELD_US = 300 * MS, 0.2, MS, 50 * MS
TICK_US, PROBE_US, STEP_US = 100 * MS, 500 * MS, 2 * S


class Time:
    """What is to come, in order."""

    def __init__(self) -> None:
        self.now = 1_000 * S
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0

    def at(self, at_us: int, due: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.heap, (at_us, self.number, due))

    def until(self, end_us: int) -> None:
        while self.heap and self.heap[0][0] <= end_us:
            self.now, _number, due = heapq.heappop(self.heap)
            due()
        self.now = end_us


class Waker:
    """A member's one timer."""

    def __init__(self, time: Time) -> None:
        self.time, self.asked = time, 0

    def now_us(self) -> int:
        return self.time.now

    def input_read_until_us(self) -> int:
        return self.time.now

    def earliest_arrival_us(self) -> int:
        return self.time.now

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        self.asked += 1
        asked = self.asked
        if at_us is not None:
            self.time.at(max(at_us, self.time.now), lambda: wake() if asked == self.asked else None)


class Booker:
    """One processor with a queue."""

    def __init__(self, time: Time, rate: float) -> None:
        self.time, self.rate, self.started = time, rate, 1
        self.free_at = 0.0
        self.arrived: list[int] = []
        self.turned: list[int] = []

    def launched(self, answer: Callable[[bool], None]) -> None:
        now = self.time.now
        self.arrived.append(now)
        if self.free_at - now > QUEUE_US:
            self.free_at += TURNED_AWAY_COST * S / self.rate
            self.turned.append(now)
            self.time.at(now + HOP_US, partial(answer, False))
        else:
            self.free_at = max(float(now), self.free_at) + S / self.rate
            self.time.at(int(self.free_at) + HOP_US, partial(answer, True))


@dataclass
class Record:
    """What the owner of a booker publishes."""

    bearing: BookerLimit = field(default_factory=BookerLimit)
    ramp: Ramp = field(default_factory=lambda: Ramp(STEP_US))
    pressure: Pressure | None = None
    started: int = 1

    def bound(self) -> None:
        self.pressure = self.bearing.pressure(self.ramp.state, self.pressure)


class Member(InertBack):
    """One controller, its callers and its bookers' side."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.clock = Deadlines(Waker(world.time))
        self.counters = Counters()
        cells = tuple(range(len(world.bookers)))
        kind = api.CallClass("call", aim_us=400 * MS, deadline_us=S, worth=1.0, late_worth=0.25, cells=cells)
        settings = world.settings(kind)
        module = Controller(settings, world.random.randrange(1 << 30))
        self.core = CallControl(module, settings, self.clock, Limits(), self.counters)
        self.core.attach(self)
        self.bounds: Bounds | None = None
        self.seen: dict[str, Pressure | None] = {}
        self.reported = Report(0, 0.0, {})
        if world.sharing:
            terms = BoundSettings(period_us=world.period_us)
            self.bounds = self.core.limiter = Bounds(
                terms, lambda: world.members, Random(world.random.randrange(1 << 30)), world.time.now
            )
            phase = world.random.randrange(TICK_US)
            self.turn, self.middle = world.turn(0), world.turn(world.period_us // 2)
            self.asks_us = world.time.now + world.random.randrange(world.period_us)
            world.time.at(world.time.now + phase, self.tick)
        entries = [api.SwitchEntry(name, at, api.SwitchState.READY) for at, name in enumerate(world.bookers)]
        self.core.update_bookers(api.ListKind.COMPLETE, entries)

    def tick(self) -> None:
        """Report, lead, ask and take, as wiring.fleet does."""
        world, now = self.world, self.world.time.now
        world.time.at(now + TICK_US, self.tick)
        assert self.bounds is not None
        turned = world.turn(world.period_us // 2) != self.middle
        if world.turn(0) != self.turn:
            self.turn, self.reported = world.turn(0), self.bounds.report(now)
        if turned:
            self.middle = world.turn(world.period_us // 2)
            for name in self.leads():
                world.govern(name)
        if now >= self.asks_us:
            self.asks_us += world.period_us
            news = {name: one.pressure for name, one in world.records.items()}
        else:
            news = {name: world.records[name].pressure for name in self.leads()}
        for name, pressure in news.items():
            turned_one = self.seen.get(name) is not pressure
            self.seen[name] = pressure
            if turned_one and pressure is not None and not turned:
                self.take(name, pressure)
        if turned:
            for name, pressure in self.seen.items():
                if pressure is not None:
                    self.take(name, pressure)

    def take(self, name: str, pressure: Pressure) -> None:
        assert self.bounds is not None
        cold = self.world.records[name].ramp.state.health is not Health.READY
        self.bounds.pressure(name, pressure, True, self.world.time.now, cold=cold)

    def leads(self) -> list[str]:
        return [one for at, one in enumerate(self.world.bookers) if at % self.world.members == self.number]

    # The back.

    def set_up(self, attempt: Attempt) -> None:
        booker = self.world.bookers[attempt.booker]
        self.world.time.at(
            self.world.time.now + HOP_US, lambda: booker.launched(partial(self.answer, attempt))
        )

    def answer(self, attempt: Attempt, stood: bool) -> None:
        if not stood:
            self.core.attempt_ended(attempt, AttemptEnd(api.Outcome.TURNED_AWAY, processor_full=True))
        elif self.core.attempt_answered(attempt, None):
            over = partial(self.core.attempt_ended, attempt, AttemptEnd(api.Outcome.SERVED))
            self.world.time.at(self.world.time.now + HELD_US, over)

    # The front.

    def send_answer(self, _ref: int, _body: object) -> None:
        self.world.good.append(self.world.time.now)

    def send_refusal(self, _ref: int, _stay_away_us: int) -> None:
        self.world.refused += 1

    def send_failure(self, _ref: int, late: bool) -> None:
        self.world.failed += 1

    def send_progress(self, _ref: int) -> None:
        pass

    def send_release(self, _ref: int, _outcome: api.Outcome) -> None:
        pass

    def is_client_waiting(self, _ref: int) -> bool:
        return True


class World:
    """All of it; rates are per second."""

    def __init__(
        self,
        members: int = 5,
        bookers: int = 4,
        rate: float = 40.0,
        *,
        sharing: bool = True,
        weights: tuple[float, ...] = (),
        seed: int = 1,
        period_us: int = 500 * MS,
    ) -> None:
        self.members, self.sharing, self.period_us = members, sharing, period_us
        self.random = Random(seed)
        self.time = Time()
        self.rate = rate
        self.bookers = {f"b{number}": Booker(self.time, rate) for number in range(bookers)}
        self.records = {name: Record() for name in self.bookers}
        self.weights = [*weights, *[1.0] * members][:members]
        self.good: list[int] = []
        self.refused = self.failed = self.number = 0
        self.load = 0.0
        self.limits: dict[str, list[tuple[int, float | None]]] = {name: [] for name in self.bookers}
        self.fleet = [Member(self, number) for number in range(members)]
        if sharing:
            for name in self.bookers:
                self.time.at(self.time.now + self.random.randrange(PROBE_US), partial(self.probe, name))

    def settings(self, kind: api.CallClass) -> api.Settings:
        return replace(
            SETTINGS, gateways=self.members, classes=(kind,), max_attempts=5, cold_from=0.33,
            release_wait_us=300 * MS, resend_us=500 * MS, max_stay_away_us=2 * S,
        )  # fmt: skip

    def turn(self, offset_us: int) -> int:
        return (self.time.now + offset_us) // self.period_us

    def govern(self, booker: str) -> None:
        record = self.records[booker]
        reports = [one.reported for one in self.fleet if one.reported.at_ms]
        record.bearing.step(reports, booker, self.bookers, record.ramp.state)
        record.bound()
        limit = record.pressure.limit if record.pressure else None
        self.limits[booker].append((self.time.now, limit))

    def probe(self, booker: str) -> None:
        self.time.at(self.time.now + PROBE_US, partial(self.probe, booker))
        record, now = self.records[booker], self.time.now
        if record.started != self.bookers[booker].started:
            record.started = self.bookers[booker].started
            record.ramp.booker_replaced(now, now // 1000)
            record.bearing.replaced()
        record.ramp.probe_answered(True, now, now // 1000)
        record.bound()

    def offer(self, load: float) -> None:
        """Offer so much of the capacity from now on."""
        begins, self.load = self.load == 0, load
        if begins:
            self._later()

    def _later(self) -> None:
        if self.load:
            per_s = self.load * self.rate * len(self.bookers)
            self.time.at(self.time.now + int(self.random.expovariate(per_s) * S), self._new)

    def _new(self) -> None:
        self._later()
        (member,) = self.random.choices(self.fleet, self.weights)
        self.call(member)

    def call(self, member: Member) -> None:
        """Let one call come to a member."""
        self.number += 1
        cell = self.random.randrange(len(self.bookers))
        number = f"{self.number}"
        offer = Offer(number, "call", cell, S, self.time.now, number, "", ref=self.number)
        member.core.offer(member, offer)

    def replace(self, booker: str) -> int:
        """Replace a booker by a cold one; returns when."""
        one, now = self.bookers[booker], self.time.now
        one.started += 1
        one.rate = self.rate * INITIAL_SHARE
        for step in (1, 2, 3):
            self.time.at(
                now + step * STEP_US, partial(setattr, one, "rate", self.rate * INITIAL_SHARE * 2**step)
            )
        return now

    def run(self, seconds: float) -> None:
        self.time.until(self.time.now + int(seconds * S))


def count(times: list[int], from_us: int, to_us: int) -> int:
    """Return how many lie in [from, to)."""
    return sum(from_us <= one < to_us for one in times)
