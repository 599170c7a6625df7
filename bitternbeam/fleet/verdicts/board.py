"""The verdicts that one member holds: of each subject the highest in order, until its expiry.

Taking is commutative and idempotent (the highest of a total order: a join), so members that heard the same
verdicts hold the same ones, whatever the order and however often. One that is over still stands above lower
ones for as long as its kind's longest time, so that none of these comes back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from bitternbeam.fleet.record import MAX_CLOCK_SKEW_MS, ReadResult
from bitternbeam.fleet.tokens import Token
from bitternbeam.fleet.verdicts.kinds import KINDS
from bitternbeam.fleet.verdicts.verdict import MAX_VERDICTS, Verdict, parse_verdicts


class VerdictBoard:
    """One member's board; `hears_us`: past so long without a record of a kind it can't hear of it."""

    def __init__(self, max_silence_us: int, now_us: int) -> None:
        self.max_silence_us = max_silence_us
        self.entries: dict[tuple[str, str], tuple[Verdict, int, int]] = {}  # verdict, ends, may be dropped
        self.last_record_us: dict[str, int] = {}
        self.started_us = now_us
        self.rejected: dict[str, int] = {}
        self.sequence = 0

    def add(self, verdict: Verdict, now_us: int, wall_ms: int) -> ReadResult:
        """Take one verdict; what is turned down is counted."""
        known = KINDS.get(verdict.kind)
        if known is None or not 0 < verdict.duration_ms <= known.max_duration_ms:
            return self._reject(ReadResult.MALFORMED)
        if verdict.issued_ms > wall_ms + MAX_CLOCK_SKEW_MS:
            return self._reject(ReadResult.FUTURE)
        if wall_ms > verdict.issued_ms + known.max_duration_ms + MAX_CLOCK_SKEW_MS:
            return self._reject(ReadResult.OLD)
        key = (verdict.kind, verdict.subject)
        had = self.entries.get(key)
        if had is not None and had[0] == verdict:
            return ReadResult.SAME
        if had is not None and verdict.precedence < had[0].precedence:
            return self._reject(ReadResult.STALE)
        left_ms = min(verdict.duration_ms, verdict.expires_ms + MAX_CLOCK_SKEW_MS - wall_ms)
        drop_ms = verdict.issued_ms + known.max_duration_ms + MAX_CLOCK_SKEW_MS - wall_ms
        self.entries[key] = (verdict, now_us + left_ms * 1000, now_us + drop_ms * 1000)
        return ReadResult.NEW

    def _reject(self, why: ReadResult) -> ReadResult:
        self.rejected[str(why)] = self.rejected.get(str(why), 0) + 1
        return why

    def read_record(self, kind: str, value: Any, now_us: int, wall_ms: int) -> bool:
        """Take a kind's record; False, and counted, if it is of another form."""
        verdicts = parse_verdicts(value)
        if verdicts is None or value["kind"] != kind:
            self._reject(ReadResult.MALFORMED)
            return False
        self.note_record(kind, now_us)
        for one in verdicts:
            self.add(one, now_us, wall_ms)
        return True

    def note_record(self, kind: str, now_us: int) -> None:
        """Note that a fresh record of this kind was seen, changed or not."""
        self.last_record_us[kind] = now_us

    def active(self, kind: str, subject: str, now_us: int) -> Verdict | None:
        """Return the verdict that bars the subject now."""
        had = self.entries.get((kind, subject))
        if had is None or had[0].is_lift or now_us >= had[1]:
            return None
        return had[0]

    def active_by_subject(self, kind: str, now_us: int) -> dict[str, Verdict]:
        """Return the verdicts of a kind that bar their subjects now, by subject."""
        return {
            one.subject: one
            for one, ends_us, _drop in self.entries.values()
            if one.kind == kind and not one.is_lift and now_us < ends_us
        }

    def remaining_us(self, kind: str, subject: str, now_us: int) -> int:
        """Return for how long the subject is still barred."""
        had = self.entries.get((kind, subject))
        return 0 if had is None or had[0].is_lift else max(0, had[1] - now_us)

    def is_informed(self, kind: str, now_us: int) -> bool:
        """Whether the member would have heard of a verdict of this kind."""
        at_us = self.last_record_us.get(kind)
        return at_us is not None and now_us - at_us <= self.max_silence_us

    def denial_reason(self, kind: str, subject: str, now_us: int) -> str:
        """Return why the subject may not be used or taken now; '' if it may. Fails as its kind says."""
        verdict = self.active(kind, subject, now_us)
        if verdict is not None:
            return verdict.cause
        return "unheard" if KINDS[kind].failure_mode == "shut" and not self.is_informed(kind, now_us) else ""

    def expired(self, now_us: int) -> list[Verdict]:
        """Return those that are over, and drop what nothing lower can outlive."""
        over = [one for one, ends_us, _drop in self.entries.values() if now_us >= ends_us]
        self.entries = {key: row for key, row in self.entries.items() if now_us < row[2]}
        return over

    # The owner's side.

    def issue(self, verdict: Verdict, now_us: int, wall_ms: int) -> Verdict | None:
        """Pronounce a verdict, or a lift, under its owner's token; it lasts at most as long as its kind may.

        None: a higher one is on the board, so the claim needs a number above `highest`.
        """
        self.sequence += 1
        lasts_ms = KINDS[verdict.kind].max_duration_ms
        lasts_ms = lasts_ms if verdict.is_lift else min(verdict.duration_ms, lasts_ms)
        verdict = replace(verdict, sequence=self.sequence, duration_ms=lasts_ms)
        return verdict if self.add(verdict, now_us, wall_ms) is ReadResult.NEW else None

    def highest_token(self, kind: str) -> Token | None:
        """Return the highest token among the kind's verdicts."""
        return max((row[0].token for key, row in self.entries.items() if key[0] == kind), default=None)

    def record_value(self, kind: str) -> dict[str, Any]:
        """Return the kind's record: all of its board, those over and lifts too, the newest if too many.

        A new owner publishes its own board, so that an engine that forgot all learns what members knew.
        """
        mine: Iterable[Verdict] = (row[0] for key, row in self.entries.items() if key[0] == kind)
        newest = sorted(mine, key=lambda one: (one.expires_ms, one.subject), reverse=True)[:MAX_VERDICTS]
        return {"kind": kind, "rows": [one.to_row() for one in sorted(newest, key=lambda one: one.subject)]}

    def status(self, now_us: int) -> list[dict[str, Any]]:
        """Return each verdict that stands, as `status` shows it."""
        return [
            {
                "kind": one.kind,
                "subject": one.subject,
                "cause": one.cause,
                "token": str(one.token),
                "age_ms": max(0, one.duration_ms - (ends_us - now_us) // 1000),
                "lasts_ms": one.duration_ms,
                "left_ms": (ends_us - now_us) // 1000,
                "fails": KINDS[one.kind].failure_mode,
            }
            for one, ends_us, _drop in self.entries.values()
            if now_us < ends_us and not one.is_lift
        ]
