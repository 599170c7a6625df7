"""Where the release of a call goes: its own connection may have gone, and its client still has to hear."""

from __future__ import annotations

from collections import OrderedDict

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.tables.slots import SlotTable


class ReleaseSender:
    """Sends releases to clients, and keeps those for which there is no connection now."""

    def __init__(self, connections: SlotTable[ClientConnection], limits: Limits, counters: Counters) -> None:
        self.connections = connections
        self.limits = limits
        self.counters = counters
        self.waiting: OrderedDict[str, int] = OrderedDict()  # causes by id, the oldest first

    def send(self, connection: ClientConnection | None, uid: str, cause: int) -> None:
        """Send a release on a call's own connection, or else on one that leads to the clients, or keep it."""
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
        """Send what waits on a connection that was served just now."""
        while self.waiting:
            self.send(connection, *self.waiting.popitem(last=False))

    def _client_connection(self) -> ClientConnection | None:
        """Return a connection that leads to the clients.

        Most may belong to those that only hold on or talk nonsense, or be about to go themselves. One on
        which calls stand leads to the clients, then one that was served; of these, the one heard last.
        """
        served = [one for one in self.connections.values() if one.has_served_call]
        return max(served, key=lambda one: (one.established_calls > 0, one.idle_since_us), default=None)
