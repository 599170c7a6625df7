"""The callers of standins/callers.py: a crowd that calls, calls again, and comes back as clients do."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from random import Random
from typing import IO, Any

from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

REFUSED = 34
LEAVE_S = 0.3
LEAST_S = 0.5
JITTER_MOST_S = 30.0
HOWS = ("told", "least", "jitter")


@dataclass(slots=True)
class Client:
    """One that comes back until it is let in."""

    name: str
    heeds: bool
    target: Target
    how: str = "told"
    wait_s: float = 0.0  # as it was told last


@dataclass(slots=True)
class Call:
    """One set-up of a caller's."""

    target: Target
    uid: str
    tries: int
    sent_at: float
    number: str
    timer: Any = None
    client: Client | None = None


class CallerLine(LineReceiver):
    """One connection to a controller."""

    delimiter = b"\n"
    target: Target

    def connectionMade(self) -> None:
        """Be used."""
        self.target.line = self
        self.target.resetDelay()

    def lineReceived(self, line: bytes) -> None:
        """Take an answer."""
        message = json.loads(line)
        wait_ms = (message.get("meta") or {}).get("wait", 0)
        self.target.crowd.answered(
            str(message.get("uid")), str(message.get("kind")), message.get("reason"), float(wait_ms) / 1000
        )

    def connectionLost(self, reason: Failure = Failure(ConnectionError())) -> None:  # noqa: B008
        """Be used no more."""
        if self.target.line is self:
            self.target.line = None


class Target(ReconnectingClientFactory):
    """One controller, called over one connection at a time."""

    noisy = False
    initialDelay = 0.05  # noqa: N815
    maxDelay = 0.3  # type: ignore[assignment]  # noqa: N815

    def __init__(self, crowd: Crowd, name: str, weight: float, source: str) -> None:
        self.crowd, self.name, self.weight, self.source = crowd, name, weight, source
        self.times = 1.0
        self.line: CallerLine | None = None

    def buildProtocol(self, _address: Any) -> CallerLine:
        """Make a connection's protocol."""
        line = CallerLine()
        line.target = self
        return line


class Crowd:
    """All callers."""

    def __init__(self, reactor: Any, kind: str, left_ms: int, seed: int, log: IO[str]) -> None:
        self.reactor, self.kind, self.left_ms, self.log = reactor, kind, left_ms, log
        self.cells, self.back, self.waves = 1, kind, 0
        self.random = Random(seed)
        self.targets: list[Target] = []
        self.rate, self.again, self.leave = 0.0, 0, 0.0
        self.calls: dict[str, Call] = {}
        self.number = 0
        self.mix = {"": 1.0}
        self.next: Any = None
        self.due = 0.0

    def note(self, event: str, call: Call) -> None:
        """Write one line of the log."""
        line = {
            "at_us": time.monotonic_ns() // 1000, "event": event, "target": call.target.name,
            "source": call.target.source, "uid": call.uid,
            "number": call.number,
        }  # fmt: skip
        if call.client is not None:
            one = call.client
            line |= {"client": one.name, "heeds": one.heeds, "wait_s": one.wait_s, "home": one.target.name}
        if call.target.line is None:
            line["down"] = True
        self.log.write(json.dumps(line) + "\n")

    def set_rate(self, rate: float) -> None:
        """Change the rate of new calls."""
        self.rate = rate
        if self.next is not None and self.next.active():
            self.next.cancel()
        self.due = time.monotonic()
        self._later()

    def _later(self) -> None:
        # Due times are drawn ahead and kept: calls that come late must not slow those behind them.
        if self.rate > 0:
            self.due += self.random.expovariate(self.rate)
            self.next = self.reactor.callLater(max(0.0, self.due - time.monotonic()), self._new)

    def _new(self) -> None:
        self._later()
        (target,) = self.random.choices(self.targets, [one.weight * one.times for one in self.targets])
        self.call(target, 0)

    def clients(self, number: int, heed: float, within_s: float, how: str) -> None:
        """Let clients come back."""
        self.waves += 1
        for one in range(number):
            heeds = self.random.random() < heed
            client = Client(f"w{self.waves}-{one}", heeds, self.random.choice(self.targets), how)
            self.reactor.callLater(self.random.uniform(0, within_s), self.come, client, 0)

    def come(self, client: Client, tries: int) -> None:
        """Let one client come, to another controller if its own is down."""
        there = [one for one in self.targets if one.line is not None]
        home = client.target.line is not None or not there
        self.call(client.target if home else self.random.choice(there), tries, client)

    def again_s(self, event: str, client: Client, tries: int) -> float:
        """Return after what time a client comes again."""
        if client.how == "jitter":
            return self.random.uniform(0, min(JITTER_MOST_S, 2.0 ** min(tries, 10)))
        if client.heeds and event == "refused" and client.wait_s > 0:
            return max(client.wait_s, LEAST_S) if client.how == "least" else client.wait_s
        return self.random.uniform(0.3, 1.0) if client.heeds else self.random.uniform(0.5, 1.5)

    def call(self, target: Target, tries: int, client: Client | None = None) -> None:
        """Send one set-up."""
        self.number += 1
        (prefix,) = self.random.choices(list(self.mix), list(self.mix.values()))
        number = client.name if client else f"{prefix}{self.number}"
        call = Call(target, f"{self.number:016x}", tries, time.monotonic(), number, client=client)
        self.note("again" if tries else "call", call)
        if target.line is None:
            self.over(call, "failed")
            return
        cell = self.random.randrange(self.cells)
        meta = {
            "class": self.back if client else self.kind,
            "left": str(self.left_ms),
            "key": call.number,
            "extras": f"dest:{cell};width:1;via:-1",
        }
        message = {"kind": "launch", "uid": call.uid, "meta": meta, "body": "v=0\r\n"}
        target.line.sendLine(json.dumps(message).encode())
        leaves = self.random.random() < self.leave
        self.calls[call.uid] = call
        wait_s = LEAVE_S if leaves else self.left_ms / 1000 + 0.1
        call.timer = self.reactor.callLater(wait_s, self.give_up, call, "left" if leaves else "none")

    def give_up(self, call: Call, event: str) -> None:
        """Leave without an answer."""
        if call.target.line is not None:
            stop = {"kind": "stop", "uid": call.uid, "meta": {}, "reason": 16}
            call.target.line.sendLine(json.dumps(stop).encode())
        self.over(call, event)

    def answered(self, uid: str, kind: str, reason: Any, wait_s: float) -> None:
        """Take a final answer; what comes after it is a release."""
        call = self.calls.get(uid)
        if call is None:
            return
        if call.client is not None:
            call.client.wait_s = wait_s
        if kind == "running":
            in_time = time.monotonic() - call.sent_at <= self.left_ms / 1000
            self.over(call, "ok" if in_time else "late")
        elif kind == "stop":
            self.over(call, "refused" if reason == REFUSED else "failed")

    def over(self, call: Call, event: str) -> None:
        """Note a call's end; its caller may call again."""
        self.calls.pop(call.uid, None)
        if call.timer is not None and call.timer.active():
            call.timer.cancel()
        self.note(event, call)
        if call.client is not None:
            if event not in ("ok", "late"):
                self.reactor.callLater(
                    self.again_s(event, call.client, call.tries + 1), self.come, call.client, call.tries + 1
                )
        elif event not in ("ok", "late") and call.tries < self.again:
            self.reactor.callLater(self.random.uniform(0.05, 0.3), self.call, call.target, call.tries + 1)

    def lab(self, words: list[str]) -> bytes:
        """Carry out an order of the lab."""
        match words:
            case ["rate", rate]:
                self.set_rate(float(rate))
            case ["clients", number, heed, within_ms, how] if how in HOWS:
                self.clients(int(number), float(heed), float(within_ms) / 1000, how)
            case ["again", tries]:
                self.again = int(tries)
            case ["leave", share]:
                self.leave = float(share)
            case ["mix", told]:
                pairs = (one.partition("=") for one in told.split(","))
                self.mix = {prefix: float(weight) for prefix, _, weight in pairs}
            case ["from", source, times]:
                for one in self.targets:
                    if one.source == source:
                        one.times = float(times)
            case _:
                return b"BAD"
        return b"OK"
