"""One report a member and period, for all extensions: stored at the turn, read by owners in the middle.

Periods are turns of Unix time, the same for all members. Reports stand beside the watched folder, so that
they wake nobody; who leads something reads them all once a period.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from bitternbeam.fleet.record import MAX_CLOCK_SKEW_MS
from bitternbeam.net.consul import BadReply
from bitternbeam.net.coordination import Reply, entries_of
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.extension import Extension

log = logging.getLogger(__name__)

FRESH = 3  # periods, for which a report is believed
SLICE = 32_768  # characters read at one go: about a millisecond


class Reports:
    """One member's reports out, and all members' in."""

    def __init__(self, bench: Bench, extensions: Sequence[Extension]) -> None:
        self.bench, self.extensions = bench, extensions
        self.period_us = bench.fleet.period_ms * 1000
        self.prefix = f"{bench.fleet.prefix}-report/"
        now = bench.deadlines.now_us()
        self.turn, self.middle = now // self.period_us, self._middle(now)
        self.storing = self.reading = False

    def _middle(self, now_us: int) -> int:
        return (now_us + self.period_us // 2) // self.period_us

    def tick(self, now_us: int) -> None:
        """Report at the turn; read in the middle."""
        if now_us // self.period_us != self.turn:
            self.turn = now_us // self.period_us
            self._store({one.name: part for one in self.extensions if (part := one.reports(now_us))}, now_us)
        if self._middle(now_us) != self.middle:
            self.middle = self._middle(now_us)
            leading = [one for one in self.extensions if one.leads()]
            if leading and not self.reading:
                self._read(leading)

    def _store(self, parts: dict[str, Any], now_us: int) -> None:
        if self.storing or not parts:
            return  # the one before has not been taken yet
        self.storing = True

        def done(_result: Any) -> None:
            self.storing = False

        text = msgspec.json.encode({"at_ms": now_us // 1000} | parts).decode()
        self.bench.api.kv_put(f"{self.prefix}{self.bench.fleet.name}", text).addBoth(done)

    def _read(self, leading: list[Extension]) -> None:
        self.reading = True

        def told(reply: Reply) -> None:
            body = reply.body if reply.body is not None else []
            if not isinstance(body, list):
                raise BadReply("reports: not a list of entries")
            self._take(leading, self._believed(body, self.bench.deadlines.now_us()))

        def failed(_failure: Any) -> None:
            self.reading = False
            self.bench.counters.add("fleet.reports_unread")

        self.bench.api.kv_watch(self.prefix, index=0, wait_us=0).addCallback(told).addErrback(failed)

    def _take(self, leading: list[Extension], reading: Iterator[dict[str, dict[str, Any]] | None]) -> None:
        """Read on, a slice at a time; hand all reports over once they are read."""
        # Danger: those of 40 members read at one go held the reactor for 20 ms.
        self.reading = False  # should this reading fail, the next period's is not kept from it
        whole = next(reading)
        if whole is None:
            self.reading = True
            self.bench.deadlines.after(0, lambda: self._take(leading, reading))
            return
        now = self.bench.deadlines.now_us()
        for one in leading:
            found = {name: report.get(one.name) for name, report in whole.items()}
            parts = {name: part for name, part in found.items() if isinstance(part, dict)}
            try:
                one.heard(parts, now)
            except Exception:
                # A fault in one subsystem must cost one period of it, not the others'.
                self.bench.counters.add("fleet.faults")
                log.exception("fleet: %s failed over the reports", one.name)

    def _believed(self, body: list[Any], now_us: int) -> Iterator[dict[str, dict[str, Any]] | None]:
        """Give None between slices, then the reports by member that are believed; others are counted."""
        found: dict[str, dict[str, Any]] = {}
        now_ms = now_us // 1000
        left = SLICE
        for raw in body:
            try:
                ((key, entry),) = entries_of([raw]).items()
                left -= len(entry.value)
                report = msgspec.json.decode(entry.value)
            except (BadReply, ValueError, RecursionError, msgspec.DecodeError):
                key, report = "", None
            if left < 0:
                left = SLICE
                yield None
            at_ms = report.get("at_ms") if isinstance(report, dict) else None
            if type(at_ms) is not int:
                self.bench.counters.add("fleet.reports_malformed")
            elif at_ms > now_ms + MAX_CLOCK_SKEW_MS:
                self.bench.counters.add("fleet.reports_future")
            elif now_ms - at_ms <= FRESH * self.period_us // 1000:
                found[key.removeprefix(self.prefix)] = report
        yield found
