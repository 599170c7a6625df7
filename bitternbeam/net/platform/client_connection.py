"""One client's connection: its states, its input, and how it is closed."""

from __future__ import annotations

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.net.platform.client_owner import ConnectionOwner
from bitternbeam.net.platform.client_requests import ClientRequest, CloseCause, ConnectionState
from bitternbeam.net.platform.json_lines import CAUSE_REFUSED, JsonLines, Message, message_uid
from bitternbeam.net.platform.request_parsing import is_request_id
from bitternbeam.net.platform.request_queue import RequestQueue
from bitternbeam.net.platform.unread_output import UnreadBacklog
from bitternbeam.tables.deadlines import Deadline

MAX_READS_PER_POLL = 4  # each reads up to 64 KiB, four times the longest message


class ClientConnection(JsonLines):
    """One client's connection.

    All input that has arrived is parsed first; then all cancels take effect together; then the requests are
    offered to the core. So a request that arrives with its cancel, or with the end of its connection, is
    never sent on, however late a blocked event loop reads both.
    """

    def __init__(self, owner: ConnectionOwner[ClientConnection]) -> None:
        super().__init__("client", owner.deadlines, owner.limits, owner.counters)
        self.owner = owner
        self.state = ConnectionState.OPEN
        self.refusal_cause = CloseCause.OVER_LIMIT
        self.handle = 0  # in the front's table; 0: without a slot
        self.peer_host = ""  # the client's IP address
        self.queued_requests = RequestQueue(owner.queue_quota, owner.limits.client_requests)
        self.pending_stops: list[str] = []  # ids of cancels and releases that were read and not applied yet
        self.open_requests: dict[str, ClientRequest] = {}  # offered and not answered, by id
        self.established_calls = 0  # requested on this connection; their releases are sent here
        self.has_served_call = False  # a call requested here was accepted, so the client is no faulty one
        self.has_been_used = False  # it has sent a valid message
        self.idle_since_us = owner.deadlines.now_us()
        self.partial_since_us = 0  # arrival of the first byte of the partial message
        self.idle_timer: Deadline | None = None
        self._read_us = self._polled_us = 0
        self._line_bytes = 0  # of the message being handled
        self._polling = self._offering = self._offer_scheduled = False
        self._received = self._message_ended = False  # reset before each read
        self._has_written = False
        self._unread_backlog = UnreadBacklog(
            owner.deadlines, owner.limits, self._bytes_taken, self._abort_stalled
        )

    @property
    def busy(self) -> bool:
        """Whether a request is queued or open."""
        return bool(self.queued_requests or self.open_requests)

    @property
    def poll_due(self) -> bool:
        """Whether the last poll that read all input is so old that the client may have left since."""
        return self.deadlines.now_us() - self._polled_us >= self.limits.client_recheck_us

    # Transport events.

    def connectionMade(self) -> None:
        """Register with the front."""
        super().connectionMade()
        self.peer_host = str(getattr(self.transport.getPeer(), "host", ""))
        self.owner.connection_opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Withdraw the open requests: nobody is left to answer."""
        super().connectionLost(reason)
        self._mark_closed()
        self.owner.transport_closed(self)

    def readConnectionLost(self) -> None:
        """Handle the end of the client's output.

        The client may have closed the connection, or half-closed it and still wait for answers; the two look
        the same. So its attempts are given up, as for a client that has left, and each request still gets
        its final answer, as for one that waits.
        """
        self._apply_stops()
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            super().readConnectionLost()
        elif self.busy:
            self.close(CloseCause.CLIENT_LEFT)
        elif self._has_written:
            self.close(CloseCause.CLIENT_CLOSED)  # the client may still be reading its answers
        else:
            self.transport.loseConnection()
            self._mark_closed()

    def dataReceived(self, data: bytes) -> None:
        """Parse the received bytes, then offer the requests in them."""
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
        """Note that a message is complete."""
        self._message_ended = True
        self._line_bytes = len(line)
        super().lineReceived(line)

    def message_received(self, message: Message) -> None:
        """Handle a message by its kind."""
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
            self.drop(CloseCause.NO_ID)  # an answer could not name the request
        elif uid in self.queued_requests:
            self.refuse_new_requests(CloseCause.REPEATED_ID)  # one refusal serves for both
        elif not self.queued_requests.has_room(self._line_bytes, len(self.open_requests)):
            self.owner.refuse_unoffered(self, uid)
        else:
            reader = self.owner.request_reader
            self.queued_requests.add(reader.read(message, uid, self.peer_host, self._line_bytes))

    def _queue_stop(self, uid: str) -> None:
        if self.queued_requests.remove(uid):
            self.counters.add("client.cancelled_unsent")
        else:
            self.pending_stops.append(uid)

    def _apply_stops(self) -> None:
        if self.pending_stops:
            stops, self.pending_stops = self.pending_stops, []
            self.owner.stops_received(self, stops)

    def poll_input(self) -> None:
        """Read the client's pending input now, and detect that it has closed.

        A blocked event loop runs its due timers before it reads a cancel, an EOF or a reset, while no
        attempt may start after the client has sent one. Requests found here are offered in the loop's next
        turn. If more was unread than one poll reads, `poll_due` remains true.
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
                self.write_backlog()
                if isinstance(end, ConnectionDone):
                    self.readConnectionLost()
                elif end is not None:
                    self.transport.abortConnection()
                    self._mark_closed()
                if not self._received:
                    self._polled_us = self.deadlines.now_us()
                    break
        finally:
            self._polling = False
        self._apply_stops()
        if not self._offering:
            self._schedule_offers()

    def _schedule_offers(self) -> None:
        if self.queued_requests and not self._offer_scheduled:
            self._offer_scheduled = True
            self.deadlines.after(0, self._offer_scheduled_now)

    def _offer_scheduled_now(self) -> None:
        self._offer_scheduled = False
        self.offer_queued()

    def offer_queued(self) -> None:
        """Read all pending input, then offer queued requests to the core for `client_offer_us`.

        The rest follows in the next turn of the event loop, after other clients' input.
        """
        if self._offering or not self.queued_requests:
            return
        self._offering = True
        try:
            self.poll_input()
            self._offer_until(self.deadlines.now_us() + self.limits.client_offer_us)
            self._refuse_unseen()
        finally:
            self._offering = False
        self._schedule_offers()

    def _offer_until(self, end_us: int) -> None:
        """Offer requests while it is certain that their client had not cancelled them a moment ago."""
        while self.queued_requests and not self.poll_due:
            self.owner.request_received(self, self.queued_requests.take_first())
            if self.deadlines.now_us() >= end_us:
                return
            # Offering hundreds of requests takes a while, in which the last ones may be cancelled.
            if self.queued_requests and self.poll_due:
                self.poll_input()

    def _refuse_unseen(self) -> None:
        """Refuse what waits behind more input than is read in time: its cancel may be in there."""
        if self.poll_due:
            read_before_us = self.deadlines.now_us() - self.limits.client_unseen_us
            for request in self.queued_requests.take_read_before(read_before_us):
                self.owner.refuse_unoffered(self, request.uid)

    def send(self, message: Message) -> None:
        """Send a message; a client with too many unread messages is disconnected unless it reads them."""
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        self._has_written = True
        super().send(message)
        if self.transport.producerPaused:
            self._unread_backlog.message_written(self.transport)

    def send_stop(self, uid: str, cause: int, stay_away_us: int = 0) -> None:
        """Send a refusal, a failure or a release; a `stay_away_us` above 0 is sent as its wait in ms."""
        meta = {"wait": str(-(-stay_away_us // 1000))} if stay_away_us > 0 else {}
        self.send({"kind": "stop", "uid": uid, "meta": meta, "reason": cause})

    def resumeProducing(self) -> None:
        """Forget the unread messages: all of them have been sent."""
        self._unread_backlog.clear()
        super().resumeProducing()

    # Closing.

    def refuse_new_requests(self, cause: CloseCause) -> None:
        """Accept no further request, and close after the pending answers."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.REFUSING
            self.refusal_cause = cause

    def close_if_done(self) -> None:
        """Close a REFUSING connection that has no open request."""
        if self.state is ConnectionState.REFUSING and not self.busy:
            self.poll_input()
            if not self.busy:
                self.close(self.refusal_cause)

    def close(self, cause: str, make_room: bool = True) -> None:
        """Answer all requests and close so that the client can read the answers (see close_gracefully)."""
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        self._apply_stops()
        self.owner.fail_open_requests(self)
        for request in self.queued_requests.take_all():
            self.counters.add("client.refused_unsent")
            self.send_stop(request.uid, CAUSE_REFUSED)
        if not self.is_open:
            return  # disconnected for too many unread messages
        self.state = ConnectionState.CLOSING
        self._unread_backlog.clear()
        self.owner.connection_closed(self)
        self.close_gracefully(cause, make_room)

    def drop(self, cause: str) -> None:
        """Close a connection that can't be parsed any further, gracefully if answers may be unread."""
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        if self.busy or self._has_written:
            self.close(cause)  # a reset would discard answers that the client has not read yet
            return
        super().drop(cause)
        self._mark_closed()

    def _abort_stalled(self) -> None:
        super()._abort_stalled()
        self._mark_closed()

    def _mark_closed(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self.is_open = False
        self._unread_backlog.clear()
        self._apply_stops()
        self.queued_requests.take_all()
        self.owner.connection_closed(self)
