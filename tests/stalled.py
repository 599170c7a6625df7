"""Blocks the event loop on purpose: nothing is read and no timer runs until a given time."""

from __future__ import annotations

import json
import socket
from typing import Any

from bitternbeam.tables.deadlines import Deadlines


def block_loop_until(deadlines: Deadlines, until_us: int) -> None:
    """Block until a time; called from the test, as if from a reactor callback."""
    while deadlines.now_us() < until_us:
        pass


def write_to_socket(peer: Any, kind: str, uid: str, **more: Any) -> None:
    """Write a message directly to the socket: it has reached the other side's socket on return."""
    line = json.dumps({"kind": kind, "uid": uid, "meta": {}, **more}).encode() + b"\n"
    connected: socket.socket = getattr(peer, "transport", peer)
    connected = getattr(connected, "socket", connected)
    assert connected.send(line) == len(line)


def deliver_request(stage: Any, uid: str) -> None:
    """Deliver a request to the front now, before any unread input."""
    (client,) = stage.front.connections.values()
    meta = {"class": "low", "left": "3000", "key": "n", "extras": "dest:0;width:1;via:-1"}
    line = json.dumps({"kind": "launch", "uid": uid, "meta": meta, "body": "v"}).encode()
    client.dataReceived(line + b"\n")
