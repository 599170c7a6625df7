"""The fleet's member: one Consul session, a lease a piece of work it should own, probes sent under tokens.

Under `run --config` with a `[fleet]` section only. Decisions are fleet.lease and fleet.rendezvous; this
file carries their steps to net.coordination and net.probes, and tells them the answers.
"""

from __future__ import annotations

import logging
from typing import Any

from bitternbeam.configuration.node import Fleet, lease_times
from bitternbeam.counters import Counters
from bitternbeam.fleet.lease import Claim, Phase, Session, Step
from bitternbeam.fleet.rendezvous import owner
from bitternbeam.fleet.tokens import parse_token
from bitternbeam.net.consul import BadReply
from bitternbeam.net.coordination import ConsulApi, Reply, entry_of
from bitternbeam.net.probes import probe
from bitternbeam.tables.deadlines import Deadline, Deadlines
from bitternbeam.wiring.parts import Part

log = logging.getLogger(__name__)


class Member(Part):
    """One member of the fleet; `probes` maps a booker's name to its probe address."""

    name = "fleet"

    def __init__(self, reactor: Any, deadlines: Deadlines, counters: Counters, fleet: Fleet) -> None:
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
        )
        self.session = Session(self.times, deadlines.now_us())
        self.probes: dict[str, tuple[str, int]] = {}
        for one in fleet.probes:
            booker, _, address = one.partition("=")
            where, _, number = address.rpartition(":")
            self.probes[booker] = (where, int(number))
        self.claims = {
            booker: Claim(f"{fleet.prefix}/probe/{booker}", fleet.name, self.times) for booker in self.probes
        }
        self.members: set[str] = {fleet.name}
        self.members_index = 0
        self.asking: set[str] = set()  # session, renew, check-pass, members: one of each at a time
        self.next_probe_us: dict[str, int] = {}
        self.passed_us = -(10**18)
        self.timer: Deadline | None = None
        self.stopped = False
        self.engine_said = ""

    def start(self) -> None:
        """Register, then look at the leases every tick."""
        self._register()
        self._tick()

    def _register(self) -> None:
        """Register as an instance of the service, with a TTL check that the member passes."""
        self._ask("register", self.api.register(self.fleet.service, self.fleet.name, self.fleet.ttl_ms, {}))

    def stop(self) -> None:
        """Send nothing more; the session lapses at the engine by its TTL (or was destroyed)."""
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    def status(self) -> dict[str, Any]:
        """Return each claim's phase and token, and the members known."""
        claims = {
            booker: [claim.phase.value, str(claim.token or "")] for booker, claim in self.claims.items()
        }
        return {"session": self.session.id, "members": sorted(self.members), "claims": claims}

    def _ask(self, what: str, made: Any, then: Any = None) -> None:
        self.asking.add(what)

        def answered(reply: Reply) -> None:
            self.asking.discard(what)
            if then:
                then(reply)

        def failed(failure: Any) -> None:
            self.asking.discard(what)
            self._engine_fault(failure)
            if what == "members":
                self.members_index = 0

        made.addCallbacks(answered, failed)

    def _engine_fault(self, failure: Any) -> None:
        said = failure.getErrorMessage() if failure.check(BadReply) else type(failure.value).__name__
        if said != self.engine_said:
            # One line for each new kind of trouble, not one a tick.
            log.warning(
                "fleet: engine %s: %s; nothing is acted on without a sure lease", self.fleet.engine, said
            )
            self.engine_said = said

    def _tick(self) -> None:
        if self.stopped:
            return
        now = self.deadlines.now_us()
        if self.session.tick(now):
            log.info("fleet: %s was paused; leases are checked before acting", self.fleet.name)
        self._session_steps(now)
        if "members" not in self.asking:
            self._ask(
                "members",
                self.api.health(self.fleet.service, index=self.members_index, wait_us=self.times.ttl_us),
                self._members,
            )
        for booker, claim in self.claims.items():
            wanted = owner(claim.key, self.members | {self.fleet.name}) == self.fleet.name
            before = claim.phase
            step = claim.step(now, self.session, wanted)
            if step is not None:
                self._run(claim, step)
            if claim.phase is not before:
                log.info("fleet: %s %s -> %s", claim.key, before.value, claim.phase.value)
            self._maybe_probe(booker, claim, now)
        self.timer = self.deadlines.after(self.times.tick_us, self._tick)

    def _session_steps(self, now: int) -> None:
        session = self.session
        if session.id is None and "session" not in self.asking:

            def made(reply: Reply) -> None:
                if reply.code == 200 and isinstance(reply.body, dict) and "ID" in reply.body:
                    session.created(str(reply.body["ID"]), now)

            self._ask(
                "session",
                self.api.create_session(self.fleet.name, self.fleet.ttl_ms, self.fleet.lock_delay_ms),
                made,
            )
        elif session.id is not None and session.renew_due(now) and "renew" not in self.asking:
            held = session.id

            def renewed(reply: Reply) -> None:
                if reply.code != 404:
                    session.renewed(held, now)
                elif session.id == held:
                    session.lapsed()

            self._ask("renew", self.api.renew(held), renewed)
        if now >= self.passed_us + self.times.renew_every_us and "pass" not in self.asking:
            self.passed_us = now

            def passed(reply: Reply) -> None:
                if reply.code == 404:  # the engine forgot the service: register again
                    self._register()

            self._ask("pass", self.api.pass_check(self.fleet.name), passed)

    def _members(self, reply: Reply) -> None:
        if reply.index < self.members_index:
            self.members_index = 0  # the engine starts anew: so do the questions
            return
        self.members_index = reply.index
        found = {str(item["Service"]["ID"]) for item in reply.body or () if isinstance(item, dict)}
        if found != self.members:
            log.info("fleet: members %s", ",".join(sorted(found)))
        self.members = found or {self.fleet.name}

    def _run(self, claim: Claim, step: Step) -> None:
        api, session_id = self.api, self.session.id or ""
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

        def failed(failure: Any) -> None:
            self._engine_fault(failure)
            claim.failed()

        made.addErrback(failed)

    def _maybe_probe(self, booker: str, claim: Claim, now: int) -> None:
        token = claim.may_act(now, self.session)
        if token is None or now < self.next_probe_us.get(booker, 0):
            return
        self.next_probe_us[booker] = now + self.fleet.probe_ms * 1000
        self.counters.add("fleet.probes")
        sent = probe(self.reactor, self.deadlines, self.probes[booker], f"PROBE {booker} {token}", 1_000_000)

        def answered(line: str) -> None:
            if line.startswith("NO"):
                self.counters.add("fleet.probes_refused")
                claim.refused(parse_token(line.removeprefix("NO").strip()))
                log.info("fleet: probe of %s with %s refused (%s)", booker, token, line)

        sent.addCallbacks(answered, lambda _failure: self.counters.add("fleet.probes_lost"))

    def owns(self) -> list[str]:
        """Return the bookers this member owns now."""
        return [booker for booker, claim in self.claims.items() if claim.phase is Phase.OWNER]
