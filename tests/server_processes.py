"""The daemon as a process, between a client, a discovery board and server processes that hold calls."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
import time
from itertools import count
from pathlib import Path
from typing import Any

from twisted.internet.task import LoopingCall

from bitternbeam.net.connect import connect
from tests.loop import reactor, until
from tests.test_board import Board
from tests.test_daemon import start
from tests.test_platform import EXTRAS, Peer

ROOT = Path(__file__).parents[1]
HEARTBEAT_S = 1.0
SET_UP_META = {"class": "slot-lookup", "left": "3000", "key": "n", "extras": EXTRAS}


def server_entry(name: str, port: int, state: str, started_ms: int = 0) -> dict[str, Any]:
    """Return one server as discovery lists it."""
    address = f"127.0.0.1:{port}"
    return {"id": name, "addr": address, "cell": 0, "state": state, "started_ms": started_ms}


class ServerProcess:
    """One server process, and what its log tells."""

    def __init__(self, folder: Path, name: str, port: int = 0) -> None:
        self.log = folder / f"{name}.log"
        ready = folder / f"{name}.port"
        code = [sys.executable, "-m", "standins.holding_server", "--port", str(port)]
        self.process = subprocess.Popen([*code, "--ready-file", str(ready), "--log", str(self.log)], cwd=ROOT)
        until(lambda: ready.exists() and ready.read_text())
        self.port = int(ready.read_text())

    def uids(self, event: str) -> set[str]:
        """Return the calls of which the log tells an event."""
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        return {line["uid"] for line in lines if line["event"] == event}

    def leave_address(self) -> None:
        """Stop listening, as a draining server does, and go on with the calls."""
        self.process.send_signal(signal.SIGUSR1)
        until(self._is_refused)

    def _is_refused(self) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self.port)) != 0

    def stop(self) -> None:
        """Make all connections silent; they stay open."""
        self.process.send_signal(signal.SIGSTOP)

    def end_calls(self) -> None:
        """Let each call come to its end."""
        self.process.send_signal(signal.SIGUSR2)

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


class ProcessStage:
    """A daemon that knows one server, s-old, and one client connected to it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.revision = 3
        self.ids = count(1)
        self.board = Board()
        self.servers: list[ServerProcess] = []
        self.old = self.start_server("s-old")
        self.daemon = self._start_daemon()
        self.client = self._connect_client()
        self.heartbeat = LoopingCall(self._send_revision)
        self.heartbeat.start(HEARTBEAT_S)

    def start_server(self, name: str, port: int = 0) -> ServerProcess:
        """Start a server process, at a free port or at a given one."""
        self.servers.append(ServerProcess(self.folder, name, port))
        return self.servers[-1]

    def _start_daemon(self) -> subprocess.Popen[bytes]:
        pool = {"full": True, "servers": [server_entry("s-old", self.old.port, "up")]}
        path = self.folder / "config.json"
        known = {"rev": self.revision, "notices": [{"rev": self.revision, "pool": pool}]}
        example = json.loads((ROOT / "example/config.json").read_text())
        path.write_text(json.dumps(example | {"known": known, "board": self.board.address}))
        return start(path)

    def _connect_client(self) -> Peer:
        assert self.daemon.stderr
        found = re.search(rb"listens on 127.0.0.1:(\d+)", self.daemon.stderr.readline())
        assert found
        made: list[Peer] = []
        connect(reactor, "127.0.0.1", int(found[1]), 500_000, Peer).addCallback(made.append)
        until(lambda: made and self.board.requested())
        return made[0]

    def begin(self, number: int) -> list[str]:
        """Ask for so many calls at once; returns their ids."""
        uids = [f"{next(self.ids):016x}" for _ in range(number)]
        for uid in uids:
            self.client.send("launch", uid, meta=SET_UP_META, body="v=0")
        return uids

    def set_up(self, number: int) -> list[str]:
        """Ask for so many calls at once, and wait; returns the ids of those that stand."""
        uids = self.begin(number)
        until(lambda: all(self.client.kinds(uid) for uid in uids))
        return [uid for uid in uids if self.client.kinds(uid)[0] == ("running", None)]

    def tell(self, *servers: dict[str, Any]) -> None:
        """Report changes of the list of servers."""
        self.revision += 1
        event = {"rev": self.revision, "pool": {"full": False, "servers": list(servers)}}
        self._send_line(json.dumps(event))

    def _send_revision(self) -> None:
        """Send the number of the last event, as discovery does every second."""
        self._send_line(str(self.revision))

    def _send_line(self, line: str) -> None:
        for watch in self.board.peers:
            if watch.received_lines and watch.transport.connected:
                watch.transport.write(line.encode() + b"\n")

    def told_over(self, uids: list[str]) -> bool:
        """Return whether the client was told that each of the calls is over."""
        return all(len(self.client.kinds(uid)) > 1 for uid in uids)

    def wait_until_over(self, uids: list[str], ended_s: float, within_s: float) -> list[str]:
        """Return the calls whose end the client was not told in time; `ended_s` is a monotonic time."""
        deadline_s = ended_s + within_s
        until(lambda: self.told_over(uids) or time.monotonic() > deadline_s)
        return [uid for uid in uids if not self.told_over([uid])]

    def close(self) -> None:
        """End every process."""
        self.heartbeat.stop()
        self.daemon.kill()
        self.daemon.communicate()
        for server in self.servers:
            server.close()
        self.board.close()
