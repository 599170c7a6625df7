"""One connection to discovery: parses its lines and passes them to the watch that owns it."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.discovery.events import (
    EventError,
    Heartbeat,
    ListEvent,
    parse_heartbeat,
    parse_message,
)
from bitternbeam.net.platform.json_lines import JsonLines, Message
from bitternbeam.tables.deadlines import Deadlines


class ConnectionOwner(Protocol):
    """The watch as its connection sees it; it ignores connections that it has replaced."""

    def event_received(self, connection: DiscoveryConnection, update: Heartbeat | ListEvent) -> None:
        """Handle one line's event or heartbeat."""
        ...

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Note that a connection has ended or was dropped; may be called more than once."""
        ...


class DiscoveryConnection(JsonLines):
    """A connection to discovery; an incomplete last line is ignored."""

    def __init__(
        self, owner: ConnectionOwner, deadlines: Deadlines, limits: Limits, counters: Counters
    ) -> None:
        super().__init__("discovery", deadlines, limits, counters)
        self.owner = owner
        self.last_line_us = 0  # time of the last valid line, or of the question

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the owner."""
        super().connectionLost(reason)
        self.owner.connection_closed(self)

    def drop(self, cause: str) -> None:
        """Abort the connection and notify the owner without waiting for the close."""
        super().drop(cause)
        self.owner.connection_closed(self)

    def ask(self, revision: int) -> None:
        """Ask for all events after a revision."""
        self.last_line_us = self.deadlines.now_us()
        self.transport.write(f"watch {revision}\n".encode())

    def message_received(self, message: Message) -> None:
        """Handle an event, or a heartbeat in an object."""
        try:
            update = parse_message(message)
        except EventError as error:
            self._reject_event(error)
            return
        self.last_line_us = self.deadlines.now_us()
        self.owner.event_received(self, update)

    def invalid_line_received(self, line: bytes) -> None:
        """Handle a heartbeat that is a bare number."""
        try:
            update = parse_heartbeat(line)
        except EventError:
            super().invalid_line_received(line)
            return
        self.last_line_us = self.deadlines.now_us()
        self.owner.event_received(self, update)

    def _reject_event(self, error: EventError) -> None:
        self.counters.add(f"discovery.bad_events.{error.fault.value}")
        self.drop("bad_event")
