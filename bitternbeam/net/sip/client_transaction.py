"""Client transactions (RFC 3261, 17.1), with RFC 6026's Accepted state."""

from __future__ import annotations

from typing import Protocol

from bitternbeam.net.sip.machine import Key, Layer, Machine, State
from bitternbeam.net.sip.message import Message
from bitternbeam.net.sip.transport import Hop


class ClientUser(Protocol):
    """Who sends requests."""

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """Take a response: provisional ones, one final one, and every 2xx to an INVITE."""
        ...

    def unanswered(self, transaction: ClientTransaction, sent: bool) -> None:
        """Take that no final answer came; sent is False if the request surely never left."""
        ...

    def settled(self, transaction: ClientTransaction) -> None:
        """Take that nothing more will be told of an INVITE."""
        ...


class ClientTransaction(Machine):
    """INVITE and non-INVITE client transactions (17.1)."""

    def __init__(self, layer: Layer, key: Key, hop: Hop, request: Message, user: ClientUser) -> None:
        super().__init__(layer, key, hop)
        self.request = request
        self.user = user
        self.invite = request.method == "INVITE"
        self.wire = request.encode()
        self.provisional = False

    def start(self) -> None:
        """Send the request for the first time."""
        self.state = State.CALLING if self.invite else State.TRYING
        self.timer("B" if self.invite else "F", self.long_us, lambda: self._over(True))
        if not self.hop.reliable:
            self.timer("A" if self.invite else "E", self.gap_us, self._again)
        self.layer.transports.send(self.wire, self.hop, lambda: self._over(False))

    def _again(self) -> None:
        """Retransmit: an INVITE at doubling gaps, others at most T2 apart."""
        self.layer.counters.add("sip.retransmissions_out")
        self.layer.transports.send(self.wire, self.hop)
        t2_us = self.layer.limits.sip_t2_us
        if self.invite:
            self.gap_us *= 2
        else:
            self.gap_us = t2_us if self.state is State.PROCEEDING else min(2 * self.gap_us, t2_us)
        self.timer("A" if self.invite else "E", self.gap_us, self._again)

    def _over(self, sent: bool) -> None:
        if self.state not in (State.CALLING, State.TRYING, State.PROCEEDING):
            return
        if self.invite and sent:
            # Danger: its answers may all have been lost. One that comes yet must be ended, or the server
            # goes on ringing or holds a call that nobody has.
            self.state = State.GIVEN_UP
            self.stop("A", "B")
            self.timer("M", self.long_us, self._settle)
        else:
            self.terminate()
        self.user.unanswered(self, sent)

    def _settle(self) -> None:
        self.terminate()
        self.user.settled(self)

    def responded(self, response: Message) -> None:
        """Take a response of this transaction."""
        given_up = self.state is State.GIVEN_UP
        waiting = given_up or self.state in (State.CALLING, State.TRYING, State.PROCEEDING)
        if response.status < 200:
            if waiting:
                self.provisional = True
                if not given_up:
                    self.state = State.PROCEEDING
                if self.invite:
                    self.stop("A", "B")
                self.user.responded(self, response)
            return
        if not self.invite:
            if waiting:
                self.state = State.COMPLETED
                self.stop("E", "F")
                self.end_after("K", self.layer.limits.sip_t4_us)
                self.user.responded(self, response)
            return
        if response.status < 300:
            if waiting:
                self.state = State.ACCEPTED
                self.stop("A", "B")
                self.timer("M", self.long_us, self._settle)
            if self.state is State.ACCEPTED:
                self.user.responded(self, response)
            return
        if waiting:
            self.state = State.COMPLETED
            self.stop("A", "B")
            self._acknowledge(response)
            self.end_after("D", self.layer.limits.sip_d_us)
            self.user.responded(self, response)
        elif self.state is State.COMPLETED:
            self._acknowledge(response)

    def _acknowledge(self, response: Message) -> None:
        """ACK a refusal, in the INVITE's own transaction (17.1.1.3)."""
        self.layer.transports.send(self._sibling("ACK", response.get("to")).encode(), self.hop)

    def cancel(self) -> Message:
        """Return the CANCEL of this INVITE (9.1); it may go out only after a provisional answer.

        A booker that then says nothing more is not waited for any longer than one that never spoke.
        """
        self.timer("B", self.long_us, lambda: self._over(True))
        return self._sibling("CANCEL", self.request.get("to"))

    def _sibling(self, method: str, to: str) -> Message:
        request = self.request
        number, _ = request.sequence
        return Message(
            method=method,
            uri=request.uri,
            headers=[
                ("via", request.all("via")[0]),
                ("from", request.get("from")),
                ("to", to),
                ("call-id", request.call_id),
                ("cseq", f"{number} {method}"),
                ("max-forwards", "70"),
                *[("route", value) for value in request.all("route")],
            ],
        )
