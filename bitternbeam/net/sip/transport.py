"""SIP's transports: datagrams, and a stream cut into lines, then raw bytes for the body."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import maybeDeferred
from twisted.internet.error import CannotListenError, ConnectionRefusedError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import DatagramProtocol, Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.connect import connect, listen
from bitternbeam.net.sip.message import MalformedError, Message
from bitternbeam.net.sip.parsing import body_length, read_datagram, read_head
from bitternbeam.tables.deadlines import Deadline, Deadlines
from bitternbeam.tables.slots import SlotTable


@dataclass(frozen=True, slots=True)
class Hop:
    """Where a message goes to or came from; connection names the TCP connection, if it is known."""

    transport: str  # UDP or TCP
    host: str
    port: int
    connection: int = 0

    @property
    def reliable(self) -> bool:
        """Whether nothing needs to be sent again."""
        return self.transport != "UDP"


class Receiver(Protocol):
    """Who takes the messages that arrive."""

    def received(self, message: Message, hop: Hop) -> None:
        """Take a message."""
        ...

    def malformed(self, fault: MalformedError, hop: Hop) -> None:
        """Take a message that can't be read; it may get an answer."""
        ...


class Datagrams(DatagramProtocol):
    """The UDP side."""

    transport: Any

    def __init__(self, owner: Transports) -> None:
        self.owner = owner

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Read one packet; what is no SIP at all is counted and dropped."""
        owner, hop = self.owner, Hop("UDP", addr[0], addr[1])
        if not datagram.strip(b"\r\n\0 "):
            owner.counters.add("sip.keepalives")
            return
        try:
            message = read_datagram(datagram)
        except MalformedError as fault:
            owner.garbled(fault, hop)
            return
        owner.take(message, hop)


class Stream(LineReceiver):
    """One TCP connection: lines up to the empty one, then Content-Length bytes raw."""

    delimiter = b"\r\n"
    transport: Any

    def __init__(self, owner: Transports) -> None:
        self.owner = owner
        self.MAX_LENGTH = owner.limits.sip_head_bytes
        self.handle = 0
        self.hop = Hop("TCP", "", 0)
        self.lines: list[bytes] = []
        self.head_bytes = 0
        self.head: Message | None = None
        self.body: list[bytes] = []
        self.missing = 0
        self.idle: Deadline | None = None

    def connectionMade(self) -> None:
        """Take a slot."""
        self.transport.setTcpNoDelay(True)
        peer = self.transport.getPeer()
        if self.owner.streams.full:
            self.owner.counters.add("sip.connections_over_the_limit")
            self.transport.abortConnection()
            return
        self.handle = self.owner.streams.put(self)
        self.hop = Hop("TCP", peer.host, peer.port, self.handle)
        self.owner.counters.add("sip.connections")
        self._moved()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Leave the slot."""
        if self.idle:
            self.idle.cancel()
        self.owner.dropped(self)

    def _moved(self) -> None:
        if self.idle:
            self.idle.cancel()
        limits = self.owner.limits
        self.idle = self.owner.deadlines.after(limits.sip_idle_us, self.transport.loseConnection)

    def lineReceived(self, line: bytes) -> None:
        """Collect the head; empty lines between messages are keep-alives."""
        self._moved()
        if line:
            self.lines.append(line)
            self.head_bytes += len(line) + 2
            if self.head_bytes > self.owner.limits.sip_head_bytes:
                self._refuse(MalformedError("the head is too long", 513))
            return
        if not self.lines:
            return
        lines, self.lines, self.head_bytes = self.lines, [], 0
        try:
            head = read_head(lines)
            length = body_length(head)
            if length is None:
                raise MalformedError("a stream needs Content-Length", 400, head)
            if length > self.owner.limits.sip_body_bytes:
                raise MalformedError("the body is too long", 513, head)
        except MalformedError as fault:
            self._refuse(fault)
            return
        if length == 0:
            self.owner.take(head, self.hop)
            return
        self.head, self.missing, self.body = head, length, []
        self.setRawMode()

    def rawDataReceived(self, data: bytes) -> None:
        """Collect the body; one that arrives in one piece is a slice of it."""
        head, rest = self.head, data[self.missing :] if len(data) > self.missing else b""
        piece = memoryview(data)[: self.missing]
        self.missing -= len(piece)
        if self.missing or head is None:
            self.body.append(bytes(piece))  # it outlives this buffer
            return
        head.body = piece if not self.body else b"".join([*self.body, piece])
        self.head, self.body = None, []
        self.owner.take(head, self.hop)
        self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Give up a stream whose lines have no end."""
        self._refuse(MalformedError("a line is too long", 513))

    def _refuse(self, fault: MalformedError) -> None:
        # Where the next message begins can't be told any more: the stream ends with the answer.
        self.owner.garbled(fault, self.hop)
        self.transport.loseConnection()


class Transports(Factory):
    """All sockets of the SIP side; each message leaves on the connection it belongs to."""

    noisy = False

    def __init__(self, reactor: Any, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.reactor = reactor
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.datagrams = Datagrams(self)
        self.streams: SlotTable[Stream] = SlotTable(limits.sip_connections)
        self.by_peer: dict[tuple[str, int], int] = {}
        self.opening: dict[tuple[str, int], list[tuple[bytes, Callable[[], None]]]] = {}
        self.receiver: Receiver
        self.host, self.port = "", 0
        self.udp: Any = None
        self.tcp: Any = None

    def listen(self, host: str, port: int, tries: int = 20) -> Any:
        """Listen on both; fires once the TCP port is there. Port 0: one that is free on both."""
        self.udp = self.reactor.listenUDP(port, self.datagrams, interface=host, maxPacketSize=65536)
        self.host, self.port = host, self.udp.getHost().port

        def taken(failure: Failure) -> Any:
            # The system gave a port that is free for UDP; somebody else may have it for TCP.
            failure.trap(CannotListenError)
            if port or tries <= 1:
                return failure
            stopped = maybeDeferred(self.udp.stopListening)
            return stopped.addCallback(lambda _: self.listen(host, 0, tries - 1))

        return listen(self.reactor, host, self.port, self).addCallbacks(self._listening, taken)

    def _listening(self, port: Any) -> None:
        self.tcp = port

    def buildProtocol(self, addr: IAddress | None) -> Stream:
        """Take a connection."""
        return Stream(self)

    def close(self) -> None:
        """Close everything once what was written has left."""
        for port in (self.udp, self.tcp):
            if port is not None:
                port.stopListening()
        for stream in self.streams.values():
            stream.transport.loseConnection()

    def take(self, message: Message, hop: Hop) -> None:
        """Hand a message on."""
        self.counters.add("sip.messages_in")
        try:
            self.receiver.received(message, hop)
        except MalformedError as fault:
            fault.message = fault.message or message
            self.garbled(fault, hop)

    def garbled(self, fault: MalformedError, hop: Hop) -> None:
        """Count what can't be read."""
        self.counters.add("sip.malformed")
        self.receiver.malformed(fault, hop)

    def dropped(self, stream: Stream) -> None:
        """Forget a connection that ended."""
        if self.streams.pop(stream.handle):
            peer = (stream.hop.host, stream.hop.port)
            if self.by_peer.get(peer) == stream.handle:
                del self.by_peer[peer]

    def send(self, data: bytes, hop: Hop, failed: Callable[[], None] = lambda: None) -> None:
        """Send a message; failed is called if it surely never left."""
        self.counters.add("sip.messages_out")
        if hop.transport == "UDP":
            if self.datagrams.transport is None:
                return  # closed: timers of what was still open run out
            try:
                self.datagrams.transport.write(data, (hop.host, hop.port))
            except OSError:
                self.counters.add("sip.unsent")
                self.deadlines.after(0, failed)
            return
        peer = (hop.host, hop.port)
        stream = self.streams.get(hop.connection) or self.streams.get(self.by_peer.get(peer, 0))
        if stream is not None:
            stream.transport.write(data)
        elif peer in self.opening:
            self.opening[peer].append((data, failed))
        else:
            self.opening[peer] = [(data, failed)]
            wait_us = self.limits.booker_connect_us
            made = connect(self.reactor, hop.host, hop.port, wait_us, lambda: Stream(self))
            made.addCallbacks(lambda made: self._opened(peer, made), lambda why: self._not_opened(peer, why))

    def _opened(self, peer: tuple[str, int], stream: Stream) -> None:
        self.by_peer[peer] = stream.handle
        for data, _ in self.opening.pop(peer, ()):
            stream.transport.write(data)

    def _not_opened(self, peer: tuple[str, int], why: Failure) -> None:
        refused = why.check(ConnectionRefusedError) is not None
        self.counters.add("sip.refused_connections" if refused else "sip.no_connection")
        for _, failed in self.opening.pop(peer, ()):
            failed()
