"""One controller's connection to the example control service: the editions it is offered, and faults."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.configuration.delta import Changes, Number
from bitternbeam.configuration.messages import (
    CONTROLLER,
    Ack,
    Chunk,
    Hello,
    Nack,
    Offer,
    Place,
    Status,
    Want,
    encode,
)
from bitternbeam.configuration.reading import line_of
from bitternbeam.configuration.schema import AnyEntry, Key
from bitternbeam.configuration.transfer import digest_of
from bitternbeam.limits import Limits
from bitternbeam.net.control.lines import ControlLines
from bitternbeam.tables.deadlines import Deadlines


class Service(Protocol):
    """The service as one connection uses it."""

    deadlines: Deadlines
    limits: Limits
    chunk: int  # bytes of a chunk
    desks: list[Desk]
    heard: list[Any]
    sent: list[int]
    faults: Faults
    told: Callable[[Status], None]

    @property
    def newest(self) -> Edition:
        """The edition that is offered."""
        ...


def payload_of(changes: Changes) -> bytes:
    """Return the lines of a version or a delta."""
    return b"\n".join(line_of(key, entry) for key, entry in changes.items())


@dataclass
class Edition:
    """One version: whole, and as a delta from the one before it."""

    number: Number
    entries: dict[Key, AnyEntry]
    content: str
    delta: bytes = b""
    base: Number | None = None
    rollback: bool = False
    raw: bytes | None = None  # what a test sends in place of the payload
    says: dict[str, Any] = field(default_factory=dict)  # what a test's offer says otherwise


@dataclass
class Faults:
    """What a test lets the service do wrong."""

    cut_before: int | None = None  # the chunk before which the connection is cut, once
    cut_inside: int | None = None  # likewise in the middle of a chunk
    spoil: int | None = None  # the chunk whose bytes are changed, once
    stubborn: bool = False  # offers what was turned down again, at once, for ever
    hang_at: int | None = None  # the chunk from which on it sends nothing


class Desk(ControlLines):
    """One controller's connection."""

    def __init__(self, service: Service) -> None:
        super().__init__(CONTROLLER, service.deadlines, service.limits)
        self.service = service
        self.running: Number | None = None
        self.partial: Place | None = None  # of a payload that it holds
        self.offered: Edition | None = None
        self.nonce = ""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forget the controller."""
        super().connectionLost(reason)
        if self in self.service.desks:
            self.service.desks.remove(self)

    def message(self, message: Any) -> None:
        """Take what a controller says."""
        self.service.heard.append(message)
        if isinstance(message, Hello):
            self.running, self.partial = message.running, message.partial
            self.service.desks.append(self)
            self.offer()
        elif isinstance(message, Want):
            self.send(message)
        elif isinstance(message, Ack):
            self.running = message.number
        elif isinstance(message, Nack):
            if message.whole or self.service.faults.stubborn:
                self.offer(whole=True)
        elif isinstance(message, Status):
            self.service.told(message)

    def chunk(self, header: Chunk, data: bytes) -> None:
        """Take no chunk: controllers send none."""

    def payload(self, whole: bool) -> tuple[bytes, Number | None]:
        """Return the newest edition's payload and its base."""
        one = self.service.newest
        if one.raw is not None:
            return one.raw, one.base
        everything = payload_of(dict(one.entries))
        begun = self.partial is not None and self.partial.digest == digest_of(everything)
        if not (whole or begun) and one.base is not None and one.base == self.running:
            return one.delta, one.base
        return everything, None

    def offer(self, whole: bool = False) -> None:
        """Offer the newest edition."""
        one = self.offered = self.service.newest
        self.bytes, base = self.payload(whole)
        self.nonce = secrets.token_hex(4)
        offer = Offer(
            nonce=self.nonce, number=one.number, size=len(self.bytes), chunk=self.service.chunk,
            digest=digest_of(self.bytes), content=one.content, base=base, rollback=one.rollback,
        )  # fmt: skip
        self.say(msgspec.structs.replace(offer, **one.says) if one.says else offer)

    def send(self, want: Want) -> None:
        """Send the chunks from one on, or commit the fault that a test asks for."""
        if want.nonce != self.nonce:
            return
        faults, size = self.service.faults, self.service.chunk
        for index in range(want.chunk, -(-len(self.bytes) // size)):
            data = self.bytes[index * size : (index + 1) * size]
            header = encode(Chunk(want.nonce, index, len(data), digest_of(data)))
            if faults.hang_at == index:
                return
            if faults.cut_before == index:
                faults.cut_before = None
                self.transport.loseConnection()
                return
            if faults.cut_inside == index:
                faults.cut_inside = None
                self.transport.write(header + data[: len(data) // 2])
                self.transport.loseConnection()
                return
            if faults.spoil == index:
                faults.spoil = None
                data = bytes([data[0] ^ 1]) + data[1:]
            self.service.sent.append(index)
            self.transport.write(header + data)
