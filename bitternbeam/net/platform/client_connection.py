"""One client's connection: its states, what is read from it, and how it ends."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_requests import ClientRequest, CloseCause, ConnectionState, QueuedRequest
from bitternbeam.net.platform.json_lines import CAUSE_REFUSED, JsonLines, Message, message_uid
from bitternbeam.net.platform.request_parsing import is_request_id
from bitternbeam.tables.deadlines import Deadline, Deadlines

MAX_READS_PER_POLL = 4  # of one look: each takes up to 64 KiB, four times the longest message


class ConnectionOwner(Protocol):
    """What a connection tells the front."""

    deadlines: Deadlines
    limits: Limits
    counters: Counters

    def connection_opened(self, connection: ClientConnection) -> None:
        """Take a new connection."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection; what is still open on it is withdrawn."""

    def transport_closed(self, connection: ClientConnection) -> None:
        """Note that a connection's descriptor is closed."""

    def partial_message_changed(self, connection: ClientConnection) -> None:
        """Note that the beginning of a message has come, or its rest."""

    def request_received(self, connection: ClientConnection, request: QueuedRequest) -> None:
        """Take a request."""

    def stops_received(self, connection: ClientConnection, uids: list[str]) -> None:
        """Take a client's word that it gives up requests, or ends calls."""

    def heartbeat_received(self, connection: ClientConnection) -> bool:
        """Tell whether a test is passed."""

    def fail_open_requests(self, connection: ClientConnection) -> None:
        """Withdraw what is open on a connection and answer it as failed."""


class ClientConnection(JsonLines):
    """One client's connection.

    What is read is sorted first, up to all that the client has sent so far; then cancels take effect, all at
    once, and then the requests are offered. So a request whose cancel, or whose connection's end, came with
    it is never sent on, however late a loop that was held up reads both.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__("client", owner.deadlines, owner.limits, owner.counters)
        self.owner = owner
        self.state = ConnectionState.OPEN
        self.refusal_cause = CloseCause.OVER_LIMIT
        self.handle = 0  # in the front's table; 0: it has no slot
        self.peer_host = ""  # its address
        self.queued_requests: dict[str, QueuedRequest] = {}  # by id, in the order of their reading
        self.pending_stops: list[
            str
        ] = []  # ids whose cancel or release was read and has not taken effect yet
        self.open_requests: dict[str, ClientRequest] = {}  # offered and not answered, by id
        self.established_calls = 0  # that came on it; their releases are sent here
        self.has_served_call = False  # a call that came on it stood: no bad client's ever does
        self.has_been_used = False  # it has sent something of use
        self.idle_since_us = owner.deadlines.now_us()
        self.partial_since_us = 0  # when the first byte of the message came that is not whole yet
        self.idle_timer: Deadline | None = None
        self._read_us = self._polled_us = 0
        self._polling = self._offering = False
        self._received = self._message_ended = False  # bytes, or the end of a message, since last unset
        self._has_written = False  # something was written on it
        self._unread_messages = 0  # messages written while the client did not read

    @property
    def busy(self) -> bool:
        """Tell whether a request is queued or open on it."""
        return bool(self.queued_requests or self.open_requests)

    @property
    def poll_due(self) -> bool:
        """Tell whether its client may have left meanwhile, so that a look is due before an attempt."""
        return self.deadlines.now_us() - self._polled_us >= self.limits.client_recheck_us

    # The transport's events.

    def connectionMade(self) -> None:
        """Begin to read."""
        super().connectionMade()
        self.peer_host = str(getattr(self.transport.getPeer(), "host", ""))
        self.owner.connection_opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Withdraw what is open: nobody is left to answer."""
        super().connectionLost(reason)
        self._mark_closed()
        self.owner.transport_closed(self)

    def readConnectionLost(self) -> None:
        """Take the client's end of its output.

        It may have closed, or only half-closed and wait for its answers: the two can't be told apart. So
        nothing more is sent on and what was is given up, as for one that has left; and each request gets its
        final answer, as for one that has not.
        """
        self._apply_stops()
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            super().readConnectionLost()
        elif self.busy:
            self.close(CloseCause.CLIENT_LEFT)
        elif self._has_written:
            self.close(CloseCause.CLIENT_CLOSED)  # it may still be reading what was written
        else:
            self.transport.loseConnection()
            self._mark_closed()

    def dataReceived(self, data: bytes) -> None:
        """Sort what has come, then offer the requests in it."""
        self._received = True
        self._message_ended = False
        self._read_us = self.deadlines.now_us()
        was_half = self.has_partial_message
        super().dataReceived(data)
        if self.has_partial_message and (self._message_ended or not was_half):
            self.partial_since_us = self._read_us
        if self.has_partial_message != was_half:
            self.owner.partial_message_changed(self)
        if not self._polling:
            self._apply_stops()
            self.offer_queued()

    def lineReceived(self, line: bytes) -> None:
        """Note that a message is whole."""
        self._message_ended = True
        super().lineReceived(line)

    def message_received(self, message: Message) -> None:
        """Sort a message by its kind."""
        kind = message.get("kind")
        if kind == "launch":
            self._queue_request(message_uid(message), message)
        elif kind == "stop":
            self._queue_stop(message_uid(message))
        elif kind == "check":
            passed = self.owner.heartbeat_received(self)
            self.send({"kind": "checked", "uid": message_uid(message), "meta": {}, "reason": int(passed)})
        elif kind not in ("stopped", "staging"):
            self.drop(CloseCause.UNKNOWN_KIND)

    def _queue_request(self, uid: str, message: Message) -> None:
        if not is_request_id(uid):
            self.drop(CloseCause.NO_ID)  # there is no naming the request in an answer
        elif uid in self.queued_requests:
            self.refuse_new_requests(CloseCause.REPEATED_ID)  # one refusal serves for both
        else:
            self.queued_requests[uid] = QueuedRequest(uid, message, self.deadlines.earliest_arrival_us())

    def _queue_stop(self, uid: str) -> None:
        if self.queued_requests.pop(uid, None):
            self.counters.add("client.cancelled_unsent")
        else:
            self.pending_stops.append(uid)

    def _apply_stops(self) -> None:
        if self.pending_stops:
            stops, self.pending_stops = self.pending_stops, []
            self.owner.stops_received(self, stops)

    def poll_input(self) -> None:
        """Read what the client has sent up to now, and notice that it has left.

        A loop that was held up finds a cancel, an EOF or a reset only after the timers that are due, while
        the rule on attempts counts from when the client sent it. Requests that come to light are offered in
        the next turn of the loop.
        """
        if self._polling:
            return
        self._polling = True
        try:
            for _ in range(MAX_READS_PER_POLL):
                if not self.is_open:
                    return
                self._received = False
                end = self.transport.doRead()
                if isinstance(end, ConnectionDone):
                    self.readConnectionLost()
                elif end is not None:
                    self.transport.abortConnection()
                    self._mark_closed()
                if not self._received:
                    break
        finally:
            self._polling = False
        self._apply_stops()
        self._polled_us = self.deadlines.now_us()
        if self.queued_requests and not self._offering:
            self.deadlines.after(0, self.offer_queued)

    def offer_queued(self) -> None:
        """Offer what is queued, once all that the client has sent is read."""
        if self._offering or not self.queued_requests:
            return
        self._offering = True
        try:
            self.poll_input()
            while self.queued_requests:
                request = self.queued_requests.pop(next(iter(self.queued_requests)))
                self.owner.request_received(self, request)
                # A burst of hundreds takes a while, and its last one may be cancelled by then.
                if self.queued_requests and self.poll_due:
                    self.poll_input()
        finally:
            self._offering = False

    def send(self, message: Message) -> None:
        """Send a message, unless the client reads nothing and has too many of them to come."""
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        self._has_written = True
        super().send(message)
        if self.transport.producerPaused:
            self._unread_messages += 1
            if self._unread_messages > self.limits.client_backlog:
                self._abort_stalled()

    def send_stop(self, uid: str, cause: int, stay_away_us: int = 0) -> None:
        """Send a refusal, a failure or a release; stay_away_us above 0 goes along."""
        meta = {"wait": str(-(-stay_away_us // 1000))} if stay_away_us > 0 else {}
        self.send({"kind": "stop", "uid": uid, "meta": meta, "reason": cause})

    def resumeProducing(self) -> None:
        """Begin to count anew: the client has read what was written."""
        self._unread_messages = 0
        super().resumeProducing()

    # The ends.

    def refuse_new_requests(self, cause: CloseCause) -> None:
        """Take no further request, and close for that cause behind the answers that are owed."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.REFUSING
            self.refusal_cause = cause

    def close_if_done(self) -> None:
        """Close a connection that refuses, once nothing is open on it."""
        if self.state is ConnectionState.REFUSING and not self.busy:
            self.poll_input()
            if not self.busy:
                self.close(self.refusal_cause)

    def close(self, cause: str, make_room: bool = True) -> None:
        """Answer what is owed and close, so that the client can read all of it (see close_gracefully)."""
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        self._apply_stops()
        self.owner.fail_open_requests(self)
        queued, self.queued_requests = self.queued_requests, {}
        for uid in queued:
            self.counters.add("client.refused_unsent")
            self.send_stop(uid, CAUSE_REFUSED)
        if not self.is_open:
            return  # it was cut off by an answer too many
        self.state = ConnectionState.CLOSING
        self.owner.connection_closed(self)
        self.close_gracefully(cause, make_room)

    def drop(self, why: str) -> None:
        """End a connection that is of no further use: it can't be told where its next message begins."""
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        if self.busy or self._has_written:
            self.close(why)  # Danger: a reset would destroy an answer that the client has not read yet
            return
        super().drop(why)
        self._mark_closed()

    def _abort_stalled(self) -> None:
        super()._abort_stalled()
        self._mark_closed()

    def _mark_closed(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self.is_open = False
        self._apply_stops()
        self.queued_requests.clear()
        self.owner.connection_closed(self)
