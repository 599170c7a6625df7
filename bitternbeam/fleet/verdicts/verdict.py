"""One verdict: what it is on, why, by whom, and until when; and the one order of conflicting ones.

`at_ms` is the Unix time at which it was pronounced; it bars what comes from ahead and what is over before it
is heard. From then on each hearer counts by its own monotonic clock. A verdict may also lift: it then bars
nothing, and stands above those before it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.tokens import Token, parse_token
from bitternbeam.fleet.verdicts.kinds import KINDS

MAX_TEXT_LENGTH = 256
MAX_VERDICTS = 2_000  # of one kind at once
RECORD_KEYS = {"kind", "rows"}


@dataclass(frozen=True, slots=True)
class Verdict:
    """A verdict of a kind on a subject; `turn` counts those that one owner pronounced under one token."""

    kind: str
    subject: str
    cause: str
    token: Token
    issued_ms: int
    duration_ms: int
    sequence: int = 0
    is_lift: bool = False

    @property
    def precedence(self) -> tuple[int, str, int, int, int, bool, str]:
        """Return its place among those on the same subject: the highest holds, of equals the longer."""
        token = self.token
        return (
            token.number, token.holder, self.sequence,
            self.duration_ms, self.issued_ms, not self.is_lift, self.cause
        )  # fmt: skip

    @property
    def expires_ms(self) -> int:
        """Return the Unix time of its expiry."""
        return self.issued_ms + self.duration_ms

    def to_row(self) -> list[Any]:
        """Return it as a record carries it (the record says the kind)."""
        return [
            self.subject, self.cause, str(self.token),
            self.issued_ms, self.duration_ms, self.sequence, self.is_lift
        ]  # fmt: skip


def _count(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 62


def _text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def parse_verdict(kind: str, row: Any) -> Verdict | None:
    """Read a verdict; None for anything else, or one that lasts longer than its kind may."""
    known = KINDS.get(kind)
    if known is None or not isinstance(row, list) or len(row) != 7:
        return None
    subject, cause, told, at_ms, lasts_ms, turn, lifts = row
    if not (_text(subject) and _text(cause) and isinstance(told, str) and type(lifts) is bool):
        return None
    token = parse_token(told)
    if token is None or not (_count(at_ms) and _count(lasts_ms) and _count(turn)):
        return None
    if not 0 < lasts_ms <= known.max_duration_ms:
        return None
    return Verdict(kind, subject, cause, token, at_ms, lasts_ms, turn, lifts)


def parse_verdicts(value: Any) -> list[Verdict] | None:
    """Read a record of one kind's verdicts; None if any of it is of another form."""
    if not isinstance(value, dict) or set(value) != RECORD_KEYS or not isinstance(value["rows"], list):
        return None
    kind, rows = value["kind"], value["rows"]
    if not isinstance(kind, str) or len(rows) > MAX_VERDICTS:
        return None
    read = [parse_verdict(kind, row) for row in rows]
    return [one for one in read if one is not None] if all(one is not None for one in read) else None
