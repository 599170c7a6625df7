"""What the stand-ins' programs share: a control port on loopback, told in a file once it listens."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.protocol import Factory


class Desk(Factory):
    """Makes a protocol for each connection."""

    noisy = False

    def __init__(self, make: Callable[[], Any]) -> None:
        self.make = make

    def buildProtocol(self, _address: Any) -> Any:
        """Serve one connection."""
        return self.make()


def serve(reactor: Any, ready_file: Path, make: Callable[[], Any]) -> int:
    """Listen on a port of the system's choice, write it to the file, and run until the process ends."""
    listening = reactor.listenTCP(0, Desk(make), interface="127.0.0.1")
    ready_file.write_text(f"{listening.getHost().port}\n")
    reactor.run()
    return 0
