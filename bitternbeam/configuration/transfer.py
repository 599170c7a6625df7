"""A version's payload on its way in: chunks in order, each checked, the entries read as they come.

What is held outlives the connection: a transfer that broke goes on at the chunk where it broke, on that
connection's successor or with another control service that offers the same payload. Entries are read chunk by
chunk, so no message stops the reactor for longer than its own chunk takes.
"""

from __future__ import annotations

from blake3 import blake3

from bitternbeam.configuration.delta import Changes
from bitternbeam.configuration.faults import MOST_FAULTS, DocumentError, Fault, path_of
from bitternbeam.configuration.messages import Chunk, Offer
from bitternbeam.configuration.reading import LINE_BYTES, read_line


class TransferError(Exception):
    """A chunk that is not what was asked for: nothing of its connection can be believed."""


def digest_of(data: bytes | memoryview) -> str:
    """Return the digest of bytes as messages carry it."""
    return blake3(data).hexdigest()


class Transfer:
    """One payload; `changes` is whole once `done`, and `faults` tells what is wrong with its lines."""

    def __init__(self, offer: Offer, most_entries: int) -> None:
        self.offer = offer
        self.most_entries = most_entries
        self.chunks = -(-offer.size // offer.chunk)
        self.next = 0
        self.changes: Changes = {}
        self.faults: list[Fault] = []
        self.rest = b""
        self.whole = blake3()

    @property
    def done(self) -> bool:
        """Whether every chunk is there."""
        return self.next >= self.chunks

    def fits(self, offer: Offer) -> bool:
        """Tell whether an offer brings the payload that this transfer holds a part of."""
        ours = self.offer
        return (offer.digest, offer.size, offer.chunk) == (ours.digest, ours.size, ours.chunk)

    def expects(self, header: Chunk) -> int:
        """Return the size of the chunk that is to come; raises TransferError if it is another's header."""
        left = self.offer.size - self.next * self.offer.chunk
        size = min(self.offer.chunk, left)
        if self.done or header.index != self.next or header.size != size:
            raise TransferError(f"chunk {header.index} of {header.size} bytes; due is {self.next} of {size}")
        return size

    def take(self, header: Chunk, data: bytes) -> None:
        """Take a chunk's bytes; raises TransferError if they are not what its header promises."""
        if digest_of(data) != header.digest:
            raise TransferError(f"chunk {header.index}: its digest does not fit")
        self.next += 1
        self.whole.update(data)
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > LINE_BYTES:
            self.faults.append(Fault("", f"an entry of more than {LINE_BYTES} bytes"))
            self.rest = b""
        if self.done and self.rest:
            lines.append(self.rest)
        if len(self.faults) < MOST_FAULTS and len(self.changes) <= self.most_entries:
            self._read(lines)
            if len(self.changes) > self.most_entries:
                # Danger: a million entries of a few bytes pass the size and fill the memory.
                self.faults.append(Fault("", f"more than {self.most_entries} entries"))
                self.changes = {}
                self.most_entries = -1
        if self.done and self.whole.hexdigest() != self.offer.digest:
            raise TransferError("the payload's digest does not fit")

    def _read(self, lines: list[bytes]) -> None:
        for line in lines:
            if not line:
                continue
            try:
                key, entry = read_line(line)
            except DocumentError as error:
                self.faults += error.faults
                continue
            if key in self.changes:
                self.faults.append(Fault(path_of(*key), "stands twice"))
            elif entry is None and self.offer.base is None:
                self.faults.append(Fault(path_of(*key), "is removed in a whole version"))
            else:
                self.changes[key] = entry
