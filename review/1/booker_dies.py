"""A booker's process dies while many calls stand there that came on one client connection."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from review.common import (
    TROUBLE, Board, Case, Line, NotRunError, call_class, config, dial, entry, free_port, play, settings,
    whole_list,
)  # fmt: skip

CLASS = "slot-hold"
CALLS = 1600
CALLS_PER_S = 160
WITHIN_S = 8.0 + 0.050  # "within 8 s of its end", and "every time limit is 50 ms longer"


class Booker:
    """A sound booker: answers at once but for set-ups with the body of `slow`, which it answers after 1 s."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.writers: list[asyncio.StreamWriter] = []
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.ran: dict[str, float] = {}
        self.report = {"load": "free:3000;size:3000;load_share:0.5;depth:0"}

    def say(self, writer: asyncio.StreamWriter, **message: Any) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    def answer(self, uid: str, writer: asyncio.StreamWriter) -> None:
        self.standing[uid] = writer
        self.ran[uid] = time.time()
        self.say(writer, kind="running", uid=uid, meta=self.report, body=f"chair at {self.name}\r\n")

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.say(writer, kind="usage", uid="0" * 16, meta=self.report)
        while raw := await reader.readline():
            message = json.loads(raw)
            uid = message["uid"]
            if message["kind"] == "check":
                self.say(writer, **{**message, "kind": "checked", "reason": 1})
            elif message["kind"] == "launch" and message["body"] == "slow\r\n":
                asyncio.get_running_loop().call_later(1.0, self.answer, uid, writer)
            elif message["kind"] == "launch":
                self.answer(uid, writer)
            elif message["kind"] == "stop":
                self.standing.pop(uid, None)

    def die(self, server: asyncio.AbstractServer) -> float:
        """End as a killed process does: new connections are refused, open ones reset, the calls are cut."""
        server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.standing.clear()
        return self.case.note(self.name, "its process died: connections reset, calls cut")

    def end(self, uid: str) -> None:
        if (writer := self.standing.pop(uid, None)) is not None:
            self.say(writer, kind="stop", uid=uid, meta=self.report, reason=16)


async def scenario(case: Case) -> list[str]:
    bookers = [Booker(case, "s-1"), Booker(case, "s-2")]
    ports = [await case.serve(one.handle) for one in bookers]
    server = case.servers[0]
    listed = whole_list(*(entry(one.name, port, cell) for cell, (one, port) in enumerate(zip(bookers, ports, strict=True))))
    board = await case.serve(Board(listed).handle)
    given = settings([call_class(CLASS, 2000, 9000)], [0, 1])
    port = free_port()
    case.start("n1", config(port, board, given, listed))
    line = await dial(port)
    lines: list[Line] = [line]
    uids = [f"{0xA0000 + number:016x}" for number in range(CALLS)]
    began = time.time()
    for number, uid in enumerate(uids):
        line.launch(uid, CLASS, 3000, f"number-{number}", "hold\r\n")
        await asyncio.sleep(max(0.0, began + number / CALLS_PER_S - time.time()))
    await asyncio.sleep(0.3)
    stands = {m["uid"] for _, m in line.heard if m["kind"] == "running"}
    case.note("client", f"{len(stands)} of {CALLS} calls stand, {len(bookers[0].standing)} of them at s-1")
    if len(stands) < CALLS * 0.95 or len(bookers[0].standing) < CALLS * 0.9:
        raise NotRunError("too few calls stand")
    at_first = set(bookers[0].standing)
    waiting = [f"{0xB0000 + number:016x}" for number in range(10)]
    for number, uid in enumerate(waiting):
        line.launch(uid, CLASS, 3000, f"other-{number}", "slow\r\n")
    await asyncio.sleep(0.1)
    case.note("client", f"{len(waiting)} more set-ups are sent on the same connection and not answered yet")
    over = time.time()
    if TROUBLE:
        over = bookers[0].die(server)
    else:
        for uid in sorted(at_first):  # they end one after the other, as they began
            bookers[0].end(uid)
            await asyncio.sleep(1 / 400)
    await asyncio.sleep(3.0)
    if line.closed:
        case.note("client", f"its connection ended {line.closed - over:.3f} s after; it connects again")
        lines.append(await dial(port))
        # Some other call is served there: from then on nothing keeps the controller from sending releases.
        lines[1].launch("00000000000c0000", CLASS, 3000, "again", "hold\r\n", cell=1)
    await asyncio.sleep(WITHIN_S - 3.0 + 1.0)
    heard = [(at, message) for one in lines for at, message in one.heard]
    released = {m["uid"]: at for at, m in heard if m["kind"] == "stop"}
    if line.closed:
        again = [m["kind"] for m in (m for _, m in lines[1].of("00000000000c0000"))]
        case.note("client", f"on the new connection: a new call was answered {again}")
    answered = {m["uid"] for _, m in heard if m["kind"] in ("running", "stop")}
    left = sorted(uid for uid in at_first & stands if uid not in released or released[uid] > over + WITHIN_S and TROUBLE)
    lost = [uid for uid in waiting if uid not in answered]
    case.note("client", f"{len(at_first & stands) - len(left)} of {len(at_first & stands)} ended calls were released")
    def at(times: dict[str, float], uid: str) -> str:
        return f"{times[uid] - case.began:.3f}" if uid in times else "never"

    answers = {m["uid"]: f"{m['kind']} {at - case.began:.3f}" for at, m in reversed(heard)}
    sent = {uid: moment for one in lines for uid, moment in one.sent.items()}
    for uid in sent:
        ran = {**bookers[1].ran, **bookers[0].ran}
        case.lines.append(
            f"call {uid}: sent {at(sent, uid)}, ran {at(ran, uid)}, first heard: {answers.get(uid, 'nothing')}, "
            f"released {at(released, uid)}"
        )
    broken = []
    if left:
        broken.append(f"{len(left)} calls that are over were not released within {WITHIN_S} s, as {left[0]}")
    if lost:
        broken.append(f"{len(lost)} of {len(waiting)} requests: their connection ended with no answer, as {lost[0]}")
    return broken


if __name__ == "__main__":
    play(__file__, scenario)
