"""The transaction layer of RFC 3261, section 17: it matches messages to transactions, and opens them.

A retransmission ends here: the users above hear of each request and each final answer once
(but of each 2xx to an INVITE, whose ACK is theirs to send).
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from zlib import crc32

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.sip.client_transaction import ClientTransaction, ClientUser
from bitternbeam.net.sip.machine import Key, Machine
from bitternbeam.net.sip.message import MAGIC, VERSION, MalformedError, Message, check_request, respond, stamp
from bitternbeam.net.sip.server_transaction import ServerTransaction, ServerUser
from bitternbeam.net.sip.transport import Hop, Transports
from bitternbeam.tables.deadlines import Deadlines


def server_key(request: Message) -> Key:
    """Return what tells a request's transaction (17.2.3); an ACK belongs to its INVITE's."""
    via = request.via
    method = "INVITE" if request.method in ("ACK", "CANCEL") else request.method
    if via.branch.startswith(MAGIC):
        return (via.branch, via.host.lower(), str(via.port), method)
    number, _ = request.sequence  # RFC 2543's callers have no such branch
    return (request.call_id, str(number), request.from_tag, via.host, str(via.port), method)


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
