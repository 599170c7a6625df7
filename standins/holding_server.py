"""A server process that answers every set-up at once and holds its calls until it is told to end.

    python -m standins.holding_server --port 0 --ready-file port.txt --log FILE

SIGUSR1 closes its listening socket and leaves its connections as they are, as a draining server does; another
process can then listen at its address. SIGUSR2 ends each call: its release is sent on the connection of its
set-up. SIGSTOP makes all its connections silent, and while it listens the kernel goes on accepting new ones.

The log has a JSON line for each event, with `at_us` (Unix time), `uid` and `event`: `open` (a connection),
`launch`, `release` (the controller released a call that stood), `ignored` (it released one that is not here)
or `end` (the server ended one).
"""

from __future__ import annotations

import json
import signal
import sys
import time
from pathlib import Path
from typing import IO, Any

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

CAUSE_NORMAL = 16


class HoldingServer(Factory):
    """The calls of one process."""

    noisy = False

    def __init__(self, log: IO[str]) -> None:
        self.log = log
        self.standing: dict[str, HoldingConnection] = {}

    def buildProtocol(self, _address: Any) -> HoldingConnection:
        """Serve one connection."""
        return HoldingConnection(self)

    def note(self, event: str, uid: str) -> None:
        """Write one line of the log."""
        line = {"at_us": time.time_ns() // 1000, "event": event, "uid": uid}
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    def end_calls(self) -> None:
        """End each call."""
        for uid, connection in self.standing.items():
            self.note("end", uid)
            connection.say("stop", uid, reason=CAUSE_NORMAL)
        self.standing.clear()


class HoldingConnection(LineReceiver):
    """One controller's connection."""

    delimiter = b"\n"

    def __init__(self, server: HoldingServer) -> None:
        self.server = server

    def connectionMade(self) -> None:
        """Note the connection."""
        self.server.note("open", "")

    def say(self, kind: str, uid: str, **more: object) -> None:
        """Send one message."""
        self.sendLine(json.dumps({"kind": kind, "uid": uid, "meta": {}} | more).encode())

    def lineReceived(self, line: bytes) -> None:
        """Handle one message."""
        message = json.loads(line)
        kind, uid = message["kind"], message["uid"]
        if kind == "check":
            self.say("checked", uid, reason=1)
        elif kind == "launch":
            self.server.note("launch", uid)
            self.server.standing[uid] = self
            self.say("running", uid, body="v=0\r\n")
        elif kind == "stop":
            held = self.server.standing.pop(uid, None) is not None
            self.server.note("release" if held else "ignored", uid)


def main(argv: list[str] | None = None) -> int:
    """Serve on loopback; writes the port to --ready-file once it listens."""
    import argparse  # noqa: PLC0415

    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    parser = argparse.ArgumentParser(prog="standins.holding_server", description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ready-file", type=Path, required=True)
    parser.add_argument("--log", type=Path, required=True)
    options = parser.parse_args(argv)
    reactor: Any = installed_reactor
    with options.log.open("a") as log:
        server = HoldingServer(log)
        port = reactor.listenTCP(options.port, server, interface="127.0.0.1")
        signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(port.stopListening))
        signal.signal(signal.SIGUSR2, lambda *_: reactor.callFromThread(server.end_calls))
        reactor.callWhenRunning(options.ready_file.write_text, str(port.getHost().port))
        reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
