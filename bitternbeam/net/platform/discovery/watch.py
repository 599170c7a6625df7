"""The discovery watch: one state machine that owns the connection to discovery and its only timer.

docs/lifecycles.md has the table of its states and events.

How late news can be (L: `Limits`, r: a round trip). Discovery counts an event as told 2 s after it broke the
connection off, 4 s after it stopped, 4 s after a reload that moves it, and 7 s after the event at the latest.

- It breaks off: `discovery_retry_us` + r = 0.1 s. With one connect that hangs for its whole time, that and
  another retry more: 0.7 s; with three such, 1.9 s. With one connection that comes up and stays silent:
  0.1 + `discovery_first_line_us` + 0.1 = 1.5 s. All within 2 s.
- It stops: `discovery_silent_us` + 0.1 s + r = 1.9 s; 3.7 s with three connects that hang, 3.3 s with a
  connection that stays silent. All within 4 s.
- It moves: r; 3.6 s with six connects that hang, or 2.8 s with two connections that stay silent.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred

from bitternbeam.counters import Counters
from bitternbeam.decision.interface import ListKind
from bitternbeam.limits import Limits
from bitternbeam.net.connect import connect
from bitternbeam.net.platform.discovery.connection import DiscoveryConnection
from bitternbeam.net.platform.discovery.events import (
    EventError,
    Heartbeat,
    ListEvent,
    parse_message,
    split_address,
)
from bitternbeam.net.platform.discovery.sequence import EventOrder, EventSequence
from bitternbeam.tables.deadlines import Deadline, Deadlines

Update = Callable[[ListKind, ListEvent], None]


class WatchState(Enum):
    """What the watch waits for."""

    IDLE = "idle"  # not started
    CONNECTING = "connecting"  # for a connection to come up
    ASKED = "asked"  # for the first line on it
    WATCHING = "watching"  # for the next line
    PAUSED = "paused"  # for the next try
    STOPPED = "stopped"  # for nothing, for good


class DiscoveryWatch:
    """Follows discovery and hands its events to `update`, in order and each once.

    An event counts as told soon after discovery stops or breaks off, heard or not. So a connection on which
    no line comes is given up soon, and a new one is tried for without growing pauses. Only a whole line that
    can be read shows that discovery speaks: bytes that never end in one do not.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        update: Update,
        deadlines: Deadlines,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.reactor = reactor
        self.host, self.port = split_address(address)
        self.update = update
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.sequence = EventSequence()
        self.state = WatchState.IDLE
        self._connection: DiscoveryConnection | None = None
        self._pending_connect: Deferred[Any] | None = None  # the connection that is being made
        self._timer: Deadline | None = None  # of the state; none outlives it
        self._on_synced: Callable[[], None] | None = None

    def start(self, known: dict[str, Any], on_synced: Callable[[], None] | None = None) -> None:
        """Take what the configuration knows and connect.

        `on_settled` is called once what came since is known, or can't be known for now. What is known was
        written before this process began, and what discovery has told since counts as told: a request taken
        before its first word was sent to a server that drained by then.
        """
        self._on_synced = on_synced
        self._apply_known(known)
        self._connect()

    def stop(self) -> None:
        """Follow it no more."""
        self._on_synced = None
        self._disconnect(lambda transport: transport.loseConnection())
        self.state = WatchState.STOPPED

    def move(self, address: str) -> None:
        """Follow discovery at another address; raises ValueError and changes nothing if it is none.

        The numbering goes on, so what is asked for starts at our last event.
        """
        self.host, self.port = split_address(address)
        self.counters.add("discovery.moves")
        if self.state not in (WatchState.IDLE, WatchState.STOPPED):
            self._connect()

    def event_received(self, connection: DiscoveryConnection, news: Heartbeat | ListEvent) -> None:
        """Take what one line of a connection says; nothing that an earlier connection says."""
        if connection is not self._connection:
            self.counters.add("discovery.stale_lines")
            return
        order = self.sequence.classify(news)
        if order is EventOrder.GAP:
            connection.drop("gap")  # the next connection asks for what is missing
            return
        self._enter(WatchState.WATCHING, self.limits.discovery_silent_us, self._silence_timed_out)
        if isinstance(news, ListEvent):
            self._apply(news, order)
            # What else was missed comes in the same burst: only the number alone says that this was all.
            self.deadlines.after(self.limits.discovery_burst_us, self._synced)
            return
        if order is EventOrder.BEHIND:
            self.counters.add("discovery.behind")
        self._synced()

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Try anew after a pause, unless another connection has taken its place."""
        if connection is self._connection:
            self._connection = None
            self._pause()

    def _apply_known(self, known: dict[str, Any]) -> None:
        """Take the configuration's events, up to the first that is unreadable or follows on a gap.

        Whatever is beyond is asked for: the number that the configuration names counts only as far as its
        events were taken.
        """
        for message in known.get("notices", ()):
            try:
                event = parse_message(message)
            except EventError as error:
                self.counters.add(f"discovery.bad_events.{error.fault.value}")
                return
            order = self.sequence.classify(event)
            if order is EventOrder.GAP:
                self.counters.add("discovery.gaps_in_known")
                return
            if isinstance(event, ListEvent):
                self._apply(event, order)

    def _apply(self, event: ListEvent, order: EventOrder) -> None:
        if order is EventOrder.REPEATED:
            self.counters.add("discovery.repeated_events")
            return
        kind = self.sequence.advance(event)
        self.counters.add("discovery.events")
        self.update(kind, event)

    def _synced(self) -> None:
        """Tell that what is new is known, or that discovery says nothing for now."""
        on_settled, self._on_synced = self._on_synced, None
        if on_settled:
            on_settled()

    def _enter(self, state: WatchState, wait_us: int, due: Callable[[], None]) -> None:
        """Go to a state whose time ends after a wait."""
        if self._timer:
            self._timer.cancel()
        self.state = state
        self._timer = self.deadlines.after(wait_us, due)

    def _disconnect(self, close: Callable[[Any], None]) -> None:
        """Let go of the timer, the connection and the one being made; nothing that they still say counts."""
        timer, self._timer = self._timer, None
        connection, self._connection = self._connection, None
        attempt, self._pending_connect = self._pending_connect, None
        if timer:
            timer.cancel()
        if connection:
            close(connection.transport)
        if attempt:
            attempt.cancel()

    def _connect(self) -> None:
        """Connect, in place of whatever connection there is or is being made."""
        self._disconnect(lambda transport: transport.abortConnection())
        self.state = WatchState.CONNECTING
        attempt = connect(
            self.reactor,
            self.host,
            self.port,
            self.limits.discovery_connect_us,
            lambda: DiscoveryConnection(self, self.deadlines, self.limits, self.counters),
        )
        self._pending_connect = attempt
        attempt.addCallbacks(
            lambda connection: self._connected(attempt, connection),
            lambda _failure: self._connect_failed(attempt),
        )

    def _connected(self, attempt: Deferred[Any], connection: DiscoveryConnection) -> None:
        if attempt is not self._pending_connect:
            connection.transport.abortConnection()
            return
        self._pending_connect = None
        self._connection = connection
        self.counters.add("discovery.connections")
        connection.ask(self.sequence.revision)
        self._enter(WatchState.ASKED, self.limits.discovery_first_line_us, self._silence_timed_out)
        if self._on_synced:
            self.deadlines.after(self.limits.discovery_settle_us, self._synced)

    def _connect_failed(self, attempt: Deferred[Any]) -> None:
        if attempt is not self._pending_connect:
            return
        self._pending_connect = None
        self.counters.add("discovery.no_connection")
        self._synced()
        self._pause()

    def _pause(self) -> None:
        self._enter(WatchState.PAUSED, self.limits.discovery_retry_us, self._connect)

    def _silence_timed_out(self) -> None:
        if self._connection:
            self._connection.drop("silent")
