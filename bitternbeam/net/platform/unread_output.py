"""Detects a peer that does not read what is written to it.

How much is pending at one moment tells nothing: a burst written in one turn of the event loop is pending
as a whole until the transport's turn to write, and then until the network has carried it. A peer that does
not read is known by time: output is pending, and none of it is taken.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadline, Deadlines

CHECKS_PER_LIMIT = 4  # a stall is found within a quarter of its limit after the limit


def pending_output_bytes(transport: Any) -> int:
    """Return the bytes written to a Twisted transport that the kernel has not taken yet.

    Twisted has no public name for them. They are in its buffer past the offset, and in the writes that it
    has not merged into the buffer yet.
    """
    return int(len(transport.dataBuffer) - transport.offset + transport._tempDataLen)


class StallTimer:
    """Calls `on_stalled` once a peer has taken none of its pending output for `limit_us` microseconds.

    It runs from `start` to `stop`, while output is pending. `bytes_taken` returns how many bytes the kernel
    has taken for the peer so far.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        limit_us: int,
        bytes_taken: Callable[[], int],
        on_stalled: Callable[[], None],
    ) -> None:
        self.deadlines = deadlines
        self.limit_us = limit_us
        self.bytes_taken = bytes_taken
        self.on_stalled = on_stalled
        self._next_check: Deadline | None = None
        self._last_taken = 0
        self._last_progress_us = 0

    def start(self) -> None:
        """Start unless it runs already."""
        if self._next_check is None:
            self._note_progress()
            self._schedule_check()

    def stop(self) -> None:
        """Stop; no effect if it does not run."""
        if self._next_check:
            self._next_check.cancel()
            self._next_check = None

    def _note_progress(self) -> None:
        self._last_taken = self.bytes_taken()
        self._last_progress_us = self.deadlines.now_us()

    def _schedule_check(self) -> None:
        stalled_at_us = self._last_progress_us + self.limit_us
        next_check_us = self.deadlines.now_us() + self.limit_us // CHECKS_PER_LIMIT
        self._next_check = self.deadlines.call_at(min(stalled_at_us, next_check_us), self._check)

    def _check(self) -> None:
        self._next_check = None
        if self.bytes_taken() != self._last_taken:
            self._note_progress()
        if self.deadlines.now_us() - self._last_progress_us >= self.limit_us:
            self.on_stalled()
        else:
            self._schedule_check()


class UnreadBacklog:
    """Bounds the memory for the messages that a client leaves unread.

    Past `client_backlog` messages a client is stalled once it has taken nothing for `client_unread_us`, or at
    once when as many messages of the greatest length are pending.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        limits: Limits,
        bytes_taken: Callable[[], int],
        on_stalled: Callable[[], None],
    ) -> None:
        self.limits = limits
        self.on_stalled = on_stalled
        self.messages = 0  # written while the transport's buffer was full
        self._timer = StallTimer(deadlines, limits.client_unread_us, bytes_taken, on_stalled)

    def message_written(self, transport: Any) -> None:
        """Count a message that was written while the transport's buffer was full."""
        self.messages += 1
        if self.messages <= self.limits.client_backlog:
            return
        most_bytes = transport.bufferSize + self.limits.client_backlog * self.limits.line_bytes
        if pending_output_bytes(transport) > most_bytes:
            self.on_stalled()
        else:
            self._timer.start()

    def clear(self) -> None:
        """Forget the messages: all of them have been sent, or the connection is closing."""
        self.messages = 0
        self._timer.stop()
