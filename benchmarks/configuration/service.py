"""The measurement's control service, a process of its own: `whole 0` or `delta N` a line on its input."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor as installed_reactor
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineReceiver

from benchmarks.configuration.document import document
from bitternbeam.configuration.schema import Route
from bitternbeam.limits import Limits
from bitternbeam.net.clock import ReactorClock
from bitternbeam.tables.deadlines import Deadlines
from standins.control_service import ControlService

reactor: Any = installed_reactor


class Orders(LineReceiver):
    """Publishes a version for each line."""

    delimiter = b"\n"

    def __init__(self, bookers: int, routes: int) -> None:
        self.routes = routes
        self.entries = document(bookers, routes)
        self.service = ControlService(reactor, Deadlines(ReactorClock(reactor)), Limits())

    def lineReceived(self, line: bytes) -> None:  # noqa: N802 - Twisted names it
        """Publish the whole version, or one in which so many routes are changed."""
        kind, size = line.split()
        if kind == b"delta":
            for n in range(int(size)):
                key = ("route", f"r{(n * 7919) % self.routes}")
                group = f"g{(n + len(self.service.editions)) % 10}"
                self.entries[key] = Route((group,), prefix=self.entries[key].prefix)  # type: ignore[union-attr]
        self.service.publish(dict(self.entries))
        print("published", flush=True)


def main() -> None:
    """Serve until killed; prints the port that it listens on first."""
    orders = Orders(*map(int, sys.argv[1:]))
    StandardIO(orders)  # type: ignore[no-untyped-call]
    listening = orders.service.listen("127.0.0.1", 0)
    listening.addCallback(lambda port: print(port.getHost().port, flush=True))
    reactor.run()


if __name__ == "__main__":
    main()
