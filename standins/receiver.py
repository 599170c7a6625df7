"""A stand-in booker's probe port: it fences probes by their tokens and logs what it judged.

Each line `PROBE <booker> <token>` is answered `OK` or `NO <highest>`; every judgement is one JSON line in
the log (`at_us` by the receiver's own clock, `holder`, `token`, `accepted`), which the lab counts from.
"""

from __future__ import annotations

import json
import time
from typing import IO, Any

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from bitternbeam.fleet.tokens import Fence, parse_token


class ProbePort(Factory):
    """Fences per booker name; `judged` keeps (at_us, booker, token text, accepted)."""

    def __init__(self, log: IO[str] | None = None) -> None:
        self.fences: dict[str, Fence] = {}
        self.judged: list[tuple[int, str, str, bool]] = []
        self.log = log

    def buildProtocol(self, _address: Any) -> ProbeLine:
        """Serve one connection."""
        line = ProbeLine()
        line.port = self
        return line

    def judge(self, line: str) -> str:
        """Answer one line."""
        words = line.split()
        token = parse_token(words[2]) if len(words) == 3 and words[0] == "PROBE" else None
        if token is None:
            return "BAD"
        fence = self.fences.setdefault(words[1], Fence())
        verdict = fence.admit(token)
        at_us = time.monotonic_ns() // 1000
        self.judged.append((at_us, words[1], words[2], verdict.accepted))
        if self.log:
            told = {"at_us": at_us, "booker": words[1], "token": words[2], "accepted": verdict.accepted}
            self.log.write(json.dumps(told) + "\n")
            self.log.flush()
        return "OK" if verdict.accepted else f"NO {verdict.highest}"


class ProbeLine(LineReceiver):
    """One connection of probes."""

    delimiter = b"\n"
    port: ProbePort

    def lineReceived(self, line: bytes) -> None:
        """Judge the line and answer it."""
        self.sendLine(self.port.judge(line.decode(errors="replace")).encode())
