"""Bookers with a capacity, on the platform's wire, and the notice board that lists them.

    python -m standins.booker --names b0,b1 --rate 60 --ready-file port.txt --ports FILE --log FILE

A booker serves one set-up after the other, `rate` a second. One that waits longer than --queue-ms for its
turn is turned away (cause 34, `queue_long`), which costs the booker a part of the work all the same; one that
its controller gave up is served in vain. Calls stand for --hold-ms. The port of --ready-file is the notice
board's (`watch N`) and takes the lab's lines: `LAB rate BOOKER R`, `LAB stall BOOKER SECONDS` (nothing is
answered meanwhile; what came is worked off after it), each answered `OK`.

The log has one JSON line for each set-up and what became of it: `at_us` (monotonic), `event` (`arrived`,
`full`, `served`, `in_vain`; `over`: a call that stood is over; `stood`: the process itself stood still for
`uid` microseconds, as it got no processor), `booker`, `uid`.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import IO, Any

from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from standins.board import Reader
from standins.serving import serve

TURNED_AWAY_COST = 0.2  # of a set-up's work
BEAT_S, STOOD_LEAST = 0.01, 0.005  # seconds
STALLED_MOST = 2.0  # seconds of work that a stalled booker keeps; what comes past that is never answered


class Booker(Factory):
    """One booker: a single processor with a queue."""

    noisy = False

    def __init__(self, house: House, name: str) -> None:
        self.house, self.name = house, name
        self.rate = house.rate
        self.free_at = 0.0  # when the work taken so far is done
        self.stalled_until = 0.0
        self.given_up: set[str] = set()

    def buildProtocol(self, _address: Any) -> BookerLine:
        """Serve one connection."""
        line = BookerLine()
        line.booker = self
        return line

    def launched(self, line: BookerLine, uid: str) -> None:
        """Take a set-up in, turn it away, or lose it in a stall."""
        house, now = self.house, time.monotonic()
        house.note("arrived", self.name, uid)
        backlog = max(0.0, self.free_at - max(now, self.stalled_until))
        if now < self.stalled_until:
            if backlog > STALLED_MOST:
                return
            self.free_at = max(self.free_at, self.stalled_until)
        elif backlog > house.queue_s:
            self.free_at += TURNED_AWAY_COST / self.rate
            house.note("full", self.name, uid)
            line.say("stop", uid, {"note": "queue_long"}, reason=34)
            return
        self.free_at = max(now, self.free_at) + 1 / self.rate
        house.reactor.callLater(self.free_at - now, self._served, line, uid)

    def _served(self, line: BookerLine, uid: str) -> None:
        if uid in self.given_up or not line.open:
            self.given_up.discard(uid)
            self.house.note("in_vain", self.name, uid)
            return
        self.house.note("served", self.name, uid)
        line.say("running", uid, {}, body="v=0\r\n")
        line.standing.add(uid)
        self.house.reactor.callLater(self.house.hold_s, self._held, line, uid)

    def _held(self, line: BookerLine, uid: str) -> None:
        if uid in line.standing:
            self.over(line, uid)
            line.say("stop", uid, {}, 16)

    def over(self, line: BookerLine, uid: str) -> None:
        """Note that a call that stood is over."""
        line.standing.discard(uid)
        self.house.note("over", self.name, uid)


class BookerLine(LineReceiver):
    """One controller's connection."""

    delimiter = b"\n"
    booker: Booker
    open = True

    def __init__(self) -> None:
        self.standing: set[str] = set()

    def say(self, kind: str, uid: str, meta: dict[str, str], reason: int | None = None, **more: Any) -> None:
        """Send one message."""
        if self.open:
            told = {"kind": kind, "uid": uid, "meta": meta} | (
                {"reason": reason} if reason is not None else {}
            )
            self.sendLine(json.dumps(told | more).encode())

    def lineReceived(self, line: bytes) -> None:
        """Take one message."""
        message = json.loads(line)
        kind, uid = message.get("kind"), str(message.get("uid"))
        if kind == "launch":
            self.booker.launched(self, uid)
        elif kind == "stop" and uid in self.standing:
            self.booker.over(self, uid)
        elif kind == "stop":
            self.booker.given_up.add(uid)
        elif kind == "check" and time.monotonic() >= self.booker.stalled_until:
            self.say("checked", uid, {}, 1)

    def connectionLost(self, reason: Failure = Failure(ConnectionError())) -> None:  # noqa: B008
        """Answer nothing more on it."""
        self.open = False
        for uid in list(self.standing):
            self.booker.over(self, uid)


class House:
    """All bookers of a process, and their log."""

    def __init__(self, reactor: Any, names: list[str], rate: float, queue_s: float, hold_s: float) -> None:
        self.reactor, self.rate, self.queue_s, self.hold_s = reactor, rate, queue_s, hold_s
        self.log: IO[str] | None = None
        self.beat_at = time.monotonic()
        self.bookers = {name: Booker(self, name) for name in names}
        self.ports: dict[str, int] = {}

    def beat(self) -> None:
        """Note how much later than it should be this is: what came meanwhile was read late."""
        now = time.monotonic()
        if now - self.beat_at > BEAT_S + STOOD_LEAST:
            self.note("stood", "", str(int((now - self.beat_at - BEAT_S) * 1e6)))
        self.beat_at = now

    def note(self, event: str, booker: str, uid: str) -> None:
        """Write one line of the log; it is flushed a few times a second."""
        if self.log:
            line = {"at_us": time.monotonic_ns() // 1000, "event": event, "booker": booker, "uid": uid}
            self.log.write(json.dumps(line) + "\n")

    def notice(self) -> bytes:
        """Return the board's one event: every booker is up, each in a cell of its own."""
        servers = [
            {"id": name, "addr": f"127.0.0.1:{port}", "zone": "here", "kind": "std", "cell": cell,
             "state": "up", "weight": 1, "started_ms": 0}
            for cell, (name, port) in enumerate(self.ports.items())
        ]  # fmt: skip
        return json.dumps({"rev": 1, "pool": {"version": 1, "full": True, "servers": servers}}).encode()

    def lab(self, words: list[str]) -> bytes:
        """Carry out an order of the lab."""
        match words:
            case ["rate", name, rate] if name in self.bookers:
                self.bookers[name].rate = float(rate)
            case ["stall", name, seconds] if name in self.bookers:
                self.bookers[name].stalled_until = time.monotonic() + float(seconds)
            case _:
                return b"BAD"
        return b"OK"


class Board(Reader):
    """One controller at the notice board, or the lab."""

    def __init__(self, house: House) -> None:
        self.house = house
        self.notice = house.notice()

    def lineReceived(self, line: bytes) -> None:
        """Carry out an order, or serve as a board."""
        words = line.decode(errors="replace").split()
        if words[:1] == ["LAB"]:
            self.sendLine(self.house.lab(words[1:]))
        else:
            super().lineReceived(line)


def main(argv: list[str] | None = None) -> int:
    """Serve on loopback; writes the board's port to --ready-file once all listen."""
    import argparse  # noqa: PLC0415

    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    parser = argparse.ArgumentParser(prog="standins.booker", description=__doc__.splitlines()[0])
    parser.add_argument("--names", required=True)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--queue-ms", type=int, default=300)
    parser.add_argument("--hold-ms", type=int, default=50)
    parser.add_argument("--ready-file", type=Path, required=True)
    parser.add_argument("--ports", type=Path, required=True)
    parser.add_argument("--log", type=Path, required=True)
    told = parser.parse_args(argv)
    reactor: Any = installed_reactor
    house = House(reactor, told.names.split(","), told.rate, told.queue_ms / 1000, told.hold_ms / 1000)
    house.log = told.log.open("a")
    LoopingCall(house.log.flush).start(0.1)
    LoopingCall(house.beat).start(BEAT_S)
    for name, booker in house.bookers.items():
        house.ports[name] = reactor.listenTCP(0, booker, interface="127.0.0.1").getHost().port
    told.ports.write_text(json.dumps(house.ports))

    return serve(reactor, told.ready_file, lambda: Board(house))


if __name__ == "__main__":
    sys.exit(main())
