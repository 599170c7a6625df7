"""A stand-in booker's probe port: it fences probes by their tokens and logs what it judged.

    python -m standins.receiver --ready-file port.txt --log FILE

Each line `PROBE <booker> <token>` is answered `OK` or `NO <highest>`; every judgement is one JSON line in
the log (`at_us` by the receiver's own clock, `booker`, `token`, `accepted`), which the lab counts from.
`LOOK <booker> <name>` asks for the same without a token and changes nothing; it is logged as `look`.

The lab's own lines: `LAB hold before` and `LAB hold after` leave the next probe unanswered, judged only with
`after`, and log a `trap`; `LAB down <booker>` closes its connections unanswered, `LAB up <booker>` ends that;
`LAB started <booker> <ms>` makes its answers tell a start.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import IO, Any

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from bitternbeam.fleet.tokens import Fence, parse_token


class ProbePort(Factory):
    """Fences per booker name; `judged` keeps (at_us, booker, token text, accepted)."""

    noisy = False

    def __init__(self, log: IO[str] | None = None) -> None:
        self.fences: dict[str, Fence] = {}
        self.judged: list[tuple[int, str, str, bool]] = []
        self.looks = 0
        self.log = log
        self.hold = ""
        self.down: set[str] = set()
        self.started: dict[str, str] = {}

    def buildProtocol(self, _address: Any) -> ProbeLine:
        """Serve one connection."""
        line = ProbeLine()
        line.port = self
        return line

    def note(self, at_us: int, **told: Any) -> None:
        """Write one line of the log."""
        if self.log:
            self.log.write(json.dumps({"at_us": at_us} | told) + "\n")
            self.log.flush()

    def judge(self, line: str) -> str | None:
        """Answer one line; None: not at all, and '' closes the connection."""
        words = line.split()
        at_us = time.monotonic_ns() // 1000
        if len(words) == 3 and words[0] == "LOOK":
            self.looks += 1
            self.note(at_us, event="look", booker=words[1], holder=words[2])
            return "" if words[1] in self.down else "OK"
        if words[:1] == ["LAB"]:
            return self.lab(words[1:])
        token = parse_token(words[2]) if len(words) == 3 and words[0] == "PROBE" else None
        if token is None:
            return "BAD"
        if words[1] in self.down:
            return ""
        held, self.hold = self.hold, ""
        if held:
            self.note(at_us, event="trap", agent=token.holder, when=held)
        if held == "before":
            return None
        verdict = self.fences.setdefault(words[1], Fence()).admit(token)
        self.judged.append((at_us, words[1], words[2], verdict.accepted))
        self.note(at_us, event="probe", booker=words[1], token=words[2], accepted=verdict.accepted)
        if held:
            return None
        return f"OK {self.started.get(words[1], '')}".strip() if verdict.accepted else f"NO {verdict.highest}"

    def lab(self, words: list[str]) -> str:
        """Carry out an order of the lab."""
        match words:
            case ["hold", ("before" | "after") as when]:
                self.hold = when
            case ["down", booker]:
                self.down.add(booker)
            case ["up", booker]:
                self.down.discard(booker)
            case ["started", booker, ms] if ms.isdigit():
                self.started[booker] = ms
            case _:
                return "BAD"
        return "OK"


class ProbeLine(LineReceiver):
    """One connection of probes."""

    delimiter = b"\n"
    port: ProbePort

    def lineReceived(self, line: bytes) -> None:
        """Judge the line and answer it."""
        answer = self.port.judge(line.decode(errors="replace"))
        if answer:
            self.sendLine(answer.encode())
        elif answer is not None:
            transport: Any = self.transport
            transport.loseConnection()


def main(argv: list[str] | None = None) -> int:
    """Serve one probe port on loopback; writes its number to --ready-file once it listens."""
    import argparse  # noqa: PLC0415

    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    parser = argparse.ArgumentParser(prog="standins.receiver", description=__doc__.splitlines()[0])
    parser.add_argument("--ready-file", type=Path, required=True)
    parser.add_argument("--log", type=Path, required=True)
    told = parser.parse_args(argv)
    reactor: Any = installed_reactor
    listening = reactor.listenTCP(0, ProbePort(told.log.open("a")), interface="127.0.0.1")
    told.ready_file.write_text(f"{listening.getHost().port}\n")
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
