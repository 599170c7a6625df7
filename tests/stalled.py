"""A loop that stands still on purpose: nothing is read and no timer runs until a time has come."""

from __future__ import annotations

import json
import socket
from typing import Any

from bitternbeam.tables.deadlines import Deadlines


def block_loop_until(deadlines: Deadlines, until_us: int) -> None:
    """Keep the loop from its turn until then; the caller is what the reactor would run."""
    while deadlines.now_us() < until_us:
        pass


def write_to_socket(peer: Any, kind: str, uid: str, **more: Any) -> None:
    """Write a message so that it lies in the other side's socket when this returns."""
    line = json.dumps({"kind": kind, "uid": uid, "meta": {}, **more}).encode() + b"\n"
    connected: socket.socket = getattr(peer, "transport", peer)
    connected = getattr(connected, "socket", connected)
    assert connected.send(line) == len(line)


def deliver_request(stage: Any, uid: str) -> None:
    """Let a request be read at this moment, whatever lies unread elsewhere."""
    (client,) = stage.front.connections.values()
    meta = {"class": "low", "left": "3000", "key": "n", "extras": "dest:0;width:1;via:-1"}
    line = json.dumps({"kind": "launch", "uid": uid, "meta": meta, "body": "v"}).encode()
    client.dataReceived(line + b"\n")
