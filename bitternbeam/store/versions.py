"""The versions that outlive a crash, in LMDB: the last good one, the staged one, the past and its reasons.

Each change is one transaction, durable once its method returns. What the daemon finds when it comes up is
thus what it had before or after a change, never something in between:

    entries   the last good version, a line an entry
    staged    the changes from it to the version that was acknowledged, if there is one
    past      versions that came to be good, with what takes each back to the one before
    ended     versions that were turned down, superseded or rolled back, with reasons
    meta      format, numbers, digests

LMDB checks no data. So each record's digest stands beside it, and a store that does not add up is damaged.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec
from blake3 import blake3

from bitternbeam.configuration.delta import Changes, Number
from bitternbeam.configuration.reading import MODULUS, hash_of, read_kept
from bitternbeam.configuration.schema import AnyEntry, Key
from bitternbeam.configuration.versions import Lines
from bitternbeam.lmdb_files import describe_truncation
from bitternbeam.store.records import (
    FORMAT,
    EndRecord,
    Head,
    PastRecord,
    StoreError,
    joined,
    name_of,
    reason_of,
    sum_of,
)

TABLES = (b"entries", b"staged", b"past", b"ended", b"meta")
KEEP = 64  # of the past and of what ended
BATCH = 256  # entries put between two chances for other threads


class VersionStore:
    """One store in a folder of its own, held by one process."""

    def __init__(self, folder: Path, most_mb: int = 256) -> None:
        """Open it, made anew if there is none; raises StoreError."""
        self.folder = folder
        self.most_bytes = most_mb << 20
        self.lock = -1
        self.env: Any = None
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.lock = os.open(folder / "owner", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.env = lmdb.open(
                str(folder / "versions"), map_size=self.most_bytes, max_dbs=len(TABLES), mode=0o600,
                metasync=True, sync=True, readahead=False,
            )  # fmt: skip
            self._check_size()
            self.tables = {name: self.env.open_db(name) for name in TABLES}
            self.head = self._read_head()
        except BlockingIOError:
            self.close()
            raise StoreError(f"store {folder}: another process holds it") from None
        except (OSError, lmdb.Error, msgspec.MsgspecError) as error:
            self.close()
            raise StoreError(f"store {folder}: {reason_of(error)}") from None
        except StoreError:
            self.close()
            raise

    def _check_size(self) -> None:
        """Refuse a file that was cut short."""
        if short := describe_truncation(self.env, self.folder / "versions" / "data.mdb"):
            raise StoreError(f"store {self.folder}: damaged: {short}")

    def close(self) -> None:
        """Give it back."""
        if self.env is not None:
            self.env.close()
            self.env = None
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    def _read_head(self) -> Head:
        with self.env.begin() as txn:
            raw = txn.get(b"head", db=self.tables[b"meta"])
        if raw is None:
            return Head()
        head = msgspec.json.decode(raw, type=Head)
        if head.format != FORMAT:
            raise StoreError(f"store {self.folder}: format {head.format}; this program reads {FORMAT}")
        return head

    # What was kept.

    @property
    def empty(self) -> bool:
        """Whether no version was ever kept in it."""
        return self.head == Head()

    def good(self) -> dict[Key, AnyEntry]:
        """Return the entries of the last good version; raises StoreError if they are not what was put."""
        entries: dict[Key, AnyEntry] = {}
        content = 0
        try:
            with self.env.begin() as txn:
                for _, line in txn.cursor(db=self.tables[b"entries"]):
                    key, entry = read_kept(line)
                    if entry is not None:
                        entries[key] = entry
                    content += hash_of(line)
        except Exception as error:  # whatever it is: the page can't be read
            raise StoreError(f"store {self.folder}: damaged: {error}") from None
        if f"{content % MODULUS:064x}" != self.head.content:
            raise StoreError(f"store {self.folder}: damaged: the entries are not version {self.head.good}")
        return entries

    def staged(self) -> Changes | None:
        """Return the changes of the staged version, if there is one; raises StoreError."""
        if self.head.staged is None:
            return None
        with self.env.begin() as txn:
            lines = [line for _, line in txn.cursor(db=self.tables[b"staged"])]
        if sum_of(lines) != self.head.staged_digest:
            raise StoreError(f"store {self.folder}: damaged: what is staged is not {self.head.staged}")
        try:
            return dict(map(read_kept, lines))
        except (ValueError, KeyError) as error:
            raise StoreError(f"store {self.folder}: damaged: what is staged: {error}") from None

    def past(self) -> list[PastRecord]:
        """Return the versions that were good, oldest first; raises StoreError."""
        done = [msgspec.msgpack.decode(raw, type=PastRecord) for raw in self._all(b"past")]
        for one in done:
            if blake3(one.undo).hexdigest() != one.digest:
                raise StoreError(f"store {self.folder}: damaged: the past of {one.number}")
        return done

    def ended(self) -> list[EndRecord]:
        """Return the versions that came to their end, oldest first."""
        return [msgspec.msgpack.decode(raw, type=EndRecord) for raw in self._all(b"ended")]

    def _all(self, table: bytes) -> Iterator[bytes]:
        with self.env.begin() as txn:
            yield from [bytes(value) for _, value in txn.cursor(db=self.tables[table])]

    # Changes; each is whole and durable, or not there.

    def stage(
        self, number: Number, content: str, lines: Lines, floor: Number, ends: EndRecord | None = None
    ) -> None:
        """Keep a checked version, in place of one that was staged before."""

        def write(txn: Any) -> Head:
            txn.drop(self.tables[b"staged"], delete=False)
            items = [(name_of(key), line) for key, line in lines]
            self._put(txn, b"staged", items)
            if ends:
                self._append(txn, b"ended", ends)
            digest = sum_of(line for _, line in items)
            return msgspec.structs.replace(
                self.head, staged=number, staged_content=content, staged_digest=digest, floor=floor
            )

        self._write(write)

    def settle(self, at_us: int, reason: str, undo_lines: Lines) -> None:
        """Take the staged version for good: its changes go into the entries, its past is kept."""

        def write(txn: Any) -> Head:
            assert self.head.staged is not None
            puts = []
            for name, line in txn.cursor(db=self.tables[b"staged"]):
                if line.endswith(b",null]"):
                    txn.delete(name, db=self.tables[b"entries"])
                else:
                    puts.append((name, line))
            self._put(txn, b"entries", puts)
            txn.drop(self.tables[b"staged"], delete=False)
            head = self.head
            undone = joined(undo_lines)
            digest = blake3(undone).hexdigest()
            record = PastRecord(self.head.staged, head.staged_content, at_us, reason, digest, undone)
            self._append(txn, b"past", record)
            self._bound_past(txn)
            return msgspec.structs.replace(
                head, good=self.head.staged, content=head.staged_content, staged=None, staged_content="",
                staged_digest="",
            )  # fmt: skip

        self._write(write)

    def drop(self, end: EndRecord) -> None:
        """Forget the staged version, which was rolled back."""

        def write(txn: Any) -> Head:
            txn.drop(self.tables[b"staged"], delete=False)
            self._append(txn, b"ended", end)
            return msgspec.structs.replace(self.head, staged=None, staged_content="", staged_digest="")

        self._write(write)

    def note(self, end: EndRecord) -> None:
        """Keep how a version ended that was never staged."""

        def write(txn: Any) -> Head:
            self._append(txn, b"ended", end)
            return self.head

        self._write(write)

    def _write(self, change: Any) -> None:
        try:
            with self.env.begin(write=True) as txn:
                head = change(txn)
                txn.put(b"head", msgspec.json.encode(head), db=self.tables[b"meta"])
            self.head = head  # the commit is durable: LMDB has synced it
        except (lmdb.Error, OSError) as error:
            raise StoreError(f"store {self.folder}: {reason_of(error)}") from None

    def _put(self, txn: Any, table: bytes, items: list[tuple[bytes, bytes]]) -> None:
        cursor = txn.cursor(db=self.tables[table])
        for start in range(0, len(items), BATCH):
            cursor.putmulti(items[start : start + BATCH])

    def _bound_past(self, txn: Any) -> None:
        """Let the oldest of the past go while it takes over a quarter of the store; one always stays."""
        cursor = txn.cursor(db=self.tables[b"past"])
        left = self.most_bytes // 4
        sizes = [(key, len(value)) for key, value in cursor.iterprev()]
        for place, (key, size) in enumerate(sizes):
            left -= size
            if left < 0 and place:
                txn.delete(key, db=self.tables[b"past"])

    def _append(self, txn: Any, table: bytes, record: msgspec.Struct) -> None:
        """Put a record behind the others and let the oldest go."""
        cursor = txn.cursor(db=self.tables[table])
        last = int.from_bytes(cursor.key(), "big") if cursor.last() else 0
        txn.put((last + 1).to_bytes(8, "big"), msgspec.msgpack.encode(record), db=self.tables[table])
        while txn.stat(self.tables[table])["entries"] > KEEP:
            cursor.first()
            cursor.delete()
