"""One connection to discovery: its lines, read and handed to the watch that owns it."""

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
    """The watch, as its connection sees it; it tells a connection of its own from an earlier one."""

    def event_received(self, connection: DiscoveryConnection, news: Heartbeat | ListEvent) -> None:
        """Take what one line says."""
        ...

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Take note that a connection has ended, or is given up; may be said more than once."""
        ...


class DiscoveryConnection(JsonLines):
    """A connection to discovery. What stands unfinished when it ends is no line and is never read."""

    def __init__(
        self, owner: ConnectionOwner, deadlines: Deadlines, limits: Limits, counters: Counters
    ) -> None:
        super().__init__("discovery", deadlines, limits, counters)
        self.owner = owner

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the owner."""
        super().connectionLost(reason)
        self.owner.connection_closed(self)

    def drop(self, why: str) -> None:
        """End it at once and tell the owner, which need not wait for the close."""
        super().drop(why)
        self.owner.connection_closed(self)

    def ask(self, revision: int) -> None:
        """Ask for every event after that number."""
        self.transport.write(f"watch {revision}\n".encode())

    def message_received(self, message: Message) -> None:
        """Read an event, or a number in an object."""
        try:
            news = parse_message(message)
        except EventError as error:
            self._reject_event(error)
            return
        self.owner.event_received(self, news)

    def invalid_line_received(self, line: bytes) -> None:
        """Read a number alone."""
        try:
            news = parse_heartbeat(line)
        except EventError:
            super().invalid_line_received(line)
            return
        self.owner.event_received(self, news)

    def _reject_event(self, error: EventError) -> None:
        self.counters.add(f"discovery.bad_events.{error.fault.value}")
        self.drop("bad_event")
