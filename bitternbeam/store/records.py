"""What the store holds beside entries: its head, versions that were good or ended; digests and faults."""

from __future__ import annotations

from collections.abc import Iterable

import lmdb
import msgspec
from blake3 import blake3

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.reading import MODULUS, hash_of
from bitternbeam.configuration.schema import Key
from bitternbeam.configuration.versions import Lines

FORMAT = 1


class StoreError(Exception):
    """A store that can't be used; the text names it and says why."""


class Head(msgspec.Struct, frozen=True):
    """What `meta` holds: which version is good, which is staged, and what was acknowledged."""

    format: int = FORMAT
    good: Number = Number(0, 0)
    content: str = "0" * 64
    staged: Number | None = None
    staged_content: str = ""
    staged_digest: str = ""  # of the staged lines
    floor: Number = Number(0, 0)


class PastRecord(msgspec.Struct, frozen=True):
    """A version that was good."""

    number: Number
    content: str
    at_us: int
    reason: str
    digest: str  # of the undo lines
    undo: bytes


class EndRecord(msgspec.Struct, frozen=True):
    """A version that came to its end."""

    number: Number
    source: str
    stage: str
    at_us: int
    reason: str
    key: str = ""


def name_of(key: Key) -> bytes:
    """Return an entry's key in the tables: LMDB takes 511 bytes, so a long name is told by its digest."""
    plain = f"{key[0]}\0{key[1]}".encode()
    return plain if len(plain) < 400 else key[0].encode() + b"\0\0" + blake3(plain).digest()


def sum_of(lines: Iterable[bytes]) -> str:
    """Return the digest of a record of lines: a sum, so that no order is needed (reading.weigh)."""
    return f"{sum(map(hash_of, lines)) % MODULUS:064x}"


def joined(lines: Lines) -> bytes:
    """Return changes as one record."""
    return b"\n".join(line for _, line in lines)


def reason_of(error: Exception) -> str:
    """Return what is wrong in plain words."""
    if isinstance(error, lmdb.MapFullError):
        return "full: give it more with store_mb"
    if isinstance(error, (lmdb.CorruptedError, lmdb.InvalidError, lmdb.VersionMismatchError)):
        return f"damaged: {error}"
    if isinstance(error, lmdb.ReadonlyError) or getattr(error, "errno", 0) in (1, 13, 30):
        return "read-only or not ours to write"
    return getattr(error, "strerror", None) or str(error)
