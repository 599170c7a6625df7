"""Keeping one kind of verdicts as a piece of work; decisions are fleet.verdicts."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from bitternbeam.fleet.record import ReadResult, parse_record
from bitternbeam.fleet.tokens import Token
from bitternbeam.fleet.verdicts.board import VerdictBoard
from bitternbeam.fleet.verdicts.detectors import Detection
from bitternbeam.fleet.verdicts.verdict import Verdict, parse_verdicts
from bitternbeam.net.coordination import KvEntry
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.work import Work

log = logging.getLogger(__name__)


class VerdictWork(Work):
    """Pronouncing one kind's verdicts; what is published is its owner's board."""

    def __init__(
        self, bench: Bench, kind: str, board: VerdictBoard, barred: Callable[[str, str], None]
    ) -> None:
        super().__init__(bench, "verdict", kind)
        self.kind, self.board, self.barred = kind, board, barred
        self.judge: Callable[[], Iterable[Detection]] | None = None  # over the reports of a period
        self.published: frozenset[Verdict] = frozenset()  # rows of the record, believed or not

    def shown(self, entries: Mapping[str, KvEntry], now_us: int) -> None:
        """Take the record; one that is old tells a member that has just started what was said before."""
        first = self.follower.record is None
        super().shown(entries, now_us)
        entry = entries.get(self.key)
        record = parse_record(entry.value) if entry is not None else None
        verdicts = parse_verdicts(record.value) or [] if record is not None else []
        # Danger: of one who lost all and whose token is too low for us, we would think that it knows.
        self.published = frozenset(verdicts)
        if first and self.follower.record is None:
            self.known(verdicts, now_us)

    def heard(self, value: dict[str, Any]) -> None:
        """Take what was published."""
        now_us = self.bench.deadlines.now_us()
        before = self.board.active_by_subject(self.kind, now_us)
        if not self.board.read_record(self.kind, value, now_us, now_us // 1000):
            self.bench.counters.add("fleet.records_malformed")
        self._told(before, now_us)

    def _told(self, before: Mapping[str, Verdict], now_us: int) -> None:
        """Say what is in force now and was not."""
        now = self.board.active_by_subject(self.kind, now_us)
        for name, one in now.items():
            if before.get(name) != one:
                self.bench.counters.add(f"fleet.verdicts.{self.kind}")
                log.warning(
                    "fleet: %s %s is barred until %d (%s), %d ms after %s said so",
                    self.kind, name, one.expires_ms, one.cause, now_us // 1000 - one.issued_ms, one.token,
                )  # fmt: skip
                self.barred(self.kind, name)

    def kept(self, now_us: int) -> list[list[Any]]:
        """Return the verdicts that bar here and that the record lacks: its owner may not know them."""
        mine = self.board.active_by_subject(self.kind, now_us).values()
        return [one.to_row() for one in mine if one not in self.published]

    def known(self, verdicts: Iterable[Verdict], now_us: int) -> None:
        """Take what other members hold."""
        before = self.board.active_by_subject(self.kind, now_us)
        for one in verdicts:
            if one.kind == self.kind and self.board.add(one, now_us, now_us // 1000) is ReadResult.NEW:
                self.claim.highest_seen = max(self.claim.highest_seen, one.token.number)
        self._told(before, now_us)

    def act(self, token: Token, now_us: int) -> None:
        """Judge what the members reported."""
        if self.judge is None:
            return
        judge, self.judge = self.judge, None
        highest = self.board.highest_token(self.kind)
        if highest is not None and highest != token and highest.number >= token.number:
            self.refused(highest)  # no member would believe a record under this one
            return
        before = self.board.active_by_subject(self.kind, now_us)
        for one in judge():
            verdict = Verdict(
                self.kind, one.subject, one.cause, token, now_us // 1000, one.duration_ms
            )  # fmt: skip
            if self.board.issue(verdict, now_us, now_us // 1000) is None:
                self.refused(self.board.highest_token(self.kind))
                return
        self._told(before, now_us)

    def value(self) -> dict[str, Any]:
        """Return the board's part."""
        return self.board.record_value(self.kind)
