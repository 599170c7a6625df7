"""Consul's session, KV and agent API, as the fleet's leases use it (Consul's HTTP API documentation).

Each call is one request over a fresh connection, bounded by a deadline; an answer that is not Consul's
(another status, a body that is not JSON, no index) fails the call with BadReply, naming the path, and the
caller treats it as knowing nothing.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from bitternbeam.counters import Counters
from bitternbeam.net.consul import BadReply
from bitternbeam.tables.deadlines import Deadlines


@dataclass(frozen=True, slots=True)
class Reply:
    """One answer: its status, X-Consul-Index (0 where absent) and the JSON body (None where empty)."""

    code: int
    index: int
    body: Any


@dataclass(frozen=True, slots=True)
class KvEntry:
    """One KV entry: its value as text, ModifyIndex, LockIndex and the session that holds it."""

    value: str
    modify_index: int
    lock_index: int
    session: str | None


def entry_of(body: Any) -> KvEntry | None:
    """Read the first entry of a KV answer; None where there is none; raises BadReply for another shape."""
    return next(iter(entries_of(body).values()), None)


def entries_of(body: Any) -> dict[str, KvEntry]:
    """Read a KV answer's entries by key, none for an empty body; raises BadReply for another shape."""
    if body is None:
        return {}
    if not isinstance(body, list) or not all(isinstance(one, dict) for one in body):
        raise BadReply("kv: not a list of entries")
    found = {}
    for one in body:
        try:
            raw = one.get("Value")
            value = base64.b64decode(raw).decode(errors="replace") if raw else ""
            index, locks = int(one["ModifyIndex"]), int(one.get("LockIndex", 0))
            found[str(one["Key"])] = KvEntry(value, index, locks, one.get("Session") or None)
        except (KeyError, TypeError, ValueError) as error:
            raise BadReply(f"kv: entry {error!r}") from None
    return found


@dataclass(frozen=True, slots=True)
class Member:
    """One passing member as the catalogue tells it: its name and the work it stands aside from."""

    name: str
    aside: frozenset[str]


def members_of(body: Any) -> list[Member]:
    """Read a health answer's instances as members; raises BadReply for another shape."""
    if not isinstance(body, list):
        raise BadReply("health: not a list of instances")
    found = []
    for item in body:
        try:
            service = item["Service"]
            aside = str((service.get("Meta") or {}).get("aside", ""))
            found.append(Member(str(service["ID"]), frozenset(one for one in aside.split(",") if one)))
        except (KeyError, TypeError, AttributeError) as error:
            raise BadReply(f"health: instance {error!r}") from None
    return found


@implementer(IAgentEndpointFactory)
class ConsulApi:
    """Calls on one Consul agent at host:port; every call fires with a Reply or fails."""

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        *,
        deadlines: Deadlines,
        counters: Counters,
        call_us: int,
        token: str = "",
        member: str = "",
    ) -> None:
        self.reactor = reactor
        self.agent_name = (
            f"bitternbeam/{member}" if member else "bitternbeam"
        )  # whose requests an engine sees
        self.host, self.port, self.token = host, port, token
        self.deadlines, self.counters, self.call_us = deadlines, counters, call_us
        # An address needs no resolver: without this the agent starts threads for one.
        self.agent = Agent.usingEndpointFactory(reactor, self, HTTPConnectionPool(reactor, persistent=False))

    def endpointForURI(self, _uri: Any) -> Any:
        """Return where the agent connects."""
        return TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=self.call_us / 1e6)

    def call(
        self,
        method: str,
        path: str,
        args: dict[str, str] | None = None,
        body: bytes | None = None,
        *,
        wait_us: int = 0,
    ) -> Deferred[Reply]:
        """Send one request; `wait_us` lengthens its deadline for a blocking query."""
        query = f"?{urlencode(args)}" if args else ""
        url = f"http://{self.host}:{self.port}{path}{query}"
        headers = Headers({"Accept": ["application/json"], "User-Agent": [self.agent_name]})
        if self.token:
            headers.addRawHeader("X-Consul-Token", self.token)
        producer = FileBodyProducer(_Bytes(body)) if body is not None else None
        self.counters.add("fleet.engine_requests")
        made: Deferred[Any] = self.agent.request(method.encode(), url.encode(), headers, producer)
        # A silent engine must not hold a step for ever: past its deadline the call fails.
        bound = self.deadlines.after(self.call_us + wait_us, made.cancel)
        made.addCallback(self._read, path)

        def over(result: Any) -> Any:
            bound.cancel()
            if hasattr(result, "getErrorMessage"):
                self.counters.add("fleet.engine_errors")
            return result

        return made.addBoth(over)

    @staticmethod
    def _read(response: Any, path: str) -> Deferred[Reply]:
        told = response.headers.getRawHeaders("X-Consul-Index", ["0"])[0]

        def parse(raw: bytes) -> Reply:
            if response.code not in (200, 404) or not told.isdigit():
                raise BadReply(f"{path}: status {response.code}, index {told[:20]!r}")
            try:
                body = json.loads(raw) if raw.strip() and response.code == 200 else None
            except ValueError:
                raise BadReply(f"{path}: the body is not JSON") from None
            return Reply(response.code, int(told), body)

        read: Deferred[Any] = readBody(response)
        return read.addCallback(parse)

    def create_session(self, name: str, ttl_ms: int, lock_delay_ms: int) -> Deferred[Reply]:
        """`PUT /v1/session/create` with Behavior release."""
        body = {"Name": name, "TTL": f"{ttl_ms}ms", "LockDelay": f"{lock_delay_ms}ms", "Behavior": "release"}
        return self.call("PUT", "/v1/session/create", body=json.dumps(body).encode())

    def renew(self, session: str) -> Deferred[Reply]:
        """`PUT /v1/session/renew/<id>`; 404 when the engine knows the session no more."""
        return self.call("PUT", f"/v1/session/renew/{quote(session, safe='')}")

    def destroy(self, session: str) -> Deferred[Reply]:
        """`PUT /v1/session/destroy/<id>`."""
        return self.call("PUT", f"/v1/session/destroy/{quote(session, safe='')}")

    def kv_get(self, key: str) -> Deferred[Reply]:
        """`GET /v1/kv/<key>`."""
        return self.call("GET", f"/v1/kv/{quote(key)}")

    def kv_watch(self, prefix: str, *, index: int, wait_us: int) -> Deferred[Reply]:
        """`GET /v1/kv/<prefix>?recurse`: all keys below it, blocking past `index` (0: at once)."""
        args = {"recurse": "true"} | _blocking(index, wait_us)
        return self.call("GET", f"/v1/kv/{quote(prefix)}", args, wait_us=wait_us if index else 0)

    def kv_put(self, key: str, value: str, **args: str) -> Deferred[Reply]:
        """`PUT /v1/kv/<key>` with `acquire`, `release` or `cas`; the body of the reply is true or false."""
        return self.call("PUT", f"/v1/kv/{quote(key)}", args, value.encode())

    def register(self, name: str, service_id: str, ttl_ms: int, meta: dict[str, str]) -> Deferred[Reply]:
        """`PUT /v1/agent/service/register` with a TTL check: passing now, critical once that lapses."""
        check = {"TTL": f"{ttl_ms}ms", "Status": "passing"}
        body = {"Name": name, "ID": service_id, "Meta": meta, "Check": check}
        return self.call("PUT", "/v1/agent/service/register", body=json.dumps(body).encode())

    def pass_check(self, service_id: str) -> Deferred[Reply]:
        """`PUT /v1/agent/check/pass/service:<id>`."""
        return self.call("PUT", f"/v1/agent/check/pass/service:{quote(service_id, safe='')}")

    def deregister(self, service_id: str) -> Deferred[Reply]:
        """`PUT /v1/agent/service/deregister/<id>`."""
        return self.call("PUT", f"/v1/agent/service/deregister/{quote(service_id, safe='')}")

    def health(self, name: str, *, index: int, wait_us: int, passing: bool = True) -> Deferred[Reply]:
        """`GET /v1/health/service/<name>`, blocking past `index` (0: at once)."""
        args = ({"passing": "1"} if passing else {}) | _blocking(index, wait_us)
        path = f"/v1/health/service/{quote(name, safe='')}"
        return self.call("GET", path, args, wait_us=wait_us if index else 0)


def _blocking(index: int, wait_us: int) -> dict[str, str]:
    return {"index": str(index), "wait": f"{max(1, wait_us // 1000)}ms"} if index else {}


class _Bytes:
    """A body for FileBodyProducer."""

    def __init__(self, data: bytes) -> None:
        self.data, self.done = data, False

    def read(self, _size: int = -1) -> bytes:
        if self.done:
            return b""
        self.done = True
        return self.data

    def close(self) -> None:
        """Nothing to close."""
