"""Connections to discovery that went silent and are kept, as what they carry may be late and not lost."""

from __future__ import annotations

from bitternbeam.limits import Limits
from bitternbeam.net.platform.discovery.connection import DiscoveryConnection
from bitternbeam.tables.deadlines import Deadlines


class SilentConnections:
    """The kept connections, oldest first; at most `discovery_silent_connections`.

    A connection that is dropped after each silence never brings an event that takes longer than the silence.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits) -> None:
        self.deadlines = deadlines
        self.limits = limits
        self._connections: list[DiscoveryConnection] = []

    def __contains__(self, connection: object) -> bool:
        return connection in self._connections

    def keep(self, connection: DiscoveryConnection) -> None:
        """Keep a connection that went silent; the newest is dropped when there are too many.

        The oldest are worth more: what they carry has been on its way for longer.
        """
        self._connections.append(connection)
        if len(self._connections) > self.limits.discovery_silent_connections:
            self._drop(connection)

    def discard(self, connection: DiscoveryConnection) -> None:
        """Forget a connection that has closed; no effect on others."""
        if connection in self._connections:
            self._connections.remove(connection)

    def drop_older_than(self, connection: DiscoveryConnection) -> None:
        """Drop those older than a connection on which a line has come; all, if that is not kept here."""
        while self._connections and self._connections[0] is not connection:
            self._drop(self._connections[0])

    def drop_expired(self) -> None:
        """Drop those on which nothing has come for `discovery_late_us`."""
        since_us = self.deadlines.now_us() - self.limits.discovery_late_us
        for connection in list(self._connections):
            if connection.last_line_us <= since_us:
                self._drop(connection)

    def drop_all(self) -> None:
        """Drop every connection."""
        while self._connections:
            self._drop(self._connections[0])

    def heard_lately(self) -> bool:
        """Return whether a line has come on one of them within `discovery_silent_us`."""
        since_us = self.deadlines.now_us() - self.limits.discovery_silent_us
        return any(connection.last_line_us > since_us for connection in self._connections)

    def _drop(self, connection: DiscoveryConnection) -> None:
        self._connections.remove(connection)
        connection.drop("silent")
