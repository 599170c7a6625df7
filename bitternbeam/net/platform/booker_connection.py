"""One connection to a booker, and the attempts pending on it."""

from __future__ import annotations

import logging
from abc import abstractmethod
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.core.calls import Attempt
from bitternbeam.decision.interface import Report
from bitternbeam.net.platform.json_lines import CAUSE_NORMAL, JsonLines, Message, message_uid
from bitternbeam.net.platform.unsent_releases import RecentReleases
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.reports import read_report

log = logging.getLogger(__name__)

MIN_UNANSWERED_CHECKS = 3  # liveness checks are `booker_retry_us` apart
HEARTBEAT_ID = "0" * 16  # the id in heartbeats, which belong to no call
PROBE_ID = "0" * 15 + "1"  # the id in probes: checks with cause 1, whose answer carries a load report


class ConnectionOwner(Protocol):
    """The pool that owns a connection and handles its messages."""

    context: UpstreamContext

    @abstractmethod
    def connection_lost(self, connection: BookerConnection) -> None:
        """Remove a connection that has ended."""
        ...

    @abstractmethod
    def data_received(self, connection: BookerConnection) -> None:
        """Note that data was received on a connection."""
        ...

    @abstractmethod
    def call_accepted(self, connection: BookerConnection, message: Message) -> None:
        """Handle a booker's acceptance of a set-up."""
        ...

    @abstractmethod
    def call_stopped(self, connection: BookerConnection, message: Message) -> None:
        """Handle a refusal of a set-up or the release of a call."""
        ...

    @abstractmethod
    def load_reported(self, connection: BookerConnection, report: Report) -> None:
        """Handle an unsolicited load report."""
        ...

    @abstractmethod
    def probe_answered(self, report: Report | None) -> None:
        """Handle the answer to a probe; the report is None if it could not be parsed."""
        ...

    @abstractmethod
    def cancel(self, request: UpstreamRequest, unanswered: bool = False) -> None:
        """Cancel a set-up, or release a call."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """An attempt and the connection it was sent on."""

    attempt: Attempt
    owner: ConnectionOwner
    connection: BookerConnection | None = None  # None: waiting for a connection, or lost it
    connection_opened_us: int = 0  # of the connection it was sent on, also after that was lost
    established: bool = False
    silent_connection: BookerConnection | None = None  # it was sent on this one, which went silent
    release_unsent: bool = False  # its connection broke, and it ends once the booker was sent its release

    def is_at_former_process(self, started_us: int) -> bool:
        """Whether it was sent to the process before the one that started then."""
        if self.connection is not None:
            return self.connection.leads_to_former_process(started_us)
        return self.connection_opened_us < started_us

    @property
    def release_in_doubt(self) -> bool:
        """Whether the booker may still send a release on a connection that carries nothing."""
        return self.silent_connection is not None and not self.silent_connection.closed_by_peer


class BookerConnection(JsonLines):
    """One connection to a booker."""

    def __init__(self, owner: ConnectionOwner) -> None:
        context = owner.context
        super().__init__("booker", context.deadlines, context.limits, context.counters)
        self.owner = owner
        self.pending: dict[str, UpstreamRequest] = {}  # sent here and not answered yet, oldest first
        self.opened_us = self.last_received_us = context.deadlines.now_us()
        self.recent_releases = RecentReleases(context.limits)
        self.has_received = False
        self.heartbeat_sent_us = 0
        self.heartbeat_pending = False  # nothing was received since one was sent
        self.unanswered_checks = 0  # liveness checks that found it pending
        self.bytes_since_half_close: int | None = None  # None: not half-closed
        self.closed_by_peer = False

    @property
    def has_unsent_output(self) -> bool:
        """Whether output of an earlier turn of the event loop is still in the transport's buffer."""
        return bool(len(self.transport.dataBuffer) > self.transport.offset)

    def send_now(self, message: Message) -> None:
        """Send a message in this turn of the event loop.

        Twisted's transports write in the next turn, and this one may be long; the message's time left, and
        the check that its client still waits, hold only now. A write error is left for the reactor to find.
        """
        self.send(message)
        if self.transport.connected:
            self.transport.doWrite()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Release the descriptor and notify the pool."""
        super().connectionLost(reason)
        self.closed_by_peer = not reason.check(ConnectionAborted)
        self.owner.context.descriptor_quota.release()
        self.owner.connection_lost(self)

    def drop(self, cause: str) -> None:
        """Abort the connection and fail what is pending on it."""
        if self.is_open:
            super().drop(cause)
            self.owner.connection_lost(self)

    def send_release(self, uid: str) -> None:
        """Cancel a set-up, or release a call; a booker ignores an id that it does not know."""
        self.recent_releases.add(uid, self.deadlines.now_us())
        self.send({"kind": "stop", "uid": uid, "meta": {}, "reason": CAUSE_NORMAL})

    def release_pending(self) -> None:
        """Cancel the pending set-ups, whose answers may be on their way."""
        for uid in self.pending:
            self.send_release(uid)

    def send_heartbeat(self) -> None:
        """Send a heartbeat; a live booker answers it at once."""
        self.heartbeat_sent_us = self.deadlines.now_us()
        self.heartbeat_pending = True
        self.send({"kind": "check", "uid": HEARTBEAT_ID, "meta": {}, "reason": 0})

    @property
    def is_silent(self) -> bool:
        """Whether nothing came for `booker_silent_us`, and several checks found a heartbeat unanswered.

        Time alone proves nothing: this process, or the whole machine, may have stood still.
        """
        quiet_us = self.deadlines.now_us() - self.last_received_us
        return self.unanswered_checks >= MIN_UNANSWERED_CHECKS and quiet_us > self.limits.booker_silent_us

    def leads_to_former_process(self, started_us: int) -> bool:
        """Whether it was opened before a process started, and nothing was heard on it since."""
        return self.opened_us < started_us and self.last_received_us < started_us

    def count_check(self) -> None:
        """Count a liveness check that finds a heartbeat unanswered."""
        self.unanswered_checks += self.heartbeat_pending

    def send_probe(self) -> None:
        """Ask for a load report."""
        self.send({"kind": "check", "uid": PROBE_ID, "meta": {}, "reason": 1})

    def half_close(self, cause: str) -> None:
        """Close the write side, fail what is pending, and go on reading for `booker_quarantine_us`.

        Releases of established calls may be on their way, or unread behind a malformed line. The booker does
        not repeat them after a reset from our side, and their calls would never end.
        """
        if not self.is_open or self.bytes_since_half_close is not None:
            return
        self.bytes_since_half_close = 0
        self.counters.add(f"{self.name}.parted.{cause}")
        self.release_pending()
        self.owner.connection_lost(self)
        self.transport.loseWriteConnection()
        self.deadlines.after(self.limits.booker_quarantine_us, lambda: self.drop(cause))

    def invalid_line_received(self, line: bytes) -> None:
        """Half-close on a line that is no JSON object: the next line may be a release."""
        self.half_close("bad_line")

    def dataReceived(self, data: bytes) -> None:
        """Record the time of receipt; limit what is read after a half-close."""
        if self.bytes_since_half_close is not None:
            self.bytes_since_half_close += len(data)
            if self.bytes_since_half_close > self.limits.line_bytes:
                self.drop("nonsense")  # more than releases would take
                return
        self.last_received_us = self.deadlines.now_us()
        self.heartbeat_pending = False
        self.unanswered_checks = 0
        self.has_received = True
        self.owner.data_received(self)
        super().dataReceived(data)

    def message_received(self, message: Message) -> None:
        """Handle a message; exceptions are logged and counted.

        An exception that reached Twisted would close the connection, losing the answers behind this message
        and every set-up pending on it.
        """
        try:
            self._dispatch(message)
        except Exception:
            self.counters.add("booker.faults")
            log.exception("failed to handle a %.20s message from a server", message.get("kind"))

    def _dispatch(self, message: Message) -> None:
        """Pass a message on by its kind."""
        kind = message.get("kind")
        if kind == "stop":
            self.owner.call_stopped(self, message)
        elif self.bytes_since_half_close is not None:
            self.counters.add("booker.late_messages")
        elif kind == "running":
            self.owner.call_accepted(self, message)
        elif kind == "usage":
            report = read_report(message.get("meta", {}).get("load"))
            if report is not None:
                self.owner.load_reported(self, report)
        elif kind == "check":
            self.send({"kind": "checked", "uid": message_uid(message), "meta": {}, "reason": 1})
        elif kind == "checked" and message_uid(message) == PROBE_ID:
            self.owner.probe_answered(read_report(message.get("meta", {}).get("load")))
        elif kind not in ("staging", "stopped", "checked"):
            self.counters.add("booker.unknown_kinds")
