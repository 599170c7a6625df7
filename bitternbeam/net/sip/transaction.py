"""The four transaction machines of RFC 3261, section 17, with RFC 6026's Accepted state.

A retransmission ends here: the users above hear of each request and each final answer once
(but of each 2xx to an INVITE, whose ACK is theirs to send).
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from enum import Enum
from typing import Protocol
from zlib import crc32

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.sip.message import MAGIC, VERSION, MalformedError, Message, check_request, respond, stamp
from bitternbeam.net.sip.transport import Hop, Transports
from bitternbeam.tables.deadlines import Deadline, Deadlines

Key = tuple[str, ...]


class State(Enum):
    """States of all four machines."""

    CALLING = "calling"  # INVITE client
    TRYING = "trying"  # the other two kinds
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"  # INVITE server
    ACCEPTED = "accepted"  # RFC 6026
    GIVEN_UP = "given up"  # INVITE client: its user waits no longer, but an answer may still come
    TERMINATED = "terminated"


class Machine:
    """What the four have in common: timers and their end."""

    def __init__(self, layer: Transactions, key: Key, hop: Hop) -> None:
        self.layer = layer
        self.key = key
        self.hop = hop
        self.state = State.TRYING
        self.timers: dict[str, Deadline] = {}
        self.gap_us = layer.limits.sip_t1_us

    @property
    def long_us(self) -> int:
        """64 times T1."""
        return 64 * self.layer.limits.sip_t1_us

    def timer(self, name: str, wait_us: int, due: Callable[[], None]) -> None:
        """Start a timer of that letter, or start it anew."""
        self.stop(name)
        self.timers[name] = self.layer.deadlines.after(wait_us, due)

    def stop(self, *names: str) -> None:
        """Stop timers."""
        for name in names:
            if name in self.timers:
                self.timers.pop(name).cancel()

    def end_after(self, name: str, wait_us: int) -> None:
        """End after a wait; over a reliable transport there is nothing to wait for."""
        if wait_us and not self.hop.reliable:
            self.timer(name, wait_us, self.terminate)
        else:
            self.terminate()

    def terminate(self) -> None:
        """Forget the transaction."""
        self.state = State.TERMINATED
        self.stop(*list(self.timers))
        self.layer.forget(self)


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

    def __init__(self, layer: Transactions, key: Key, hop: Hop, request: Message) -> None:
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

    def __init__(self, layer: Transactions, key: Key, hop: Hop, request: Message, user: ClientUser) -> None:
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


def server_key(request: Message) -> Key:
    """Return what tells a request's transaction (17.2.3); an ACK belongs to its INVITE's."""
    via = request.via
    method = "INVITE" if request.method in ("ACK", "CANCEL") else request.method
    if via.branch.startswith(MAGIC):
        return (via.branch, via.host.lower(), str(via.port), method)
    number, _ = request.sequence  # RFC 2543's callers have no such branch
    return (request.call_id, str(number), request.from_tag, via.host, str(via.port), method)


def merge_key(request: Message) -> Key:
    """Return what a request that came by two ways has in common (8.2.2.2)."""
    return (request.call_id, request.get("cseq"), request.from_tag)


class Transactions:
    """All transactions; it is the transports' receiver."""

    def __init__(
        self, transports: Transports, deadlines: Deadlines, limits: Limits, counters: Counters
    ) -> None:
        self.transports = transports
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.servers: dict[Key, ServerTransaction] = {}
        self.merged: dict[Key, ServerTransaction] = {}
        self.clients: dict[Key, ClientTransaction] = {}
        self.user: ServerUser
        self.stray: Callable[[Message, Hop], None] = lambda _response, _hop: None
        transports.receiver = self

    def __len__(self) -> int:
        return len(self.servers) + len(self.clients)

    # Requests and responses out.

    def new_via(self, transport: str) -> str:
        """Return a Via with a branch of its own."""
        where = f"{self.transports.host}:{self.transports.port}"
        return f"{VERSION}/{transport} {where};branch={MAGIC}{secrets.token_hex(8)};rport"

    def request(self, message: Message, hop: Hop, user: ClientUser) -> ClientTransaction:
        """Send a request whose topmost Via is ours, in a transaction of its own."""
        key: Key = (message.via.branch, message.method)
        transaction = self.clients[key] = ClientTransaction(self, key, hop, message, user)
        transaction.start()
        return transaction

    def send(self, message: Message, hop: Hop) -> None:
        """Send what has no transaction: the ACK of a 2xx."""
        self.transports.send(message.encode(), hop)

    def forget(self, machine: Machine) -> None:
        """Drop a transaction that ended."""
        if isinstance(machine, ServerTransaction):
            self.servers.pop(machine.key, None)
            self.merged.pop(machine.merge_key, None)
        else:
            self.clients.pop(machine.key, None)

    # Messages in.

    def received(self, message: Message, hop: Hop) -> None:
        """Give a message to its transaction, or open one."""
        if message.status:
            self._response(message, hop)
            return
        check_request(message)
        key = server_key(message)
        known = self.servers.get(key)
        if message.method == "ACK":
            if known and known.final >= 300:
                known.acknowledged()
            else:
                self.user.acknowledged(message)
            return
        if message.method == "CANCEL":
            self._cancel(message, hop, known)
            return
        if known:
            known.repeated()
            return
        answer_hop = self._answer_hop(message, hop)
        stamp(message, hop.host, hop.port)
        if len(message.body) > self.limits.sip_body_bytes:
            raise MalformedError("the body is too long", 513, message)
        if len(self) >= self.limits.sip_transactions:
            self.counters.add("sip.transactions_over_the_limit")
            away = [("retry-after", "1")]
            self.transports.send(respond(message, 503, secrets.token_hex(4), away).encode(), answer_hop)
            return
        transaction = self.servers[key] = ServerTransaction(self, key, answer_hop, message)
        self.counters.add(f"sip.requests.{message.method.lower()[:16]}")
        if not message.to_tag and transaction.merge_key in self.merged:
            transaction.merge_key = ("",)
            transaction.respond(respond(message, 482, secrets.token_hex(4)))
            return
        self.merged.setdefault(transaction.merge_key, transaction)
        self.user.requested(transaction, message)

    def _cancel(self, message: Message, hop: Hop, invite: ServerTransaction | None) -> None:
        """Answer a CANCEL, itself a transaction, and tell the user unless the INVITE has its answer."""
        key = (*server_key(message)[:-1], "CANCEL")
        if known := self.servers.get(key):
            known.repeated()
            return
        own = self.servers[key] = ServerTransaction(self, key, self._answer_hop(message, hop), message)
        own.merge_key = ("",)
        own.respond(respond(message, 200 if invite else 481, secrets.token_hex(4)))
        if invite and not invite.final:
            self.user.cancelled(invite)

    @staticmethod
    def _answer_hop(message: Message, hop: Hop) -> Hop:
        """Return where answers go: the source over UDP if asked for by rport, else Via's port (18.2.2)."""
        via = message.via
        if hop.reliable or via.rport:
            return hop
        return Hop(hop.transport, hop.host, via.port)

    def _response(self, message: Message, hop: Hop) -> None:
        client = self.clients.get((message.via.branch, message.sequence[1]))
        if client:
            client.responded(message)
        else:
            self.counters.add("sip.stray_responses")
            self.stray(message, hop)

    def malformed(self, fault: MalformedError, hop: Hop) -> None:
        """Answer a request that can't be served, if its head says where to; never an ACK."""
        message = fault.message
        if message is None or message.status or message.method == "ACK":
            return
        try:
            answer_hop = self._answer_hop(message, hop)
        except MalformedError:
            return
        self.counters.add(f"sip.refused.{fault.status}")
        tag = f"{crc32(message.call_id.encode()):08x}"  # a retransmission gets the same answer
        self.transports.send(respond(message, fault.status, tag).encode(), answer_hop)
