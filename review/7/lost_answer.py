"""Case 7: an answer is lost and its connection reset; the call is set up at a second booker beside the first."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import (
    BROKEN,
    HELD,
    TROUBLE,
    Board,
    Booker,
    Caller,
    Controller,
    CouldNotRunError,
    Proxy,
    Record,
    play,
)

LIMIT_S = 0.05  # every time limit is 50 ms longer
TROUBLE_S = 6.0


async def case(record: Record, folder: Path) -> tuple[int, str]:
    """Play 12 s of calls, 6 s of them with answers that get lost."""
    bookers = [Booker(record, "s-a", hold_s=4.0), Booker(record, "s-b", hold_s=4.0)]
    for one in bookers:
        await one.start()
    proxy = Proxy(record, bookers[0])
    await proxy.start()
    board = Board(record, {"s-a": proxy.port, "s-b": bookers[1].port})
    await board.start()
    controller = Controller(record, folder, board.port)
    try:
        await controller.start()
        caller = Caller(record, controller.port)
        await caller.connect()
        answers = 0
        disturbed = False

        def loses(message: dict[str, Any]) -> bool:
            """Lose one answer in five while the trouble lasts."""
            nonlocal answers
            answers += message.get("kind") == "running"
            return disturbed and message.get("kind") == "running" and answers % 5 == 0

        proxy.loses = loses
        for turn in range(60):  # five calls a second
            disturbed = TROUBLE and 15 <= turn < 15 + 5 * TROUBLE_S
            caller.launch(cell=turn % 2)
            await asyncio.sleep(0.2)
        await asyncio.sleep(6.0)
    finally:
        await controller.end()
    return judge(record, bookers, caller)


def judge(record: Record, bookers: list[Booker], caller: Caller) -> tuple[int, str]:
    """Look for calls with two attempts out at once."""
    if sum(kind == "stands" for _, kind in caller.answers.values()) < caller.count // 2:
        raise CouldNotRunError("most calls did not come to stand")
    twice = 0
    for uid in caller.answers:
        tries = sorted(
            (one.arrived, one.ended or one.arrived + 60, booker.name, one.why) for booker in bookers
             for one in booker.attempts if one.uid == uid
        )  # fmt: skip
        for first, second in zip(tries, tries[1:], strict=False):
            if second[0] < first[1] - LIMIT_S:
                twice += 1
                record.note(
                    "judge", "two attempts out at once", uid=uid, first=first[2], second=second[2],
                    second_began=round(second[0] - first[0], 3), first_ended=round(first[1] - first[0], 3),
                    first_end=first[3],
                )  # fmt: skip
    if twice:
        return BROKEN, f"{twice} of {caller.count} calls had two attempts out at once, both standing"
    return HELD, f"none of {caller.count} calls had two attempts out at once"


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
