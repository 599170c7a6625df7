"""Keeping the tenants' budgets as a piece of work: decided in slices, published once a period."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Generator, Mapping, Sequence
from typing import Any

from bitternbeam.fleet.budgets.grants import Granting
from bitternbeam.fleet.budgets.holdings import Holdings
from bitternbeam.fleet.budgets.terms import Budget, BudgetTerms, Tenant
from bitternbeam.fleet.record import Publication, ReadResult, Write, parse_record
from bitternbeam.fleet.tokens import Token
from bitternbeam.net.coordination import KvEntry
from bitternbeam.tables.deadlines import Deadline
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.work import Work

log = logging.getLogger(__name__)

KEPT = 256  # periods whose times are told


class BudgetWork(Work):
    """Owning the budgets: who may hold how much of what; what is published is every member's part."""

    def __init__(self, bench: Bench, holdings: Holdings) -> None:
        super().__init__(bench, "budgets")
        self.holdings = holdings
        terms = BudgetTerms(period_us=holdings.times.period_us)
        self.granting = Granting(holdings.pairs, holdings.times, holdings.member, holdings.boot, terms)
        self.publication = Publication(holdings.times.period_us)
        self.running: Generator[None, None, dict[str, Any]] | None = None
        self.ready: dict[str, Any] | None = None  # decided, not yet written
        self.stored: Any = None  # the value that the engine holds
        self.wrote = ""  # the reign of which a record was surely written
        self.timer: Deadline | None = None
        self.spent_us: dict[str, int] = {}  # this period's computing time by stage (grants.Granting.stage)
        self.slice_most_us = 0
        self.solves_us: deque[int] = deque(maxlen=KEPT)
        self.turns_us: deque[int] = deque(maxlen=KEPT)

    def configure(self, version: str, tenants: Sequence[Tenant], budgets: Sequence[Budget]) -> None:
        """Take a version's tables; they hold from the next period on."""
        self.granting.configure(version, tenants, budgets)

    def figures(self) -> dict[str, Any]:
        """Return the computing time of the last solves and whole decisions, and the longest slice's time."""
        return {
            "solve_ms": [round(one / 1000, 3) for one in self.solves_us],
            "turn_ms": [round(one / 1000, 3) for one in self.turns_us],
            "slice_most_ms": self.slice_most_us / 1000,
        }

    def reported(self, parts: Mapping[str, Any], now_us: int) -> None:
        """Begin a period's decision; one that has not ended yet goes on, and this period is left out."""
        if self.running is not None:
            if self.granting.token == self.claim.token:
                self.bench.counters.add("fleet.budgets.late")
                return
            self._drop()
        if not self.granting.owns(self.claim.token, self.stored, now_us):
            return
        if self.wrote == self.granting.reign and self._reign() != self.granting.reign:
            # Danger: another wrote over it, or the engine went back: what is out is not known any more.
            self.granting.forgot(now_us)
            self.wrote = ""
            self.bench.counters.add("fleet.budgets.forgot")
        self.spent_us = {}
        self.running = self.granting.turn(parts, self.bench.roster.present(), now_us)
        self._slice()

    def version(self) -> str:
        """Return the version by which the record was decided, as the engine holds it; '': none."""
        told = self.stored.get("budgets") if isinstance(self.stored, dict) else None
        return str(told.get("version", "")) if isinstance(told, dict) else ""

    def _reign(self) -> str:
        return str(self.stored.get("reign")) if isinstance(self.stored, dict) else ""

    def _drop(self) -> None:
        self.running = None
        if self.timer is not None:
            self.timer.cancel()

    def _slice(self) -> None:
        running = self.running
        if running is None:
            return
        if self.claim.token is None or self.claim.token != self.granting.token:
            self._drop()
            return
        began, worked, stage = time.perf_counter_ns(), time.thread_time_ns(), self.granting.stage
        try:
            next(running)
        except StopIteration as end:
            self.running, self.ready = None, end.value
        except Exception:
            # A fault in a decision must cost one period of it, not the member.
            self.running = None
            self.bench.counters.add("fleet.faults")
            log.exception("fleet: budgets: a period could not be decided")
        self.slice_most_us = max(self.slice_most_us, (time.perf_counter_ns() - began) // 1000)
        spent_us = (time.thread_time_ns() - worked) // 1000
        self.spent_us[stage] = self.spent_us.get(stage, 0) + spent_us
        if self.running is None:
            self.solves_us.append(self.spent_us.get("solve", 0))
            self.turns_us.append(sum(self.spent_us.values()))
        else:
            self.timer = self.bench.deadlines.after(0, self._slice)

    def shown(self, entries: Mapping[str, KvEntry], now_us: int) -> None:
        """Take the record: what this member may use, and what it writes over."""
        record = entries.get(self.key)
        if not self.publication.busy:
            self.stands(*((record.modify_index, record.value) if record else (0, None)))
        if record is None:
            return
        heard = self.follower.read(record.value, now_us, now_us // 1000)
        told = self.follower.record
        if heard is ReadResult.NEW and told is not None:
            self.claim.highest_seen = max(self.claim.highest_seen, told.token.number)
            if not self.holdings.shown(told.token, told.value, now_us):
                self.bench.counters.add("fleet.budgets.overtaken")
        elif heard is not ReadResult.SAME:
            self.bench.counters.add(f"fleet.records_{heard.value}")

    def stands(self, index: int, text: str | None) -> None:
        """Take what the engine holds."""
        super().stands(index, text)
        record = parse_record(text) if text is not None else None
        self.stored = record.value if record is not None else None

    def publish(self, token: Token, now_us: int) -> None:
        """Write what was decided, under the token that it was decided under."""
        if self.ready is None or self.publication.busy:
            return
        if token != self.granting.token:
            self.ready = None
            return
        if self.publication.index is None:
            self.look_up()
            return
        outranked = self.granting.outranked()
        value, self.ready = self.ready, None
        write = outranked or self.publication.write(token, value, now_us, now_us // 1000)
        if write is not None:
            self.send(write)

    def written(self, done: bool, write: Write) -> None:
        """Take the engine's answer; one that lost to another's is decided anew in the next period."""
        super().written(done, write)
        if done:
            self.wrote = write.record.value["reign"]
            self.stored = write.record.value
