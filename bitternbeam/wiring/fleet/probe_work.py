"""Probing one booker for the whole fleet; decisions are fleet.ramp and fleet.pressure."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import Any

from bitternbeam.fleet.bearing import BookerLimit
from bitternbeam.fleet.pressure import Pressure, Report, parse_pressure
from bitternbeam.fleet.ramp import BookerHealth, Health, Ramp, parse_booker_health
from bitternbeam.fleet.tokens import Token, parse_token
from bitternbeam.net.probes import probe
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.work import Work

log = logging.getLogger(__name__)

PROBES_LOST = 3  # in a row: the owner can't reach what others may reach


class ProbeWork(Work):
    """Probing one booker and ramping it up; what is published is its state for the fleet."""

    def __init__(self, bench: Bench, booker: str, address: tuple[str, int]) -> None:
        super().__init__(bench, "probe", booker)
        self.booker, self.address = booker, address
        self.ramp = Ramp(bench.fleet.ramp_step_ms * 1000)
        self.next_us = 0
        self.lost_in_row = 0
        self.started_ms: int | None = None
        self.looked = Ramp(bench.fleet.ramp_step_ms * 1000)  # what this member alone saw, while it is alone
        self.under: Token | None = None
        self.bearing = BookerLimit()
        self.pressure: Pressure | None = None  # as published last, here or elsewhere

    def heard(self, value: dict[str, Any]) -> None:
        """Keep what the owner published: a new owner goes on from there."""
        told = parse_booker_health(value)
        if told is None:
            self.bench.counters.add("fleet.records_malformed")
            return
        pressure = parse_pressure(value.get("pressure")) if "pressure" in value else None
        if "pressure" in value and pressure is None:
            self.bench.counters.add("fleet.records_malformed")
        if self.claim.token is None:  # else it is this member's own word
            self.ramp.resume(told)
            if pressure is not None:
                self.pressure = pressure
                self.bearing.resume(pressure)

    def govern(self, reports: Sequence[Report], bookers: Iterable[str]) -> None:
        """Move the limit by a period's reports.

        Danger: what fewer than half of the members were served passed for what a booker bears. Forty that
        just started began with a fifth of it, as fourteen had reported, and kept it as the engine was slow.
        """
        if 2 * len(reports) < self.bench.roster.size(self.bench.deadlines.now_us()):
            return
        self.bearing.step(reports, self.booker, bookers, self.ramp.state)
        self._bound()

    def _bound(self) -> None:
        self.pressure = self.bearing.pressure(self.ramp.state, self.pressure)

    def told(self) -> BookerHealth:
        """Return the booker's state as last published, or as this member's own probes show it."""
        return self.ramp.state

    def value(self) -> dict[str, Any] | None:
        """Return the booker's state, and its pressure where loads are shared."""
        told = self.ramp.state.value()
        return (
            told | {"pressure": self.pressure.value()} if self.pressure and self.bench.fleet.bounds else told
        )

    def act(self, token: Token, now_us: int) -> None:
        """Probe when it is time."""
        if self.under != token:
            self.under, self.lost_in_row = token, 0
        if now_us < self.next_us:
            return
        self.next_us = now_us + self.bench.fleet.probe_ms * 1000
        self.bench.counters.add("fleet.probes")
        sent = self._send(f"PROBE {self.booker} {token}")
        sent.addCallbacks(lambda line: self._answered(line, token), lambda _failure: self._lost(token))

    def _send(self, line: str) -> Any:
        bench = self.bench
        within_us = max(200_000, min(1_000_000, bench.fleet.probe_ms * 1000))
        return probe(bench.reactor, bench.deadlines, self.address, line, within_us)

    def _answered(self, line: str, token: Token) -> None:
        now = self.bench.deadlines.now_us()
        if line.startswith("NO"):
            self.bench.counters.add("fleet.probes_refused")
            log.info("fleet: probe of %s with %s refused (%s)", self.booker, token, line)
            self.refused(parse_token(line.removeprefix("NO").strip()))
            return
        if not line.startswith("OK"):
            self._lost(token)
            return
        if self.claim.token != token:
            return  # an answer to a probe of an ownership that is over
        self.lost_in_row = 0
        self._started(self.ramp, line, now)
        told = self.ramp.probe_answered(True, now, now // 1000)
        self._bound()
        if told:
            log.info("fleet: %s is %s at %g", self.booker, self.ramp.state.health, self.ramp.state.share)

    def _started(self, ramp: Ramp, line: str, now: int) -> None:
        """Take a booker that tells a later start than before for replaced: it is cold."""
        told = line.removeprefix("OK").strip()
        if not told.isdigit() or len(told) > 15:
            return
        if self.started_ms is not None and int(told) > self.started_ms:
            ramp.booker_replaced(now, now // 1000)
            self.bearing.replaced()
        self.started_ms = int(told)

    def _lost(self, token: Token) -> None:
        self.bench.counters.add("fleet.probes_lost")
        if self.claim.token != token:
            return
        now = self.bench.deadlines.now_us()
        self.lost_in_row += 1
        known = self.ramp.state.health is Health.EJECTED
        if not known and self.bench.roster.may_decline(self.name):
            # It may be this member that is cut off: another one tries before the fleet hears of it.
            if self.lost_in_row >= PROBES_LOST:
                self.asides += 1
                self.aside_until_us = now + self.bench.times.ttl_us * (2 << min(self.asides, 4))
                log.info("fleet: %s can't be reached from here; another one tries", self.booker)
            return
        if self.ramp.probe_answered(False, now, now // 1000):
            self._bound()
            log.warning("fleet: %s is %s", self.booker, self.ramp.state.health)

    def look(self, now_us: int, size: int) -> None:
        """Alone: look after oneself, so seldom that a whole fleet of loners costs what one owner does."""
        if now_us < self.next_us:
            return
        self.next_us = now_us + self.bench.fleet.probe_ms * 1000 * size
        self.bench.counters.add("fleet.looks")

        def seen(good: bool) -> None:
            now = self.bench.deadlines.now_us()
            self.looked.probe_answered(good, now, now // 1000)

        sent = self._send(f"LOOK {self.booker} {self.bench.fleet.name}")
        sent.addCallbacks(lambda line: seen(line.startswith("OK")), lambda _failure: seen(False))
