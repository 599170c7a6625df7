"""Idle clients' connections: their time-outs, and which one is closed when the limit is reached."""

from __future__ import annotations

from collections import OrderedDict

from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.net.platform.client_requests import CloseCause, ConnectionState
from bitternbeam.tables.deadlines import Deadlines

ConnectionOrder = OrderedDict[ClientConnection, None]  # longest idle first
MAX_EVICTION_TRIES = 8  # candidates polled per new connection; each may turn out to be in use


class IdleConnections:
    """The connections without an open request, by kind, longest idle first.

    Before a connection is closed its pending input is read, so that a request that has arrived is answered.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits) -> None:
        self.deadlines = deadlines
        self.limits = limits
        self.unused: ConnectionOrder = OrderedDict()  # has sent no valid message
        self.idle: ConnectionOrder = OrderedDict()  # was used before; has neither requests nor calls
        self.with_calls: ConnectionOrder = OrderedDict()  # has calls; releases can go to another connection
        self.with_partial_message: ConnectionOrder = OrderedDict()  # part of a message was received
        self._order_of: dict[ClientConnection, ConnectionOrder] = {}  # the kind of each candidate

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection, which is closed when it is idle for too long."""
        self.reclassify(connection)
        self._check_idle(connection)

    def touch(self, connection: ClientConnection) -> None:
        """Record use of a connection: its idle time starts again."""
        connection.has_been_used = True
        connection.idle_since_us = self.deadlines.now_us()
        self.reclassify(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._discard(connection)
        if connection.idle_timer:
            connection.idle_timer.cancel()

    def evict_one(self) -> bool:
        """Close the best candidate for eviction; False if all connections are in use."""
        for _ in range(MAX_EVICTION_TRIES):
            if (victim := self._next_candidate()) is None:
                break
            was_half_read = victim.has_partial_message
            victim.poll_input()
            if victim.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
                return True  # its client had closed it
            if victim.busy:
                self.reclassify(victim)
            elif victim.has_partial_message == was_half_read:
                victim.close(CloseCause.FOR_ROOM)
                return True
        return False

    def _next_candidate(self) -> ClientConnection | None:
        """Return the connection to evict next, or None.

        Clients that connect and send nothing, or keep connections open after a call, must not lock others
        out, so these go first. A new connection without input is no candidate before others that had their
        answer: its request is on its way. Connections with calls come later, as a release can go to another
        connection; those with a partial message last, as the rest of a request cannot.
        """
        silent = next(iter(self.unused), None)
        young_us = self.deadlines.now_us() - self.limits.client_new_us
        if silent is not None and silent.idle_since_us < young_us:
            return silent
        orders = (self.idle, self.unused, self.with_calls, self.with_partial_message)
        return next((next(iter(order)) for order in orders if order), None)

    def reclassify(self, connection: ClientConnection) -> None:
        """Move a connection to the end of its current kind, or remove it if it is in use."""
        self._discard(connection)
        if connection.busy or connection.state is not ConnectionState.OPEN:
            return
        order = (
            self.with_partial_message if connection.has_partial_message
            else self.with_calls if connection.established_calls
            else self.idle if connection.has_been_used
            else self.unused
        )  # fmt: skip
        order[connection] = None
        self._order_of[connection] = order

    def _discard(self, connection: ClientConnection) -> None:
        if (order := self._order_of.pop(connection, None)) is not None:
            del order[connection]

    # Idle time-outs.

    def _check_idle(self, connection: ClientConnection) -> None:
        if self._idle_deadline_us(connection) <= self.deadlines.now_us():
            connection.poll_input()
        if connection.state not in (ConnectionState.OPEN, ConnectionState.REFUSING):
            return
        due_us = self._idle_deadline_us(connection)
        if due_us <= self.deadlines.now_us():
            connection.close(self._close_cause(connection))
            return
        connection.idle_timer = self.deadlines.call_at(due_us, lambda: self._check_idle(connection))

    def _idle_timeout_us(self, connection: ClientConnection) -> int:
        return self.limits.client_idle_us if connection.has_been_used else self.limits.client_first_request_us

    def _idle_deadline_us(self, connection: ClientConnection) -> int:
        """Return the time at which a connection's idle time-out ends."""
        wait_us = self._idle_timeout_us(connection)
        if connection.busy or connection.established_calls:
            return self.deadlines.now_us() + wait_us
        due_us = connection.idle_since_us + wait_us
        if connection.has_partial_message:
            due_us = max(due_us, connection.partial_since_us + self.limits.client_first_request_us)
        return due_us

    @staticmethod
    def _close_cause(connection: ClientConnection) -> CloseCause:
        if connection.has_partial_message:
            return CloseCause.HALF_MESSAGE
        return CloseCause.IDLE if connection.has_been_used else CloseCause.SILENT


class OverLimitConnections:
    """Connections accepted beyond the limit: their requests are refused, then they are closed.

    Closing them at once would lose a request that is on its way without an answer.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits) -> None:
        self.deadlines = deadlines
        self.limits = limits
        self.connections: dict[ClientConnection, None] = {}  # oldest first

    def add(self, connection: ClientConnection) -> None:
        """Add a connection; past `client_over_limit` the oldest is closed after its requests are refused."""
        connection.refuse_new_requests(CloseCause.OVER_LIMIT)
        if len(self.connections) >= self.limits.client_excess_connections:
            self._refuse_and_close(next(iter(self.connections)))
        self.connections[connection] = None
        wait_us = self.limits.client_new_us
        connection.idle_timer = self.deadlines.after(wait_us, lambda: self._refuse_and_close(connection))

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection, None)
        if connection.idle_timer:
            connection.idle_timer.cancel()

    @staticmethod
    def _refuse_and_close(connection: ClientConnection) -> None:
        connection.poll_input()
        connection.offer_queued()
        connection.close(CloseCause.OVER_LIMIT)
