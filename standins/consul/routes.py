"""Which method of the engine serves which path of Consul's HTTP API."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple

from standins.consul.engine import Engine
from standins.consul.requests import Answer, ApiRequest

Handler = Callable[[Engine, ApiRequest, int], Answer]


def _kv(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    if request.method == "GET":
        _index, found = engine.read(request.key, request.recurse, now_us)
        index = engine.index_of(request.path, request.recurse)
        return Answer(200 if found else 404, index, found or "")
    if request.method == "DELETE":
        done = engine.delete(request.key, now_us)
        return Answer(200, engine.index, done)
    done = engine.put(request.key, request.body, request.args, now_us)
    return Answer(200, engine.index, done, changed=True)


def _create_session(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    session_id = engine.create_session(json.loads(request.body or b"{}"), now_us)
    return Answer(200, engine.index, {"ID": session_id})


def _renew_session(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    session_id = request.parts[3]
    if not engine.renew(session_id, now_us):
        return Answer(404, engine.index, f"Session id '{session_id}' not found")
    session = engine.sessions[session_id]
    return Answer(200, engine.index, [{"ID": session.id, "TTL": f"{session.ttl_us // 1000}ms"}])


def _destroy_session(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    done = engine.destroy(request.parts[3], now_us)
    return Answer(200, engine.index, done, changed=True)


def _register(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    engine.register(json.loads(request.body or b"{}"), now_us)
    return Answer(200, engine.index, "", changed=True)


def _deregister(engine: Engine, request: ApiRequest, _now_us: int) -> Answer:
    engine.deregister(request.parts[4])
    return Answer(200, engine.index, "", changed=True)


def _pass_check(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    if not engine.pass_check(request.parts[4], now_us):
        return Answer(404, engine.index, f"Unknown check {request.parts[4]!r}")
    return Answer(200, engine.index, "", changed=True)


def _health(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    engine.expire(now_us)
    _index, shown = engine.health(request.parts[3], "passing" in request.args, now_us)
    return Answer(200, engine.index_of(request.path, False), shown)


def _catalogue(engine: Engine, request: ApiRequest, _now_us: int) -> Answer:
    _index, shown = engine.catalogue(request.parts[3])
    return Answer(200, engine.index_of(request.path, False), shown)


class Route(NamedTuple):
    """A path's first segments, how many it has in all (None: any number), and what serves it."""

    prefix: tuple[str, ...]
    segments: int | None
    handler: Handler


ROUTES = (
    Route(("v1", "kv"), None, _kv),
    Route(("v1", "session", "create"), None, _create_session),
    Route(("v1", "session", "renew"), 4, _renew_session),
    Route(("v1", "session", "destroy"), 4, _destroy_session),
    Route(("v1", "agent", "service", "register"), None, _register),
    Route(("v1", "agent", "service", "deregister"), 5, _deregister),
    Route(("v1", "agent", "check", "pass"), 5, _pass_check),
    Route(("v1", "health", "service"), 4, _health),
    Route(("v1", "catalog", "service"), 4, _catalogue),
)


def answer(engine: Engine, request: ApiRequest, now_us: int) -> Answer:
    """Carry a request out; raises ValueError, KeyError or TypeError when it makes no sense."""
    parts = tuple(request.parts)
    for prefix, segments, handler in ROUTES:
        if parts[: len(prefix)] == prefix and segments in (None, len(parts)):
            return handler(engine, request, now_us)
    return Answer(404, engine.index, f"no such path {request.path}")
