"""Server processes and their connections in virtual time, under the platform's real connection pools."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from tests.manual_clock import ManualClock
from tests.world import MS

LATENCY_US = 1 * MS
CAUSE_NORMAL = 16
Address = tuple[str, int]


class VirtualTransport:
    """The controller's end of a connection; both directions can be made silent."""

    def __init__(self, clock: ManualClock, process: VirtualProcess) -> None:
        self.clock = clock
        self.process = process
        self.protocol: Any = None
        self.connected, self.disconnecting, self.producerPaused = True, False, False
        self.silent = False  # nothing passes in either direction, not even its end
        self.open_at_process = True
        self.dataBuffer, self.offset = b"", 0

    def setTcpNoDelay(self, _enabled: bool) -> None:
        """Ignore the option."""

    def registerProducer(self, _producer: object, _streaming: bool) -> None:
        """Ignore the producer: nothing is ever buffered."""

    def doWrite(self) -> None:
        """Do nothing: what is written is on its way at once."""

    def doRead(self) -> None:
        """Do nothing: what arrives is delivered at once."""

    def write(self, data: bytes) -> None:
        """Send lines to the process."""
        for line in data.splitlines():
            message = json.loads(line)
            self.clock.deadlines.after(LATENCY_US, lambda message=message: self._arrive(message))  # type: ignore[misc]

    def _arrive(self, message: dict[str, Any]) -> None:
        if not self.silent and self.open_at_process:
            self.process.received(self, message)

    def deliver(self, message: dict[str, Any]) -> None:
        """Send a message to the controller."""
        data = json.dumps({"meta": {}} | message).encode() + b"\n"
        self.clock.deadlines.after(LATENCY_US, lambda: self._deliver(data))

    def _deliver(self, data: bytes) -> None:
        if not self.silent and self.connected:
            self.protocol.dataReceived(data)

    def reset(self) -> None:
        """Reset the connection from the process's side."""
        self._end(ConnectionLost())

    def loseConnection(self) -> None:
        """Close from the controller's side."""
        self.clock.deadlines.after(0, lambda: self._end(ConnectionDone()))

    def abortConnection(self) -> None:
        """Reset from the controller's side."""
        self.clock.deadlines.after(0, lambda: self._end(ConnectionAborted()))

    def loseWriteConnection(self) -> None:
        """Half-close from the controller's side; a process that hears of it closes the connection."""
        if not self.silent and self.process.answering:
            self.clock.deadlines.after(LATENCY_US, lambda: self._end(ConnectionDone()))

    def _end(self, reason: Exception) -> None:
        if not self.silent:
            self.open_at_process = False
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(reason))


class VirtualProcess:
    """A server process: it answers each set-up and holds the call until its end."""

    def __init__(self, clock: ManualClock, name: str) -> None:
        self.clock = clock
        self.name = name
        self.answering = True
        self.connections: list[VirtualTransport] = []
        self.standing: dict[str, VirtualTransport] = {}
        self.launched: dict[str, int] = {}  # times of the set-ups
        self.released: set[str] = set()  # by the controller
        self.loses_answers = False
        self.ended: list[str] = []  # whose releases are repeated on the next connection

    def accept(self, transport: VirtualTransport) -> None:
        """Take a new connection; a hung process's kernel takes it as well."""
        self.connections.append(transport)
        if self.answering:
            for uid in self.ended:
                transport.deliver({"kind": "stop", "uid": uid, "reason": CAUSE_NORMAL})
            self.ended.clear()

    def received(self, transport: VirtualTransport, message: dict[str, Any]) -> None:
        """Handle a message of the controller."""
        if not self.answering:
            return
        kind, uid = message["kind"], message["uid"]
        if kind == "check":
            transport.deliver({"kind": "checked", "uid": uid, "reason": 1})
        elif kind == "launch":
            self.launched[uid] = self.clock.time_us
            self.standing[uid] = transport
            if not self.loses_answers:
                transport.deliver({"kind": "running", "uid": uid, "body": self.name})
        elif kind == "stop" and self.standing.pop(uid, None):
            self.released.add(uid)

    def end_call(self, uid: str) -> None:
        """End a call: its release goes on its own connection, else on any, and on the next new one."""
        own = self.standing.pop(uid)
        still_open = [one for one in self.connections if one.open_at_process]
        carrier = own if own.open_at_process else next(iter(still_open), None)
        if carrier:
            carrier.deliver({"kind": "stop", "uid": uid, "reason": CAUSE_NORMAL})
        self.ended.append(uid)

    def silence(self) -> None:
        """Make every connection silent; they stay open."""
        for one in self.connections:
            one.silent = True

    def reset(self) -> None:
        """Reset every connection that is not silent."""
        for one in self.connections:
            if not one.silent and one.connected:
                one.reset()


@dataclass
class VirtualNetwork:
    """What answers at each address: a process, nobody (refused), or nothing at all."""

    clock: ManualClock
    processes: dict[Address, VirtualProcess | None] = field(default_factory=dict)
    unreachable: set[Address] = field(default_factory=set)
    connects: dict[Address, int] = field(default_factory=dict)  # how many were begun

    def connect(
        self, _reactor: object, host: str, port: int, timeout_us: int, build: Callable[[], Any]
    ) -> Deferred[Any]:
        """Connect as `bitternbeam.net.connect.connect` does."""
        made: Deferred[Any] = Deferred()
        address = (host, port)
        self.connects[address] = self.connects.get(address, 0) + 1
        if address in self.unreachable:
            self.clock.deadlines.after(timeout_us, lambda: made.errback(TimeoutError("never came up")))
        else:
            self.clock.deadlines.after(LATENCY_US, lambda: self._answer(made, address, build))
        return made

    def _answer(self, made: Deferred[Any], address: Address, build: Callable[[], Any]) -> None:
        process = self.processes.get(address)
        if process is None:
            made.errback(ConnectionRefusedError())
            return
        transport = VirtualTransport(self.clock, process)
        transport.protocol = build()
        transport.protocol.makeConnection(transport)
        process.accept(transport)
        made.callback(transport.protocol)
