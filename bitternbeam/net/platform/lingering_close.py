"""The lingering close of a line connection.

A TCP socket that is closed while input is unread, or that input still reaches after its close, answers with
a reset, and a reset makes the peer's kernel throw away what it has not handed to its program yet: an answer
written just before is lost. So the write side is closed first, and the input is read and thrown away until
the peer closes its own side, within a bound of time and of bytes (nginx: `lingering_close`).
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines


class CloseState(Enum):
    """How far a lingering close has come."""

    FLUSHING = "flushing"  # what was written is leaving; the peer may be slow to read it
    LINGERING = "lingering"  # the end of our output is sent; input is thrown away until the peer's end
    CLOSED = "closed"


class LingeringClose:
    """One connection's close: FLUSHING, then LINGERING, then CLOSED.

    FLUSHING ends within `limits.stalled_us`, LINGERING within `limits.linger_us` or once more than
    `limits.linger_bytes` have come; whichever bound is met closes the connection at once.
    """

    # The connections of this process that linger, the oldest first: descriptors are the process's too.
    lingering: dict[LingeringClose, None] = {}  # noqa: RUF012 - shared on purpose

    def __init__(self, transport: Any, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.transport = transport
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.state = CloseState.FLUSHING
        self.discarded_bytes = 0  # bytes of input thrown away
        self.deadline = deadlines.after(limits.stalled_us, self._limit_reached)

    def start(self, make_room: bool) -> None:
        """Send the end of our output behind what was written; at once, if all of that has left."""
        self.lingering[self] = None
        if make_room and len(self.lingering) > self.limits.linger_connections:
            next(iter(self.lingering))._limit_reached()
        if self.state is CloseState.CLOSED:
            return
        self.transport.unregisterProducer()  # Twisted half-closes no connection with a paused producer
        self.transport.resumeProducing()  # input may have been paused: the peer's end would go unseen
        self.transport.loseWriteConnection()
        # Danger: left to the next turn of the reactor, a request that comes in between is read by nobody.
        # A failed write needs no care here: the reactor meets it again, as the socket stays watched.
        self.transport.doWrite()

    def output_closed(self) -> None:
        """Note that the end of our output has been sent."""
        if self.state is CloseState.FLUSHING:
            self.state = CloseState.LINGERING
            self.deadline.cancel()
            self.deadline = self.deadlines.after(self.limits.linger_us, self._limit_reached)

    def input_received(self, size: int) -> None:
        """Throw input away, up to the bound."""
        self.discarded_bytes += size
        if self.discarded_bytes > self.limits.linger_bytes:
            self._limit_reached()

    def connection_closed(self) -> None:
        """Note that the connection has gone."""
        self.state = CloseState.CLOSED
        self.deadline.cancel()
        self.lingering.pop(self, None)

    def _limit_reached(self) -> None:
        if self.state is CloseState.CLOSED:
            return
        self.counters.add(f"closing.bound_met.{self.state.value}")
        lingering = self.state is CloseState.LINGERING
        self.connection_closed()
        if lingering and self.discarded_bytes <= self.limits.linger_bytes:
            self.transport.loseConnection()  # no reset, if the peer has sent nothing more
        else:
            self.transport.abortConnection()
