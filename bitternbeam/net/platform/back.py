"""Bookers on the platform's protocol: one pool of connections a booker."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternbeam.core.calls import Attempt, End
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.connect import connect
from bitternbeam.net.platform.lines import (
    BUSY,
    ERROR,
    MOOT,
    NORMAL,
    REFUSED,
    RESET,
    JsonLines,
    Message,
    uid_of,
)
from bitternbeam.net.reports import read_report
from bitternbeam.tables.deadlines import Deadline, Deadlines

log = logging.getLogger(__name__)

BEFORE = {
    REFUSED: Outcome.TURNED_AWAY,
    BUSY: Outcome.ERROR,
    ERROR: Outcome.ERROR,
    MOOT: Outcome.NOT_SENT,
    RESET: Outcome.CUT,
}


@dataclass(frozen=True, slots=True)
class Place:
    """Where the list says that a booker is."""

    booker: str
    host: str
    port: int
    state: SwitchState
    started_us: int


@dataclass(slots=True, eq=False)
class Leg:
    """An attempt as its pool sees it."""

    attempt: Attempt
    connection: BookerConnection | None = None  # None: waits for one
    standing: bool = False


class BookerConnection(JsonLines):
    """One connection to a booker."""

    def __init__(self, pool: Pool) -> None:
        back = pool.back
        super().__init__("booker", back.deadlines, back.limits, back.counters)
        self.pool = pool

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the pool."""
        super().connectionLost(reason)
        self.pool.lost(self)

    def dataReceived(self, data: bytes) -> None:
        """Note that the booker is heard."""
        self.pool.heard_us = self.deadlines.now_us()
        super().dataReceived(data)

    def message(self, message: Message) -> None:
        """Sort a message by its kind."""
        kind = message.get("kind")
        if kind == "running":
            self.pool.running(self, message)
        elif kind == "stop":
            self.pool.stopped(message)
        elif kind == "usage":
            report = read_report(message.get("meta", {}).get("load"))
            if report is not None and not self.pool.retired:
                self.pool.back.core.reported(self.pool.place.booker, report)
        elif kind == "check":
            self.say({"kind": "checked", "uid": uid_of(message), "meta": {}, "reason": 1})
        elif kind not in ("staging", "stopped", "checked"):
            self.counters.add("booker.unknown_kinds")


class Pool:
    """What is open to one booker: a connection, its set-ups and what stands there.

    Many set-ups share a connection, so one is enough. It is kept up while the booker is listed, as
    the state of its lines comes on it unasked. A further one is opened when nothing has been heard
    for long: whether that comes up tells a silent booker from one that has vanished.
    """

    def __init__(self, back: PlatformBack, place: Place) -> None:
        self.back = back
        self.place = place
        self.connections: list[BookerConnection] = []
        self.connecting = False
        self.legs: dict[str, Leg] = {}
        self.heard_us = back.deadlines.now_us()
        self.unreachable_us: int | None = None
        self.retired = False
        self.again: Deadline | None = None
        self.closed = False

    @property
    def name(self) -> str:
        """The booker's id."""
        return self.place.booker

    # Connections.

    def connect(self) -> None:
        """Open a connection unless one is being opened."""
        if self.connecting or self.closed:
            return
        self.connecting = True
        if self.again:
            self.again.cancel()
        limits = self.back.limits
        place, wait_us = self.place, limits.booker_connect_us
        made = connect(self.back.reactor, place.host, place.port, wait_us, lambda: BookerConnection(self))
        made.addCallbacks(self._connected, self._no_connection)

    def _connected(self, connection: Any) -> None:
        self.connecting = False
        self.unreachable_us = None
        self.back.counters.add("booker.connections")
        self.heard_us = self.back.deadlines.now_us()
        if self.closed:
            connection.transport.abortConnection()
            return
        self.connections.append(connection)
        if len(self.connections) > 1:
            self._drop_older()
        for leg in list(self.legs.values()):
            if leg.connection is None and not leg.standing:
                self._write(connection, leg)

    def _drop_older(self) -> None:
        """Close connections on which nothing is being set up."""
        busy = {leg.connection for leg in self.legs.values() if not leg.standing}
        for connection in self.connections[:-1]:
            if connection not in busy:
                connection.transport.loseConnection()

    def _no_connection(self, failure: Failure) -> None:
        """Nothing ran of what waited for it; what stands there may be over."""
        self.connecting = False
        deadlines, limits = self.back.deadlines, self.back.limits
        now_us = deadlines.now_us()
        self.back.counters.add("booker.no_connection")
        if self.unreachable_us is None:
            self.unreachable_us = now_us
        for leg in list(self.legs.values()):
            if leg.connection is None and not leg.standing:
                self._end(leg, End(Outcome.NO_CONNECTION))
        refused = failure.check("twisted.internet.error.ConnectionRefusedError") is not None
        silent = now_us - self.heard_us > limits.booker_silent_us
        if (refused and not self.connections) or (silent and not refused):
            # No process listens, or the machine has vanished: its calls were cut.
            self.cut_all()
        if not self.closed and not self.retired:
            self.again = deadlines.after(limits.booker_retry_us, self.connect)

    def lost(self, connection: BookerConnection) -> None:
        """Break the set-ups of a lost connection; whether calls are cut shows when it is made anew."""
        if connection in self.connections:
            self.connections.remove(connection)
        for leg in list(self.legs.values()):
            if leg.connection is connection:
                if leg.standing:
                    leg.connection = None
                else:
                    # If its process died, that shows at once: the next connection is refused.
                    self._end(leg, End(Outcome.CUT, spoilt=True))
        if not self.connections and not self.closed:
            if self.retired:
                self.cut_all()
                self.close()
            else:
                self.connect()

    def watch(self) -> None:
        """See after a booker that has not been heard for long while calls are there."""
        now_us = self.back.deadlines.now_us()
        if self.legs and now_us - self.heard_us > self.back.limits.booker_silent_us:
            self.connect()

    def cut_all(self) -> None:
        """End whatever was there."""
        for leg in list(self.legs.values()):
            self._end(leg, End(Outcome.CUT))

    def cut_before(self, started_us: int) -> None:
        """End what was set up before a fresh start: the process that held it is gone."""
        for leg in list(self.legs.values()):
            if leg.attempt.sent_us < started_us:
                self._end(leg, End(Outcome.CUT))

    def close(self) -> None:
        """Close all connections."""
        self.closed = True
        if self.again:
            self.again.cancel()
        for connection in self.connections:
            connection.transport.loseConnection()

    # Set-ups.

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up, or let it wait for the connection that is being made."""
        leg = self.legs[attempt.offer.uid] = Leg(attempt)
        if self.connections:
            self._write(self.connections[-1], leg)
        else:
            self.connect()

    def _write(self, connection: BookerConnection, leg: Leg) -> None:
        attempt = leg.attempt
        waited_us = self.back.deadlines.now_us() - attempt.sent_us
        leg.connection = connection
        meta = {"class": attempt.offer.call_class, "left": str(max(1, (attempt.left_us - waited_us) // 1000))}
        if attempt.offer.number:
            meta["key"] = attempt.offer.number
        connection.say({"kind": "launch", "uid": attempt.offer.uid, "meta": meta, "body": attempt.offer.body})

    def take_back(self, attempt: Attempt) -> None:
        """Give a set-up up, or release a call."""
        leg = self.legs.pop(attempt.offer.uid, None)
        if leg is None:
            return
        connection = leg.connection or (self.connections[-1] if leg.standing and self.connections else None)
        if connection is not None and connection.open:
            connection.say({"kind": "stop", "uid": attempt.offer.uid, "meta": {}, "reason": NORMAL})

    def running(self, connection: BookerConnection, message: Message) -> None:
        """Take an answer."""
        leg = self.legs.get(uid_of(message))
        if leg is None or leg.standing:
            # It crossed our giving up, which releases the call as it arrives.
            self.back.counters.add("booker.late_answers")
            return
        leg.standing = True
        if not self.back.core.stood(leg.attempt, message.get("body", "")):
            self.take_back(leg.attempt)

    def stopped(self, message: Message) -> None:
        """Take a refusal or a release."""
        leg = self.legs.get(uid_of(message))
        if leg is None:
            self.back.stray(uid_of(message))
            return
        cause = message.get("reason")
        meta: Message = message.get("meta", {})
        if leg.standing:
            outcome = Outcome.SERVED if cause == NORMAL else Outcome.CUT
        else:
            outcome = BEFORE.get(cause, Outcome.ERROR) if isinstance(cause, int) else Outcome.ERROR
        note = meta.get("note")
        full = outcome is Outcome.TURNED_AWAY and note == "queue_long"
        no_line = outcome is Outcome.TURNED_AWAY and note == "no_path"
        self._end(leg, End(outcome, full, no_line, read_report(meta.get("load"))))

    def _end(self, leg: Leg, end: End) -> None:
        if self.legs.pop(leg.attempt.offer.uid, None) is not None:
            self.back.core.ended(leg.attempt, end)


class PlatformBack:
    """The pools of all bookers. It is the core's Back."""

    def __init__(
        self, reactor: Any, core: CallControl, deadlines: Deadlines, limits: Limits, counters: Counters
    ) -> None:
        self.reactor = reactor
        self.core = core
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.pools: dict[str, Pool] = {}
        self.stray: Callable[[str], None] = lambda _uid: None
        self._watch()

    def _watch(self) -> None:
        for pool in list(self.pools.values()):
            pool.watch()
        self.deadlines.after(self.limits.booker_retry_us, self._watch)

    def listed(self, places: list[Place], whole: bool) -> None:
        """Take news of where the bookers are; a whole list leaves out those that are gone."""
        if whole:
            for name in self.pools.keys() - {place.booker for place in places}:
                self._retire(self.pools[name])
        for place in places:
            pool = self.pools.get(place.booker)
            if place.state is SwitchState.GONE:
                if pool:
                    self._retire(pool)
                continue
            if pool is None or pool.retired or pool.closed:
                pool = self.pools[place.booker] = Pool(self, place)
            elif (place.host, place.port) != (pool.place.host, pool.place.port):
                self._retire(pool)
                pool = self.pools[place.booker] = Pool(self, place)
            if place.started_us > pool.place.started_us:
                pool.cut_before(place.started_us)
            pool.place = place
            if not pool.connections:
                pool.connect()

    def _retire(self, pool: Pool) -> None:
        """Keep a booker that has gone only while its connection lasts: calls on it are still told of."""
        if pool.retired:
            return
        pool.retired = True
        if not pool.connections:
            pool.cut_all()
            pool.close()
        self.deadlines.after(self.limits.booker_lost_us, lambda: self._bury(pool))

    def _bury(self, pool: Pool) -> None:
        pool.cut_all()
        pool.close()
        if self.pools.get(pool.name) is pool:
            del self.pools[pool.name]

    def close_all(self) -> None:
        """Close every connection once what was written has left."""
        for pool in self.pools.values():
            pool.close()

    # The core's Back.

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up."""
        pool = self.pools.get(attempt.booker)
        if pool is None or pool.closed or pool.retired:
            self.core.ended(attempt, End(Outcome.NO_CONNECTION))
            return
        pool.set_up(attempt)

    def give_up(self, attempt: Attempt) -> bool:
        """Stop waiting for a set-up."""
        if pool := self._pool_of(attempt):
            pool.take_back(attempt)
        return True

    def release(self, attempt: Attempt) -> None:
        """End a call that stands."""
        if pool := self._pool_of(attempt):
            pool.take_back(attempt)

    def _pool_of(self, attempt: Attempt) -> Pool | None:
        return self.pools.get(attempt.booker)
