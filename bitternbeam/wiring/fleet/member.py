"""The fleet's member: one Consul session, a lease a piece of work, acts under tokens, records followed.

Under `run --config` with a `[fleet]` section only. Decisions are in `bitternbeam/fleet`; this package carries
their steps to net.coordination and tells them the answers. Three blocking queries stand at the engine: the
members, all leases, all records.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from bitternbeam.configuration.fleet import Fleet
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.configuration.versions import Versions
from bitternbeam.core.limiters import combine_limiters
from bitternbeam.core.ports import TrafficLimiter
from bitternbeam.counters import Counters
from bitternbeam.fleet.claim import Phase, Step
from bitternbeam.fleet.placement import should_hold
from bitternbeam.net.coordination import Reply, entries_of, members_of
from bitternbeam.tables.deadlines import Deadline, Deadlines
from bitternbeam.wiring.fleet.listing import Listing
from bitternbeam.wiring.fleet.presence import Presence
from bitternbeam.wiring.fleet.reports import Reports
from bitternbeam.wiring.fleet.settings import bench_of, extensions_of, probes_of
from bitternbeam.wiring.fleet.steps import carry
from bitternbeam.wiring.fleet.verdicts import VerdictsExtension
from bitternbeam.wiring.fleet.version_work import VersionWork
from bitternbeam.wiring.fleet.view_work import ViewWork
from bitternbeam.wiring.fleet.watch import Watch
from bitternbeam.wiring.fleet.work import Work
from bitternbeam.wiring.parts import Part

log = logging.getLogger(__name__)


class Member(Part):
    """One member of the fleet; `versions` is what the version record is committed from, if anything.

    `away_us`: the longest wait that callers heed; 0: they take no advice. `reread` reads the [fleet] section
    anew, or raises DocumentError.
    """

    name = "fleet"

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        counters: Counters,
        fleet: Fleet,
        versions: Versions | None = None,
        *,
        away_us: int = 0,
        reread: Callable[[], Fleet | None] = lambda: None,
    ) -> None:
        self.deadlines, self.counters, self.fleet, self.reread = deadlines, counters, fleet, reread
        bench = bench_of(reactor, deadlines, counters, fleet)
        self.api, self.roster, self.times = bench.api, bench.roster, bench.times
        self.presence = Presence(bench)
        self.probes = probes_of(bench)
        self.extensions = extensions_of(bench, self.probes, self.presence, away_us, versions)
        self.reports = Reports(bench, self.extensions)
        self.works: list[Work] = [*self.probes.values()]
        self.view = ViewWork(bench, self.probes) if fleet.directory else None
        self.version = VersionWork(bench, versions) if versions is not None else None
        self.works += [one for one in (self.view, self.version) if one is not None]
        self.works += [work for one in self.extensions for work in one.works]
        self.listing = Listing(counters)
        if self.view:
            self.view.followed = self.listing.followed
        self.watches = self._watches(fleet)
        self.restarted_us = -(10**18)
        self.timer: Deadline | None = None
        self.stopped = False

    def _watches(self, fleet: Fleet) -> list[Watch]:
        """Return the queries that follow members, leases and records."""
        ttl_us, failed = self.times.ttl_us, self.presence.fault
        # Long periods must not let records grow old between two questions.
        news_us = min(fleet.period_ms, fleet.view_age_ms // 3) * 1000
        return [
            Watch(
                self.deadlines,
                lambda index: self.api.health(fleet.service, index=index, wait_us=ttl_us),
                self._members, failed, lambda: None,
            ),
            Watch(
                self.deadlines,
                lambda index: self.api.kv_watch(f"{fleet.prefix}/lease/", index=index, wait_us=ttl_us),
                self._leases, failed, self._restarted,
            ),
            Watch(
                self.deadlines,
                lambda index: self.api.kv_watch(f"{fleet.prefix}/record/", index=index, wait_us=ttl_us),
                self._records, failed, self._restarted, period_us=news_us,
            ),
        ]  # fmt: skip

    def start(self) -> None:
        """Register, then follow the engine and look at the leases every tick."""
        self.presence.register()
        for watch in self.watches:
            watch.start()
        self._tick()

    def halt(self) -> None:
        """Send nothing more, as if killed: the session lapses at the engine by its TTL."""
        self.stopped = self.presence.stopped = True
        for watch in self.watches:
            watch.stop()
        if self.timer:
            self.timer.cancel()

    def stop(self) -> None:
        """Leave: release what is held and the registration, so that others go on at once."""
        if self.stopped:
            return
        self.halt()
        session = self.presence.session.id
        made = [self.api.deregister(self.fleet.name)]
        if session is not None:
            held = [work.claim.key for work in self.works if work.claim.phase is not Phase.FOLLOWING]
            made += [self.api.kv_put(key, "", release=session) for key in held]
        for one in made:
            one.addErrback(lambda _failure: None)

    def reload(self) -> None:
        """Take what may change in service of the section as it is now (SIGHUP), or raise DocumentError."""
        fleet = self.reread()
        if fleet is not None:
            for one in self.extensions:
                one.reload(fleet)

    def status(self) -> dict[str, Any]:
        """Return each piece of work's phase and token, the members, and how the member stands."""
        now = self.deadlines.now_us()
        told: dict[str, Any] = {
            "alone": self.presence.standing.is_isolated,
            "session": self.presence.session.id,
            "members": sorted(self.roster.present()),
            "share": round(1 / self.roster.size(now), 6),
            "work": {work.name: [work.claim.phase.value, str(work.claim.token or "")] for work in self.works},
        }
        told |= {one.name: status for one in self.extensions if (status := one.status())}
        if self.view:
            told["view"] = {
                "fresh": self.view.follower.fresh(now) is not None,
                "servers": {name: one.state for name, one in self.listing.servers.items()},
            }
        if self.version:
            told |= self.version.status()
        return told

    def _tick(self) -> None:
        if self.stopped:
            return
        now = self.deadlines.now_us()
        self.timer = self.deadlines.after(self.times.tick_us, self._tick)
        self.presence.tick(now)
        self.presence.asides(frozenset(work.name for work in self.works if work.aside_until_us > now), now)
        for work in self.works:
            self._work(work, now)
        for one in self.extensions:
            one.tick(now)
        self.reports.tick(now)
        if self.presence.standing.is_isolated:
            for each in self.probes.values():
                each.look(now, self.roster.size(now))
            if self.view and self.view.follower.fresh(now) is None:
                self.view.alone()

    def _work(self, work: Work, now: int) -> None:
        claim = work.claim
        wanted = should_hold(
            claim, work.lock, self.roster.place(work.name, now), work.aside_until_us > now, now
        )  # fmt: skip
        before = claim.phase
        step = claim.next_step(now, self.presence.session, wanted)
        if step is not None:
            self._run(work, step)
        if claim.phase is not before:
            log.info(
                "fleet: %s %s -> %s", work.name, before.value, claim.phase.value, extra={"key": claim.key}
            )
        token = claim.may_act(now, self.presence.session)
        if token is not None:
            work.act(token, now)
            work.publish(token, now)

    def _run(self, work: Work, step: Step) -> None:
        def done(_result: Any) -> None:
            # The next step follows at once: a takeover must not wait for a tick between its steps.
            if not self.stopped:
                self._work(work, self.deadlines.now_us())

        def failed(failure: Any) -> None:
            self.presence.fault(failure)
            work.claim.request_failed()

        now = self.deadlines.now_us()
        made = carry(self.api, work.claim, step, self.presence.session, name=self.fleet.name, now_us=now)
        made.addCallbacks(done, failed)

    def _members(self, reply: Reply) -> None:
        self.presence.well()
        told = {one.name: one.aside for one in members_of(reply.body or [])}
        if self.roster.update(told, self.deadlines.now_us()):
            log.info("fleet: members %s", ",".join(sorted(self.roster.present())))

    def _leases(self, reply: Reply) -> None:
        self.presence.well()
        entries = entries_of(reply.body)
        now = self.deadlines.now_us()
        for work in self.works:
            work.leased(entries, now)
            self._work(work, now)

    def _records(self, reply: Reply) -> None:
        self.presence.well()
        entries = entries_of(reply.body)
        now = self.deadlines.now_us()
        for work in self.works:
            work.shown(entries, now)
        for one in self.extensions:
            one.shown(entries, now)
        for work in self.works:
            self._work(work, now)

    def _restarted(self) -> None:
        """Ask everything anew: the engine's index went back, so it started anew."""
        now = self.deadlines.now_us()
        if now - self.restarted_us > self.times.ttl_us:  # else the other watch told it
            self.counters.add("fleet.index_resets")
            log.warning("fleet: engine %s: its index went back; everything is asked anew", self.fleet.engine)
        self.restarted_us = now
        for work in self.works:
            work.restarted()
        for one in self.extensions:
            one.restarted()

    def bounds(self) -> TrafficLimiter | None:
        """Return what the cores ask, None: nothing is bounded."""
        return combine_limiters([one.bounds for one in self.extensions if one.bounds is not None])

    def checks(self, again: Callable[[], None]) -> list[Callable[[Snapshot, Snapshot], None]]:
        """Return who may refuse a version, by raising DocumentError; `again` has the file's offered anew."""
        judges = [one for one in self.extensions if isinstance(one, VerdictsExtension)]
        for one in judges:
            one.again = again
        return [one.check for one in judges]

    def owns(self) -> list[str]:
        """Return the work this member owns now."""
        return [work.name for work in self.works if work.claim.phase is Phase.OWNER]
