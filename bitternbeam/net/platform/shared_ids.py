"""The ids of the requests of several processes that serve the same clients, as at an upgrade.

While two processes serve beside each other, a request whose client has left one of them may come again at
the other. Each id is therefore claimed before its request is offered, in files that the processes share and
only append to. The order of the records in a file decides which process may run the request.

A file holds the claims of `SLOT_US`, and is removed `KEPT_SLOTS` later. Around the change from one file to
the next both are read, so that claims which cross there are seen.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path

from bitternbeam.counters import Counters

log = logging.getLogger("bitternbeam")

SLOT_US = 15_000_000
KEPT_SLOTS = 4  # before the current one: a call has ended a minute after its request
CHANGE_US = 1_000_000  # around the change of files, for processes whose clocks differ
UID_BYTES, TOKEN_BYTES = 16, 4
RECORD_BYTES = UID_BYTES + TOKEN_BYTES


class ClaimFile:
    """The claims of one slot: a file that is appended to, and the ids that other processes claimed in it."""

    def __init__(self, path: Path, token: bytes, create: bool) -> None:
        """Open a file; raises FileNotFoundError unless it exists or is created."""
        self.path = path
        self.foreign_ids: set[bytes] = set()
        self._token = token
        self._read_bytes = 0
        flags = os.O_RDWR | os.O_APPEND | os.O_CLOEXEC | (os.O_CREAT if create else 0)
        self._descriptor: int | None = os.open(path, flags, 0o600)

    def append(self, uid: bytes) -> int:
        """Append a claim and return the offset of its end."""
        assert self._descriptor is not None
        os.write(self._descriptor, uid + self._token)
        return os.lseek(self._descriptor, 0, os.SEEK_CUR)

    def read(self, end: int | None = None) -> None:
        """Read the claims up to an offset, or all that are there."""
        if self._descriptor is None:
            return
        size = os.fstat(self._descriptor).st_size if end is None else end
        size -= size % RECORD_BYTES
        data = os.pread(self._descriptor, size - self._read_bytes, self._read_bytes)
        self._read_bytes += len(data) - len(data) % RECORD_BYTES
        for at in range(0, len(data) - RECORD_BYTES + 1, RECORD_BYTES):
            uid, token = data[at : at + UID_BYTES], data[at + UID_BYTES : at + RECORD_BYTES]
            if token != self._token:
                self.foreign_ids.add(uid)

    def close(self) -> None:
        """Read the rest and release the descriptor; nothing is appended any more."""
        if self._descriptor is not None:
            self.read()
            os.close(self._descriptor)
            self._descriptor = None


class SharedIds:
    """One process's side of the claims; `stem` is the path that the processes' files begin with."""

    def __init__(self, stem: Path, now_us: Callable[[], int], counters: Counters) -> None:
        self._stem = stem
        self._now_us = now_us
        self._counters = counters
        self._token = os.urandom(TOKEN_BYTES)
        self._files: dict[int, ClaimFile] = {}
        self._failed = False
        self._guarded(self._open_existing)

    def claim(self, uid: str) -> bool:
        """Claim an id; False if another process has claimed it before.

        Where the files can't be used every claim succeeds, after one line in the log.
        """
        return self._failed or self._guarded(lambda: self._claim(uid.encode()))

    def renew(self, uid: str) -> None:
        """Claim an id anew at the end of its call, from which it is kept again."""
        if not self._failed:
            self._guarded(lambda: self._renew(uid.encode()))

    def _guarded(self, step: Callable[[], bool]) -> bool:
        try:
            return step()
        except OSError as error:
            self._failed = True
            self._counters.add("shared_ids.failed")
            log.warning("%s: %s; ids are not shared with another process", self._stem, error.strerror)
            return True

    def _open_existing(self) -> bool:
        current = self._now_us() // SLOT_US
        for path in self._stem.parent.glob(f"{self._stem.name}.*"):
            number = path.suffix[1:]
            if number.isdecimal():
                self._adopt(int(number), path, current)
        return True

    def _adopt(self, number: int, path: Path, current: int) -> None:
        """Open a file of another process, or remove it if it is too old."""
        if number < current - KEPT_SLOTS:
            path.unlink(missing_ok=True)
        elif number <= current + 1:
            self._file(number, create=False)

    def _claim(self, uid: bytes) -> bool:
        file = self._current()
        file.read(file.append(uid))  # later claims of this file are others' to lose
        for other in self._files.values():
            if other is not file:
                other.read()
        return not any(one.foreign_ids and uid in one.foreign_ids for one in self._files.values())

    def _renew(self, uid: bytes) -> bool:
        self._current().append(uid)
        return True

    def _current(self) -> ClaimFile:
        """Return the current file; opens those beside it near the change, and removes old ones."""
        now_us = self._now_us()
        number = now_us // SLOT_US
        if now_us % SLOT_US < CHANGE_US:
            self._file(number - 1, create=False)
        elif now_us % SLOT_US >= SLOT_US - CHANGE_US:
            self._file(number + 1, create=False)
        for old in [one for one in self._files if one < number - 1]:
            self._files[old].close()
            if old < number - KEPT_SLOTS:
                self._files.pop(old).path.unlink(missing_ok=True)
        file = self._file(number, create=True)
        assert file is not None
        return file

    def _file(self, number: int, create: bool) -> ClaimFile | None:
        """Return a slot's file, None if it does not exist and is not to be created."""
        if number not in self._files:
            path = self._stem.with_name(f"{self._stem.name}.{number}")
            try:
                self._files[number] = ClaimFile(path, self._token, create)
            except FileNotFoundError:
                if create:
                    raise
                return None
        return self._files[number]
