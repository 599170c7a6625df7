"""The discovery watch: a state machine that owns the connections to discovery and a single timer.

docs/lifecycles.md has the table of its states and events.

Delays of events (r: one round trip; limits are fields of `Limits`). Discovery counts an event as received
2 s after it closed the connection, 4 s after it went silent, 4 s after a reload that changes its address,
and 7 s after the event at the latest.

- Closed connection: `discovery_retry_us` + r = 0.1 s. A connect that times out adds its time-out and another
  retry: 0.7 s; three of them, 1.9 s. A new connection that stays silent: 0.1 + `discovery_first_line_us`
  + 0.1 = 1.5 s. All within 2 s.
- Silent connection: `discovery_silent_us` + 0.1 s + r = 1.9 s; 3.7 s with three connects that time out,
  3.3 s with a new connection that stays silent. All within 4 s.
- Slow discovery, whose lines all come later than these time-outs: its own delay, up to `discovery_late_us`. A
  silent connection is kept beside the new one until a newer one brings a line (silent_connections.py).
- Changed address: r; 3.6 s with six connects that time out, 2.8 s with two connections that stay silent.
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
from bitternbeam.net.platform.discovery.silent_connections import SilentConnections
from bitternbeam.tables.deadlines import Deadline, Deadlines

Update = Callable[[ListKind, ListEvent], None]


class WatchState(Enum):
    """What the watch is waiting for."""

    IDLE = "idle"  # not started
    CONNECTING = "connecting"  # for a connection to be established
    ASKED = "asked"  # for the first line on it
    WATCHING = "watching"  # for the next line
    PAUSED = "paused"  # for the next reconnect
    STOPPED = "stopped"  # final


class DiscoveryWatch:
    """Follows discovery and passes its events to `update`, in order and each once.

    Discovery counts an event as received soon after it goes silent or closes the connection (see above). So
    another connection is soon tried beside a silent one, and reconnects have a constant delay without
    backoff. Only complete, valid lines count as a sign of life; other bytes do not.
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
        self._connection: DiscoveryConnection | None = None  # the newest
        self._silent = SilentConnections(deadlines, limits)  # older ones, whose lines may still come
        self._pending_connect: Deferred[Any] | None = None  # the connect in progress
        self._timer: Deadline | None = None  # of the current state
        self._on_synced: Callable[[], None] | None = None

    def start(self, known: dict[str, Any], on_synced: Callable[[], None] | None = None) -> None:
        """Apply the events in the configuration and connect.

        `on_synced` is called once later events are known, or can't be obtained for now. The configuration was
        written before this process started, and events since then count as received: a request accepted
        earlier could be sent to a server that is draining by now.
        """
        self._on_synced = on_synced
        self._apply_known(known)
        self._connect()

    def stop(self) -> None:
        """Stop watching for good; `on_synced` is not called any more."""
        self._on_synced = None
        self._silent.drop_all()
        self._disconnect(lambda transport: transport.loseConnection())
        self.state = WatchState.STOPPED

    def move(self, address: str) -> None:
        """Follow discovery at another address; raises ValueError and changes nothing if it is malformed.

        Revisions continue at the new address, so events after the last applied one are requested there.
        """
        self.host, self.port = split_address(address)
        self.counters.add("discovery.moves")
        self._silent.drop_all()
        if self.state not in (WatchState.IDLE, WatchState.STOPPED):
            self._connect()

    def event_received(self, connection: DiscoveryConnection, line: Heartbeat | ListEvent) -> None:
        """Handle one line of a connection; lines of replaced connections are ignored."""
        if connection is not self._connection and connection not in self._silent:
            self.counters.add("discovery.stale_lines")
            return
        order = self.sequence.classify(line)
        if order is EventOrder.GAP:
            connection.drop("gap")  # the next connection requests what is missing
            return
        self._silent.drop_older_than(connection)
        if connection is self._connection:
            self._enter(WatchState.WATCHING, self.limits.discovery_silent_us, self._silence_timed_out)
        else:
            self.counters.add("discovery.late_lines")
        if isinstance(line, ListEvent):
            self._apply(line, order)
            # Other missed events come in the same burst; only a heartbeat shows that there are no more.
            self.deadlines.after(self.limits.discovery_burst_us, self._synced)
            return
        if order is EventOrder.BEHIND:
            self.counters.add("discovery.behind")
        self._synced()

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Reconnect after a pause, unless the connection was replaced."""
        self._silent.discard(connection)
        if connection is self._connection:
            self._connection = None
            self._pause()

    def _apply_known(self, known: dict[str, Any]) -> None:
        """Apply the configuration's events, up to the first that is malformed or follows a gap.

        Later events are requested from discovery: the configuration's own revision is ignored, as its events
        may not reach it.
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
        """Call `on_synced` once: recent events are known, or discovery is not available for now."""
        on_settled, self._on_synced = self._on_synced, None
        if on_settled:
            on_settled()

    def _enter(self, state: WatchState, wait_us: int, on_timeout: Callable[[], None]) -> None:
        """Enter a state and call `on_timeout` after `wait_us` unless it is left before."""
        if self._timer:
            self._timer.cancel()
        self.state = state
        self._timer = self.deadlines.after(wait_us, on_timeout)

    def _disconnect(self, close: Callable[[Any], None]) -> None:
        """Drop the timer, the connection and the connect in progress; their later events are ignored."""
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
        """Connect, replacing any connection or connect in progress."""
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
        """Keep the silent connection and try another, unless an older one shows that lines come late."""
        self._silent.drop_expired()
        if self._silent.heard_lately():
            self._enter(self.state, self.limits.discovery_first_line_us, self._silence_timed_out)
            return
        silent, self._connection = self._connection, None
        if silent:
            self.counters.add("discovery.silences")
            self._silent.keep(silent)
            self._pause()
