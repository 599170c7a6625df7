"""One client that sends as fast as its connection takes it, and reads all answers.

    python -m standins.flood --port P --seconds S --line KIND

KIND is a key of `KINDS`. Each message has a new id and, where it has one, a new called number. It ends after
the time given and prints how many messages it sent.
"""

from __future__ import annotations

import argparse
import json
import random
import select
import socket
import sys
import time
from collections.abc import Callable, Iterator

BATCH_MESSAGES = 200  # written at once
READ_BYTES = 1 << 20
POLL_S = 0.1
SHORT_LEFT_MS = "50"


def launch(uid: str, number: int, call_class: str = "slot-lookup") -> bytes:
    """Return a set-up as a line."""
    meta = {
        "class": call_class,
        "left": SHORT_LEFT_MS,
        "key": f"{number:016x}",
        "extras": "dest:0;width:1;via:-1",
    }
    return json.dumps({"kind": "launch", "uid": uid, "meta": meta, "body": "v=0\r\n"}).encode() + b"\n"


def stop(uid: str) -> bytes:
    """Return a cancel as a line."""
    return json.dumps({"kind": "stop", "uid": uid, "meta": {}, "reason": 16}).encode() + b"\n"


def check(uid: str, _number: int) -> bytes:
    """Return a test as a line."""
    return json.dumps({"kind": "check", "uid": uid, "meta": {}, "reason": 0}).encode() + b"\n"


KINDS: dict[str, Callable[[str, int], bytes]] = {
    "set-up": launch,
    "unknown_class": lambda uid, number: launch(uid, number, f"class-{number}"),
    "cancelled": lambda uid, number: launch(uid, number) + stop(uid),
    "unknown_stop": lambda uid, _number: stop(uid),
    "checks": check,
}


def batches(kind: str, seed: int) -> Iterator[tuple[int, bytes]]:
    """Yield messages in batches without end, with how many each holds."""
    chance = random.Random(seed)
    build, number = KINDS[kind], 0
    while True:
        lines = [build(f"{chance.getrandbits(64):016x}", number + index) for index in range(BATCH_MESSAGES)]
        number += BATCH_MESSAGES
        yield BATCH_MESSAGES, b"".join(lines)


def write(client: socket.socket, lines: bytes, end: float) -> bool:
    """Write all lines and discard what comes meanwhile; False if the time is up first."""
    unsent = memoryview(lines)
    while unsent:
        readable, writable, _ = select.select([client], [client], [], POLL_S)
        if time.monotonic() >= end:
            return False
        if readable and not client.recv(READ_BYTES):
            raise ConnectionError("the connection was closed")
        if writable:
            unsent = unsent[client.send(unsent) :]
    return True


def main(argv: list[str] | None = None) -> int:
    """Send until the time is up."""
    parser = argparse.ArgumentParser(prog="standins.flood")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--line", choices=sorted(KINDS), default="set-up")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args(argv)
    end = time.monotonic() + told.seconds
    sent = 0
    with socket.create_connection(("127.0.0.1", told.port)) as client:
        client.setblocking(False)
        for count, lines in batches(told.line, told.seed):
            if time.monotonic() >= end or not write(client, lines, end):
                break
            sent += count
    print(sent)
    return 0


if __name__ == "__main__":
    sys.exit(main())
