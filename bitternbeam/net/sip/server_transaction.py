"""Server transactions (RFC 3261, 17.2), with RFC 6026's Accepted state."""

from __future__ import annotations

from typing import Protocol

from bitternbeam.net.sip.machine import Key, Layer, Machine, State
from bitternbeam.net.sip.message import Message
from bitternbeam.net.sip.transport import Hop


def merge_key(request: Message) -> Key:
    """Return what a request that came by two ways has in common (8.2.2.2)."""
    return (request.call_id, request.get("cseq"), request.from_tag)


class ServerUser(Protocol):
    """Who answers requests."""

    def requested(self, transaction: ServerTransaction, request: Message) -> None:
        """Take a new request; an ACK to a 2xx comes through acknowledged()."""
        ...

    def acknowledged(self, request: Message) -> None:
        """Take the ACK of a 2xx."""
        ...

    def cancelled(self, transaction: ServerTransaction) -> None:
        """Take the CANCEL of an INVITE that has no final answer."""
        ...


class ServerTransaction(Machine):
    """INVITE and non-INVITE server transactions (17.2)."""

    def __init__(self, layer: Layer, key: Key, hop: Hop, request: Message) -> None:
        super().__init__(layer, key, hop)
        self.request = request
        self.invite = request.method == "INVITE"
        self.last: bytes = b""
        self.final = 0  # the final status, once given
        self.merge_key = merge_key(request)

    def respond(self, response: Message) -> None:
        """Send a response; a second final one is a fault of ours and is not sent."""
        if self.final:
            self.layer.counters.add("sip.second_finals_barred")
            return
        self.last = response.encode()
        self.layer.transports.send(self.last, self.hop)
        if response.status < 200:
            self.state = State.PROCEEDING
            return
        self.final = response.status
        self.layer.counters.add(f"sip.finals.{self.final}")
        limits = self.layer.limits
        if not self.invite:
            self.state = State.COMPLETED
            self.end_after("J", self.long_us)
        elif self.final < 300:
            self.state = State.ACCEPTED
            self.timer("L", self.long_us, self.terminate)
        else:
            self.state = State.COMPLETED
            self.timer("H", self.long_us, self.terminate)
            if not self.hop.reliable:
                self.gap_us = limits.sip_t1_us
                self.timer("G", self.gap_us, self._again)

    def _again(self) -> None:
        self.layer.transports.send(self.last, self.hop)
        self.gap_us = min(2 * self.gap_us, self.layer.limits.sip_t2_us)
        self.timer("G", self.gap_us, self._again)

    def repeated(self) -> None:
        """Absorb a retransmission; in Accepted the user repeats its 2xx by itself."""
        self.layer.counters.add("sip.retransmissions_in")
        if self.last and self.state in (State.PROCEEDING, State.COMPLETED):
            self.layer.transports.send(self.last, self.hop)

    def acknowledged(self) -> None:
        """Take the ACK of a refusal."""
        if self.invite and self.state is State.COMPLETED:
            self.state = State.CONFIRMED
            self.stop("G", "H")
            self.end_after("I", self.layer.limits.sip_t4_us)
