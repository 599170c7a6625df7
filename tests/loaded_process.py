"""The daemon as a process between two stand-in bookers and raw clients, with its memory and answer times."""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
MEMORY_LIMIT_KB = 192 * 1024
START_S = 30  # only ends a hung start
SET_UP_META = {"class": "slot-lookup", "extras": "dest:0;width:1;via:-1"}


def set_up_line(
    uid: str, left_ms: int = 3000, body: str = "v=0\r\n", fields: dict[str, str] | None = None
) -> bytes:
    """Return a set-up as a line; `fields` are additional ones of its head."""
    meta = SET_UP_META | {"left": str(left_ms), "key": "n"} | (fields or {})
    return json.dumps({"kind": "launch", "uid": uid, "meta": meta, "body": body}).encode() + b"\n"


def new_id() -> str:
    """Return an id that no other call has."""
    return os.urandom(8).hex()


def shared_socket() -> socket.socket:
    """Return a listening socket as the platform holds it for both processes of an upgrade."""
    shared = socket.socket()
    shared.bind(("127.0.0.1", 0))
    shared.listen(512)
    return shared


class LoadedProcess:
    """The daemon with the example's settings, and the processes it talks to."""

    def __init__(self, folder: Path, bookers_per_s: int = 400) -> None:
        self.bookers = self._start_bookers(folder, bookers_per_s)
        self.daemon = self._start_daemon(folder, int(self._wait_for(folder / "board.port")))

    def _start_bookers(self, folder: Path, rate: int) -> subprocess.Popen[bytes]:
        arguments = ["--names", "s-a,s-b", "--rate", str(rate), "--ready-file", str(folder / "board.port")]
        arguments += ["--ports", str(folder / "ports.json"), "--log", str(folder / "bookers.log")]
        return subprocess.Popen([sys.executable, "-m", "standins.booker", *arguments], cwd=ROOT)

    @staticmethod
    def _wait_for(path: Path) -> str:
        end = time.monotonic() + START_S
        while not (path.exists() and path.read_text().strip()):
            assert time.monotonic() < end, f"{path.name} was never written"
            time.sleep(0.02)
        return path.read_text().strip()

    def _start_daemon(self, folder: Path, board_port: int) -> subprocess.Popen[bytes]:
        settings = json.loads((ROOT / "example/config.json").read_text())
        path = folder / "config.json"
        path.write_text(json.dumps(settings | {"board": f"127.0.0.1:{board_port}"}))
        environment = os.environ | {
            "GW_CONFIG": str(path),
            "GW_LISTEN": "127.0.0.1:0",
            "BITTERNBEAM_SIP": str(folder / "none"),
        }
        code = [sys.executable, "-B", "-m", "bitternbeam"]
        daemon = subprocess.Popen(code, cwd=ROOT, env=environment, stderr=subprocess.PIPE)
        assert daemon.stderr
        found = re.search(rb"listens on 127.0.0.1:(\d+)", daemon.stderr.readline())
        assert found
        self.port = int(found[1])
        return daemon

    def connect(self) -> socket.socket:
        """Connect a client."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=START_S)

    def memory_peak_kb(self) -> int:
        """Return the most resident memory that the daemon has had, in KiB."""
        status = Path(f"/proc/{self.daemon.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found
        return int(found[1])

    def answer_s(self, left_ms: int = 3000) -> tuple[str, float]:
        """Send a set-up on a new connection; return its answer's kind (empty if none) and time in s."""
        began = time.monotonic()
        with self.connect() as client:
            client.sendall(set_up_line(new_id(), left_ms))
            with client.makefile("rb") as answers:
                line = answers.readline()
        kind = json.loads(line)["kind"] if line else ""
        return kind, time.monotonic() - began

    def close(self) -> None:
        """End all processes."""
        for process in (self.daemon, self.bookers):
            process.kill()
            process.wait()
        assert self.daemon.stderr
        self.daemon.stderr.close()
