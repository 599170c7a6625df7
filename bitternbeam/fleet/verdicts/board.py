"""The verdicts that one member holds: for each subject the one of highest precedence, until it expires.

Adding is commutative and idempotent (a join: the maximum of a total order), so members that received the same
verdicts hold the same ones, whatever the order and repetitions. An expired verdict still overrides those of
lower precedence for its kind's longest duration, so that none of these takes effect again.
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
    """One member's board; a kind with no record for `max_silence_us` counts as unheard."""

    def __init__(self, max_silence_us: int, now_us: int) -> None:
        self.max_silence_us = max_silence_us
        # By kind and subject: the verdict, when it expires, when it may be dropped.
        self.entries: dict[tuple[str, str], tuple[Verdict, int, int]] = {}
        self.last_record_us: dict[str, int] = {}
        self.started_us = now_us
        self.rejected: dict[str, int] = {}
        self.sequence = 0

    def add(self, verdict: Verdict, now_us: int, wall_ms: int) -> ReadResult:
        """Add a verdict; those that are rejected are counted."""
        verdict_kind = KINDS.get(verdict.kind)
        if verdict_kind is None or not 0 < verdict.duration_ms <= verdict_kind.max_duration_ms:
            return self._reject(ReadResult.MALFORMED)
        if verdict.issued_ms > wall_ms + MAX_CLOCK_SKEW_MS:
            return self._reject(ReadResult.FUTURE)
        if wall_ms > verdict.issued_ms + verdict_kind.max_duration_ms + MAX_CLOCK_SKEW_MS:
            return self._reject(ReadResult.OLD)
        key = (verdict.kind, verdict.subject)
        held = self.entries.get(key)
        if held is not None and held[0] == verdict:
            return ReadResult.SAME
        if held is not None and verdict.precedence < held[0].precedence:
            return self._reject(ReadResult.STALE)
        left_ms = min(verdict.duration_ms, verdict.expires_ms + MAX_CLOCK_SKEW_MS - wall_ms)
        drop_ms = verdict.issued_ms + verdict_kind.max_duration_ms + MAX_CLOCK_SKEW_MS - wall_ms
        self.entries[key] = (verdict, now_us + left_ms * 1000, now_us + drop_ms * 1000)
        return ReadResult.NEW

    def _reject(self, outcome: ReadResult) -> ReadResult:
        self.rejected[str(outcome)] = self.rejected.get(str(outcome), 0) + 1
        return outcome

    def read_record(self, kind: str, value: Any, now_us: int, wall_ms: int) -> bool:
        """Read a kind's record; False, and counted, if it is malformed."""
        verdicts = parse_verdicts(value)
        if verdicts is None or value["kind"] != kind:
            self._reject(ReadResult.MALFORMED)
            return False
        self.note_record(kind, now_us)
        for verdict in verdicts:
            self.add(verdict, now_us, wall_ms)
        return True

    def note_record(self, kind: str, now_us: int) -> None:
        """Note that a fresh record of this kind was received, changed or not."""
        self.last_record_us[kind] = now_us

    def active(self, kind: str, subject: str, now_us: int) -> Verdict | None:
        """Return the verdict in force on the subject, if any."""
        held = self.entries.get((kind, subject))
        if held is None or held[0].is_lift or now_us >= held[1]:
            return None
        return held[0]

    def active_by_subject(self, kind: str, now_us: int) -> dict[str, Verdict]:
        """Return the verdicts of a kind that are in force, by subject."""
        return {
            verdict.subject: verdict
            for verdict, ends_us, _droppable_us in self.entries.values()
            if verdict.kind == kind and not verdict.is_lift and now_us < ends_us
        }

    def remaining_us(self, kind: str, subject: str, now_us: int) -> int:
        """Return how long the subject is still barred; 0 if it is not."""
        held = self.entries.get((kind, subject))
        return 0 if held is None or held[0].is_lift else max(0, held[1] - now_us)

    def is_informed(self, kind: str, now_us: int) -> bool:
        """Return whether a record of this kind was received within `max_silence_us`."""
        received_us = self.last_record_us.get(kind)
        return received_us is not None and now_us - received_us <= self.max_silence_us

    def denial_reason(self, kind: str, subject: str, now_us: int) -> str:
        """Return why the subject is barred now, or ''. Without records the kind's failure mode decides."""
        verdict = self.active(kind, subject, now_us)
        if verdict is not None:
            return verdict.cause
        return "unheard" if KINDS[kind].failure_mode == "shut" and not self.is_informed(kind, now_us) else ""

    def expired(self, now_us: int) -> list[Verdict]:
        """Return the expired verdicts, and drop those that need not override others any more."""
        expired = [verdict for verdict, ends_us, _droppable_us in self.entries.values() if now_us >= ends_us]
        self.entries = {key: row for key, row in self.entries.items() if now_us < row[2]}
        return expired

    # Only at the kind's owner.

    def issue(self, verdict: Verdict, now_us: int, wall_ms: int) -> Verdict | None:
        """Issue a verdict or a lift under the owner's token, for at most the kind's longest duration.

        Returns None if one of higher precedence is held; the claim then needs a number above `highest_token`.
        """
        self.sequence += 1
        duration_ms = KINDS[verdict.kind].max_duration_ms
        duration_ms = duration_ms if verdict.is_lift else min(verdict.duration_ms, duration_ms)
        verdict = replace(verdict, sequence=self.sequence, duration_ms=duration_ms)
        return verdict if self.add(verdict, now_us, wall_ms) is ReadResult.NEW else None

    def highest_token(self, kind: str) -> Token | None:
        """Return the highest fencing token among the kind's verdicts."""
        return max((row[0].token for key, row in self.entries.items() if key[0] == kind), default=None)

    def record_value(self, kind: str) -> dict[str, Any]:
        """Return the value of the kind's record: all its verdicts, expired ones and lifts too.

        Of more than MAX_VERDICTS, the newest are kept.

        A new owner publishes its own board, which restores the verdicts after the engine lost its data.
        """
        verdicts: Iterable[Verdict] = (row[0] for key, row in self.entries.items() if key[0] == kind)
        newest = sorted(verdicts, key=lambda verdict: (verdict.expires_ms, verdict.subject), reverse=True)[
            :MAX_VERDICTS
        ]
        return {
            "kind": kind,
            "rows": [verdict.to_row() for verdict in sorted(newest, key=lambda verdict: verdict.subject)],
        }

    def status(self, now_us: int) -> list[dict[str, Any]]:
        """Return the verdicts in force, as `status` shows them."""
        return [
            {
                "kind": verdict.kind,
                "subject": verdict.subject,
                "cause": verdict.cause,
                "token": str(verdict.token),
                "age_ms": max(0, verdict.duration_ms - (ends_us - now_us) // 1000),
                "lasts_ms": verdict.duration_ms,
                "left_ms": (ends_us - now_us) // 1000,
                "fails": KINDS[verdict.kind].failure_mode,
            }
            for verdict, ends_us, _droppable_us in self.entries.values()
            if now_us < ends_us and not verdict.is_lift
        ]
