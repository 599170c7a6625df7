"""A toy booker and notice board for example/config.json, and one call through the controller.

Start this, then `GW_CONFIG=example/config.json .venv/bin/python -m bitternbeam`; it dials by itself.
"""

import asyncio
import json

LIST = {"version": 1, "full": True, "servers": [
    {"id": "s-1", "addr": "127.0.0.1:5071", "zone": "here", "kind": "std", "cell": 0, "state": "up",
     "weight": 1, "started_ms": 0}]}


def line(**message):
    return json.dumps(message).encode() + b"\n"


async def booker(reader, writer):
    """Answer each set-up and end the call after a second."""
    while raw := await reader.readline():
        message = json.loads(raw)
        if message["kind"] == "launch":
            writer.write(line(kind="running", uid=message["uid"], meta={}, body="v=0\r\n"))
            await asyncio.sleep(1)
            writer.write(line(kind="stop", uid=message["uid"], meta={}, reason=16))


async def board(reader, writer):
    """Tell the list once, then its number every second."""
    if await reader.readline() == b"watch 0\n":
        writer.write(line(rev=1, pool=LIST))
    while not writer.is_closing():
        writer.write(b"1\n")
        await asyncio.sleep(1)


async def main():
    """Serve, wait for the controller and dial once."""
    await asyncio.start_server(booker, "127.0.0.1", 5071)
    await asyncio.start_server(board, "127.0.0.1", 7070)
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", 5060)
            break
        except OSError:
            await asyncio.sleep(0.2)
    await asyncio.sleep(0.5)
    meta = {"class": "slot-lookup", "left": "3000", "key": "1", "extras": "dest:0;width:1;via:-1"}
    writer.write(line(kind="launch", uid="00000000000000a1", meta=meta, body="v=0\r\n"))
    for _ in range(2):
        print((await reader.readline()).decode().strip())
    await asyncio.Event().wait()  # serve on until it is stopped


asyncio.run(main())
