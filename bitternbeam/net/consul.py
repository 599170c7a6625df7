"""Consul: the servers of one service, by blocking queries on its health API and its catalogue.

The health endpoint tells which instances there are and what their checks say. One that has left it
is looked for in the catalogue: still registered there, it drains; else it is gone.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from bitternbeam.counters import Counters
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.repeated_query import RepeatedQuery
from bitternbeam.net.sip.settings import ConsulSettings, SipServer
from bitternbeam.net.sip.transport import Hop
from bitternbeam.tables.deadlines import Deadline, Deadlines

Listed = Callable[[ListKind, list[SipServer], list[SwitchEntry]], None]


class BadReply(Exception):  # noqa: N818
    """A reply that can't be used."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the service as the health API tells it."""

    name: str
    hop: Hop
    cell: int
    state: SwitchState
    started_us: int


def instance_of(item: dict[str, Any], transport: str, cells: dict[str, int]) -> Instance:
    """Read one entry: state from its checks and Meta, cell and start from Meta.

    Passing checks mean ready; a warning, a critical check, maintenance or `state = draining` in Meta
    means that nothing new is sent there.
    """
    service = item["Service"]
    meta = service.get("Meta") or {}
    name = str(service["ID"])
    host = str(service.get("Address") or item["Node"]["Address"])
    told = str(meta.get("cell", ""))
    free = next(number for number in range(len(cells) + 1) if number not in cells.values())
    cell = int(told) if told.isdigit() else cells.setdefault(name, free)
    passing = all(check.get("Status") == "passing" for check in item.get("Checks") or ())
    ready = passing and meta.get("state", "up") in ("up", "ready")
    started = str(meta.get("started_ms", "0"))
    kind = str(meta.get("transport", transport)).upper()
    return Instance(
        name,
        Hop("TCP" if kind == "TCP" else "UDP", host, int(service["Port"])),
        cell,
        SwitchState.READY if ready else SwitchState.DRAINING,
        int(started) * 1000 if started.isdigit() else 0,
    )


@implementer(IAgentEndpointFactory)
class Consul(RepeatedQuery):
    """Follows one service. It is a Directory."""

    def __init__(
        self,
        *,
        reactor: Any,
        settings: ConsulSettings,
        listed: Listed,
        deadlines: Deadlines,
        limits: Limits,
        counters: Counters,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.listed = listed
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.index = 0
        self.failures = 0
        self.held: dict[str, Instance] = {}
        self.cells: dict[str, int] = {}
        self.first = True
        # An address needs no resolver: without this the agent starts threads for one.
        self.reactor = reactor
        self.agent = Agent.usingEndpointFactory(reactor, self, HTTPConnectionPool(reactor, persistent=False))

    def endpointForURI(self, _uri: Any) -> Any:
        """Return where the agent connects."""
        timeout = self.limits.consul_connect_us / 1e6
        return TCP4ClientEndpoint(self.reactor, self.settings.host, self.settings.port, timeout=timeout)

    def start(self) -> None:
        """Ask for the list and then for every change."""
        self._ask()

    def _get(self, path: str) -> Deferred[Any]:
        """Fetch a path; fires with the headers' index and the JSON list."""
        settings = self.settings
        url = f"http://{settings.host}:{settings.port}{path}"
        headers = Headers({"Accept": ["application/json"]})
        if settings.token:
            headers.addRawHeader("X-Consul-Token", settings.token)
        made: Deferred[Any] = self.agent.request(b"GET", url.encode(), headers)
        made.addCallback(self._read)
        return made

    @staticmethod
    def _read(response: Any) -> Deferred[Any]:
        told = response.headers.getRawHeaders("X-Consul-Index", ["0"])[0]

        def parse(body: bytes) -> tuple[int, list[Any]]:
            if response.code != 200:
                raise BadReply(f"status {response.code}")
            items = json.loads(body)
            if not isinstance(items, list) or not told.isdigit():
                raise BadReply("not a list, or no index")
            return int(told), items

        read: Deferred[Any] = readBody(response)
        return read.addCallback(parse)

    def _ask(self) -> None:
        """Send a blocking query; its answer comes when something changed, or after its wait."""
        if self.stopped:
            return
        wait_s = max(1, self.limits.consul_wait_us // 1_000_000)
        path = f"/v1/health/service/{quote(self.settings.service, safe='')}?index={self.index}&wait={wait_s}s"
        self.query = self._get(path)
        # The server adds up to a sixteenth of the wait; one that stays silent longer is given up.
        bound_us = self.limits.consul_wait_us * 17 // 16 + self.limits.consul_connect_us * 4
        query = self.query
        bound = self.deadlines.after(bound_us, query.cancel)
        query.addCallback(self._health)
        query.addBoth(self._over, bound)

    def _over(self, result: Any, bound: Deadline) -> None:
        """Ask again: at once after an answer, later and later after errors; the last list is kept."""
        bound.cancel()
        self.query = None
        if self.stopped:
            return
        if hasattr(result, "getErrorMessage"):
            self.counters.add("consul.errors")
            self.index = 0  # what was missed is asked for whole
            wait_us = min(
                self.limits.consul_retry_us << min(self.failures, 16), self.limits.consul_max_backoff_us
            )
            self.failures += 1
            self.later = self.deadlines.after(wait_us, self._ask)
            return
        self.failures = 0
        # One that answers without waiting must not be asked in a tight loop.
        self.later = self.deadlines.after(self.limits.consul_min_interval_us, self._ask)

    def _health(self, reply: tuple[int, list[Any]]) -> Deferred[Any] | None:
        index, items = reply
        self.counters.add("consul.answers")
        if index < self.index:
            # The index went backwards: the server starts anew, and so must the questions.
            self.counters.add("consul.index_resets")
            index = 0
        self.index = max(0, index)
        now: dict[str, Instance] = {}
        for item in items:
            try:
                one = instance_of(item, self.settings.transport, self.cells)
            except (KeyError, TypeError, ValueError, AttributeError):
                self.counters.add("consul.bad_instances")
                continue
            now[one.name] = one
        missing = self.held.keys() - now.keys()
        if not missing:
            self._tell(now, set())
            return None
        return self._ask_catalogue(now).addCallbacks(
            lambda found: self._tell(now, registered(found[1])),
            # Without the catalogue's word it counts as gone: sending there may break a rule.
            lambda _failure: self._tell(now, set()),
        )

    def _ask_catalogue(self, now: dict[str, Instance]) -> Deferred[Any]:
        """Ask which instances are registered.

        If the answer takes long, all that is missing from the health API's list drains until it comes:
        nothing new may be sent there, and the list's other changes must not wait.
        """
        query = self._get(f"/v1/catalog/service/{quote(self.settings.service, safe='')}")
        slow = self.deadlines.after(
            self.limits.consul_catalogue_slow_us, lambda: self._tell(now, self.held.keys() - now.keys())
        )
        bound = self.deadlines.after(self.limits.consul_catalogue_us, query.cancel)

        def stop_timers(result: Any) -> Any:
            slow.cancel()
            bound.cancel()
            return result

        return query.addBoth(stop_timers)

    def _tell(self, now: dict[str, Instance], registered: set[str]) -> None:
        """Tell what changed; the first list is told whole."""
        gone = [one for name, one in self.held.items() if name not in now and name not in registered]
        drains = [one for name, one in self.held.items() if name not in now and name in registered]
        changed = [one for name, one in now.items() if self.held.get(name) != one]
        entries = [SwitchEntry(one.name, one.cell, one.state, one.started_us) for one in changed]
        entries += [SwitchEntry(one.name, one.cell, SwitchState.DRAINING, one.started_us) for one in drains]
        entries += [SwitchEntry(one.name, one.cell, SwitchState.GONE, one.started_us) for one in gone]
        servers = [SipServer(one.name, one.hop, one.cell) for one in changed]
        self.held = now | {one.name: replace(one, state=SwitchState.DRAINING) for one in drains}
        self.cells = {name: cell for name, cell in self.cells.items() if name in self.held}
        if self.first or entries:
            kind = ListKind.COMPLETE if self.first else ListKind.CHANGES
            self.first = False
            self.counters.add("consul.lists")
            self.listed(kind, servers, entries)


def registered(items: list[Any]) -> set[str]:
    """Return the ids of a catalogue's instances."""
    return {str(item["ServiceID"]) for item in items if isinstance(item, dict) and "ServiceID" in item}
