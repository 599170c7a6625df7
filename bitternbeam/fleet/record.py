"""Records that one owner publishes for all, under its fencing token: check-and-set writes, careful readers.

A record is one JSON object `{"token": "7@ctl-2", "at_ms": <Unix ms>, "is": {...}}` in one key of the engine.
The writer gives the index of the record that it saw (check-and-set), so an owner that was paused between
looking and writing finds the record moved on; the reader keeps the highest token seen and turns down anything
lower, so that even a record that an amnesic engine took from an old owner changes nothing.

A new owner writes once at once, changed or not: from then on no older token can be written or is believed.
Age is counted by the reader's own monotonic clock from when it first saw the record; the writer's wall clock
only bars records from the future and records that were old when first seen.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from bitternbeam.fleet.tokens import Fence, Token, parse_token

MAX_RECORD_BYTES = 512 * 1024  # Consul's own bound on a value
MAX_CLOCK_SKEW_MS = 2_000  # clocks of two hosts may differ by so much


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
    """Read a record; None for anything else (a reader never trusts what it can't read)."""
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
    """What a reader made of a record."""

    NEW = "new"  # taken
    SAME = "same"  # the one it has
    MALFORMED = "malformed"
    STALE = "stale"  # its token is lower than one seen
    FUTURE = "future"  # from further ahead than clocks may differ
    OLD = "old"  # past the age bound when first seen


class RecordReader:
    """One reader of one record: what it believes, and until when. What it turns down is counted."""

    def __init__(self, age_us: int) -> None:
        self.age_us = age_us
        self.fence = Fence()
        self.record: Record | None = None
        self.seen_us = 0
        self.refused: dict[ReadResult, int] = {}

    def read(self, text: str, now_us: int, wall_ms: int) -> ReadResult:
        """Judge what the engine shows now; `now_us` monotonic, `wall_ms` Unix time."""
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
        """Return the record if it is still within its age, else None."""
        if self.record is None or now_us - self.seen_us > self.age_us:
            return None
        return self.record


@dataclass(frozen=True, slots=True)
class Write:
    """What to store, and the ModifyIndex it replaces (0: the key must not exist)."""

    record: Record
    cas: int


class Publication:
    """The writer's side of one record: when to write, and over what.

    `shown` tells what the engine holds; a write that lost the check-and-set waits until that is told anew.
    """

    def __init__(self, refresh_us: int) -> None:
        self.refresh_us = refresh_us
        self.index: int | None = None  # of the record in the engine; None: not known
        self.stored: Token | None = None  # the token it carries
        self.busy = False
        self.last_written: tuple[Token, dict[str, Any]] | None = None
        self.wrote_us = 0

    def record_read(self, index: int, text: str | None) -> None:
        """Take what the engine holds: its ModifyIndex and text, or (0, None) where there is none."""
        record = parse_record(text) if text is not None else None
        self.index = index
        self.stored = record.token if record else None

    def forget(self) -> None:
        """Know nothing of the record: it is asked for before the next write."""
        self.index = None

    def due(self, token: Token, value: dict[str, Any], now_us: int) -> bool:
        """Tell whether this owner has something to write now."""
        if self.busy:
            return False
        if self.last_written is None or self.last_written != (token, value):
            return True
        # All owners refresh in the same moments of Unix time: a watcher then wakes once for all of them.
        return now_us // self.refresh_us != self.wrote_us // self.refresh_us

    def write(self, token: Token, value: dict[str, Any], now_us: int, wall_ms: int) -> Write | Token | None:
        """Return what to write; the token that bars it; or None: the record has to be looked at first."""
        if self.index is None:
            return None
        if self.stored is not None and self.stored != token and self.stored.number >= token.number:
            return self.stored
        self.busy = True
        self.wrote_us = now_us
        return Write(Record(token, wall_ms, value), self.index)

    def written(self, done: bool, write: Write) -> None:
        """Take the engine's answer to a write: done, or another wrote first."""
        self.busy = False
        self.index = None  # either way the index has moved
        self.last_written = (write.record.token, write.record.value) if done else None
        if done:
            self.stored = write.record.token

    def failed(self) -> None:
        """Note that the request failed: whether it was written is not known."""
        self.busy = False
        self.index = None
        self.last_written = None
