"""A planned restart while a booker hangs, with a class whose requests may not be repeated.

Two controllers, one booker, one client that keeps to the protocol page: it sends again only what was refused
with a cause that says that trying again is harmless.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from typing import Any

from review.common import (
    TROUBLE, Board, Case, NotRunError, call_class, config, dial, entry, free_port, play, settings, whole_list,
)  # fmt: skip

CLASS = "cabin-sale"
AIM_MS, DEADLINE_MS = 3500, 14000
LEFT_MS = 5000  # 36% of the class's give-up time
HARMLESS = (34, 42, 102)


class Booker:
    """A booker with one line of work: it may hang, and then goes on with what it has taken.

    A set-up that was given up meanwhile is still worked on, as the brief says of this deployment.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self.hangs = False
        self.reached: dict[str, float] = {}  # set-ups that came whole
        self.proved_not_run: set[str] = set()
        self.applied: dict[str, list[str]] = {}  # what was done, by called number: ids of the set-ups
        self.work: asyncio.Queue[tuple[dict[str, Any], asyncio.StreamWriter]] = asyncio.Queue()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b'{"kind":"usage","uid":"0000000000000000","meta":{"load":"free:100;size:100"}}\n')
        while raw := await reader.readline():
            message = json.loads(raw)
            if message["kind"] == "launch":
                self.reached[message["uid"]] = self.case.note("booker", f"got {raw.decode().strip()}")
                self.work.put_nowait((message, writer))
            elif message["kind"] == "stop":
                self.case.note("booker", f"got {raw.decode().strip()}")
            elif message["kind"] == "check" and not self.hangs:
                answer = {"kind": "checked", "uid": message["uid"], "meta": {}, "reason": 1}
                writer.write(json.dumps(answer).encode() + b"\n")

    async def go(self) -> None:
        """Do the work, one set-up after the other."""
        while True:
            message, writer = await self.work.get()
            while self.hangs:
                await asyncio.sleep(0.02)
            uid, key = message["uid"], message["meta"]["key"]
            self.applied.setdefault(key, []).append(uid)
            self.case.note("booker", f"ran {uid} for number {key}, time {len(self.applied[key])}")
            answer = {"kind": "running", "uid": uid, "meta": {}, "body": f"ticket {key}\r\n"}
            if not writer.is_closing():
                writer.write(json.dumps(answer).encode() + b"\n")


async def scenario(case: Case) -> list[str]:
    booker = Booker(case)
    going = asyncio.create_task(booker.go())
    listed = whole_list(entry("s-1", await case.serve(booker.handle), 0))
    board = await case.serve(Board(listed).handle)
    given = settings([call_class(CLASS, AIM_MS, DEADLINE_MS, "once")], [0], gateways=2)
    ports = {"n1": free_port(), "n2": free_port()}
    for name, port in ports.items():
        case.start(name, config(port, board, given, listed) | {"name": name})
    first, second = await dial(ports["n1"]), await dial(ports["n2"])

    first.launch("00000000000000a0", CLASS, LEFT_MS, "number-0", "warm-up\r\n")
    await asyncio.sleep(1.0)
    if [m["kind"] for _, m in first.of("00000000000000a0")] != ["running"]:
        raise NotRunError("the warm-up was not served")

    uids: dict[str, str] = {}
    if TROUBLE:
        booker.hangs = True
        case.note("booker", "hangs")
        case.signal("n1", signal.SIGTERM)
        began = time.time()
    # 0.1 to 0.4 s after SIGTERM: "on open ones requests keep coming for 0.2 s longer".
    for number in range(1, 5):
        await asyncio.sleep(0.1)
        uid = uids[f"number-{number}"] = f"{0xB0 + number:016x}"
        first.launch(uid, CLASS, LEFT_MS, f"number-{number}", "buy\r\n")
        case.note("client", f"sent {uid} for number-{number} to n1")
    if TROUBLE:
        # SIGKILL would come 3 s (the longest deadline counts as 3 s) and 0.7 s after SIGTERM.
        if not await case.ended("n1", 3.7 - (time.time() - began)):
            case.signal("n1", signal.SIGKILL)
            await case.ended("n1", 5.0)
        booker.hangs = False
        case.note("booker", "goes on")
    await asyncio.sleep(2.0)

    broken = []
    for key, uid in uids.items():
        answers = first.of(uid)
        case.note("client", f"{uid} ({key}): n1 answered {[m for _, m in answers]}")
        refused = [m for _, m in answers if m["kind"] == "stop" and m["reason"] in HARMLESS]
        if refused and uid in booker.reached:
            broken.append(f"{uid}: its attempt was out at the booker, and it was refused with {refused[0]}")
        if refused:
            again = f"{int(uid, 16) + 0x100:016x}"
            second.launch(again, CLASS, LEFT_MS, key, "buy\r\n")
            case.note("client", f"{key}: refused, so it is sent again, as {again} to n2")
    await asyncio.sleep(2.0)
    for key, ran in booker.applied.items():
        if len(ran) > 1:
            broken.append(f"{key}: ran {len(ran)} times at the booker, as {ran}")
    going.cancel()
    return broken


if __name__ == "__main__":
    play(__file__, scenario)
