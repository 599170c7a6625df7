"""The fleet's member: one Consul session, a lease a piece of work, acts under tokens, records followed.

Under `run --config` with a `[fleet]` section only. Decisions are in `bitternbeam/fleet`; this file carries
their steps to net.coordination and tells them the answers. Two blocking queries stand at the engine (the
members, and all leases and records); beside them a session renewal and a check's pass three times a TTL.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from bitternbeam.configuration.node import Fleet, lease_times
from bitternbeam.configuration.versions import Versions
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.fleet.lease import Phase, Session, Step
from bitternbeam.fleet.membership import Damping, Roster, Standing
from bitternbeam.fleet.placement import wants
from bitternbeam.fleet.rendezvous import weight
from bitternbeam.fleet.view import Server, change
from bitternbeam.net.consul import BadReply, Listed
from bitternbeam.net.coordination import ConsulApi, Reply, entries_of, entry_of, members_of
from bitternbeam.net.sip.settings import SipServer
from bitternbeam.net.sip.transport import Hop
from bitternbeam.tables.deadlines import Deadline, Deadlines
from bitternbeam.wiring.fleet_load import Load
from bitternbeam.wiring.fleet_work import Bench, ProbeWork, VersionWork, ViewWork, Work
from bitternbeam.wiring.parts import Part

log = logging.getLogger(__name__)

ASK_LEAST_US = 100_000  # between two questions of one watch
SAY_AGAIN = 6  # TTLs, before the same trouble is said again
ASK_MOST_US = 2_000_000  # after questions that failed, doubled each time up to this


class Watch:
    """One blocking query after the other, paced, and starting anew where the engine's index goes back."""

    def __init__(
        self,
        deadlines: Deadlines,
        ask: Callable[[int], Any],
        told: Callable[[Reply], None],
        failed: Callable[[Any], None],
        restarted: Callable[[], None],
    ) -> None:
        self.deadlines, self.ask, self.told, self.failed, self.restarted = (
            deadlines, ask, told, failed, restarted,
        )  # fmt: skip
        self.index = 0
        self.failures = 0
        self.stopped = False
        self.later: Deadline | None = None
        self.query: Any = None

    def start(self) -> None:
        """Ask the first question."""
        if self.stopped:
            return
        self.query = self.ask(self.index)
        self.query.addCallbacks(self._answered, self._failed)
        # A fault while an answer is taken must not end the watch; it is told as one of the engine's.
        self.query.addErrback(self._failed)

    def stop(self) -> None:
        """Ask no more."""
        self.stopped = True
        if self.later:
            self.later.cancel()
        if self.query:
            self.query.cancel()

    def _answered(self, reply: Reply) -> None:
        self.failures = 0
        if reply.index < self.index:
            self.restarted()
            self.index = 0
        else:
            self.index = max(1, reply.index)
        self.later = self.deadlines.after(ASK_LEAST_US, self.start)
        if not self.stopped:
            self.told(reply)

    def _failed(self, failure: Any) -> None:
        if self.stopped:
            return
        if self.later:
            self.later.cancel()
        self.failed(failure)
        self.index = 0
        self.later = self.deadlines.after(min(ASK_LEAST_US << min(self.failures, 8), ASK_MOST_US), self.start)
        self.failures += 1


class Member(Part):
    """One member of the fleet; `versions` is what the version record is committed from, if anything."""

    name = "fleet"

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        counters: Counters,
        fleet: Fleet,
        versions: Versions | None = None,
    ) -> None:
        self.reactor, self.deadlines, self.counters, self.fleet = reactor, deadlines, counters, fleet
        self.times = lease_times(fleet)
        host, _, port = fleet.engine.rpartition(":")
        call_us = max(self.times.renew_every_us // 2, 200_000)
        self.api = ConsulApi(
            reactor,
            host,
            int(port),
            deadlines=deadlines,
            counters=counters,
            call_us=call_us,
            token=fleet.token,
            member=fleet.name,
        )
        now = deadlines.now_us()
        self.session = Session(self.times, now)
        self.roster = Roster(fleet.name, Damping(self.times.settle_us, fleet.recent_ms * 1000), now)
        self.standing = Standing(self.times.ttl_us, now)
        bench = Bench(reactor, deadlines, counters, fleet, self.times, self.api, self.roster)
        self.probes: dict[str, ProbeWork] = {}
        for one in fleet.probes:
            booker, _, address = one.partition("=")
            where, _, number = address.rpartition(":")
            self.probes[booker] = ProbeWork(bench, booker, (where, int(number)))
        self.load = Load(bench, self.probes, weight(fleet.name, "load")) if fleet.bounds else None
        self.works: list[Work] = [*self.probes.values()]
        self.view = ViewWork(bench, self.probes) if fleet.directory else None
        self.version = VersionWork(bench, versions) if versions is not None else None
        self.works += [one for one in (self.view, self.version) if one is not None]
        self.listed: Listed | None = None  # who takes the view's servers
        self.servers: dict[str, Server] = {}
        self.first_list = True
        if self.view:
            self.view.followed = self._followed
        self.watches = [
            Watch(
                deadlines,
                lambda index: self.api.health(fleet.service, index=index, wait_us=self.times.ttl_us),
                self._members, self._engine_fault, lambda: None,
            ),
            Watch(
                deadlines,
                lambda index: self.api.kv_watch(f"{fleet.prefix}/", index=index, wait_us=self.times.ttl_us),
                self._entries, self._engine_fault, self._restarted,
            ),
        ]  # fmt: skip
        self.asking: set[str] = set()  # session, renew, pass, register: one of each at a time
        self.not_before_us: dict[str, int] = {}  # those that failed wait
        self.passed_us = -(10**18)
        self.timer: Deadline | None = None
        self.stopped = False
        self.engine_said: dict[str, int] = {}  # kind of trouble: when it may be said again

    def start(self) -> None:
        """Register, then follow the engine and look at the leases every tick."""
        self._register()
        for watch in self.watches:
            watch.start()
        self._tick()

    def halt(self) -> None:
        """Send nothing more, as if killed: the session lapses at the engine by its TTL."""
        self.stopped = True
        for watch in self.watches:
            watch.stop()
        if self.timer:
            self.timer.cancel()

    def stop(self) -> None:
        """Leave: release what is held and the registration, so that others go on at once."""
        if self.stopped:
            return
        self.halt()
        session = self.session.id
        made = [self.api.deregister(self.fleet.name)]
        if session is not None:
            held = [work.claim.key for work in self.works if work.claim.phase is not Phase.FOLLOWING]
            made += [self.api.kv_put(key, "", release=session) for key in held]
        for one in made:
            one.addErrback(lambda _failure: None)

    def status(self) -> dict[str, Any]:
        """Return each piece of work's phase and token, the members, and how the member stands."""
        now = self.deadlines.now_us()
        told: dict[str, Any] = {
            "alone": self.standing.alone,
            "session": self.session.id,
            "members": sorted(self.roster.present()),
            "share": round(1 / self.roster.size(now), 6),
            "work": {work.name: [work.claim.phase.value, str(work.claim.token or "")] for work in self.works},
        }
        if self.load:
            told["load"] = self.load.status()
        if self.view:
            told["view"] = {
                "fresh": self.view.follower.fresh(now) is not None,
                "servers": {name: one.state for name, one in self.servers.items()},
            }
        if self.version:
            committed, good = self.version.committed, self.version.good()
            agrees = committed is not None and good is not None and committed.content == good.content
            told["committed"] = committed.number if committed else None
            told["runs_committed"] = agrees
        return told

    def _register(self) -> None:
        """Register as an instance of the service, with a TTL check that the member passes."""
        meta = {"aside": ",".join(sorted(self.roster.asides))} if self.roster.asides else {}
        fleet = self.fleet
        self._ask("register", self.api.register(fleet.service, fleet.name, fleet.ttl_ms, meta))

    def _may_ask(self, what: str, now: int) -> bool:
        return what not in self.asking and now >= self.not_before_us.get(what, 0)

    def _ask(self, what: str, made: Any, then: Callable[[Reply], None] | None = None) -> None:
        self.asking.add(what)

        def answered(reply: Reply) -> None:
            self.asking.discard(what)
            self._engine_well()
            if then and not self.stopped:
                then(reply)

        def failed(failure: Any) -> None:
            self.asking.discard(what)
            # A refused connection fails at once: asked again each tick it would be a storm.
            self.not_before_us[what] = self.deadlines.now_us() + self.times.renew_every_us // 4
            self._engine_fault(failure)

        made.addCallbacks(answered, failed)

    def _engine_well(self) -> None:
        if self.standing.answered(self.deadlines.now_us()):
            log.info("fleet: engine %s answers again; with the fleet", self.fleet.engine)
            self.engine_said.clear()

    def _engine_fault(self, failure: Any) -> None:
        if self.stopped:
            return
        told = failure.getErrorMessage() if failure.check(BadReply) else type(failure.value).__name__
        kind = told.partition(": ")[2] or told
        now = self.deadlines.now_us()
        # One line for each kind of trouble and while, not one a request.
        if now >= self.engine_said.get(kind, 0):
            self.engine_said[kind] = now + SAY_AGAIN * self.times.ttl_us
            log.warning(
                "fleet: engine %s: %s; nothing is acted on without a sure lease", self.fleet.engine, told
            )

    def _tick(self) -> None:
        if self.stopped:
            return
        now = self.deadlines.now_us()
        self.timer = self.deadlines.after(self.times.tick_us, self._tick)
        if self.session.tick(now):
            log.info("fleet: %s was paused; leases are checked before acting", self.fleet.name)
            self.standing.woke(now)
        if self.standing.tick(now):
            log.warning(
                "fleet: engine %s gave no good answer for a TTL; alone, at one part in %d",
                self.fleet.engine, self.roster.size(now),
            )  # fmt: skip
        self._session_steps(now)
        self._asides(now)
        for work in self.works:
            self._work(work, now)
        if self.load:
            self.load.tick(now)
        if self.standing.alone:
            for each in self.probes.values():
                each.look(now, self.roster.size(now))
        if self.view and self.view.follower.fresh(now) is None and self.standing.alone:
            self.view.alone()

    def _work(self, work: Work, now: int) -> None:
        claim = work.claim
        wanted = wants(
            claim, work.lock, self.roster.place(work.name, now), work.aside_until_us > now, now
        )  # fmt: skip
        before = claim.phase
        step = claim.step(now, self.session, wanted)
        if step is not None:
            self._run(work, step)
        if claim.phase is not before:
            log.info(
                "fleet: %s %s -> %s", work.name, before.value, claim.phase.value, extra={"key": claim.key}
            )
        token = claim.may_act(now, self.session)
        if token is not None:
            work.act(token, now)
            work.publish(token, now)

    def _asides(self, now: int) -> None:
        """Tell the others through the catalogue what this member stands aside from."""
        asides = frozenset(work.name for work in self.works if work.aside_until_us > now)
        if asides != self.roster.asides and self._may_ask("register", now):
            self.roster.asides = asides
            self._register()

    def _session_steps(self, now: int) -> None:
        session, fleet = self.session, self.fleet
        if session.id is None and self._may_ask("session", now):

            def made(reply: Reply) -> None:
                if reply.code == 200 and isinstance(reply.body, dict) and "ID" in reply.body:
                    session.created(str(reply.body["ID"]), now)

            create = self.api.create_session(fleet.name, fleet.ttl_ms, fleet.lock_delay_ms)
            self._ask("session", create, made)
        elif session.id is not None and session.renew_due(now) and self._may_ask("renew", now):
            held = session.id

            def renewed(reply: Reply) -> None:
                if reply.code != 404:
                    session.renewed(held, now)
                elif session.id == held:
                    session.lapsed()

            self._ask("renew", self.api.renew(held), renewed)
        if now >= self.passed_us + self.times.renew_every_us and self._may_ask("pass", now):
            self.passed_us = now

            def passed(reply: Reply) -> None:
                if reply.code == 404:  # the engine forgot the service: register again
                    self._register()

            self._ask("pass", self.api.pass_check(fleet.name), passed)

    def _members(self, reply: Reply) -> None:
        self._engine_well()
        told = {one.name: one.aside for one in members_of(reply.body or [])}
        now = self.deadlines.now_us()
        if self.roster.told(told, now):
            log.info("fleet: members %s", ",".join(sorted(self.roster.present())))

    def _entries(self, reply: Reply) -> None:
        self._engine_well()
        entries = entries_of(reply.body)
        now = self.deadlines.now_us()
        if self.load:
            self.load.shown(entries)
        for work in self.works:
            work.shown(entries, now)
            self._work(work, now)

    def _restarted(self) -> None:
        """Ask everything anew: the engine's index went back, so it started anew."""
        self.counters.add("fleet.index_resets")
        log.warning("fleet: engine %s: its index went back; everything is asked anew", self.fleet.engine)
        for work in self.works:
            work.restarted()

    def _run(self, work: Work, step: Step) -> None:
        api, session_id, claim = self.api, self.session.id or "", work.claim
        now = self.deadlines.now_us()
        if step is Step.ACQUIRE:
            made = api.kv_put(claim.key, self.fleet.name, acquire=session_id)
            made.addCallback(lambda reply: claim.acquired(reply.body is True, now))
        elif step is Step.READ_COUNTER:
            made = api.kv_get(f"{claim.key}/token")

            def read(reply: Reply) -> None:
                entry = entry_of(reply.body)
                stored = int(entry.value) if entry and entry.value.isdigit() else 0
                claim.counter_read(stored, entry.modify_index if entry else 0)

            made.addCallback(read)
        elif step is Step.WRITE_COUNTER:
            number = claim.number_to_write()
            made = api.kv_put(f"{claim.key}/token", str(number), cas=str(claim.counter_index))
            made.addCallback(lambda reply: claim.counter_written(reply.body is True))
        elif step is Step.CHECK:
            made = api.kv_get(claim.key)

            def checked(reply: Reply) -> None:
                entry = entry_of(reply.body)
                claim.checked(entry.session if entry else None, self.session)

            made.addCallback(checked)
        else:
            made = api.kv_put(claim.key, "", release=session_id)
            made.addCallback(lambda _reply: claim.released())

        def done(_result: Any) -> None:
            # The next step follows at once: a takeover must not wait for a tick between its steps.
            if not self.stopped:
                self._work(work, self.deadlines.now_us())

        def failed(failure: Any) -> None:
            self._engine_fault(failure)
            claim.failed()

        made.addCallbacks(done, failed)

    def _followed(self, servers: dict[str, Server]) -> None:
        """Hand a view's news to who takes it."""
        news = change(self.servers, servers)
        self.servers = servers
        if self.listed is None or not (news.servers or news.gone or self.first_list):
            return
        states = {"ready": SwitchState.READY, "draining": SwitchState.DRAINING}
        entries = [
            SwitchEntry(one.name, one.cell, states[one.state], one.started_ms * 1000) for one in news.servers
        ]
        entries += [SwitchEntry(one.name, one.cell, SwitchState.GONE) for one in news.gone]
        told = [SipServer(one.name, Hop(one.transport, one.host, one.port), one.cell) for one in news.servers]
        kind = ListKind.COMPLETE if self.first_list else ListKind.CHANGES
        self.first_list = False
        self.counters.add("fleet.lists")
        self.listed(kind, told, entries)

    def owns(self) -> list[str]:
        """Return the work this member owns now."""
        return [work.name for work in self.works if work.claim.phase is Phase.OWNER]
