"""Keeping the return epoch as a piece of work; decisions are fleet.returns."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from bitternbeam.fleet.record import Write, parse_record
from bitternbeam.fleet.returns.planner import WindowPlanner
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.window import AdmissionWindow, ReconnectReport, parse_window
from bitternbeam.fleet.tokens import Token
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.work import Work


class ReturnWork(Work):
    """Leading the returns of the fleet: what is published is the epoch."""

    def __init__(
        self, bench: Bench, settings: ReconnectSettings, told: Callable[[AdmissionWindow], None]
    ) -> None:
        super().__init__(bench, "returns")
        self.keeper = WindowPlanner(settings, bench.fleet.name)
        self.told = told
        self.led: Token | None = None  # under which the keeper went on from the record
        self.text: str | None = None  # of the record, as the engine holds it
        self.seen: tuple[Mapping[str, ReconnectReport], float] | None = None  # of a period, to be acted on

    def reports(self, rows: Mapping[str, ReconnectReport], budget_per_s: float) -> None:
        """Take the members' reports of a period; the keeper sees them at the next act."""
        self.seen = (rows, budget_per_s)

    def stands(self, index: int, text: str | None) -> None:
        """Take what the engine holds."""
        super().stands(index, text)
        self.text = text

    def heard(self, value: dict[str, Any]) -> None:
        """Take the epoch that leads."""
        epoch = parse_window(value)
        if epoch is None:
            self.bench.counters.add("fleet.records_malformed")
        else:
            self.told(epoch)

    def restarted(self) -> None:
        """Go on from what the engine holds then."""
        super().restarted()
        self.text = None

    def publish(self, token: Token, now_us: int) -> None:
        """Write the epoch, once a period, under a promise that is made as it is written."""
        if self.seen is None or self.publication.busy:
            return
        if self.publication.index is None:
            self.look_up()
            return
        wall_ms = now_us // 1000
        if self.led != token:
            # What stands, not what the watch showed last: promises in between must be kept.
            record = parse_record(self.text) if self.text is not None else None
            self.keeper.resume(parse_window(record.value) if record else None)
            self.led = token
        rows, budget_per_s = self.seen
        self.seen = None
        self.keeper.observe(rows, budget_per_s, wall_ms)
        epoch = self.keeper.plan(wall_ms)
        if epoch is None or not self.publication.due(token, epoch.to_record(), now_us):
            return
        write = self.publication.write(token, epoch.to_record(), now_us, wall_ms)
        if write is not None:
            self.send(write)

    def written(self, done: bool, write: Write) -> None:
        """Take the engine's answer; after another's write in between, go on from that."""
        super().written(done, write)
        if not done:
            self.led = None
