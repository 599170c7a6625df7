"""Callers of a whole fleet: an open stream of calls at several controllers, skewed as the lab says.

    python -m standins.callers --targets FILE --ready-file port.txt --log FILE --seed 1

FILE is a JSON object `{"targets": [["ctl-00", PORT, WEIGHT, ADDRESS], ...], "class": "...",
"left_ms": 1000, "cells": 4}`; each call names a cell at random and comes from ADDRESS. The control port takes
`LAB rate R` (new calls a second, over all), `LAB again K` (a caller turned away or left without an answer
calls again up to K times, soon), `LAB leave SHARE` (of callers, give up after 300 ms), `LAB mix 31=2,32=1`
(how called numbers begin, by weight) and `LAB from ADDRESS TIMES` (it calls so many times what its weights
say).

`LAB clients N HEED MS HOW` has N clients of FILE's class "back" come within MS, each by a number of its own,
again and again until one call of each stands: of them the share HEED stays away for as long as it is told
(HOW `told`; half a second at the least with `least`), the others come again every 0.5 to 1.5 s; with `jitter`
all come after 0 to 2 to the power of their tries, 30 s at the most. Each comes to a controller of its own
(`home` in the log), to another while that is down.

The log has one JSON line for each event: `at_us`, `event` (`call`, `again`, `ok`, `late`, `refused`,
`failed`, `none`, `left`), `target`, `source`, `uid`, `number`, and of a client `client`, `heeds` and `wait_s`
as told; with `down` where the controller could not be called.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver

from standins.crowd import Crowd, Target
from standins.serving import serve


def main(argv: list[str] | None = None) -> int:
    """Call as ordered; writes the control port to --ready-file once it listens."""
    import argparse  # noqa: PLC0415

    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    parser = argparse.ArgumentParser(prog="standins.callers", description=__doc__.splitlines()[0])
    parser.add_argument("--targets", type=Path, required=True)
    parser.add_argument("--ready-file", type=Path, required=True)
    parser.add_argument("--log", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args(argv)
    reactor: Any = installed_reactor
    settings = json.loads(told.targets.read_text())
    crowd = Crowd(reactor, settings["class"], settings["left_ms"], told.seed, told.log.open("a"))
    crowd.cells, crowd.back = settings["cells"], settings.get("back", settings["class"])
    LoopingCall(crowd.log.flush).start(0.1)
    for name, port, weight, source in settings["targets"]:
        target = Target(crowd, name, weight, source)
        crowd.targets.append(target)
        reactor.connectTCP("127.0.0.1", port, target, bindAddress=(source, 0))
    return serve(reactor, told.ready_file, lambda: Orders(crowd))


class Orders(LineReceiver):
    """The control port."""

    delimiter = b"\n"

    def __init__(self, crowd: Crowd) -> None:
        self.crowd = crowd

    def lineReceived(self, line: bytes) -> None:
        """Carry out one order."""
        words = line.decode(errors="replace").split()
        self.sendLine(self.crowd.lab(words[1:]) if words[:1] == ["LAB"] else b"BAD")


if __name__ == "__main__":
    sys.exit(main())
