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
    pool: Pool
    connection: BookerConnection | None = None  # None: waits for one
    standing: bool = False


PROBE = "0" * 16  # the id of a test, which names no call


class BookerConnection(JsonLines):
    """One connection to a booker."""

    def __init__(self, pool: Pool) -> None:
        back = pool.back
        super().__init__("booker", back.deadlines, back.limits, back.counters)
        self.pool = pool
        self.pending: dict[str, Leg] = {}  # set-ups that wait for their answer here, oldest first
        self.heard_us = back.deadlines.now_us()
        self.heard = False
        self.tested_us = 0
        self.parting_bytes: int | None = None  # read since our side was closed; None: it is open

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the pool."""
        super().connectionLost(reason)
        self.pool.lost(self)

    def drop(self, why: str) -> None:
        """End the connection and what waits on it, which can't be answered any more; nobody is there."""
        if self.open:
            super().drop(why)
            self.pool.lost(self)

    def test(self) -> None:
        """Ask for a sign of life; a booker passes a test at once."""
        self.tested_us = self.deadlines.now_us()
        self.say({"kind": "check", "uid": PROBE, "meta": {}, "reason": 0})

    def part(self, why: str) -> None:
        """Close our side of the connection, end what waits on it, and read what still comes for a while.

        Danger: releases of calls that stand may be on their way, or lie unread behind a line that can't be
        read. After a reset of ours they do not come again: the calls would stand for ever.
        """
        if not self.open or self.parting_bytes is not None:
            return
        self.parting_bytes = 0
        self.counters.add(f"{self.name}.parted.{why}")
        self.pool.lost(self)
        self.transport.loseWriteConnection()
        self.deadlines.after(self.limits.booker_aside_us, lambda: self.drop(why))

    def other(self, line: bytes) -> None:
        """Take a line that is no JSON object: the next one may be a release."""
        self.part("bad_line")

    def dataReceived(self, data: bytes) -> None:
        """Note that the booker is heard."""
        if self.parting_bytes is not None:
            self.parting_bytes += len(data)
            if self.parting_bytes > self.limits.line_bytes:
                self.drop("nonsense")  # more than releases take: it is read no further
                return
        self.heard_us = self.pool.heard_us = self.deadlines.now_us()
        self.pool.stillborn, self.heard = 0, True
        super().dataReceived(data)

    def message(self, message: Message) -> None:
        """Sort a message by its kind."""
        kind = message.get("kind")
        if kind == "stop":
            self.pool.stopped(self, message)
        elif self.parting_bytes is not None:
            self.counters.add("booker.late_messages")
        elif kind == "running":
            self.pool.running(self, message)
        elif kind == "usage":
            report = read_report(message.get("meta", {}).get("load"))
            # It comes on up to four connections at once, and is one report.
            if report is not None and not self.pool.retired and [self] == self.pool.connections[:1]:
                self.pool.back.core.reported(self.pool.place.booker, report)
        elif kind == "check":
            self.say({"kind": "checked", "uid": uid_of(message), "meta": {}, "reason": 1})
        elif kind not in ("staging", "stopped", "checked"):
            self.counters.add("booker.unknown_kinds")


class Pool:
    """What is open to one booker: connections, their set-ups and what stands there.

    Danger: a connection that breaks takes every set-up on it along. So each set-up gets one on which no
    other waits, and a spare is opened ahead, up to a limit; past that they share. They are kept up while
    the booker is listed, as the state of its lines comes on them unasked.
    """

    def __init__(self, back: PlatformBack, place: Place) -> None:
        self.back = back
        self.place = place
        self.connections: list[BookerConnection] = []
        self.connecting = 0
        self.legs: dict[str, Leg] = {}
        self.heard_us = back.deadlines.now_us()
        self.answered_us = 0  # when the latest of the set-ups it answered was sent
        self.stillborn = 0  # connections in a row that ended before anything came on them
        self.full_until_us = 0  # it took no further connection: ask for no spare until then
        self.probed_us = 0  # a test was sent on a connection that had gone quiet
        self.retired = False
        self.again: Deadline | None = None
        self.closed = False

    @property
    def name(self) -> str:
        """The booker's id."""
        return self.place.booker

    # Connections.

    def connect(self) -> None:
        """Open a connection, unless enough are being opened."""
        limits = self.back.limits
        if self.closed or self.connecting >= limits.booker_connecting:
            return
        self.connecting += 1
        if self.again:
            self.again.cancel()
        place, wait_us = self.place, limits.booker_connect_us
        made = connect(self.back.reactor, place.host, place.port, wait_us, lambda: BookerConnection(self))
        made.addCallbacks(self._connected, self._no_connection)

    def _connected(self, connection: Any) -> None:
        self.connecting -= 1
        if self.closed:
            connection.transport.abortConnection()
            return
        self.back.counters.add("booker.connections")
        self.heard_us = self.back.deadlines.now_us()
        self.connections.append(connection)
        for leg in list(self.legs.values()):
            if leg.connection is None and not leg.standing:
                self._write(self._best(), leg)

    def _best(self) -> BookerConnection:
        """Return the connection with the fewest set-ups, of equals the one heard last."""
        return min(self.connections, key=lambda one: (len(one.pending), -one.heard_us))

    def _keep_a_spare(self) -> None:
        """Open a connection ahead of its need."""
        idle = any(not one.pending for one in self.connections)
        room = len(self.connections) + self.connecting < self.back.limits.booker_connections
        if not idle and room and not self.retired and self.back.deadlines.now_us() >= self.full_until_us:
            self.connect()

    def _no_connection(self, failure: Failure) -> None:
        """Nothing ran of what waited for it; what stands there may be over."""
        self.connecting -= 1
        deadlines, limits = self.back.deadlines, self.back.limits
        now_us = deadlines.now_us()
        self.full_until_us = now_us + limits.booker_full_us
        self.back.counters.add("booker.no_connection")
        refused = failure.check("twisted.internet.error.ConnectionRefusedError") is not None
        silent = now_us - self.heard_us > limits.booker_silent_us
        if self.connections and not silent:
            # It takes no more of them, or its process has ended and the resets did not come through: a test
            # brings them. One that drains refuses new ones long before its end, so this alone proves nothing.
            for connection in self.connections if refused else ():
                connection.test()
            return
        # Danger: a booker whose process has died may leave its connections open and silent; refused
        # beside them was taken for 'full', and what stood there was never told as cut.
        for connection in self.connections[:]:
            connection.drop("silent")
        for leg in list(self.legs.values()):
            if leg.connection is None and not leg.standing:
                self._end(leg, End(Outcome.NO_CONNECTION))
        if refused or silent:
            # No process listens, or the machine has vanished: its calls were cut.
            self.cut_all()
        if not self.closed and not self.retired:
            self._connect_later()

    def _connect_later(self) -> None:
        if self.again:
            self.again.cancel()
        self.again = self.back.deadlines.after(self.back.limits.booker_retry_us, self.connect)

    def lost(self, connection: BookerConnection) -> None:
        """Break the set-ups of a lost connection; whether calls are cut shows when it is made anew."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        for leg in list(self.legs.values()):
            if leg.connection is connection:
                if leg.standing:
                    leg.connection = None
                else:
                    # If its process died, that shows at once: the next connection is refused.
                    self._end(leg, End(Outcome.CUT, spoilt=True))
        self.stillborn += not connection.heard
        if self.retired and not self.connections and not self.closed:
            self.cut_all()
            self.close()
        elif not self.closed:
            # Danger: a release may have gone down with it, whose call would stand for ever. The booker sends
            # it once more on the next connection that is opened, so one is, however many are left.
            if self.stillborn <= self.back.limits.booker_stillborn:
                self.connect()
            elif not self.connecting:
                # Danger: a peer that accepts and resets would be called again as fast as it can answer.
                self._connect_later()

    def watch(self) -> None:
        """See after a booker that has not been heard for long while calls are there.

        Halfway through the silence a test goes out on one connection: a live booker passes it at once,
        so that a silence to its end means a dead process, whatever new connections then meet.
        """
        now_us, silent_us = self.back.deadlines.now_us(), self.back.limits.booker_silent_us
        if not self.legs:
            return
        holding = {leg.connection for leg in self.legs.values() if leg.standing}
        if now_us - self.heard_us > silent_us:
            self.connect()
        elif self.connections and now_us - self.heard_us > silent_us // 2 and self.probed_us <= self.heard_us:
            self.probed_us = now_us
            self._best().test()
        # Danger: a connection whose reset did not come through stays open, silent, while tests are passed on
        # others: its calls were told only 2 s after the list's word, which may be 7 s late. A test brings it.
        for connection in self.connections:
            quiet_us = now_us - max(connection.heard_us, connection.tested_us)
            if quiet_us > silent_us // 2 and connection in holding:
                connection.test()

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
        leg = self.legs[attempt.offer.uid] = Leg(attempt, self)
        self.back.legs[attempt.offer.uid] = leg
        if self.connections:
            self._write(self._best(), leg)
            self._keep_a_spare()
        elif self.stillborn <= self.back.limits.booker_stillborn:
            self.connect()

    def _write(self, connection: BookerConnection, leg: Leg) -> None:
        attempt = leg.attempt
        waited_us = self.back.deadlines.now_us() - attempt.sent_us
        leg.connection = connection
        connection.pending[attempt.offer.uid] = leg
        meta = {"class": attempt.offer.call_class, "left": str(max(1, (attempt.left_us - waited_us) // 1000))}
        if attempt.offer.number:
            meta["key"] = attempt.offer.number
        connection.say({"kind": "launch", "uid": attempt.offer.uid, "meta": meta, "body": attempt.offer.body})
        self.back.core.written(attempt)

    def take_back(self, leg: Leg, unanswered: bool = False) -> None:
        """Give a set-up up, or release a call."""
        self._drop_leg(leg)
        connection = leg.connection or (self._best() if leg.standing and self.connections else None)
        if connection is None or not connection.open:
            return
        uid, sent_us = leg.attempt.offer.uid, leg.attempt.sent_us
        connection.say({"kind": "stop", "uid": uid, "meta": {}, "reason": NORMAL})
        silent_us = self.back.deadlines.now_us() - self.back.limits.booker_overtaken_us
        if unanswered and connection.heard_us < sent_us < silent_us and not connection.pending:
            # Danger: one that went silent looks idle, and would take set-up after set-up.
            self._set_aside(connection, "silent")

    def running(self, connection: BookerConnection, message: Message) -> None:
        """Take an answer."""
        uid, body = uid_of(message), message.get("body")
        if not isinstance(body, str):
            connection.part("bad_answer")
            return
        leg = connection.pending.pop(uid, None)
        if leg is None:
            # A second one, or it crossed our giving up, which releases the call as it arrives.
            self.back.counters.add("booker.late_answers")
            return
        leg.standing = True
        self.answered_us = max(self.answered_us, leg.attempt.sent_us)
        if not self.back.core.stood(leg.attempt, body):
            self.take_back(leg)
        self._drop_overtaken()

    def _drop_overtaken(self) -> None:
        """Set connections aside that were passed over.

        A booker has one line: it answers in the order in which set-ups came. Danger: the answer to one
        that a much later one has overtaken will not come, and waiting for it costs its whole time.
        """
        before_us = self.answered_us - self.back.limits.booker_overtaken_us
        for connection in self.connections[:]:
            oldest = next(iter(connection.pending.values()), None)
            if oldest is not None and oldest.attempt.sent_us < before_us:
                self._set_aside(connection, "overtaken")

    def _set_aside(self, connection: BookerConnection, why: str) -> None:
        """Use a connection no more, but hear what still comes on it for a while.

        Danger: releases may be on their way on it, and after a reset of ours they would not come again.
        """
        self.back.counters.add(f"booker.set_aside.{why}")
        for uid in connection.pending:
            connection.say({"kind": "stop", "uid": uid, "meta": {}, "reason": NORMAL})
        self.lost(connection)
        self.back.deadlines.after(self.back.limits.booker_aside_us, lambda: connection.part(why))

    def stopped(self, connection: BookerConnection, message: Message) -> None:
        """Take a refusal or a release."""
        cause = message.get("reason")
        if not isinstance(cause, int):
            connection.part("bad_answer")
            return
        leg = self.legs.get(uid_of(message))
        if leg is None or (not leg.standing and leg.connection is not connection):
            self.back.stray(uid_of(message))
            return
        meta: Message = message.get("meta", {})
        if leg.standing:
            outcome = Outcome.SERVED if cause == NORMAL else Outcome.CUT
        else:
            outcome = BEFORE.get(cause, Outcome.ERROR)
        note = meta.get("note")
        full = outcome is Outcome.TURNED_AWAY and note == "queue_long"
        no_line = outcome is Outcome.TURNED_AWAY and note == "no_path"
        # Danger: when lines are lost a booker cuts many calls at once, and that it says so shows it is alive.
        told_cut = outcome is Outcome.CUT
        self._end(leg, End(outcome, full, no_line, read_report(meta.get("load")), spoilt=told_cut))

    def _end(self, leg: Leg, end: End) -> None:
        if self._drop_leg(leg):
            self.back.core.ended(leg.attempt, end)

    def _drop_leg(self, leg: Leg) -> bool:
        uid = leg.attempt.offer.uid
        if leg.connection:
            leg.connection.pending.pop(uid, None)
        self.back.legs.pop(uid, None)
        return self.legs.pop(uid, None) is not None


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
        self.legs: dict[str, Leg] = {}  # of all pools, those of bookers that have gone included
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
        if leg := self.legs.get(attempt.offer.uid):
            leg.pool.take_back(leg, unanswered=attempt.given_up is Outcome.NO_ANSWER)
        return True

    def release(self, attempt: Attempt) -> None:
        """End a call that stands."""
        if leg := self.legs.get(attempt.offer.uid):
            leg.pool.take_back(leg)
