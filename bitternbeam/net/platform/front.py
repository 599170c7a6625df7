"""Clients on the platform's protocol: requests in, one final answer each out."""

from __future__ import annotations

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
from bitternbeam.net.platform.request_parsing import InvalidRequestError, parse_request
from bitternbeam.tables.deadlines import Deadlines
from bitternbeam.tables.slots import SlotTable


class PlatformFront(Factory):
    """All clients' connections and their requests. It implements the core's Frontend."""

    noisy = False

    def __init__(self, core: CallControl, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.core = core
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.connections: SlotTable[ClientConnection] = SlotTable(limits.client_connections)
        self.recent_ids = RecentIds(core.longest_us + core.settings.release_wait_us, limits.calls)
        self.requests = RequestTable(limits.calls + 1, self.recent_ids)
        self.idle_connections = IdleConnections(deadlines, limits)
        self.over_limit_connections = OverLimitConnections(deadlines, limits)
        self.releases = ReleaseSender(self.connections, limits, counters)
        self.open_transports: dict[ClientConnection, None] = {}  # all, those being closed included
        self.shutting_down = False  # the process ends: tests fail from here on

    # Connections.

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:
        """Take a connection, up to the clients' share of the descriptors; an idle one makes room."""
        if self.connections.full and not self.idle_connections.evict_one():
            self.counters.add("client.connections_over_the_limit")
        return ClientConnection(self)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Give a connection its slot; one for which there is none has its requests refused."""
        self.counters.add("client.connections")
        self.open_transports[connection] = None
        if self.connections.full:
            self.over_limit_connections.add(connection)
        else:
            connection.handle = self.connections.put(connection)
            self.idle_connections.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Withdraw a lost connection's requests; a call that stands belongs to no connection."""
        self.over_limit_connections.remove(connection)
        self.idle_connections.remove(connection)
        if not self.connections.pop(connection.handle):
            return
        self._withdraw_open(connection, "client.left_by_closing")

    def transport_closed(self, connection: ClientConnection) -> None:
        """Note that a connection's descriptor is closed."""
        self.open_transports.pop(connection, None)

    def fail_open_requests(self, connection: ClientConnection) -> None:
        """Withdraw what is open on a connection and answer it as failed."""
        for request in self._withdraw_open(connection, "client.failed_by_closing"):
            connection.send_stop(request.uid, CAUSE_FAILURE)

    def _withdraw_open(self, connection: ClientConnection, counter: str) -> list[ClientRequest]:
        left = list(connection.open_requests.values())
        if not left:
            return left
        self.counters.add(counter, len(left))
        self._withdraw(left)
        return left

    def partial_message_changed(self, connection: ClientConnection) -> None:
        """Note that the beginning of a message has come, or its rest."""
        self.idle_connections.reclassify(connection)

    def heartbeat_received(self, connection: ClientConnection) -> bool:
        """Tell whether a test is passed."""
        self.idle_connections.touch(connection)
        return not self.shutting_down

    def close_all(self) -> None:
        """Close every connection once what was written has left; none makes room for another any more."""
        for connection in list(self.open_transports):
            connection.close(CloseCause.SHUTDOWN, make_room=False)

    # Requests.

    def request_received(self, connection: ClientConnection, queued: QueuedRequest) -> None:
        """Take a request, or say at once that it can't be served."""
        uid = queued.uid
        if (request := self.requests.find(uid)) is not None:
            self._duplicate_received(connection, request)
        elif connection.state is not ConnectionState.OPEN or self._request_limit_reached(connection):
            self.counters.add("client.requests_over_the_limit")
            connection.send_stop(uid, CAUSE_REFUSED, self.core.settings.max_stay_away_us)
            connection.close_if_done()
        elif self.recent_ids.contains(uid, queued.arrived_us):
            self.counters.add("client.repeated_ids")
            connection.send_stop(uid, CAUSE_FAILURE)
        else:
            self._offer(connection, queued)

    def _request_limit_reached(self, connection: ClientConnection) -> bool:
        return self.requests.full or len(connection.open_requests) >= self.limits.client_requests

    def _offer(self, connection: ClientConnection, queued: QueuedRequest) -> None:
        request = self.requests.put(queued.uid, connection.handle)
        try:
            offer = parse_request(
                queued.message,
                uid=queued.uid,
                ref=request.ref,
                client=connection.peer_host,
                arrived_us=queued.arrived_us,
                classes=self.core.classes,
                longest_us=self.core.longest_us,
                key_chars=self.limits.number_chars,
            )
        except InvalidRequestError as fault:
            self._finish(request)
            self.requests.remove(request)
            self.counters.add(f"client.unusable_requests.{fault}")
            connection.send_stop(queued.uid, CAUSE_FAILURE)
            return
        connection.open_requests[queued.uid] = request
        self.idle_connections.touch(connection)
        request.call = self.core.offer(self, offer)
        if request.finished:  # its client left while the core was being offered it
            self.core.withdraw(request.call)
            self.core.release(request.call)

    def _duplicate_received(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Turn away a request under the id of an open one, which goes on.

        An answer to it on the same connection could not be told from the open one's, and would be a second
        one. There the open one's answer serves for both, and the connection ends with it.
        """
        self.counters.add("client.duplicate_ids")
        if request.connection != connection.handle or request.answered:
            connection.drop(CloseCause.DUPLICATE_ID)
        else:
            connection.refuse_new_requests(CloseCause.REPEATED_ID)

    def stops_received(self, connection: ClientConnection, uids: list[str]) -> None:
        """Take a client's word that it gives up requests or, on any connection, ends calls."""
        left: list[ClientRequest] = []
        ended: list[ClientRequest] = []
        for uid in uids:
            request = self.requests.find(uid)
            if request is not None and request.answered:
                ended.append(request)
            elif request is not None and request.connection == connection.handle:
                left.append(request)
            else:
                self.counters.add("client.unknown_stops")  # it crossed the call's end
                continue
            self._finish(request)
            self.idle_connections.touch(connection)
        self._withdraw(left)
        for request in ended:
            # It may be a request given up as our answer crossed it. The call stood, so it is released
            # towards its client like any other.
            self.requests.remove(request)
            self.releases.send(self._remove_call(request), request.uid, CAUSE_NORMAL)
            self.core.release(request.call)

    def _withdraw(self, requests: list[ClientRequest]) -> None:
        """Owe clients that have given up requests nothing more.

        All are over before the core hears of the first: what it then begins may be an attempt of another.
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
        """Note that one request less is open on a connection; returns the connection while it lasts."""
        connection = self.connections.get(request.connection)
        if connection is None:
            return None
        connection.open_requests.pop(request.uid, None)
        if request.answered:
            connection.established_calls += 1
            connection.has_served_call = True
        self.idle_connections.touch(connection)
        if connection.state is ConnectionState.REFUSING:
            self.deadlines.after(0, connection.close_if_done)  # behind the answer, which is not written yet
        return connection

    def _remove_call(self, request: ClientRequest) -> ClientConnection | None:
        """Note that one call less stands on a connection; returns the connection while it lasts."""
        connection = self.connections.get(request.connection)
        if connection is not None:
            connection.established_calls -= 1
            self.idle_connections.touch(connection)
        return connection

    # The core's Frontend.

    def send_answer(self, ref: int, body: object) -> None:
        """Pass on an answer with the server's description."""
        request = self.requests.get(ref)
        if request is None or request.finished:
            return
        request.answered = True
        if connection := self._remove_open_request(request):
            connection.send({"kind": "running", "uid": request.uid, "meta": {}, "body": body})
            self.releases.send_waiting(connection)

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Turn a client away."""
        self._send_final_stop(ref, CAUSE_REFUSED, stay_away_us)

    def send_failure(self, ref: int, late: bool) -> None:
        """Tell a client of a failure."""
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
        """Say nothing: progress means nothing on this wire."""

    def send_release(self, ref: int, outcome: Outcome) -> None:
        """Tell a client that its call is over, on its connection, another, or the next that is served."""
        request = self.requests.get(ref)
        if request is None or request.finished:
            return
        self._finish(request)
        self.requests.remove(request)
        cause = CAUSE_NORMAL if outcome is Outcome.SERVED else CAUSE_FAILURE
        self.releases.send(self._remove_call(request), request.uid, cause)

    def is_client_waiting(self, ref: int) -> bool:
        """Read what the client has sent up to now, and tell whether it still waits for its answer."""
        request = self.requests.get(ref)
        if request is None:
            return False
        connection = self.connections.get(request.connection)
        # In the turn in which it was read, all that its client had sent was read just before it was offered.
        if connection is not None and (request.call or connection.poll_due):
            connection.poll_input()
        if request.finished:
            self.core.withdraw(request.call)  # it may be one of many that left together
        return not request.finished

    def inherited_call_released(self, uid: str, cause: int) -> None:
        """Tell the clients that a call is over which stood before this process began."""
        if self.requests.find(uid) is None and not self.recent_ids.contains(uid, self.deadlines.now_us()):
            self.releases.send(None, uid, cause)
