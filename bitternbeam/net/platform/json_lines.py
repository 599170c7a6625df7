"""JSON lines over TCP, guarded against peers that send too much, read too slowly or send garbage."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.lingering_close import LingeringClose
from bitternbeam.net.platform.unread_output import StallTimer, pending_output_bytes
from bitternbeam.tables.deadlines import Deadlines

Message = dict[str, Any]

CAUSE_REFUSED, CAUSE_BUSY, CAUSE_ERROR, CAUSE_CONGESTED, CAUSE_EXPIRED = 34, 17, 47, 42, 102
CAUSE_NORMAL, CAUSE_FAILURE = 16, 41

MAX_WRITES_PER_READ = 2  # each writes up to 128 KiB, and reads up to 64 KiB


@implementer(IPushProducer, IHalfCloseableProtocol)
class JsonLines(LineReceiver):
    """A connection that carries one JSON object per line.

    LineReceiver copies each line from its buffer, as json cannot parse a memoryview; the copy takes 0.3 of a
    set-up's 2.7 microseconds. Nothing else is copied.

    An overlong or malformed line ends the connection at once: where the next message begins is unknown, and
    searching for it would cost as much as the peer chooses to send.
    """

    delimiter = b"\n"
    transport: Any

    def __init__(self, name: str, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.name = name
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.MAX_LENGTH = limits.line_bytes  # LineReceiver's name
        self.stall_timer = StallTimer(deadlines, limits.stalled_us, self._bytes_taken, self._abort_stalled)
        self.is_open = False
        self.lingering_close: LingeringClose | None = None  # set by `close_gracefully`
        self.bytes_read = 0
        self.bytes_written = 0

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, and watch for a peer that does not read."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the timers."""
        self.is_open = False
        self.stall_timer.stop()
        if self.lingering_close:
            self.lingering_close.connection_closed()

    def readConnectionLost(self) -> None:
        """Treat the peer's half-close as a close."""
        self.transport.connectionLost(connectionDone)

    def writeConnectionLost(self) -> None:
        """Continue a graceful close: all output has been sent."""
        if self.lingering_close:
            self.lingering_close.output_closed()

    def pauseProducing(self) -> None:
        """Start the time-out for a peer that does not read, whose backlog would otherwise fill the memory.

        The transport calls this at each write while its buffer is full; the time-out starts at the first.
        """
        self.stall_timer.start()

    def resumeProducing(self) -> None:
        """Cancel the time-out: the peer has been sent all output."""
        self.stall_timer.stop()

    def stopProducing(self) -> None:
        """Do nothing: messages are only sent on demand."""

    def _bytes_taken(self) -> int:
        return self.bytes_written - pending_output_bytes(self.transport)

    def _abort_stalled(self) -> None:
        self.counters.add(f"{self.name}.stalled")
        self.is_open = False
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, until the connection is dropped or closed."""
        self.bytes_read += len(data)
        if self.lingering_close:
            self.lingering_close.input_received(len(data))
        elif self.is_open:
            super().dataReceived(data)

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has been received."""
        return self.is_open and bool(self._buffer)

    def read_pending(self) -> bool:
        """Read once from the socket without blocking, and handle what was read; True if there was any.

        Called before this side closes a connection, so that a request that has arrived is answered rather
        than discarded. The peer's close, or an error, is left for the reactor to find.
        """
        before = self.bytes_read
        if self.is_open and self.transport.connected:
            self.transport.doRead()
        return self.bytes_read > before

    def write_backlog(self) -> None:
        """Write output now that is over the transport's buffer, of which the reactor writes a part each turn.

        What answers the input of one turn may be more than that, and would look like unread output.
        """
        for _ in range(MAX_WRITES_PER_READ):
            if self.is_open and self.transport.producerPaused:
                self.transport.doWrite()

    def close_gracefully(self, cause: str, make_room: bool = True) -> None:
        """Close so that the peer can read all pending output (see lingering_close.py).

        Later input is discarded; `connectionLost` follows within `limits.stalled_us` plus `limits.linger_us`.
        Callers first call `read_pending`, and keep the connection if it returned data. If more than
        `limits.linger_connections` linger the oldest is cut off; with make_room false none is, for when no
        new connection will need the descriptors.
        """
        if self.lingering_close or not self.transport.connected or self.transport.disconnecting:
            return
        self.is_open = False
        self.clearLineBuffer()
        self.counters.add(f"{self.name}.closed.{cause}")
        self.stall_timer.stop()
        self.lingering_close = LingeringClose(self.transport, self.deadlines, self.limits, self.counters)
        self.lingering_close.start(make_room)

    def drop(self, cause: str) -> None:
        """Abort the connection and discard unread input."""
        if self.is_open:
            self.is_open = False
            self.clearLineBuffer()
            self.counters.add(f"{self.name}.dropped.{cause}")
            self.transport.abortConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Drop the connection: reading stops at the length limit."""
        self.drop("overlong_line")

    def lineReceived(self, line: bytes) -> None:
        """Parse a line and handle its message."""
        if not self.is_open or not line.strip():
            return
        try:
            message = json.loads(line)
        except (ValueError, RecursionError):
            message = None
        if not isinstance(message, dict) or not isinstance(message.get("meta", {}), dict):
            self.invalid_line_received(line)
        else:
            self.counters.add(f"{self.name}.messages_in")
            self.message_received(message)

    def message_received(self, message: Message) -> None:
        """Handle a message; its `meta`, if present, is an object."""
        raise NotImplementedError

    def invalid_line_received(self, line: bytes) -> None:
        """Handle a line that is no JSON object, or whose `meta` is none."""
        self.drop("bad_line")

    def send(self, message: Message) -> None:
        """Send a message."""
        self.counters.add(f"{self.name}.messages_out")
        line = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        self.bytes_written += len(line)
        self.transport.write(line)


def message_uid(message: Message) -> str:
    """Return a message's call id; empty if it has none."""
    uid = message.get("uid")
    return uid if isinstance(uid, str) else ""


def parse_number(meta: Message, name: str) -> float | None:
    """Return a field that is a number or a string that holds one; None if it is neither or too large."""
    value = meta.get(name)
    if isinstance(value, bool) or not isinstance(value, (str, int, float)):
        return None
    try:
        number = float(value)
    except (ValueError, OverflowError):
        return None
    return number if abs(number) < 1e15 else None  # also keeps NaN out
