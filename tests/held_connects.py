"""A barrier before connections to servers: they come up when the test says so, over real sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from bitternbeam.net.connect import connect
from bitternbeam.net.platform import connection_pool
from tests.loop import until


class HeldConnects:
    """Connections that were asked for and wait for the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Hold every connection to a server from now on."""
        self.waiting: list[Callable[[], object]] = []
        self.failing: list[Callable[[], object]] = []
        monkeypatch.setattr(connection_pool, "connect", self._held)

    def _held(
        self, reactor: Any, host: str, port: int, timeout_us: int, build: Callable[[], Any]
    ) -> Deferred[Any]:
        made: Deferred[Any] = Deferred()
        self.waiting.append(lambda: connect(reactor, host, port, timeout_us, build).chainDeferred(made))
        self.failing.append(lambda: made.errback(TimeoutError("never came up")))
        return made

    def wait_for(self, number: int = 1) -> None:
        """Run until so many connections wait."""
        until(lambda: len(self.waiting) >= number)

    def complete_all(self) -> None:
        """Let those that wait come up."""
        waiting, self.waiting, self.failing = self.waiting, [], []
        for go in waiting:
            go()

    def fail_first(self) -> None:
        """Let the one that waits longest run out of its time."""
        self.waiting.pop(0)
        self.failing.pop(0)()
