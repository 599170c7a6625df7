"""Messages a line, and raw chunks after their headers: what both ends of the control protocol speak."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from bitternbeam.configuration.messages import Alive, Chunk, encode
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadline, Deadlines


class ControlLines(LineReceiver):
    """One connection. A peer that says nothing, or too much, is dropped: it can't be trusted to end.

    A chunk's bytes are gathered in one buffer of the size that its header told, which was checked before.
    """

    delimiter = b"\n"
    transport: Any

    def __init__(self, decoder: Any, deadlines: Deadlines, limits: Limits) -> None:
        self.decoder = decoder
        self.deadlines = deadlines
        self.limits = limits
        self.MAX_LENGTH = limits.control_line_bytes  # LineReceiver's name
        self.header: Chunk | None = None
        self.due = 0  # bytes of the chunk that are still to come
        self.parts: list[bytes] = []
        self.open = False
        self.silence: Deadline | None = None
        self.beat: Deadline | None = None
        self.why = ""  # it was dropped

    def connectionMade(self) -> None:
        """Watch for silence from here on."""
        self.open = True
        self._heard()
        self._beat()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Watch no more."""
        self.open = False
        for deadline in (self.silence, self.beat):
            if deadline:
                deadline.cancel()
        self.parts = []

    def drop(self, why: str) -> None:
        """End a connection that is of no further use."""
        if self.open:
            self.open = False
            self.why = why
            self.clearLineBuffer()
            self.transport.abortConnection()

    def _heard(self) -> None:
        if self.silence:
            self.silence.cancel()
        self.silence = self.deadlines.after(self.limits.control_silent_us, lambda: self.drop("silent"))

    def _beat(self) -> None:
        self.beat = self.deadlines.after(self.limits.control_silent_us // 3, self._beat)
        if self.open:
            self.say(Alive())

    def say(self, message: Any) -> None:
        """Send a message."""
        if self.open:
            self.transport.write(encode(message))

    def dataReceived(self, data: bytes) -> None:
        """Take bytes, until the connection is dropped."""
        if self.open:
            self._heard()
            super().dataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Read no further."""
        self.drop(f"a line of more than {self.MAX_LENGTH} bytes")

    def lineReceived(self, line: bytes) -> None:
        """Take a message."""
        if not self.open:
            return
        try:
            message = self.decoder.decode(line)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            self.drop(f"no message: {error}")
            return
        if isinstance(message, Chunk):
            self.due = self.expected(message)
            if self.due <= 0:
                self.drop("an empty chunk")
            if self.open:
                self.header, self.parts = message, []
                self.setRawMode()
        elif isinstance(message, Alive):
            self.alive()
        else:
            self.message(message)

    def rawDataReceived(self, data: bytes) -> None:
        """Gather a chunk."""
        if not self.open or self.header is None:
            return
        taken = data[: self.due]
        self.parts.append(taken)
        self.due -= len(taken)
        if self.due:
            return
        header, self.header = self.header, None
        whole, self.parts = b"".join(self.parts), []
        self.chunk(header, whole)
        if self.open:
            self.setLineMode(data[len(taken) :])

    def alive(self) -> None:
        """Take a sign of life."""

    def message(self, message: Any) -> None:
        """Take a message that is neither a chunk nor a sign of life."""
        raise NotImplementedError

    def expected(self, header: Chunk) -> int:
        """Return how many bytes follow a chunk's header; drops the connection if none was asked for."""
        self.drop("a chunk that was not asked for")
        return header.size

    def chunk(self, header: Chunk, data: bytes) -> None:
        """Take a chunk."""
        raise NotImplementedError
