"""The HTTP face of an engine on a Twisted reactor: answers, blocking queries, and the lab's faults."""

from __future__ import annotations

import copy
import json
import time
from collections.abc import Callable
from typing import IO, Any, NamedTuple

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from standins.consul import routes
from standins.consul.engine import Engine
from standins.consul.faults import MODES, Faults, Trap
from standins.consul.records import SECOND_US, duration_us
from standins.consul.requests import Answer, ApiRequest

SWEEP_S = 0.05  # between two looks for sessions that ran out
WAIT_US, LONGEST_WAIT_US = 300 * SECOND_US, 600 * SECOND_US  # of a blocking query, as Consul has them


class HeldQuery(NamedTuple):
    """A blocking query that waits for its index to move."""

    http: Any
    index_now: Callable[[], int]
    waits_past: int
    answer: Callable[[], None]


def _is_over(http: Any) -> bool:
    """Tell whether a request was answered, or its asker is gone."""
    return bool(http.finished or getattr(http, "_gone", False))


class Api:
    """Serves an Engine; `resource()` is its Twisted resource."""

    def __init__(self, reactor: Any, engine: Engine | None = None, log: IO[str] | None = None) -> None:
        self.reactor = reactor
        self.log = log
        self.engine = engine or Engine()
        self.kept = Engine()
        self.faults = Faults()
        self.held: list[HeldQuery] = []
        self.sweeper = reactor.callLater(SWEEP_S, self._sweep)

    def now_us(self) -> int:
        """Return the reactor's time in microseconds."""
        return int(self.reactor.seconds() * SECOND_US)

    def stop(self) -> None:
        """Cancel the sweeper."""
        if self.sweeper.active():
            self.sweeper.cancel()

    def note(self, event: str, **told: Any) -> None:
        """Write one line of the log."""
        if self.log:
            line = {"at_us": time.monotonic_ns() // 1000, "event": event} | told
            self.log.write(json.dumps(line) + "\n")
            self.log.flush()

    def _sweep(self) -> None:
        """Expire sessions and answer the blocking queries whose index moved."""
        names = {one.id: one.name for one in self.engine.sessions.values()}
        for gone in self.engine.expire(self.now_us()):
            self.note("expired", session=gone, agent=names.get(gone, ""))
        self._wake()
        self.sweeper = self.reactor.callLater(SWEEP_S, self._sweep)

    def _wake(self) -> None:
        waiting, self.held = self.held, []
        for query in waiting:
            if _is_over(query.http):
                continue
            if query.index_now() != query.waits_past:
                query.answer()
            else:
                self.held.append(query)

    def handle(self, http: Any) -> Any:
        """Serve one request of Twisted's; NOT_DONE_YET where it is held or slowed."""
        request = ApiRequest(
            http.method.decode(),
            http.path.decode(),
            {key.decode(): values[0].decode() for key, values in http.args.items()},
            http.content.read() if http.content else b"",
            (http.getHeader("user-agent") or "").removeprefix("bitternbeam/"),
        )
        http.notifyFinish().addErrback(lambda _failure: setattr(http, "_gone", True))
        if request.path.startswith("/lab/"):
            return self._lab(request, http)
        self.faults.count(request)
        trap = self.faults.trap
        if trap is not None and trap.catches(request):
            self._spring(trap, request)
            return NOT_DONE_YET
        if self.faults.mode != "well":
            return self._go_wrong(http)
        self._serve(request, http)
        return NOT_DONE_YET

    def _spring(self, trap: Trap, request: ApiRequest) -> None:
        """Leave a request without an answer, and log its asker."""
        self.faults.trap = None
        if trap.when == "after":
            self._carry_out(request)
        self.note("trap", op=request.operation, path=request.path, agent=request.agent, when=trap.when)

    def _go_wrong(self, http: Any) -> Any:
        """Answer as the fault that is on has it."""
        if self.faults.mode == "error":
            http.setResponseCode(500)
            return b"rpc error: No cluster leader"
        if self.faults.mode == "garbage":
            http.setHeader("X-Consul-Index", "x")
            return b"\x00{not json"
        return NOT_DONE_YET

    def _serve(self, request: ApiRequest, http: Any) -> None:
        """Answer now, later by the delay that is on, or once the index has moved."""

        def index_now() -> int:
            return self.engine.index_of(request.path, request.recurse)

        def answer() -> None:
            if not _is_over(http):
                self._answer(request, http)

        waits_past = request.waits_past
        if waits_past > 0 and waits_past == index_now():
            wait_us = min(duration_us(request.args.get("wait", ""), WAIT_US), LONGEST_WAIT_US)
            # Consul adds up to a sixteenth of the wait as jitter; the stand-in adds none.
            self.held.append(HeldQuery(http, index_now, waits_past, answer))
            self.reactor.callLater(wait_us / SECOND_US, answer)
        elif self.faults.slow_ms:
            self.reactor.callLater(self.faults.slow_ms / 1000, answer)
        else:
            answer()

    def _carry_out(self, request: ApiRequest) -> Answer:
        answer = routes.answer(self.engine, request, self.now_us())
        if answer.changed:
            self._wake()
        return answer

    def _answer(self, request: ApiRequest, http: Any) -> None:
        """Carry a request out and write its answer."""
        try:
            answer = self._carry_out(request)
        except (ValueError, KeyError, TypeError) as error:
            answer = Answer(400, self.engine.index, str(error))
        if request.method == "PUT" and request.operation not in ("renew", "check"):
            self.note(
                request.operation, path=request.path, agent=request.agent, code=answer.code,
                answer=answer.value, args=request.args, value=request.body[:200].decode(errors="replace"),
            )  # fmt: skip
        http.setResponseCode(answer.code)
        http.setHeader("X-Consul-Index", str(answer.index))
        http.setHeader("Content-Type", "application/json")
        value = answer.value
        http.write(value.encode() if isinstance(value, str) else json.dumps(value).encode())
        http.finish()

    def _lab(self, request: ApiRequest, http: Any) -> bytes:
        """Take an order of the lab's."""
        what, args = request.path.removeprefix("/lab/"), request.args
        http.setHeader("Content-Type", "application/json")
        if request.method == "GET" and what == "requests":
            return json.dumps(self.faults.counted()).encode()
        if what == "trap":
            self.faults.trap = Trap(args["op"], args.get("key", ""), args.get("when", "before"))
        elif what == "keep":
            self.kept = copy.deepcopy(self.engine)
        elif what in ("restart", "back"):
            self._lose_data(what)
        elif what == "slow":
            self.faults.slow_ms = int(args.get("ms", "0"))
        elif what in MODES:
            self.faults.mode = what
            if what == "well":
                self.faults.slow_ms = 0
        else:
            http.setResponseCode(404)
            return b'"no such fault"'
        return b"true"

    def _lose_data(self, what: str) -> None:
        """Forget everything (`restart`) or go back to what was kept (`back`); held queries are cut."""
        self.note(what)
        if what == "restart":
            self.engine.restart()
        else:
            self.engine.back(self.kept, self.now_us())
        for query in self.held:
            if not query.http.finished:
                query.http.loseConnection()
        self.held = []

    def resource(self) -> Resource:
        """Return a Twisted resource that hands every request to this Api."""
        api = self

        class Everything(Resource):
            isLeaf = True  # noqa: N815

            def render(self, request: Any) -> Any:
                return api.handle(request)

        return Everything()
