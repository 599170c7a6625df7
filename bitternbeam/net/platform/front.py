"""The client side of the platform's protocol: accepts requests and gives each one final answer."""

from __future__ import annotations

from dataclasses import replace

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome
from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.net.platform.client_requests import (
    ClientRequest,
    CloseCause,
    ConnectionState,
    QueuedRequest,
    RequestTable,
)
from bitternbeam.net.platform.idle_connections import IdleConnections, OverLimitConnections
from bitternbeam.net.platform.json_lines import CAUSE_FAILURE, CAUSE_NORMAL, CAUSE_REFUSED
from bitternbeam.net.platform.recent_ids import RecentIds
from bitternbeam.net.platform.releases import ReleaseSender
from bitternbeam.net.platform.request_parsing import InvalidRequestError
from bitternbeam.net.platform.request_queue import QueueQuota
from bitternbeam.net.platform.request_reader import RequestReader
from bitternbeam.tables.deadlines import Deadlines
from bitternbeam.tables.slots import SlotTable


class PlatformFront(Factory):
    """All clients' connections and their requests; implements the core's `Frontend`."""

    noisy = False

    def __init__(self, core: CallControl, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.core = core
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.connections: SlotTable[ClientConnection] = SlotTable(limits.client_connections)
        self.recent_ids = RecentIds(core.longest_us + core.settings.release_wait_us, limits.recent_ids)
        self.request_reader = RequestReader(core, deadlines, limits)
        self.queue_quota = QueueQuota(limits.client_queue_bytes)
        self.requests = RequestTable(limits.calls + 1, self.recent_ids)
        self.idle_connections = IdleConnections(deadlines, limits)
        self.over_limit_connections = OverLimitConnections(deadlines, limits)
        self.releases = ReleaseSender(self.connections, limits, counters)
        self.open_transports: dict[ClientConnection, None] = {}  # including those being closed
        self.shutting_down = False  # health checks fail from here on

    # Connections.

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:
        """Accept a connection; at the connection limit an idle one is closed for it."""
        if self.connections.full and not self.idle_connections.evict_one():
            self.counters.add("client.connections_over_the_limit")
        return ClientConnection(self)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Give a connection a slot; without a free slot its requests will be refused."""
        self.counters.add("client.connections")
        self.open_transports[connection] = None
        if self.connections.full:
            self.over_limit_connections.add(connection)
        else:
            connection.handle = self.connections.put(connection)
            self.idle_connections.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Withdraw a lost connection's open requests; established calls do not depend on the connection."""
        self.over_limit_connections.remove(connection)
        self.idle_connections.remove(connection)
        if not self.connections.pop(connection.handle):
            return
        self._withdraw_open(connection, "client.left_by_closing")

    def transport_closed(self, connection: ClientConnection) -> None:
        """Forget a connection whose descriptor is closed."""
        self.open_transports.pop(connection, None)

    def fail_open_requests(self, connection: ClientConnection) -> None:
        """Withdraw a connection's open requests and answer each as failed."""
        for request in self._withdraw_open(connection, "client.failed_by_closing"):
            connection.send_stop(request.uid, CAUSE_FAILURE)

    def _withdraw_open(self, connection: ClientConnection, counter: str) -> list[ClientRequest]:
        withdrawn = list(connection.open_requests.values())
        if not withdrawn:
            return withdrawn
        self.counters.add(counter, len(withdrawn))
        self._withdraw(withdrawn)
        return withdrawn

    def partial_message_changed(self, connection: ClientConnection) -> None:
        """Note that a connection began or completed a partial message."""
        self.idle_connections.reclassify(connection)

    def heartbeat_received(self, connection: ClientConnection) -> bool:
        """Return whether a client's health check passes: not while shutting down."""
        self.idle_connections.touch(connection)
        return not self.shutting_down

    def close_all(self) -> None:
        """Close every connection after its output is flushed, without a bound on lingering connections."""
        for connection in list(self.open_transports):
            connection.close(CloseCause.SHUTDOWN, make_room=False)

    # Requests.

    def request_received(self, connection: ClientConnection, queued: QueuedRequest) -> None:
        """Offer a request to the core, or refuse it at once."""
        uid = queued.uid
        if (request := self.requests.find(uid)) is not None:
            self._duplicate_received(connection, request)
        elif connection.state is not ConnectionState.OPEN or self._request_limit_reached(connection):
            self._refuse(connection, uid)
            connection.close_if_done()
        elif not self.recent_ids.claim(uid, queued.arrived_us):
            self.counters.add("client.repeated_ids")
            connection.send_stop(uid, CAUSE_FAILURE)
        else:
            self._offer(connection, queued)

    def _request_limit_reached(self, connection: ClientConnection) -> bool:
        return self.requests.full or len(connection.open_requests) >= self.limits.client_requests

    def _refuse(self, connection: ClientConnection, uid: str) -> None:
        self.counters.add("client.requests_over_the_limit")
        connection.send_stop(uid, CAUSE_REFUSED, self.core.settings.max_stay_away_us)

    def refuse_unoffered(self, connection: ClientConnection, uid: str) -> None:
        """Refuse a request for its connection's limits; the id of an open one is handled as a duplicate."""
        if (request := self.requests.find(uid)) is not None:
            self._duplicate_received(connection, request)
        else:
            self._refuse(connection, uid)

    def _offer(self, connection: ClientConnection, queued: QueuedRequest) -> None:
        if isinstance(queued.content, InvalidRequestError):
            self.counters.add(f"client.unusable_requests.{queued.content}")
            connection.send_stop(queued.uid, CAUSE_FAILURE)
            return
        request = self.requests.put(queued.uid, connection.handle)
        connection.open_requests[queued.uid] = request
        self.idle_connections.touch(connection)
        request.call = self.core.offer(self, replace(queued.content, ref=request.ref))
        if request.finished:  # its client left while it was being offered
            self.core.withdraw(request.call)
            self.core.release(request.call)

    def _duplicate_received(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Reject a request with the id of an open one, which goes on.

        On the same connection a separate answer could not be told from the open request's. There the open
        request's answer serves for both, and the connection is closed after it.
        """
        self.counters.add("client.duplicate_ids")
        if request.connection != connection.handle or request.answered:
            connection.drop(CloseCause.DUPLICATE_ID)
        else:
            connection.refuse_new_requests(CloseCause.REPEATED_ID)

    def stops_received(self, connection: ClientConnection, uids: list[str]) -> None:
        """Handle a client's cancels of its requests and its releases, which may come on any connection."""
        cancelled: list[ClientRequest] = []
        ended: list[ClientRequest] = []
        for uid in uids:
            request = self.requests.find(uid)
            if request is not None and request.answered:
                ended.append(request)
            elif request is not None and request.connection == connection.handle:
                cancelled.append(request)
            else:
                self.counters.add("client.unknown_stops")  # it crossed the end of the call
                continue
            self._finish(request)
            self.idle_connections.touch(connection)
        self._withdraw(cancelled)
        for request in ended:
            # This may be a cancel that crossed our answer. The call was established, so its client gets a
            # release as for any other call.
            self.requests.remove(request)
            self.releases.send(self._remove_call(request), request.uid, CAUSE_NORMAL)
            self.core.release(request.call)

    def _withdraw(self, requests: list[ClientRequest]) -> None:
        """Withdraw requests whose clients no longer wait; none is answered.

        All are marked as finished before the core learns of the first: with the capacity that this frees it
        may start an attempt for another one of them.
        """
        for request in requests:
            if not request.finished:
                self._finish(request)
            self._remove_open_request(request)
        for request in requests:
            self.core.withdraw(request.call)
            self.requests.remove(request)

    def _finish(self, request: ClientRequest) -> None:
        self.requests.finish(request, self.deadlines.now_us())

    def _remove_open_request(self, request: ClientRequest) -> ClientConnection | None:
        """Remove a request from its connection's open ones; return the connection unless it is closed."""
        connection = self.connections.get(request.connection)
        if connection is None:
            return None
        connection.open_requests.pop(request.uid, None)
        if request.answered:
            connection.established_calls += 1
            connection.has_served_call = True
        self.idle_connections.touch(connection)
        if connection.state is ConnectionState.REFUSING:
            self.deadlines.after(0, connection.close_if_done)  # after the answer, which is not written yet
        return connection

    def _remove_call(self, request: ClientRequest) -> ClientConnection | None:
        """Count a call as ended on its connection; return the connection unless it is closed."""
        connection = self.connections.get(request.connection)
        if connection is not None:
            connection.established_calls -= 1
            self.idle_connections.touch(connection)
        return connection

    # Methods of the core's `Frontend`.

    def send_answer(self, ref: int, body: object) -> None:
        """Pass on the server's acceptance with its session description."""
        request = self.requests.get(ref)
        if request is None or request.finished:
            return
        request.answered = True
        if connection := self._remove_open_request(request):
            connection.send({"kind": "running", "uid": request.uid, "meta": {}, "body": body})
            self.releases.send_waiting(connection)

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Refuse a request; its client may retry after `stay_away_us`."""
        self._send_final_stop(ref, CAUSE_REFUSED, stay_away_us)

    def send_failure(self, ref: int, late: bool) -> None:
        """Answer a request as failed."""
        self._send_final_stop(ref, CAUSE_FAILURE, 0)

    def _send_final_stop(self, ref: int, cause: int, stay_away_us: int) -> None:
        request = self.requests.get(ref)
        if request is None or request.finished:
            return
        self._finish(request)
        self.requests.remove(request)
        if connection := self._remove_open_request(request):
            connection.send_stop(request.uid, cause, stay_away_us)

    def send_progress(self, ref: int) -> None:
        """Do nothing: this protocol has no progress messages."""

    def send_release(self, ref: int, outcome: Outcome) -> None:
        """Send the release of a call to its client (see `ReleaseSender`)."""
        request = self.requests.get(ref)
        if request is None or request.finished:
            return
        self._finish(request)
        self.requests.remove(request)
        cause = CAUSE_NORMAL if outcome is Outcome.SERVED else CAUSE_FAILURE
        self.releases.send(self._remove_call(request), request.uid, cause)

    def is_client_waiting(self, ref: int) -> bool:
        """Read the client's pending input, and return whether it still waits for an answer."""
        request = self.requests.get(ref)
        if request is None:
            return False
        connection = self.connections.get(request.connection)
        # While a request is being offered, its client's input was read just before.
        if connection is not None and (request.call or connection.poll_due):
            connection.poll_input()
            if connection.poll_due and not request.finished:
                self._fail_unseen(connection, request)
        if request.finished:
            # Several requests may be withdrawn together; the core may not have been told of this one yet.
            self.core.withdraw(request.call)
        return not request.finished

    def _fail_unseen(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Fail a request behind which more input is unread than a poll reads: its cancel may be in there."""
        self.counters.add("client.failed_unseen")
        self._withdraw([request])
        connection.send_stop(request.uid, CAUSE_FAILURE)

    def inherited_call_released(self, uid: str, cause: int) -> None:
        """Send the release of a call that an earlier process set up."""
        if self.requests.find(uid) is None and not self.recent_ids.contains(uid, self.deadlines.now_us()):
            self.releases.send(None, uid, cause)
