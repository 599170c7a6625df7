"""The messages of the control protocol, one JSON object a line (docs/control-protocol.md)."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta, Struct

from bitternbeam.configuration.delta import Number

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]  # BLAKE3, 256 bits
Nonce = Annotated[str, Meta(min_length=1, max_length=64)]
Natural = Annotated[int, Meta(ge=0, le=2**53)]

PROTOCOL = 1


class Place(Struct, frozen=True):
    """How far a transfer has come: the payload's digest and how many of its chunks are held."""

    digest: Digest
    chunks: Natural


class Hello(Struct, frozen=True, tag="hello", omit_defaults=True):
    """The first message of a controller."""

    protocol: int
    node: str
    running: Number
    content: Digest
    stage: str
    reason: str = ""
    partial: Place | None = None


class Offer(Struct, frozen=True, tag="offer", omit_defaults=True):
    """The control service offers a version, whole or as a delta."""

    nonce: Nonce
    number: Number
    size: Natural  # bytes of the payload
    chunk: Annotated[int, Meta(ge=1, le=2**20)]  # bytes of each chunk but the last
    digest: Digest  # of the payload
    content: Digest  # of the version that comes out
    base: Number | None = None  # a delta's; None: a whole version
    rollback: bool = False  # to an older number or epoch, on purpose


class Want(Struct, frozen=True, tag="want"):
    """The controller asks for an offer's chunks from one on."""

    nonce: Nonce
    chunk: Natural


class Chunk(Struct, frozen=True, tag="chunk"):
    """A chunk's header; its bytes follow the line at once."""

    nonce: Nonce
    index: Natural
    size: Natural
    digest: Digest


class Ack(Struct, frozen=True, tag="ack", omit_defaults=True):
    """The version is held and will be applied; durable: it outlives a crash of the controller."""

    nonce: Nonce
    number: Number
    durable: bool = True


class Problem(Struct, frozen=True, omit_defaults=True):
    """One fault of a version."""

    key: str
    what: str


class Nack(Struct, frozen=True, tag="nack", omit_defaults=True):
    """The version is turned down; what runs goes on running."""

    nonce: Nonce
    number: Number
    running: Number
    reason: str
    key: str = ""
    faults: tuple[Problem, ...] = ()
    whole: bool = False  # offer it whole: its base is not held
    retry_ms: Natural = 0  # not before


class Status(Struct, frozen=True, tag="status", omit_defaults=True):
    """What became of a version since."""

    number: Number
    stage: str
    reason: str = ""


class Alive(Struct, frozen=True, tag="alive"):
    """Nothing new; sent by both sides so that a silent peer is noticed."""


FromService: TypeAlias = Offer | Chunk | Alive
FromController: TypeAlias = Hello | Want | Ack | Nack | Status | Alive

ENCODER = msgspec.json.Encoder()
SERVICE = msgspec.json.Decoder(FromService)
CONTROLLER = msgspec.json.Decoder(FromController)


def encode(message: FromService | FromController) -> bytes:
    """Return a message's line, its end included."""
    return ENCODER.encode(message) + b"\n"
