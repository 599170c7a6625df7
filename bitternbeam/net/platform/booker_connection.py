"""One connection to a booker, and the attempts that wait on it."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.core.calls import Attempt
from bitternbeam.decision.interface import Report
from bitternbeam.net.platform.json_lines import JsonLines, Message, message_uid
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.reports import read_report

log = logging.getLogger(__name__)

HEARTBEAT_ID = "0" * 16  # the id of a test, which names no call
PROBE_ID = "0" * 15 + "1"  # the id of a probe: a test with cause 1, whose answer carries a report


class ConnectionOwner(Protocol):
    """Who holds a booker's connections: it hears what comes on them."""

    context: UpstreamContext

    def connection_lost(self, connection: BookerConnection) -> None:
        """Take a connection out that has ended."""
        ...

    def data_received(self, connection: BookerConnection) -> None:
        """Note that something comes on a connection."""
        ...

    def call_accepted(self, connection: BookerConnection, message: Message) -> None:
        """Take an answer."""
        ...

    def call_stopped(self, connection: BookerConnection, message: Message) -> None:
        """Take a refusal or a release."""
        ...

    def load_reported(self, connection: BookerConnection, report: Report) -> None:
        """Take the state of the booker's lines that came unasked."""
        ...

    def probe_answered(self, report: Report | None) -> None:
        """Take the answer to a probe."""
        ...

    def cancel(self, leg: UpstreamRequest, unanswered: bool = False) -> None:
        """Give a set-up up, or release a call."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """An attempt as its pool sees it."""

    attempt: Attempt
    owner: ConnectionOwner
    connection: BookerConnection | None = None  # None: waits for one
    established: bool = False


class BookerConnection(JsonLines):
    """One connection to a booker."""

    def __init__(self, owner: ConnectionOwner) -> None:
        around = owner.context
        super().__init__("booker", around.deadlines, around.limits, around.counters)
        self.owner = owner
        self.pending: dict[str, UpstreamRequest] = {}  # set-ups that wait for their answer here, oldest first
        self.last_received_us = around.deadlines.now_us()
        self.has_received = False
        self.heartbeat_sent_us = 0
        self.bytes_since_half_close: int | None = None  # read since our side was closed; None: it is open

    @property
    def has_unsent_output(self) -> bool:
        """Whether the peer has not taken yet what was written in an earlier turn."""
        return bool(len(self.transport.dataBuffer) > self.transport.offset)

    def send_now(self, message: Message) -> None:
        """Send a message within this turn of the loop, which may be long.

        Danger: a transport sends in the loop's next turn. What the message says of the time left, and that
        its client still waits, is true now. An error is left for the reactor to find.
        """
        self.send(message)
        if self.transport.connected:
            self.transport.doWrite()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the holder."""
        super().connectionLost(reason)
        self.owner.context.descriptor_quota.release()
        self.owner.connection_lost(self)

    def drop(self, why: str) -> None:
        """End the connection and what waits on it, which can't be answered any more; nobody is there."""
        if self.is_open:
            super().drop(why)
            self.owner.connection_lost(self)

    def send_heartbeat(self) -> None:
        """Ask for a sign of life; a booker passes a test at once."""
        self.heartbeat_sent_us = self.deadlines.now_us()
        self.send({"kind": "check", "uid": HEARTBEAT_ID, "meta": {}, "reason": 0})

    def send_probe(self) -> None:
        """Ask for a report."""
        self.send({"kind": "check", "uid": PROBE_ID, "meta": {}, "reason": 1})

    def half_close(self, why: str) -> None:
        """Close our side of the connection, end what waits on it, and read what still comes for a while.

        Danger: releases of calls that stand may be on their way, or lie unread behind a line that can't be
        read. After a reset of ours they do not come again: the calls would stand for ever.
        """
        if not self.is_open or self.bytes_since_half_close is not None:
            return
        self.bytes_since_half_close = 0
        self.counters.add(f"{self.name}.parted.{why}")
        self.owner.connection_lost(self)
        self.transport.loseWriteConnection()
        self.deadlines.after(self.limits.booker_quarantine_us, lambda: self.drop(why))

    def invalid_line_received(self, line: bytes) -> None:
        """Take a line that is no JSON object: the next one may be a release."""
        self.half_close("bad_line")

    def dataReceived(self, data: bytes) -> None:
        """Note that the booker is heard."""
        if self.bytes_since_half_close is not None:
            self.bytes_since_half_close += len(data)
            if self.bytes_since_half_close > self.limits.line_bytes:
                self.drop("nonsense")  # more than releases take: it is read no further
                return
        self.last_received_us = self.deadlines.now_us()
        self.has_received = True
        self.owner.data_received(self)
        super().dataReceived(data)

    def message_received(self, message: Message) -> None:
        """Take a message.

        Danger: an error raised here closes the connection, with the answers behind it and every set-up on it.
        """
        try:
            self._dispatch(message)
        except Exception:
            self.counters.add("booker.faults")
            log.exception("taking a server's %.20s failed", message.get("kind"))

    def _dispatch(self, message: Message) -> None:
        """Sort a message by its kind."""
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
