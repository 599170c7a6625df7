"""The owner's decisions and the members' reading of them at full size, in one process without any wire.

Every slice and every step that the reactor would run at one go is timed: in computing time of the thread, as
the machine may be shared, and by the wall. Members hold and release by what they were granted.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Generator
from functools import partial
from random import Random
from typing import Any

import msgspec

from bitternbeam.fleet.budgets.granted import PairTerms
from bitternbeam.fleet.budgets.grants import Granting
from bitternbeam.fleet.budgets.holdings import Holdings
from bitternbeam.fleet.budgets.terms import Budget, BudgetTerms, Kind, Part, Tenant, faults
from bitternbeam.fleet.limits.terms import LimitTimes
from bitternbeam.fleet.record import Publication, Write, parse_record
from bitternbeam.fleet.tokens import Token

S = 1_000_000
LINES = 200  # of a booker
WARM = 8  # periods left out: nothing is known yet


class Clock:
    """What each step took, by name: in milliseconds of the thread and of the wall."""

    def __init__(self) -> None:
        self.thread: dict[str, list[float]] = {}
        self.wall: dict[str, list[float]] = {}

    def run(self, name: str, act: Callable[[], Any]) -> Any:
        """Run a step and note what it took."""
        wall, thread = time.perf_counter_ns(), time.thread_time_ns()
        found = act()
        self.thread.setdefault(name, []).append((time.thread_time_ns() - thread) / 1e6)
        self.wall.setdefault(name, []).append((time.perf_counter_ns() - wall) / 1e6)
        return found

    def figures(self, name: str) -> dict[str, float]:
        """Return p50, p99 and the most."""
        took = sorted(self.thread[name])
        told = {"p50": took[len(took) // 2], "p99": took[(99 * len(took) - 1) // 100], "most": took[-1]}
        return {key: round(one, 2) for key, one in told.items()} | {"wall": round(max(self.wall[name]), 2)}


def world(tenants: int, bookers: int, random: Random) -> tuple[list[Tenant], list[Budget]]:
    """Return tenants whose guarantees fit, each with some of the bookers or all."""
    budgets = [Budget(f"b{one:02}", 0, LINES) for one in range(bookers)]
    names = [budget.booker for budget in budgets]
    made: list[Tenant] = []
    for number in range(tenants):
        allowed = () if number % 4 == 0 else tuple(random.sample(names, min(bookers, random.randint(2, 12))))
        guarantee = random.randint(0, 3 * LINES * bookers // (2 * tenants))
        made.append(Tenant(f"t{number:03}", float(random.randint(1, 10)), Part(guarantee), bookers=allowed))
    for _table, index, _key, _what in faults(made, budgets):
        made[index] = Tenant(made[index].name, made[index].weight, Part(0), bookers=made[index].bookers)
    return made, budgets


def play(members: list[Holdings], tenants: list[Tenant], names: list[str], random: Random, now: int) -> None:
    """Let each member release and take: half of the tenants want much, others little."""
    for at, member in enumerate(members):
        for (name, booker), one in list(member.kept.items()):
            for _ in range(sum(random.random() < 0.25 for _ in range(one.held))):
                member.release(name, booker)
        for place, tenant in enumerate(tenants):
            bookers = tenant.bookers or names
            wants = random.randint(0, 4) if (place + now // (10 * S)) % 2 else random.randint(0, 1)
            for turn in range(wants):
                near = [bookers[(at + place + turn + step) % len(bookers)] for step in range(len(bookers))]
                if not any(member.take(tenant.name, booker, now) for booker in near):
                    member.turned(tenant.name, (near[0],))


def decided(
    owner: Granting, turn: Generator[None, None, dict[str, Any]], clock: Clock
) -> tuple[dict[str, Any], dict[str, float]]:
    """Run a period's decision slice by slice; returns the record's value, and its milliseconds by stage."""
    found: list[dict[str, Any]] = []
    spent: dict[str, float] = {}

    def step() -> None:
        try:
            next(turn)
        except StopIteration as end:
            found.append(end.value)

    while not found:
        stage = owner.stage
        clock.run("slice", step)
        spent[stage] = spent.get(stage, 0.0) + clock.thread["slice"][-1]
    return found[0], spent


def solving(tenants: int, bookers: int, members: int, *, periods: int, seed: int = 1) -> dict[str, Any]:
    """Run a fleet for some periods and return the figures."""
    random, clock = Random(seed), Clock()
    made, budgets = world(tenants, bookers, random)
    names = [one.booker for one in budgets]
    pairs, times, now = PairTerms(members, 20_000, 2_000), LimitTimes(S, 10 * S), 1_000 * S
    fleet = [Holdings(pairs, times, f"m{one:02}", 1, now) for one in range(members)]
    owner, token = Granting(pairs, times, "m00", 1, BudgetTerms()), Token(1, "m00")
    owner.owns(token, None, now)
    owner.configure("1", made, budgets)
    publication, over, size = Publication(S), 0, 0
    publication.record_read(0, None)
    for period in range(WARM + periods):
        now += S
        play(fleet, made, names, random, now)
        told = {one.member: msgspec.json.encode(one.report(now)).decode() for one in fleet}
        gc.collect()
        gc.disable()  # it would go over the whole fleet's objects, which stand in one process here alone
        if period == WARM:
            clock = Clock()
        parts = {name: clock.run("report", partial(msgspec.json.decode, one)) for name, one in told.items()}
        value, spent = decided(owner, owner.turn(parts, list(parts), now), clock)
        for stage, took in (spent | {"turn": sum(spent.values())}).items():
            clock.thread.setdefault(stage, []).append(took)
            clock.wall.setdefault(stage, []).append(took)
        write = publication.write(token, value, now, now // 1000)
        assert isinstance(write, Write)
        text = clock.run("text", write.record.text)
        publication.written(True, write)
        publication.record_read(period + 1, text)
        size = max(size, len(text))
        for one in fleet:
            record = clock.run("parse", partial(parse_record, text))
            assert record is not None
            clock.run("shown", partial(one.shown, token, record.value, now))
        gc.enable()
        for budget in budgets:
            held = sum(one.held for m in fleet for (_t, at), one in m.kept.items() if at == budget.booker)
            over = max(over, held - budget.lines)
    held = sum(one.held for m in fleet for one in m.kept.values())
    steps = ("solve", "reports", "book", "deal", "turn", "slice", "report", "text", "parse", "shown")
    return {
        "tenants": tenants, "bookers": bookers, "members": members,
        "pairs": len(owner.plan.amounts[Kind.LINES]),
        "used": round(held / (LINES * bookers), 3), "over": over, "record_kb": size // 1000,
        "reports_kb": sum(map(len, told.values())) // 1000,
        **{f"{name}_ms": clock.figures(name) for name in steps},
    }  # fmt: skip
