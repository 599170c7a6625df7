"""The connections to one booker: opening, reconnecting and closing."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectBindError
from twisted.python.failure import Failure

from bitternbeam.core.calls import AttemptEnd
from bitternbeam.decision.interface import Outcome, SwitchState
from bitternbeam.net.connect import connect
from bitternbeam.net.platform.booker_connection import BookerConnection, ConnectionOwner, UpstreamRequest
from bitternbeam.net.platform.descriptor_quota import NoDescriptorError
from bitternbeam.net.platform.unheld_calls import cut_unheld
from bitternbeam.net.platform.unsent_releases import UnsentReleases
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests
from bitternbeam.tables.deadlines import Deadline

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class BookerEndpoint:
    """A booker's address and state as listed by discovery; `started_us` is Unix time, 0 if unknown."""

    booker: str
    host: str
    port: int
    state: SwitchState
    started_us: int

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port


class ConnectionPool(ConnectionOwner):
    """The connections to one booker; a subclass handles the messages.

    A broken connection fails every set-up that is pending on it, once their releases are sent on another.
    So each set-up gets a connection without other pending ones, and a spare is opened in advance; past the
    connection limit they are shared.
    Connections stay open while the booker is listed, because unsolicited load reports come on them.
    """

    def __init__(
        self, context: UpstreamContext, endpoint: BookerEndpoint, requests: UpstreamRequests
    ) -> None:
        self.context = context
        self.endpoint = endpoint
        self.requests = requests
        self.connections: list[BookerConnection] = []
        self.unsent_releases = UnsentReleases(context.limits, context.counters)
        self.connecting = 0
        self.last_received_us = context.deadlines.now_us()  # or when a connection came up, if that is later
        self.heard_us = 0  # when anything was received; a hung process's kernel accepts connections, too
        self.early_losses = 0  # consecutive connections lost before anything was received on them
        self.no_spare_until_us = 0  # a connect failed: open no spare before this time
        self.heartbeat_sent_us = 0  # the last heartbeat sent because the booker was quiet
        self.retired = False
        self.successor: ConnectionPool | None = (
            None  # of the server listed at the address since it was retired
        )
        self.reconnect_timer: Deadline | None = None
        self.closed = False

    def data_received(self, connection: BookerConnection) -> None:
        """Note that data was received on a connection."""
        self.last_received_us = self.heard_us = connection.last_received_us
        self.early_losses = 0

    def connect(self) -> None:
        """Open a connection, unless `booker_connecting` are being opened.

        None is opened for a removed server, whose address may be another's.
        """
        limits = self.context.limits
        if self.closed or self.retired or self.connecting >= limits.booker_connecting:
            return
        self.connecting += 1
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
        endpoint, wait_us = self.endpoint, limits.booker_connect_us
        connected = self.context.descriptor_quota.connect(
            lambda: connect(
                self.context.reactor, endpoint.host, endpoint.port, wait_us, lambda: BookerConnection(self)
            )
        )
        connected.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection: Any) -> None:
        self.connecting -= 1
        if self.closed:
            connection.transport.abortConnection()
            return
        self.context.counters.add("booker.connections")
        self.last_received_us = self.context.deadlines.now_us()
        self.connections.append(connection)
        self.send_releases()
        self.send_waiting()

    def send_or_keep_release(self, uid: str) -> None:
        """Send a release on a connection, or on the next one that is opened."""
        self.unsent_releases.add(uid)
        self.send_releases()

    def send_releases(self) -> None:
        """Send the releases that wait for a connection, and end the attempts that waited for them."""
        if not self.connections:
            return
        connection = self.least_loaded()
        for uid in self.unsent_releases.take_all():
            self.context.counters.add("booker.releases_repeated")
            connection.send_release(uid)
        self.requests.finish_released()

    def send_waiting(self) -> None:
        """Send the set-ups that waited for a connection."""
        for request in self.requests.waiting():
            self.send(request)

    def send(self, request: UpstreamRequest) -> None:
        """Send a set-up that is still allowed.

        The check reads the client's input, whose messages may change this pool, so the connections are
        looked at again afterwards.
        """
        if self.requests.check_allowed(request) and self.connections:
            self.requests.send(self.least_loaded(), request)

    def least_loaded(self) -> BookerConnection:
        """Return the connection with the fewest pending set-ups, among equals the one last received on.

        Connections with unsent output come last: a set-up would reach the server late, when its time may be
        used up or its client may have left.
        """
        return min(
            self.connections,
            key=lambda connection: (
                connection.has_unsent_output,
                len(connection.pending),
                -connection.last_received_us,
            ),
        )

    @property
    def at_connection_limit(self) -> bool:
        """Whether the open connections and those being opened have reached their limit."""
        limit = self.context.descriptor_quota.per_server(self.context.limits.booker_connections)
        return len(self.connections) + self.connecting >= limit

    def open_spare(self) -> None:
        """Open a connection in advance if none is idle and the limits allow it."""
        idle = any(
            not (connection.pending or connection.has_unsent_output) for connection in self.connections
        )
        may_open = self.context.deadlines.now_us() >= self.no_spare_until_us
        if not idle and may_open and not self.at_connection_limit:
            self.connect()

    def _connect_failed(self, failure: Failure) -> None:
        """Fail the set-ups that waited for a connection; cut established calls if the booker is gone."""
        self.connecting -= 1
        deadlines, limits = self.context.deadlines, self.context.limits
        now_us = deadlines.now_us()
        self.no_spare_until_us = now_us + limits.booker_spare_retry_us
        self.context.counters.add("booker.no_connection")
        if failure.check(NoDescriptorError, ConnectBindError):
            self._connect_without_descriptor()
            return
        refused = failure.check("twisted.internet.error.ConnectionRefusedError") is not None
        silent = now_us - self.last_received_us > limits.booker_silent_us
        if self.connections and not silent:
            # The booker is at its connection limit, or its process has ended and the resets were lost; a
            # heartbeat provokes them. A draining booker refuses connections long before its end, so a
            # refusal alone proves nothing.
            for connection in self.connections if refused else ():
                connection.send_heartbeat()
            return
        # A dead process may leave its connections open and silent. A refusal beside them must not be taken
        # for a full booker: its calls would never be reported as cut.
        for connection in self.connections[:]:
            connection.drop("silent")
        if refused or silent or not self.connecting:
            self.requests.finish_waiting(Outcome.NO_CONNECTION)
        else:
            # Some connects never complete. Set-ups queued after this one began have another connect pending.
            self.requests.finish_waiting(Outcome.NO_CONNECTION, now_us - limits.booker_connect_us)
        if refused or silent:
            # No process listens, or the host is gone: its calls were cut.
            self._cut_all(process_ended=refused)
        # A draining booker accepts no new connection. Retries every half second by 200 restarted instances
        # made up four fifths of a day's connections, so the next try waits until it is listed as ready.
        drained = refused and self.endpoint.state is not SwitchState.READY
        if not self.closed and not self.retired and not drained:
            self._schedule_reconnect()

    def _cut_all(self, process_ended: bool) -> None:
        """End all attempts and calls; a host that is only unreachable keeps its calls until it is told."""
        if process_ended:
            self.unsent_releases.take_all()
        else:
            for request in self.requests.sent():
                self.unsent_releases.add(request.attempt.offer.uid)
        self.requests.cut_all()

    def _connect_without_descriptor(self) -> None:
        """Handle a connect that failed for lack of a local descriptor.

        It says nothing about the server, so established calls are not cut.
        """
        if self.connections or self.connecting:
            return
        for request in self.requests.waiting():
            self.requests.finish(request, AttemptEnd(Outcome.NO_CONNECTION))
        if not self.closed and not self.retired:
            self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
        self.reconnect_timer = self.context.deadlines.after(self.context.limits.booker_retry_us, self.connect)

    def connection_lost(self, connection: BookerConnection) -> None:
        """Release what was pending on a lost connection; the reconnect shows whether its calls were cut."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self._keep_releases(connection)
        for request in self.requests.sent_on(connection):
            if self.retired and connection.is_open:  # only its write side is about to close
                connection.send_release(request.attempt.offer.uid)
            request.connection = None
            request.release_unsent = not request.established
        connection.pending.clear()
        self.send_releases()
        self.early_losses += not connection.has_received
        if self.closed:
            return
        if self.retired:
            cut_unheld(self)
        # A release may have been lost with the connection, and its call would never end. The booker
        # repeats it on the next new connection, so one is opened however many are left.
        elif self.early_losses <= self.context.limits.booker_early_resets:
            self.connect()
        elif not self.connecting:
            # Without a delay, a peer that accepts and resets would be reconnected to in a tight loop.
            self._schedule_reconnect()

    def _keep_releases(self, connection: BookerConnection) -> None:
        """Keep the releases that a lost connection leaves in doubt.

        The answer to a pending set-up may have been lost: its call is then established at the booker and
        would go on beside the next attempt. Of the releases written lately some may be lost as well. An id
        that has an attempt here again needs no release, which would cut the new attempt.
        """
        for uid in connection.recent_releases.uids(self.context.deadlines.now_us()):
            if self.requests.get(uid) is None:
                self.unsent_releases.add(uid)
        for uid in connection.pending:
            self.unsent_releases.add(uid)

    def close(self) -> None:
        """Close all connections."""
        self.closed = True
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
        for connection in self.connections:
            connection.transport.loseConnection()

    def retire_connection(self, connection: BookerConnection, cause: str) -> None:
        """Send nothing more on a connection, but read from it for a while.

        Releases may be on their way on it, and the booker does not repeat them after a reset from our side.
        A removed server's stay: no set-up is sent on them, and its calls end with their connections.
        """
        if self.retired:
            return
        self.context.counters.add(f"booker.set_aside.{cause}")
        requests = self.requests.sent_on(connection)
        log.info("server %s: connection set aside: %s; calls: %d", self.endpoint.booker, cause, len(requests))
        if cause == "silent":
            for request in requests:
                request.silent_connection = connection
        connection.release_pending()
        self.connection_lost(connection)
        self.context.deadlines.after(
            self.context.limits.booker_quarantine_us, lambda: connection.half_close(cause)
        )
