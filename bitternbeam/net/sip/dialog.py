"""Dialogs (RFC 3261, section 12): what the requests after the INVITE need."""

from __future__ import annotations

from dataclasses import dataclass, field

from bitternbeam.net.sip.message import MalformedError, Message, Value, address_of, user_and_host
from bitternbeam.net.sip.transport import Hop

Identity = tuple[str, str, str]  # Call-ID, own tag, the other's tag


@dataclass(slots=True, eq=False)
class Dialog:
    """One side's view of a call that stands."""

    call_id: str
    local: str  # own From or To, with its tag
    remote: str
    local_tag: str
    remote_tag: str
    target: str  # the other side's Contact
    hop: Hop
    routes: list[str] = field(default_factory=list)
    local_number: int = 0
    remote_number: int = -1

    @property
    def identity(self) -> Identity:
        """What a request of the other side names it by."""
        return (self.call_id, self.local_tag, self.remote_tag)

    @staticmethod
    def of_callee(request: Message, own_tag: str, hop: Hop) -> Dialog:
        """Build the dialog of an INVITE that we answer with 200."""
        contact = request.all("contact")
        return Dialog(
            call_id=request.call_id,
            local=f"{request.get('to')};tag={own_tag}",
            remote=request.get("from"),
            local_tag=own_tag,
            remote_tag=request.from_tag,
            target=address_of(contact[0]) if contact else address_of(request.get("from")),
            hop=hop,
            routes=request.all("record-route"),
            remote_number=request.sequence[0],
        )

    @staticmethod
    def of_caller(request: Message, response: Message, hop: Hop) -> Dialog:
        """Build the dialog that a 200 to our INVITE makes."""
        contact = response.all("contact")
        return Dialog(
            call_id=request.call_id,
            local=request.get("from"),
            remote=response.get("to"),
            local_tag=request.from_tag,
            remote_tag=response.to_tag,
            target=address_of(contact[0]) if contact else request.uri,
            hop=hop,
            routes=response.all("record-route")[::-1],
            local_number=request.sequence[0],
        )

    def request(self, method: str, via: str) -> Message:
        """Build a request inside the dialog; an ACK keeps the INVITE's number."""
        if method != "ACK":
            self.local_number += 1
        headers: list[tuple[str, Value]] = [
            ("via", via),
            ("from", self.local),
            ("to", self.remote),
            ("call-id", self.call_id),
            ("cseq", f"{self.local_number} {method}"),
            ("max-forwards", "70"),
            *[("route", route) for route in self.routes],
        ]
        return Message(method=method, uri=self.target, headers=headers)

    def next_hop(self) -> Hop:
        """Return where its requests go: the first route, else the target.

        Over TCP the connection on which the call came is used while it lasts.
        """
        uri = address_of(self.routes[0]) if self.routes else self.target
        try:
            _, host, port = user_and_host(uri)
        except MalformedError:
            return self.hop
        transport = "TCP" if "transport=tcp" in uri.lower() else self.hop.transport
        same = transport == self.hop.transport
        return Hop(transport, host, port, self.hop.connection if same else 0)

    def in_order(self, request: Message) -> bool:
        """Whether a request's number is higher than the last one's (12.2.2); notes it."""
        number, _ = request.sequence
        if number <= self.remote_number:
            return False
        self.remote_number = number
        return True
