"""What the configuration says of the SIP side, as the SIP side uses it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bitternbeam.config import read_address
from bitternbeam.net.sip.transport import Hop, Transports

if TYPE_CHECKING:
    from bitternbeam.configuration.schema import Booker
    from bitternbeam.configuration.snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class SipServer:
    """A SIP server of the list."""

    name: str
    hop: Hop
    cell: int


@dataclass(frozen=True, slots=True)
class ConsulSettings:
    """Where Consul's agent listens and which service it is asked for."""

    host: str
    port: int
    service: str
    transport: str = "UDP"
    token: str = ""


@dataclass(slots=True)
class SipSettings:
    """The SIP side's settings."""

    host: str
    port: int
    call_class: str
    answer_us: int  # how long a caller waits, unless its INVITE says less
    class_header: str = "X-Call-Class"
    load_header: str = "X-Load-Report"
    servers: tuple[SipServer, ...] = ()
    consul: ConsulSettings | None = None
    cells: list[int] = field(default_factory=list)  # as the list has them now

    def contact(self, transports: Transports, hop: Hop) -> str:
        """Return the Contact for a peer: our own address, on its transport."""
        suffix = ";transport=tcp" if hop.reliable else ""
        return f"<sip:{transports.host}:{transports.port}{suffix}>"


def hop_of(booker: Booker) -> Hop:
    """Return where a version's booker is."""
    return Hop(booker.transport.upper(), *read_address("addr", booker.addr))


def servers_of(snapshot: Snapshot) -> tuple[SipServer, ...]:
    """Return the SIP servers that a version brings."""
    return tuple(SipServer(name, hop_of(one), one.cell) for name, one in sorted(snapshot.bookers().items()))


def consul_settings(snapshot: Snapshot) -> ConsulSettings | None:
    """Return what a version says of Consul."""
    consul = snapshot.consul
    if consul is None:
        return None
    host, port = read_address("consul.addr", consul.addr)
    return ConsulSettings(host, port, consul.service, consul.transport.upper(), consul.token)


def sip_settings(snapshot: Snapshot) -> SipSettings | None:
    """Return what a version says of the SIP side; None if it is off."""
    sip = snapshot.sip
    if sip is None or not sip.enabled:
        return None
    host, port = read_address("sip.listen", sip.listen)
    return SipSettings(
        host=host,
        port=port,
        call_class=sip.call_class or snapshot.settings.classes[0].name,
        class_header=sip.class_header,
        load_header=sip.load_header,
        answer_us=min(sip.answer_ms * 1000, max(kind.deadline_us for kind in snapshot.settings.classes)),
        servers=servers_of(snapshot),
        consul=consul_settings(snapshot),
    )
