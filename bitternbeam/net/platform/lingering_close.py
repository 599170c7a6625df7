"""The lingering close of a line connection.

A TCP socket that is closed with unread input, or that receives input after its close, sends a reset. On a
reset the peer's kernel discards received data that its program has not read yet, so an answer written just
before is lost. Therefore the write side is closed first, and input is read and discarded until the peer
closes its side, within bounds of time and bytes (like nginx's `lingering_close`).
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines


class CloseState(Enum):
    """The phase of a lingering close; the value is part of a counter's name."""

    FLUSHING = "flushing"  # output is being sent; the peer may be slow to read it
    LINGERING = "lingering"  # our FIN is sent; input is discarded until the peer's FIN
    CLOSED = "closed"


class LingeringClose:
    """One connection's close: FLUSHING, then LINGERING, then CLOSED.

    FLUSHING may last `limits.stalled_us`; LINGERING may last `limits.linger_us` and discard
    `limits.linger_bytes`. Past any of these limits the connection is closed at once.
    """

    # All lingering closes of this process, oldest first; descriptors are per process as well.
    lingering: dict[LingeringClose, None] = {}  # noqa: RUF012 - shared on purpose

    def __init__(self, transport: Any, deadlines: Deadlines, limits: Limits, counters: Counters) -> None:
        self.transport = transport
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.state = CloseState.FLUSHING
        self.discarded_bytes = 0
        self.deadline = deadlines.after(limits.stalled_us, self._limit_reached)

    def start(self, make_room: bool) -> None:
        """Send a FIN after the pending output, in this turn if none is pending.

        With `make_room`, more than `limits.linger_connections` lingering closes end the oldest.
        """
        self.lingering[self] = None
        if make_room and len(self.lingering) > self.limits.linger_connections:
            next(iter(self.lingering))._limit_reached()
        if self.state is CloseState.CLOSED:
            return
        self.transport.unregisterProducer()  # Twisted half-closes no connection with a paused producer
        self.transport.resumeProducing()  # paused input would hide the peer's FIN
        self.transport.loseWriteConnection()
        # Left to the reactor's next turn, a request that arrives in between would be discarded. A failed
        # write needs no handling here: the socket stays registered, and the reactor will see the error.
        self.transport.doWrite()

    def output_closed(self) -> None:
        """Start lingering: our FIN has been sent."""
        if self.state is CloseState.FLUSHING:
            self.state = CloseState.LINGERING
            self.deadline.cancel()
            self.deadline = self.deadlines.after(self.limits.linger_us, self._limit_reached)

    def input_received(self, size: int) -> None:
        """Count discarded input; past the limit the connection is closed."""
        self.discarded_bytes += size
        if self.discarded_bytes > self.limits.linger_bytes:
            self._limit_reached()

    def connection_closed(self) -> None:
        """Note that the connection is closed."""
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
            self.transport.loseConnection()  # sends no reset if there is no unread input
        else:
            self.transport.abortConnection()
