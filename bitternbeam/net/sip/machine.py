"""What the transaction machines of RFC 3261, section 17, have in common: states, timers and their end."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.sip.transport import Hop, Transports
from bitternbeam.tables.deadlines import Deadline, Deadlines

Key = tuple[str, ...]


class State(Enum):
    """States of all four machines."""

    CALLING = "calling"  # INVITE client
    TRYING = "trying"  # the other two kinds
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"  # INVITE server
    ACCEPTED = "accepted"  # RFC 6026
    GIVEN_UP = "given up"  # INVITE client: its user waits no longer, but an answer may still come
    TERMINATED = "terminated"


class Layer(Protocol):
    """The transaction layer as one machine uses it."""

    @property
    def transports(self) -> Transports:
        """Return where messages go out."""
        ...

    @property
    def deadlines(self) -> Deadlines:
        """Return the timers."""
        ...

    @property
    def limits(self) -> Limits:
        """Return the timers' lengths."""
        ...

    @property
    def counters(self) -> Counters:
        """Return the counters."""
        ...

    def forget(self, machine: Machine) -> None:
        """Drop a transaction that ended."""
        ...


class Machine:
    """What the four have in common: timers and their end."""

    def __init__(self, layer: Layer, key: Key, hop: Hop) -> None:
        self.layer = layer
        self.key = key
        self.hop = hop
        self.state = State.TRYING
        self.timers: dict[str, Deadline] = {}
        self.gap_us = layer.limits.sip_t1_us

    @property
    def long_us(self) -> int:
        """64 times T1."""
        return 64 * self.layer.limits.sip_t1_us

    def timer(self, name: str, wait_us: int, due: Callable[[], None]) -> None:
        """Start a timer of that letter, or start it anew."""
        self.stop(name)
        self.timers[name] = self.layer.deadlines.after(wait_us, due)

    def stop(self, *names: str) -> None:
        """Stop timers."""
        for name in names:
            if name in self.timers:
                self.timers.pop(name).cancel()

    def end_after(self, name: str, wait_us: int) -> None:
        """End after a wait; over a reliable transport there is nothing to wait for."""
        if wait_us and not self.hop.reliable:
            self.timer(name, wait_us, self.terminate)
        else:
            self.terminate()

    def terminate(self) -> None:
        """Forget the transaction."""
        self.state = State.TERMINATED
        self.stop(*list(self.timers))
        self.layer.forget(self)
