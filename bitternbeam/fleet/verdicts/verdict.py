"""One verdict: its subject, cause, issuer and expiry, and the total order of conflicting verdicts.

`issued_ms` is the Unix time at which it was issued; with it, receivers reject verdicts from the future and
those that have already expired. After that, each receiver measures by its own monotonic clock. A verdict may
also be a lift: it bars nothing and overrides those before it.
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
    """A verdict of a kind on a subject; `sequence` counts those that one owner issued under one token."""

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
        """Return the sort key among verdicts on one subject: the highest applies, of equals the longer."""
        token = self.token
        return (
            token.number, token.holder, self.sequence,
            self.duration_ms, self.issued_ms, not self.is_lift, self.cause
        )  # fmt: skip

    @property
    def expires_ms(self) -> int:
        """Return the Unix time of the expiry."""
        return self.issued_ms + self.duration_ms

    def to_row(self) -> list[Any]:
        """Return the verdict as a row of a record; the record names the kind."""
        return [
            self.subject, self.cause, str(self.token),
            self.issued_ms, self.duration_ms, self.sequence, self.is_lift
        ]  # fmt: skip


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 62


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def parse_verdict(kind: str, row: Any) -> Verdict | None:
    """Parse a row; None if it is malformed or exceeds its kind's longest duration."""
    verdict_kind = KINDS.get(kind)
    if verdict_kind is None or not isinstance(row, list) or len(row) != 7:
        return None
    subject, cause, token_text, issued_ms, duration_ms, sequence, is_lift = row
    if not (_is_text(subject) and _is_text(cause) and isinstance(token_text, str) and type(is_lift) is bool):
        return None
    token = parse_token(token_text)
    if token is None or not (_is_count(issued_ms) and _is_count(duration_ms) and _is_count(sequence)):
        return None
    if not 0 < duration_ms <= verdict_kind.max_duration_ms:
        return None
    return Verdict(kind, subject, cause, token, issued_ms, duration_ms, sequence, is_lift)


def parse_verdicts(value: Any) -> list[Verdict] | None:
    """Parse a record's value; None if any of it is malformed."""
    if not isinstance(value, dict) or set(value) != RECORD_KEYS or not isinstance(value["rows"], list):
        return None
    kind, rows = value["kind"], value["rows"]
    if not isinstance(kind, str) or len(rows) > MAX_VERDICTS:
        return None
    parsed = [parse_verdict(kind, row) for row in rows]
    return (
        [verdict for verdict in parsed if verdict is not None]
        if all(verdict is not None for verdict in parsed)
        else None
    )
