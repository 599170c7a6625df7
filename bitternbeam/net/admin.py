"""The operators' address: one line a connection in, one answer out, within a second whatever the load.

Operators' page (Day-to-day service, Where operators call): `check` is answered `+OK yes` once the process
can serve; `vars` is answered with the figures as one JSON line, then a line `.`. Anything else is
answered `-ERR` with its cause, and the connection is closed after every answer.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadline, Deadlines
from bitternbeam.tables.slots import SlotTable


class AdminConnection(LineOnlyReceiver):
    """One operator's question."""

    delimiter = b"\n"
    transport: Any

    def __init__(self, wire: AdminWire) -> None:
        self.wire = wire
        self.MAX_LENGTH = wire.limits.admin_line_bytes  # LineOnlyReceiver's name
        self.handle = 0
        self.done = False
        self.deadline: Deadline | None = None

    def connectionMade(self) -> None:
        """Take a slot, and a deadline for the whole line."""
        self.handle = self.wire.opened(self)
        self.deadline = self.wire.deadlines.after(self.wire.limits.admin_line_us, self._late)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Give the slot back."""
        if self.deadline:
            self.deadline.cancel()
        self.wire.closed(self)

    def lineReceived(self, line: bytes) -> None:
        """Answer the one line, then close."""
        if self.done:
            return  # a second line on the same connection is not read
        self.answer(self.wire.answer(bytes(line).strip()))

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a line too long to be a question; the rest is not read."""
        self.wire.counters.add("admin.too_long")
        self.answer(f"-ERR line longer than {self.MAX_LENGTH} bytes")

    def answer(self, text: str) -> None:
        """Write the answer and close once it has left."""
        if self.done:
            return
        self.done = True
        self.wire.closed(self)  # what is answered makes no room for others: it leaves on its own
        self.transport.write(text.encode() + b"\n")
        self.transport.loseConnection()

    def _late(self) -> None:
        # Guards against a caller that sends nothing or half a line holding its descriptor for ever.
        self.wire.counters.add("admin.late")
        self.answer("-ERR no whole line in time")

    def make_room(self) -> None:
        """Close at once, for a newer question; said so if the peer still reads."""
        self.wire.counters.add("admin.for_room")
        if not self.done:
            self.done = True
            self.transport.write(b"-ERR too many open questions\n")
        self.transport.abortConnection()


class AdminWire(Factory):
    """All operators' connections, at most limits.admin_connections at once.

    Danger: a crowd that connects and says nothing would shut operators out and take descriptors that
    calls need. So at the limit the oldest connection makes room for the new one, whose line comes at once.
    """

    noisy = False

    def __init__(
        self, answer: Callable[[bytes], str], deadlines: Deadlines, limits: Limits, counters: Counters
    ) -> None:
        self.answer = answer
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.connections: SlotTable[AdminConnection] = SlotTable(limits.admin_connections)
        self.oldest: OrderedDict[int, AdminConnection] = OrderedDict()

    def buildProtocol(self, addr: IAddress | None) -> AdminConnection:
        """Take a connection; at the limit the oldest one goes first."""
        while self.connections.full and self.oldest:
            _, oldest = self.oldest.popitem(last=False)
            self.connections.pop(oldest.handle)
            oldest.handle = 0
            oldest.make_room()
        return AdminConnection(self)

    def opened(self, connection: AdminConnection) -> int:
        """Give a connection its slot."""
        self.counters.add("admin.connections")
        handle = self.connections.put(connection)
        self.oldest[handle] = connection
        return handle

    def closed(self, connection: AdminConnection) -> None:
        """Give a slot back."""
        if connection.handle and self.connections.pop(connection.handle) is not None:
            self.oldest.pop(connection.handle, None)
        connection.handle = 0

    def close_all(self) -> None:
        """Close every connection at once."""
        for connection in list(self.connections.values()):
            connection.transport.abortConnection()


def render_vars(figures: dict[str, object]) -> str:
    """Return the answer to `vars`: the figures as one JSON line, then the closing dot.

    The figures stand in the first line themselves, as the operators' page shows them and their
    scraper reads them: a `+OK` before them made every figure unreadable there.
    """
    return json.dumps(figures, separators=(",", ":")) + "\n."
