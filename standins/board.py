"""A notice board that says nothing new: it tells one list and then its number every second.

    python -m standins.board --ready-file port.txt

For controllers that are looked at for something else than their bookers.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from standins.serving import serve

LIST = (
    b'{"rev": 1, "pool": {"version": 1, "full": true, "servers": [{"id": "s-1", "addr": "127.0.0.1:9", '
    b'"zone": "here", "kind": "std", "cell": 0, "state": "draining", "weight": 1, "started_ms": 0}]}}'
)


class Reader(LineReceiver):
    """One controller that watches."""

    delimiter = b"\n"
    ticks: Any = None
    notice = LIST

    def lineReceived(self, line: bytes) -> None:
        """Tell the list once, and that nothing is new every second."""
        if line == b"watch 0":
            self.sendLine(self.notice)
        if self.ticks is None:
            self.ticks = LoopingCall(self.sendLine, b"1")
            self.ticks.start(1.0)

    def connectionLost(self, reason: Failure = Failure(ConnectionError())) -> None:  # noqa: B008
        """Tell it no more."""
        if self.ticks is not None:
            self.ticks.stop()


def main(argv: list[str] | None = None) -> int:
    """Serve on loopback; writes its port to --ready-file once it listens."""
    import argparse  # noqa: PLC0415

    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    parser = argparse.ArgumentParser(prog="standins.board", description=__doc__.splitlines()[0])
    parser.add_argument("--ready-file", type=Path, required=True)
    told = parser.parse_args(argv)
    reactor: Any = installed_reactor
    return serve(reactor, told.ready_file, Reader)


if __name__ == "__main__":
    sys.exit(main())
