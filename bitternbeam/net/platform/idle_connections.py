"""Which clients' connections are idle, for how long they may be, and which of them makes room."""

from __future__ import annotations

from collections import OrderedDict

from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.net.platform.client_requests import CloseCause, ConnectionState
from bitternbeam.tables.deadlines import Deadlines

ConnectionOrder = OrderedDict[ClientConnection, None]  # the longest idle first
MAX_EVICTION_TRIES = 8  # connections that turn out to be in use, looked at for one new connection


class IdleConnections:
    """The connections with no request open on them, by kind, the longest idle first.

    Before one is closed, what its client has sent up to now is read: a request that has arrived is answered.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits) -> None:
        self.deadlines = deadlines
        self.limits = limits
        self.unused: ConnectionOrder = OrderedDict()  # has sent nothing of use
        self.idle: ConnectionOrder = OrderedDict()  # nothing is open on it now
        self.with_calls: ConnectionOrder = (
            OrderedDict()
        )  # calls that came on it stand; their releases may go elsewhere
        self.with_partial_message: ConnectionOrder = OrderedDict()  # the beginning of a message has come
        self._order_of: dict[ClientConnection, ConnectionOrder] = {}  # where each candidate stands

    def add(self, connection: ClientConnection) -> None:
        """Take a new connection, and close it once nothing has been open on it for long."""
        self.reclassify(connection)
        self._check_idle(connection)

    def touch(self, connection: ClientConnection) -> None:
        """Note that something of use came or went on a connection: its idle time begins anew."""
        connection.has_been_used = True
        connection.idle_since_us = self.deadlines.now_us()
        self.reclassify(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._discard(connection)
        if connection.idle_timer:
            connection.idle_timer.cancel()

    def evict_one(self) -> bool:
        """Close the connection that is missed least; False if a request is open on each of them."""
        for _ in range(MAX_EVICTION_TRIES):
            if (victim := self._next_candidate()) is None:
                break
            was_half_read = victim.has_partial_message
            victim.poll_input()
            if victim.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
                return True  # its client has left
            if victim.busy:
                self.reclassify(victim)
            elif victim.has_partial_message == was_half_read:
                victim.close(CloseCause.FOR_ROOM)
                return True
        return False

    def _next_candidate(self) -> ClientConnection | None:
        """Return the longest idle connection of the kind that is missed least.

        Those that connect and say nothing, or hold on after a call, would lock the usual clients out. But
        one just made is not silent: its request is on its way, and goes behind those that had their answer.
        A release may go elsewhere, a request in the middle of its sending may not.
        """
        silent = next(iter(self.unused), None)
        young_us = self.deadlines.now_us() - self.limits.client_new_us
        if silent is not None and silent.idle_since_us < young_us:
            return silent
        orders = (self.idle, self.unused, self.with_calls, self.with_partial_message)
        return next((next(iter(order)) for order in orders if order), None)

    def reclassify(self, connection: ClientConnection) -> None:
        """Sort a connection anew, behind the others of its kind; one that is in use is no candidate."""
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

    # Idle for too long.

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
        """Return when a connection has been idle for too long, as it is used now."""
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
    """New connections for which there was no room: each has its first requests refused, and is closed.

    Closed at once instead, a request that is on its way would be lost without an answer.
    """

    def __init__(self, deadlines: Deadlines, limits: Limits) -> None:
        self.deadlines = deadlines
        self.limits = limits
        self.connections: dict[ClientConnection, None] = {}  # the oldest first

    def add(self, connection: ClientConnection) -> None:
        """Take a connection; past the limit the oldest makes room, with what has come on it refused."""
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
