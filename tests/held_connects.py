"""Delays connects to servers until the test lets them complete, over real sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from bitternbeam.net.connect import connect
from bitternbeam.net.platform import connection_pool
from tests.loop import until


class HeldConnects:
    """Connects that wait until the test completes or fails them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Hold every connect to a server from now on."""
        self.waiting: list[Callable[[], object]] = []
        self.failing: list[Callable[[Exception], object]] = []
        monkeypatch.setattr(connection_pool, "connect", self._held)

    def _held(
        self, reactor: Any, host: str, port: int, timeout_us: int, build: Callable[[], Any]
    ) -> Deferred[Any]:
        made: Deferred[Any] = Deferred()
        self.waiting.append(lambda: connect(reactor, host, port, timeout_us, build).chainDeferred(made))
        self.failing.append(made.errback)
        return made

    def wait_for(self, number: int = 1) -> None:
        """Run the reactor until so many connects wait."""
        until(lambda: len(self.waiting) >= number)

    def complete_all(self) -> None:
        """Complete all waiting connects."""
        waiting, self.waiting, self.failing = self.waiting, [], []
        for go in waiting:
            go()

    def fail_first(self, error: Exception | None = None) -> None:
        """Fail the oldest waiting connect with an error, by default a time-out."""
        self.waiting.pop(0)
        self.failing.pop(0)(error or TimeoutError("never came up"))
