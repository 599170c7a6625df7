"""The pool view, read from the directory once for the whole fleet; decisions are fleet.view."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternbeam.fleet.tokens import Token
from bitternbeam.fleet.view import Pool, Server, parse_servers, view_value
from bitternbeam.net.consul import instance_of
from bitternbeam.net.coordination import Reply
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.probe_work import ProbeWork
from bitternbeam.wiring.fleet.work import Work


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
        servers = parse_servers(value)
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
            self.pool.update(servers, bench.deadlines.now_us())

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
        looked = {name: work.looked.state for name, work in self.probes.items()}
        servers = {one.name: one for one in self.pool.servers(looked)}
        if servers:
            self.followed(servers)

    def restarted(self) -> None:
        """Ask the directory for everything."""
        super().restarted()
        self.index = 0
