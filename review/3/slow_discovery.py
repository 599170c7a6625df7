"""Discovery becomes slow: what the notice board writes arrives 2 s late. Meanwhile a booker is taken out of service.

Two bookers, one client, the notice board behind a proxy that delays, and one controller.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import time
from typing import Any

from review.common import (
    HOST, TROUBLE, Board, Case, NotRunError, call_class, config, dial, entry, free_port, play, settings,
    whole_list,
)  # fmt: skip

CLASS = "slot-lookup"
SLOW_S = float(os.environ.get("SLOW_S", "2.0"))  # from the board's write to its arrival
SLOW_FOR_S = 13.0  # how long that lasts
TOLD_S = 7.0  # "counts as told no later than 7 s afterwards"
GRACE_S = 0.250 + 0.050  # "from 250 ms on", and "every time limit is 50 ms longer"
CALLS_PER_S = 20


class Proxy:
    """Stands between the controller and the board: passes all bytes on in order, the board's late while slow."""

    def __init__(self, case: Case, board_port: int) -> None:
        self.case, self.board_port = case, board_port
        self.slow = False
        self.connections = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        name = f"watch-{self.connections}"
        self.case.note("proxy", f"{name}: the controller connects")
        there, back = await asyncio.open_connection(HOST, self.board_port)
        tasks = [
            asyncio.create_task(self.forward(reader, back, name)),
            asyncio.create_task(self.delay(there, writer, name)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        self.case.note("proxy", f"{name}: ended")
        for task in tasks:
            task.cancel()
        back.close()

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
        while data := await reader.read(65536):
            self.case.note("proxy", f"{name}: the controller writes {data!r}")
            writer.write(data)

    async def delay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> None:
        due: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                at, data = await due.get()
                await asyncio.sleep(max(0.0, at - time.time()))
                self.case.note("proxy", f"{name}: the controller gets {data!r}")
                writer.write(data)

        delivering = asyncio.create_task(deliver())
        try:
            while data := await reader.read(65536):
                due.put_nowait((time.time() + SLOW_S * self.slow, data))
        finally:
            delivering.cancel()


class Booker:
    """A sound booker: answers at once and ends each call after 1 s."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.set_ups: list[float] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def say(**message: Any) -> None:
            if not writer.is_closing():
                writer.write(json.dumps(message).encode() + b"\n")

        say(kind="usage", uid="0" * 16, meta={"load": "free:90;size:100"})
        while raw := await reader.readline():
            message = json.loads(raw)
            uid = message["uid"]
            if message["kind"] == "check":
                say(**{**message, "kind": "checked", "reason": 1})
            elif message["kind"] == "launch":
                self.set_ups.append(self.case.note(self.name, f"got the set-up {uid}"))
                say(kind="running", uid=uid, meta={"load": "free:90;size:100"}, body=f"{self.name}\r\n")
                later = asyncio.get_running_loop()
                later.call_later(1.0, lambda uid=uid: say(kind="stop", uid=uid, meta={}, reason=16))


async def scenario(case: Case) -> list[str]:
    bookers = [Booker(case, "s-1"), Booker(case, "s-2")]
    ports = [await case.serve(one.handle) for one in bookers]
    listed = whole_list(*(entry(one.name, port, cell) for cell, (one, port) in enumerate(zip(bookers, ports, strict=True))))
    board = Board(listed)
    proxy = Proxy(case, await case.serve(board.handle))
    board_port = await case.serve(proxy.handle)
    port = free_port()
    case.start("n1", config(port, board_port, settings([call_class(CLASS, 1500, 9000)], [0, 1]), listed))
    line = await dial(port)
    number = 0

    async def call(seconds: float) -> None:
        nonlocal number
        until = time.time() + seconds
        while time.time() < until:
            number += 1
            line.launch(f"{number:016x}", CLASS, 3000, f"number-{number}", "look\r\n", cell=number % 2)
            await asyncio.sleep(1 / CALLS_PER_S)

    await call(3.0)
    if not all(one.set_ups for one in bookers):
        raise NotRunError("a booker got no call")
    if TROUBLE:
        proxy.slow = True
        case.note("proxy", f"from now on what the board writes arrives {SLOW_S} s late")
    await call(1.0)
    board.events.append({"rev": 2, "pool": {"version": 2, "full": False, "servers": [entry("s-1", ports[0], 0, "draining")]}})
    drained = case.note("board", "event 2: s-1 is draining")
    await call(SLOW_FOR_S - 1.0)
    if TROUBLE:
        proxy.slow = False
        case.note("proxy", "what the board writes is passed on at once again")
    await call(5.0)
    await asyncio.sleep(1.0)
    kinds = [message["kind"] for _, message in line.heard]
    case.note("client", f"{number} set-ups, {kinds.count('running')} served; {proxy.connections} watches in all")
    late = [at - drained for at in bookers[0].set_ups if at > drained + TOLD_S + GRACE_S]
    with contextlib.suppress(IndexError):
        case.note("s-1", f"its last set-up came {bookers[0].set_ups[-1] - drained:.2f} s after the event")
    if late:
        return [
            f"s-1: {len(late)} set-ups later than {TOLD_S + GRACE_S:.2f} s after the board had that it drains, "
            f"the last {max(late):.2f} s after"
        ]
    return []


if __name__ == "__main__":
    play(__file__, scenario)
