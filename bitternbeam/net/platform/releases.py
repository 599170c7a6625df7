"""Sends the releases of calls to clients, also when the call's own connection is closed."""

from __future__ import annotations

from collections import OrderedDict

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.tables.slots import SlotTable


class ReleaseSender:
    """Sends releases to clients, and queues those for which no connection is open."""

    def __init__(self, connections: SlotTable[ClientConnection], limits: Limits, counters: Counters) -> None:
        self.connections = connections
        self.limits = limits
        self.counters = counters
        self.waiting: OrderedDict[str, int] = OrderedDict()  # causes by call id, oldest first

    def send(self, connection: ClientConnection | None, uid: str, cause: int) -> None:
        """Send a release on the call's own connection, on another one of the clients', or queue it."""
        connection = connection or self._client_connection()
        if connection is not None:
            self.counters.add("client.releases")
            connection.send_stop(uid, cause)
            return
        self.waiting[uid] = cause
        if len(self.waiting) > self.limits.undelivered_releases:
            self.waiting.popitem(last=False)
            self.counters.add("client.releases_dropped")

    def send_waiting(self, connection: ClientConnection) -> None:
        """Send the queued releases on a connection on which a call was just accepted."""
        while self.waiting:
            self.send(connection, *self.waiting.popitem(last=False))

    def _client_connection(self) -> ClientConnection | None:
        """Return a connection that is known to belong to the calls' clients, or None.

        Other connections may be idle, belong to faulty clients or be about to close. Those with established
        calls come first, then those on which a call was accepted before; among equals the last one used.
        """
        served = [connection for connection in self.connections.values() if connection.has_served_call]
        return max(
            served,
            key=lambda connection: (connection.established_calls > 0, connection.idle_since_us),
            default=None,
        )
