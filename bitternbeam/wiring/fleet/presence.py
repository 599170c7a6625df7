"""What keeps a member in the fleet: its registration, its session, its check, and how the engine answers.

Every request to the engine tells its outcome here (`well`, `fault`): without a good answer for a TTL the
member is alone. A session renewal and a check's pass are sent three times a TTL.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from bitternbeam.fleet.lease import Session
from bitternbeam.fleet.membership import EngineContact
from bitternbeam.net.consul import BadReply
from bitternbeam.net.coordination import Reply
from bitternbeam.wiring.fleet.bench import Bench

log = logging.getLogger(__name__)

SAY_AGAIN = 6  # TTLs, before the same trouble is said again


class Presence:
    """One member's place at the engine."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        now = bench.deadlines.now_us()
        self.session = Session(bench.times, now)
        self.standing = EngineContact(bench.times.ttl_us, now)
        self.asking: set[str] = set()  # session, renew, pass, register: one of each at a time
        self.not_before_us: dict[str, int] = {}  # those that failed wait
        self.passed_us = -(10**18)
        self.engine_said: dict[str, int] = {}  # kind of trouble: when it may be said again
        self.stopped = False

    def tick(self, now: int) -> None:
        """Look at the session and at how long the engine has been silent."""
        before = self.session.id
        paused = self.session.tick(now)
        if before is not None and self.session.id is None:
            # Danger: an engine that hears a member which does not hear it has had its last renewals, and
            # would keep its locks from all for another TTL. Nothing is acted on under it any more.
            self.bench.api.destroy(before).addErrback(lambda _failure: None)
        if paused:
            log.info("fleet: %s was paused; leases are checked before acting", self.bench.fleet.name)
            self.standing.pause_ended(now)
        if self.standing.tick(now):
            log.warning(
                "fleet: engine %s gave no good answer for a TTL; alone, at one part in %d",
                self.bench.fleet.engine, self.bench.roster.size(now),
            )  # fmt: skip
        self._session_steps(now)

    def asides(self, asides: frozenset[str], now: int) -> None:
        """Tell the others through the catalogue what this member stands aside from."""
        if asides != self.bench.roster.declined and self.may_ask("register", now):
            self.bench.roster.declined = asides
            self.register()

    def register(self) -> None:
        """Register as an instance of the service, with a TTL check that the member passes."""
        meta = {"aside": ",".join(sorted(self.bench.roster.declined))} if self.bench.roster.declined else {}
        fleet = self.bench.fleet
        self._ask("register", self.bench.api.register(fleet.service, fleet.name, fleet.ttl_ms, meta))

    def may_ask(self, what: str, now: int) -> bool:
        """Tell whether a request of a kind may be sent: none is out, and the last one did not just fail."""
        return what not in self.asking and now >= self.not_before_us.get(what, 0)

    def _ask(self, what: str, made: Any, then: Callable[[Reply], None] | None = None) -> None:
        self.asking.add(what)

        def answered(reply: Reply) -> None:
            self.asking.discard(what)
            self.well()
            if then and not self.stopped:
                then(reply)

        def failed(failure: Any) -> None:
            self.asking.discard(what)
            # A refused connection fails at once: asked again each tick it would be a storm.
            self.not_before_us[what] = self.bench.deadlines.now_us() + self.bench.times.renew_every_us // 4
            self.fault(failure)

        made.addCallbacks(answered, failed)

    def well(self) -> None:
        """Note a good answer of the engine."""
        if self.standing.answered(self.bench.deadlines.now_us()):
            log.info("fleet: engine %s answers again; with the fleet", self.bench.fleet.engine)
            self.engine_said.clear()

    def fault(self, failure: Any) -> None:
        """Note and name what went wrong with a request."""
        if self.stopped:
            return
        told = failure.getErrorMessage() if failure.check(BadReply) else type(failure.value).__name__
        kind = told.partition(": ")[2] or told
        now = self.bench.deadlines.now_us()
        # One line for each kind of trouble and while, not one a request.
        if now >= self.engine_said.get(kind, 0):
            self.engine_said[kind] = now + SAY_AGAIN * self.bench.times.ttl_us
            log.warning(
                "fleet: engine %s: %s; nothing is acted on without a sure lease",
                self.bench.fleet.engine,
                told,
            )

    def _session_steps(self, now: int) -> None:
        session, fleet = self.session, self.bench.fleet
        if session.id is None and self.may_ask("session", now):

            def made(reply: Reply) -> None:
                if reply.code == 200 and isinstance(reply.body, dict) and "ID" in reply.body:
                    session.created(str(reply.body["ID"]), now)

            create = self.bench.api.create_session(fleet.name, fleet.ttl_ms, fleet.lock_delay_ms)
            self._ask("session", create, made)
        elif session.id is not None and session.renew_due(now) and self.may_ask("renew", now):
            held = session.id

            def renewed(reply: Reply) -> None:
                if reply.code != 404:
                    session.renewed(held, now)
                elif session.id == held:
                    session.expire()

            self._ask("renew", self.bench.api.renew(held), renewed)
        if now >= self.passed_us + self.bench.times.renew_every_us and self.may_ask("pass", now):
            self.passed_us = now

            def passed(reply: Reply) -> None:
                if reply.code == 404:  # the engine forgot the service: register again
                    self.register()

            self._ask("pass", self.bench.api.pass_check(fleet.name), passed)
