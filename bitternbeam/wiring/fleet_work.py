"""The pieces of the fleet's work: probing a booker, the pool view, the version record.

Each says what its owner does under a token (`act`), publishes through the fenced record of `fleet.record`,
and takes what others published (`heard`). Decisions are fleet.ramp and fleet.view; this file carries them.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bitternbeam.configuration.life import Stage
from bitternbeam.configuration.node import Fleet
from bitternbeam.configuration.versions import Versions, content_of
from bitternbeam.counters import Counters
from bitternbeam.fleet.commit import Committed, committed_of, to_commit
from bitternbeam.fleet.lease import Claim, LeaseTimes
from bitternbeam.fleet.membership import Roster
from bitternbeam.fleet.placement import Lock
from bitternbeam.fleet.pressure import Governor, Pressure, pressure_of
from bitternbeam.fleet.ramp import Health, Ramp, Told, told_of
from bitternbeam.fleet.record import Follower, Heard, Publication, Write
from bitternbeam.fleet.tokens import Token, parse_token
from bitternbeam.fleet.view import Pool, Server, servers_of, view_value
from bitternbeam.net.consul import instance_of
from bitternbeam.net.coordination import ConsulApi, KvEntry, Reply, entry_of
from bitternbeam.net.probes import probe
from bitternbeam.tables.deadlines import Deadlines

log = logging.getLogger(__name__)

PROBES_LOST = 3  # in a row: the owner can't reach what others may reach


@dataclass(slots=True)
class Bench:
    """What every piece of work is handed."""

    reactor: Any
    deadlines: Deadlines
    counters: Counters
    fleet: Fleet
    times: LeaseTimes
    api: ConsulApi
    roster: Roster


class Work:
    """One piece of work: its lease, the record it publishes, and the follower of what others publish."""

    def __init__(self, bench: Bench, kind: str, name: str = "") -> None:
        self.bench = bench
        self.name = f"{kind}/{name}" if name else kind
        prefix = bench.fleet.prefix
        self.claim = Claim(f"{prefix}/lease/{self.name}", bench.fleet.name, bench.times)
        self.lock = Lock()
        self.key = f"{prefix}/record/{self.name}"
        age_us = bench.fleet.view_age_ms * 1000
        self.follower = Follower(age_us)
        self.publication = Publication(age_us // 3)
        self.aside_until_us = 0
        self.asides = 0

    def shown(self, entries: dict[str, KvEntry], now_us: int) -> None:
        """Take what the watch shows of the lease, the token counter and the record."""
        lock, counter = entries.get(self.claim.key), entries.get(f"{self.claim.key}/token")
        self.lock.observe(lock.session if lock else None, now_us)
        if counter and counter.value.isdigit() and len(counter.value) <= 18:
            self.claim.seen = max(self.claim.seen, int(counter.value))
        record = entries.get(self.key)
        if not self.publication.busy:
            self.publication.shown(*((record.modify_index, record.value) if record else (0, None)))
        if record is not None:
            heard = self.follower.hear(record.value, now_us, now_us // 1000)
            if heard is Heard.NEW and self.follower.record is not None:
                self.claim.seen = max(self.claim.seen, self.follower.record.token.number)
                self.heard(self.follower.record.value)
            elif heard is not Heard.SAME:
                self.bench.counters.add(f"fleet.records_{heard.value}")

    def heard(self, value: dict[str, Any]) -> None:
        """Take what was published."""

    def act(self, token: Token, now_us: int) -> None:
        """Do what the owner does now."""

    def value(self) -> dict[str, Any] | None:
        """Return what the owner would publish now; None: nothing yet."""
        return None

    def publish(self, token: Token, now_us: int) -> None:
        """Write the record if there is something to write."""
        value = self.value()
        if value is None or not self.publication.due(token, value, now_us):
            return
        write = self.publication.write(token, value, now_us, now_us // 1000)
        if isinstance(write, Token):
            self.refused(write)
        elif write is not None:
            self._put(write)
        else:
            self._look()

    def refused(self, highest: Token | None) -> None:
        """Note that a newer token stands in the way."""
        self.bench.counters.add("fleet.acts_refused")
        self.claim.refused(highest)

    def _put(self, write: Write) -> None:
        self.bench.counters.add("fleet.records_written")
        made = self.bench.api.kv_put(self.key, write.record.text(), cas=str(write.cas))
        made.addCallbacks(
            lambda reply: self.publication.written(reply.body is True, write),
            lambda _failure: self.publication.failed(),
        )

    def _look(self) -> None:
        """Read the record that is about to be replaced: the watch may lag behind."""
        self.publication.busy = True

        def read(reply: Reply) -> None:
            entry = entry_of(reply.body)
            self.publication.busy = False
            self.publication.shown(*((entry.modify_index, entry.value) if entry else (0, None)))

        made = self.bench.api.kv_get(self.key)
        made.addCallback(read)
        made.addErrback(lambda _failure: self.publication.failed())

    def restarted(self) -> None:
        """Forget what the engine held: it starts anew."""
        self.publication.forget()


class ProbeWork(Work):
    """Probing one booker and ramping it up; what is published is its state for the fleet."""

    def __init__(self, bench: Bench, booker: str, address: tuple[str, int]) -> None:
        super().__init__(bench, "probe", booker)
        self.booker, self.address = booker, address
        self.ramp = Ramp(bench.fleet.ramp_step_ms * 1000)
        self.next_us = 0
        self.lost_in_row = 0
        self.started_ms: int | None = None
        self.looked = Ramp(bench.fleet.ramp_step_ms * 1000)  # what this member alone saw, while it is alone
        self.under: Token | None = None
        self.governor = Governor()
        self.pressure: Pressure | None = None  # as published last, here or elsewhere

    def heard(self, value: dict[str, Any]) -> None:
        """Keep what the owner published: a new owner goes on from there."""
        told = told_of(value)
        if told is None:
            self.bench.counters.add("fleet.records_malformed")
            return
        pressure = pressure_of(value.get("pressure")) if "pressure" in value else None
        if "pressure" in value and pressure is None:
            self.bench.counters.add("fleet.records_malformed")
        if self.claim.token is None:  # else it is this member's own word
            self.ramp.resume(told)
            if pressure is not None:
                self.pressure = pressure
                self.governor.resume(pressure)

    def told(self) -> Told:
        """Return the booker's state as last published, or as this member's own probes show it."""
        return self.ramp.told

    def value(self) -> dict[str, Any] | None:
        """Return the booker's state, and its pressure where loads are shared."""
        told = self.ramp.told.value()
        return (
            told | {"pressure": self.pressure.value()} if self.pressure and self.bench.fleet.bounds else told
        )

    def act(self, token: Token, now_us: int) -> None:
        """Probe when it is time."""
        if self.under != token:
            self.under, self.lost_in_row = token, 0
        if now_us < self.next_us:
            return
        self.next_us = now_us + self.bench.fleet.probe_ms * 1000
        self.bench.counters.add("fleet.probes")
        sent = self._send(f"PROBE {self.booker} {token}")
        sent.addCallbacks(lambda line: self._answered(line, token), lambda _failure: self._lost(token))

    def _send(self, line: str) -> Any:
        bench = self.bench
        within_us = max(200_000, min(1_000_000, bench.fleet.probe_ms * 1000))
        return probe(bench.reactor, bench.deadlines, self.address, line, within_us)

    def _answered(self, line: str, token: Token) -> None:
        now = self.bench.deadlines.now_us()
        if line.startswith("NO"):
            self.bench.counters.add("fleet.probes_refused")
            log.info("fleet: probe of %s with %s refused (%s)", self.booker, token, line)
            self.refused(parse_token(line.removeprefix("NO").strip()))
            return
        if not line.startswith("OK"):
            self._lost(token)
            return
        if self.claim.token != token:
            return  # an answer to a probe of an ownership that is over
        self.lost_in_row = 0
        self._started(self.ramp, line, now)
        if self.ramp.probed(True, now, now // 1000):
            log.info("fleet: %s is %s at %g", self.booker, self.ramp.told.health, self.ramp.told.share)

    def _started(self, ramp: Ramp, line: str, now: int) -> None:
        """Take a booker that tells a later start than before for replaced: it is cold."""
        told = line.removeprefix("OK").strip()
        if not told.isdigit() or len(told) > 15:
            return
        if self.started_ms is not None and int(told) > self.started_ms:
            ramp.cold(now, now // 1000)
        self.started_ms = int(told)

    def _lost(self, token: Token) -> None:
        self.bench.counters.add("fleet.probes_lost")
        if self.claim.token != token:
            return
        now = self.bench.deadlines.now_us()
        self.lost_in_row += 1
        known = self.ramp.told.health is Health.EJECTED
        if not known and self.bench.roster.may_stand_aside(self.name):
            # It may be this member that is cut off: another one tries before the fleet hears of it.
            if self.lost_in_row >= PROBES_LOST:
                self.asides += 1
                self.aside_until_us = now + self.bench.times.ttl_us * (2 << min(self.asides, 4))
                log.info("fleet: %s can't be reached from here; another one tries", self.booker)
            return
        if self.ramp.probed(False, now, now // 1000):
            log.warning("fleet: %s is %s", self.booker, self.ramp.told.health)

    def look(self, now_us: int, size: int) -> None:
        """Alone: look after oneself, so seldom that a whole fleet of loners costs what one owner does."""
        if now_us < self.next_us:
            return
        self.next_us = now_us + self.bench.fleet.probe_ms * 1000 * size
        self.bench.counters.add("fleet.looks")

        def seen(good: bool) -> None:
            now = self.bench.deadlines.now_us()
            self.looked.probed(good, now, now // 1000)

        sent = self._send(f"LOOK {self.booker} {self.bench.fleet.name}")
        sent.addCallbacks(lambda line: seen(line.startswith("OK")), lambda _failure: seen(False))


class ViewWork(Work):
    """Reading the directory and publishing the pool view that the others follow."""

    def __init__(self, bench: Bench, probes: dict[str, ProbeWork]) -> None:
        super().__init__(bench, "view")
        self.probes = probes
        self.pool = Pool(bench.fleet.gone_ms * 1000)
        self.index = 0
        self.asking = False
        self.not_before_us = 0  # a question that failed waits: refused, it would be asked at every tick
        self.cells: dict[str, int] = {}
        self.followed: Callable[[dict[str, Server]], None] = lambda _servers: None

    def heard(self, value: dict[str, Any]) -> None:
        """Follow the published view; half a view is no view."""
        servers = servers_of(value)
        if servers is None:
            self.bench.counters.add("fleet.records_malformed")
            return
        if self.claim.token is None:
            self.pool.resume(servers)
        self.followed(servers)

    def act(self, token: Token, now_us: int) -> None:
        """Follow the directory."""
        self.read()

    def read(self) -> None:
        """Ask for the directory's next change, one question at a time."""
        if self.asking or self.bench.deadlines.now_us() < self.not_before_us:
            return
        self.asking = True
        fleet, bench = self.bench.fleet, self.bench
        made = bench.api.health(fleet.directory, index=self.index, wait_us=bench.times.ttl_us, passing=False)

        def told(reply: Reply) -> None:
            self.asking = False
            self.index = reply.index if reply.index >= self.index else 0
            servers = self._servers(reply.body or [])
            self.pool.told(servers, bench.deadlines.now_us())

        def failed(_failure: Any) -> None:
            self.asking, self.index = False, 0
            self.not_before_us = bench.deadlines.now_us() + bench.times.renew_every_us // 4

        made.addCallbacks(told, failed)

    def _servers(self, items: list[Any]) -> dict[str, Server]:
        found = {}
        for item in items:
            try:
                one = instance_of(item, self.bench.fleet.transport, self.cells)
                state = "ready" if one.state.value == "ready" else "draining"
                kind = "TCP" if one.hop.reliable else "UDP"
                where = (one.hop.host, one.hop.port, kind)
                found[one.name] = Server(one.name, *where, one.cell, state, one.started_us // 1000)
            except (KeyError, TypeError, ValueError, AttributeError):
                self.bench.counters.add("fleet.bad_instances")
        return found

    def value(self) -> dict[str, Any] | None:
        """Return the reconciled view once the directory has been read."""
        if not self.pool.read:
            return None
        told = {name: work.told() for name, work in self.probes.items()}
        members = self.bench.roster.size(self.bench.deadlines.now_us())
        return view_value(self.pool.servers(told), members)

    def alone(self) -> None:
        """Without a fresh view: read the directory alone, and narrow it by what was looked at alone."""
        self.read()
        looked = {name: work.looked.told for name, work in self.probes.items()}
        servers = {one.name: one for one in self.pool.servers(looked)}
        if servers:
            self.followed(servers)

    def restarted(self) -> None:
        """Ask the directory for everything."""
        super().restarted()
        self.index = 0


class VersionWork(Work):
    """Committing a configuration version for the fleet: the number and content that proved good."""

    def __init__(self, bench: Bench, versions: Versions) -> None:
        super().__init__(bench, "version")
        self.versions = versions
        self.committed: Committed | None = None

    def good(self) -> Committed | None:
        """Return the version that runs here, None while it is still judged."""
        versions = self.versions
        if versions.version.stage is not Stage.GOOD and versions.running.number != versions.good.number:
            return None
        return Committed(str(versions.running.number), content_of(versions.running))

    def value(self) -> dict[str, Any] | None:
        """Return what the owner commits."""
        good = self.good()
        if good is None:
            return None
        back = {str(one.number) for one in self.versions.ended if one.stage is Stage.ROLLED_BACK}
        return to_commit(good, self.committed, back).value()

    def heard(self, value: dict[str, Any]) -> None:
        """Note what the fleet committed, and say so once if this member runs something else."""
        committed = committed_of(value)
        if committed is None:
            self.bench.counters.add("fleet.records_malformed")
            return
        if self.committed == committed:
            return
        self.committed = committed
        good = self.good()
        if good is not None and good.content != committed.content:
            log.warning("fleet: version %s is committed, this member runs %s", committed.number, good.number)
            self.bench.counters.add("fleet.versions_differ")
