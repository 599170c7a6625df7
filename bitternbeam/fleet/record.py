"""Records that one owner publishes for all members, with check-and-set writes and fencing tokens.

A record is one JSON object `{"token": "7@ctl-2", "at_ms": <Unix ms>, "is": {...}}` in one key of the engine.
The writer passes the index of the record that it read (check-and-set), so the write of an owner that was
paused in between fails. The reader keeps the highest token seen and rejects lower ones, so that a record of a
former owner has no effect even if an engine that lost its data accepts it.

A new owner writes at once, changed or not: from then on no older token can be written or is accepted.
Age is counted on the reader's monotonic clock from when it first saw the record; the writer's wall clock only
excludes records from the future and records that were too old when first seen.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from bitternbeam.fleet.tokens import Fence, Token, parse_token

MAX_RECORD_BYTES = 512 * 1024  # Consul's limit on a value
MAX_CLOCK_SKEW_MS = 2_000  # largest difference between the clocks of two hosts


@dataclass(frozen=True, slots=True)
class Record:
    """One published record."""

    token: Token
    at_ms: int
    value: dict[str, Any]

    def text(self) -> str:
        """Return the record as it is stored."""
        whole = {"token": str(self.token), "at_ms": self.at_ms, "is": self.value}
        return msgspec.json.encode(whole).decode()


def parse_record(text: str) -> Record | None:
    """Read a record; None if it is malformed."""
    if len(text) > MAX_RECORD_BYTES:
        return None
    try:
        whole = msgspec.json.decode(text)
    except (ValueError, RecursionError, msgspec.DecodeError):
        return None
    if not isinstance(whole, dict):
        return None
    token = parse_token(whole["token"]) if isinstance(whole.get("token"), str) else None
    at_ms, value = whole.get("at_ms"), whole.get("is")
    if token is None or type(at_ms) is not int or at_ms < 0 or not isinstance(value, dict):
        return None
    return Record(token, at_ms, value)


class ReadResult(StrEnum):
    """Result of reading a record."""

    NEW = "new"  # accepted
    SAME = "same"  # the current one
    MALFORMED = "malformed"
    STALE = "stale"  # token lower than one seen
    FUTURE = "future"  # further in the future than clocks may differ
    OLD = "old"  # past the age limit when first seen


class RecordReader:
    """A reader of one record: the current one and its age. Rejected records are counted."""

    def __init__(self, age_us: int) -> None:
        self.age_us = age_us
        self.fence = Fence()
        self.record: Record | None = None
        self.seen_us = 0
        self.refused: dict[ReadResult, int] = {}

    def read(self, text: str, now_us: int, wall_ms: int) -> ReadResult:
        """Read the record in the engine; `now_us` is monotonic, `wall_ms` Unix time."""
        record = parse_record(text)
        heard = ReadResult.MALFORMED
        if record is not None:
            heard = self._judge(record, wall_ms)
        if heard is ReadResult.NEW:
            self.record, self.seen_us = record, now_us
        elif heard is not ReadResult.SAME:
            self.refused[heard] = self.refused.get(heard, 0) + 1
        return heard

    def _judge(self, record: Record, wall_ms: int) -> ReadResult:
        if record == self.record:
            return ReadResult.SAME
        if record.at_ms > wall_ms + MAX_CLOCK_SKEW_MS:
            return ReadResult.FUTURE
        if (wall_ms - record.at_ms) * 1000 > self.age_us + MAX_CLOCK_SKEW_MS * 1000:
            return ReadResult.OLD
        if not self.fence.admit(record.token).accepted:
            return ReadResult.STALE
        return ReadResult.NEW

    def fresh(self, now_us: int) -> Record | None:
        """Return the record if it is within its age limit, else None."""
        if self.record is None or now_us - self.seen_us > self.age_us:
            return None
        return self.record


@dataclass(frozen=True, slots=True)
class Write:
    """A record to store, and the ModifyIndex that it replaces (0: the key must not exist)."""

    record: Record
    cas: int


class Publication:
    """The writer of one record: decides when to write, and which version to replace.

    `record_read` passes the engine's version; after a lost check-and-set the next write waits for it.
    """

    def __init__(self, refresh_us: int) -> None:
        self.refresh_us = refresh_us
        self.index: int | None = None  # ModifyIndex in the engine; None: not known
        self.stored: Token | None = None  # token of the record in the engine
        self.busy = False
        self.last_written: tuple[Token, dict[str, Any]] | None = None
        self.wrote_us = 0

    def record_read(self, index: int, text: str | None) -> None:
        """Record the engine's version: its ModifyIndex and text, or (0, None) if there is none."""
        record = parse_record(text) if text is not None else None
        self.index = index
        self.stored = record.token if record else None

    def forget(self) -> None:
        """Forget the engine's version: it is read before the next write."""
        self.index = None

    def due(self, token: Token, value: dict[str, Any], now_us: int) -> bool:
        """Return whether this owner should write now."""
        if self.busy:
            return False
        if self.last_written is None or self.last_written != (token, value):
            return True
        # All owners refresh at the same time, so that a watcher wakes once for all of them.
        return now_us // self.refresh_us != self.wrote_us // self.refresh_us

    def write(self, token: Token, value: dict[str, Any], now_us: int, wall_ms: int) -> Write | Token | None:
        """Return the write, or the token that forbids it, or None if the record must be read first."""
        if self.index is None:
            return None
        if self.stored is not None and self.stored != token and self.stored.number >= token.number:
            return self.stored
        self.busy = True
        self.wrote_us = now_us
        return Write(Record(token, wall_ms, value), self.index)

    def written(self, done: bool, write: Write) -> None:
        """Handle the engine's answer to a write; it fails if another wrote first."""
        self.busy = False
        self.index = None  # the index has changed either way
        self.last_written = (write.record.token, write.record.value) if done else None
        if done:
            self.stored = write.record.token

    def failed(self) -> None:
        """Handle a failed request: whether it was written is not known."""
        self.busy = False
        self.index = None
        self.last_written = None
