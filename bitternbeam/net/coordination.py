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
    if body is None:
        return None
    if not isinstance(body, list) or not body or not isinstance(body[0], dict):
        raise BadReply("kv: not a list of entries")
    first = body[0]
    try:
        raw = first.get("Value")
        value = base64.b64decode(raw).decode() if raw else ""
        session = first.get("Session")
        return KvEntry(value, int(first["ModifyIndex"]), int(first.get("LockIndex", 0)), session or None)
    except (KeyError, TypeError, ValueError) as error:
        raise BadReply(f"kv: entry {error}") from None


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
    ) -> None:
        self.reactor = reactor
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
        headers = Headers({"Accept": ["application/json"]})
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

    def kv_get(self, key: str, *, index: int = 0, wait_us: int = 0) -> Deferred[Reply]:
        """`GET /v1/kv/<key>`, blocking past `index` for at most `wait_us` when both are given."""
        args = {"index": str(index), "wait": f"{max(1, wait_us // 1_000_000)}s"} if index and wait_us else {}
        return self.call("GET", f"/v1/kv/{quote(key)}", args, wait_us=wait_us if args else 0)

    def kv_put(self, key: str, value: str, **args: str) -> Deferred[Reply]:
        """`PUT /v1/kv/<key>` with `acquire`, `release` or `cas`; the body of the reply is true or false."""
        return self.call("PUT", f"/v1/kv/{quote(key)}", args, value.encode())

    def register(self, name: str, service_id: str, ttl_ms: int, meta: dict[str, str]) -> Deferred[Reply]:
        """`PUT /v1/agent/service/register` with a TTL check that critical after ttl_ms unpassed."""
        body = {"Name": name, "ID": service_id, "Meta": meta, "Check": {"TTL": f"{ttl_ms}ms"}}
        return self.call("PUT", "/v1/agent/service/register", body=json.dumps(body).encode())

    def pass_check(self, service_id: str) -> Deferred[Reply]:
        """`PUT /v1/agent/check/pass/service:<id>`."""
        return self.call("PUT", f"/v1/agent/check/pass/service:{quote(service_id, safe='')}")

    def health(self, name: str, *, index: int = 0, wait_us: int = 0) -> Deferred[Reply]:
        """`GET /v1/health/service/<name>?passing`, blocking past `index` when given."""
        args = {"passing": "1"}
        if index and wait_us:
            args |= {"index": str(index), "wait": f"{max(1, wait_us // 1_000_000)}s"}
        return self.call("GET", f"/v1/health/service/{quote(name, safe='')}", args, wait_us=wait_us)


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
