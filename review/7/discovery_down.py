"""Case 7: discovery is down for 8 s; a booker that begins to drain meanwhile gets new calls until it is back."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, TROUBLE, Board, Booker, Caller, Controller, CouldNotRunError, Record, play

DOWN_S = 8.0
TOLD_S = 7.0  # what the board has to tell counts as told so long after it at the latest
DRAIN_S = 0.25 + 0.05


async def case(record: Record, folder: Path) -> tuple[int, str]:
    """Twenty calls a second; one booker begins to drain just after discovery went down."""
    bookers = [Booker(record, "s-a"), Booker(record, "s-b")]
    for one in bookers:
        await one.start()
    board = Board(record, {one.name: one.port for one in bookers})
    await board.start()
    controller = Controller(record, folder, board.port)
    told_at = 0.0
    try:
        await controller.start()
        caller = Caller(record, controller.port)
        await caller.connect()
        began = time.monotonic()
        down = False
        back = not TROUBLE
        while (passed := time.monotonic() - began) < 16.0:
            caller.launch(cell=caller.count % 2)
            await asyncio.sleep(0.05)
            if TROUBLE and not down and passed > 4.0:
                down = True
                board.down()
            if not told_at and passed > 4.2:
                before = len(bookers[0].attempts)
                told_at = board.tell("s-a", "draining")
            if not back and passed > 4.0 + DOWN_S:
                back = True
                await board.start()
        await asyncio.sleep(3.0)
    finally:
        await controller.end()
    served = sum(kind == "stands" for _, kind in caller.answers.values())
    if not before or served < caller.count // 2:
        raise CouldNotRunError(
            f"{served} of {caller.count} calls came to stand, {before} at the booker before"
        )
    late = [one.arrived - told_at for one in bookers[0].attempts if one.arrived > told_at + TOLD_S + DRAIN_S]
    if late:
        return BROKEN, (
            f"{len(late)} new calls went to a draining booker later than {TOLD_S + DRAIN_S:.2f} s after the"
            f" board had it to tell, the last one {max(late):.2f} s after"
        )
    return HELD, "nothing new went to the draining booker too late"


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
