"""One connection to a control service, as the controller holds it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.configuration.messages import SERVICE, Chunk, Offer, Want
from bitternbeam.configuration.transfer import Transfer, TransferError
from bitternbeam.limits import Limits
from bitternbeam.net.control.lines import ControlLines
from bitternbeam.tables.deadlines import Deadline, Deadlines


@dataclass(frozen=True, slots=True)
class ControlAddress:
    """Where a control service listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ConnectionUser(Protocol):
    """Who follows the control services over such connections."""

    reactor: Any
    deadlines: Deadlines
    limits: Limits

    @property
    def transfer(self) -> Transfer | None:
        """What is held of a payload."""
        ...

    def made(self, connection: ControlConnection) -> None:
        """Greet a service that was reached."""
        ...

    def lost(self, connection: ControlConnection, why: str) -> None:
        """Take that a connection ended."""
        ...

    def stands(self, connection: ControlConnection) -> None:
        """Take that a service gave a sign of life."""
        ...

    def offered(self, connection: ControlConnection, offer: Offer) -> None:
        """Answer an offer."""
        ...

    def chunk(self, connection: ControlConnection, header: Chunk, data: bytes) -> None:
        """Take a chunk that was asked for."""
        ...


class ControlConnection(ControlLines):
    """One connection to a control service."""

    def __init__(self, client: ConnectionUser, where: ControlAddress) -> None:
        super().__init__(SERVICE, client.deadlines, client.limits)
        self.client = client
        self.where = where
        self.offer: Offer | None = None  # whose chunks were asked for
        self.slow: Deadline | None = None

    def connectionMade(self) -> None:
        """Say who we are and what runs."""
        super().connectionMade()
        self.client.made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the client."""
        super().connectionLost(reason)
        self.done_with_offer()
        self.client.lost(self, self.why or reason.getErrorMessage())

    def alive(self) -> None:
        """Take a sign of life: a service that gives one has taken our certificate."""
        self.client.stands(self)

    def message(self, message: Any) -> None:
        """Take an offer."""
        self.client.offered(self, message)

    def want(self, want: Want, offer: Offer) -> None:
        """Ask for an offer's chunks, and bound the time that they may take."""
        self.done_with_offer()
        self.offer = offer
        self.slow = self.deadlines.after(self.limits.control_transfer_us, lambda: self.drop("too slow"))
        self.say(want)

    def done_with_offer(self) -> None:
        """Expect no chunk."""
        self.offer = None
        if self.slow:
            self.slow.cancel()

    def expected(self, header: Chunk) -> int:
        """Return how many bytes follow a chunk's header, if it is the one that is due."""
        transfer = self.client.transfer
        if self.offer is None or transfer is None or header.nonce != self.offer.nonce:
            # Danger: chunks of an offer that gave way to a newer one may still be on their way.
            if header.size > self.limits.control_line_bytes:
                self.drop("a chunk that was not asked for")
            return header.size
        try:
            return transfer.expects(header)
        except TransferError as error:
            self.drop(str(error))
            return 0

    def chunk(self, header: Chunk, data: bytes) -> None:
        """Take a chunk."""
        if self.offer is not None and header.nonce == self.offer.nonce:
            # Danger: many chunks come in one read; taken in one turn they would hold up every call.
            self.pauseProducing()
            self.client.chunk(self, header, data)
            self.client.reactor.callLater(0, self.go_on)

    def go_on(self) -> None:
        """Take the next chunk."""
        if self.open:
            self.resumeProducing()
