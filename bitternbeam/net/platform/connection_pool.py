"""The connections that are open to one booker: making them, losing them, seeing after silent ones."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectBindError
from twisted.python.failure import Failure

from bitternbeam.core.calls import AttemptEnd
from bitternbeam.decision.interface import Outcome, Report, SwitchState
from bitternbeam.net.connect import connect
from bitternbeam.net.platform.booker_connection import BookerConnection, UpstreamRequest
from bitternbeam.net.platform.descriptor_quota import NoDescriptorError
from bitternbeam.net.platform.json_lines import CAUSE_NORMAL, Message
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests
from bitternbeam.tables.deadlines import Deadline


@dataclass(frozen=True, slots=True)
class BookerEndpoint:
    """Where the list says that a booker is."""

    booker: str
    host: str
    port: int
    state: SwitchState
    started_us: int


class ConnectionPool(ABC):
    """The connections to one booker; what comes on them is taken by the class that is built on this one.

    Danger: a connection that breaks takes every set-up on it along. So each set-up gets one on which no
    other waits, and a spare is opened ahead, up to a limit; past that they share. They are kept up while
    the booker is listed, as the state of its lines comes on them unasked.
    """

    def __init__(self, surroundings: UpstreamContext, place: BookerEndpoint, legs: UpstreamRequests) -> None:
        self.context = surroundings
        self.endpoint = place
        self.requests = legs
        self.connections: list[BookerConnection] = []
        self.connecting = 0
        self.last_received_us = surroundings.deadlines.now_us()
        self.early_losses = 0  # connections in a row that ended before anything came on them
        self.no_spare_until_us = 0  # it took no further connection: ask for no spare until then
        self.heartbeat_sent_us = 0  # a test was sent on a connection that had gone quiet
        self.retired = False
        self.reconnect_timer: Deadline | None = None
        self.closed = False

    @abstractmethod
    def call_accepted(self, connection: BookerConnection, message: Message) -> None:
        """Take an answer."""

    @abstractmethod
    def call_stopped(self, connection: BookerConnection, message: Message) -> None:
        """Take a refusal or a release."""

    @abstractmethod
    def load_reported(self, connection: BookerConnection, report: Report) -> None:
        """Take the state of the booker's lines that came unasked."""

    @abstractmethod
    def probe_answered(self, report: Report | None) -> None:
        """Take the answer to a probe."""

    @abstractmethod
    def cancel(self, leg: UpstreamRequest, unanswered: bool = False) -> None:
        """Give a set-up up, or release a call."""

    def data_received(self, connection: BookerConnection) -> None:
        """Note that something comes on a connection."""
        self.last_received_us, self.early_losses = connection.last_received_us, 0

    def connect(self) -> None:
        """Open a connection, unless enough are being opened."""
        limits = self.context.limits
        if self.closed or self.connecting >= limits.booker_connecting:
            return
        self.connecting += 1
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
        place, wait_us = self.endpoint, limits.booker_connect_us
        made = self.context.descriptor_quota.connect(
            lambda: connect(
                self.context.reactor, place.host, place.port, wait_us, lambda: BookerConnection(self)
            )
        )
        made.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection: Any) -> None:
        self.connecting -= 1
        if self.closed:
            connection.transport.abortConnection()
            return
        self.context.counters.add("booker.connections")
        self.last_received_us = self.context.deadlines.now_us()
        self.connections.append(connection)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Write what waited for a connection."""
        for leg in self.requests.waiting():
            self.send(leg)

    def send(self, leg: UpstreamRequest) -> None:
        """Write a set-up that is still allowed; its client is asked for that, and may bring anything."""
        if self.requests.check_allowed(leg) and self.connections:
            self.requests.send(self.least_loaded(), leg)

    def least_loaded(self) -> BookerConnection:
        """Return the connection with the fewest set-ups, of equals the one heard last.

        Where what was written before has not left yet, a set-up would reach its server late: after its client
        has left, with a time that is used up. So such a connection comes last.
        """
        return min(
            self.connections, key=lambda one: (one.has_unsent_output, len(one.pending), -one.last_received_us)
        )

    def open_spare(self) -> None:
        """Open a connection ahead of its need."""
        idle = any(not (one.pending or one.has_unsent_output) for one in self.connections)
        most = self.context.descriptor_quota.per_server(self.context.limits.booker_connections)
        room = len(self.connections) + self.connecting < most
        if (
            not idle
            and room
            and not self.retired
            and self.context.deadlines.now_us() >= self.no_spare_until_us
        ):
            self.connect()

    def _connect_failed(self, failure: Failure) -> None:
        """Nothing ran of what waited for it; what stands there may be over."""
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
            # It takes no more of them, or its process has ended and the resets did not come through: a test
            # brings them. One that drains refuses new ones long before its end, so this alone proves nothing.
            for connection in self.connections if refused else ():
                connection.send_heartbeat()
            return
        # Danger: a booker whose process has died may leave its connections open and silent; refused
        # beside them was taken for 'full', and what stood there was never told as cut.
        for connection in self.connections[:]:
            connection.drop("silent")
        if refused or silent or not self.connecting:
            self.requests.finish_waiting(Outcome.NO_CONNECTION)
        else:
            # Danger: some connections never come up. What began to wait later has another on its way.
            self.requests.finish_waiting(Outcome.NO_CONNECTION, now_us - limits.booker_connect_us)
        if refused or silent:
            # No process listens, or the machine has vanished: its calls were cut.
            self.requests.cut_all()
        # Danger: one that drains takes no new connection any more. Asked again twice a second by two hundred
        # restarted controllers it made four fifths of a day's connections; it is asked anew once it is ready.
        drained = refused and self.endpoint.state is not SwitchState.READY
        if not self.closed and not self.retired and not drained:
            self._schedule_reconnect()

    def _connect_without_descriptor(self) -> None:
        """Send nothing on a connection that can't be made for want of a descriptor of our own.

        Taken for a server that has vanished, it cut the calls that stand there.
        """
        if self.connections or self.connecting:
            return
        for leg in self.requests.waiting():
            self.requests.finish(leg, AttemptEnd(Outcome.NO_CONNECTION))
        if not self.closed and not self.retired:
            self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
        self.reconnect_timer = self.context.deadlines.after(self.context.limits.booker_retry_us, self.connect)

    def connection_lost(self, connection: BookerConnection) -> None:
        """Break the set-ups of a lost connection; whether calls are cut shows when it is made anew."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        for leg in self.requests.all():
            if leg.connection is connection:
                if leg.established:
                    leg.connection = None
                else:
                    # If its process died, that shows at once: the next connection is refused.
                    self.requests.finish(leg, AttemptEnd(Outcome.CUT, connection_broken=True))
        self.early_losses += not connection.has_received
        if self.retired and not self.connections and not self.closed:
            self.requests.cut_all()
            self.close()
        elif not self.closed:
            # Danger: a release may have gone down with it, whose call would stand for ever. The booker sends
            # it once more on the next connection that is opened, so one is, however many are left.
            if self.early_losses <= self.context.limits.booker_early_resets:
                self.connect()
            elif not self.connecting:
                # Danger: a peer that accepts and resets would be called again as fast as it can answer.
                self._schedule_reconnect()

    def check_liveness(self) -> None:
        """See after a booker that has not been heard for long while calls are there.

        Halfway through the silence a test goes out on one connection: a live booker passes it at once,
        so that a silence to its end means a dead process, whatever new connections then meet.
        """
        now_us, silent_us = self.context.deadlines.now_us(), self.context.limits.booker_silent_us
        if not self.requests.by_uid:
            return
        holding = {leg.connection for leg in self.requests.all() if leg.established}
        if now_us - self.last_received_us > silent_us:
            self.connect()
        elif (
            self.connections
            and now_us - self.last_received_us > silent_us // 2
            and self.heartbeat_sent_us <= self.last_received_us
        ):
            self.heartbeat_sent_us = now_us
            self.least_loaded().send_heartbeat()
        # Danger: a connection whose reset did not come through stays open, silent, while tests are passed on
        # others: its calls were told only 2 s after the list's word, which may be 7 s late. A test brings it.
        for connection in self.connections:
            quiet_us = now_us - max(connection.last_received_us, connection.heartbeat_sent_us)
            if quiet_us > silent_us // 2 and connection in holding:
                connection.send_heartbeat()

    def close(self) -> None:
        """Close all connections."""
        self.closed = True
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
        for connection in self.connections:
            connection.transport.loseConnection()

    def retire_connection(self, connection: BookerConnection, why: str) -> None:
        """Use a connection no more, but hear what still comes on it for a while.

        Danger: releases may be on their way on it, and after a reset of ours they would not come again.
        """
        self.context.counters.add(f"booker.set_aside.{why}")
        for uid in connection.pending:
            connection.send({"kind": "stop", "uid": uid, "meta": {}, "reason": CAUSE_NORMAL})
        self.connection_lost(connection)
        self.context.deadlines.after(
            self.context.limits.booker_quarantine_us, lambda: connection.half_close(why)
        )
