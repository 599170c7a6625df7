"""What the cases share: a record, the controller's process, the notice board and settings.

Only the standard library is used. Everything listens on 127.0.0.1, on free ports; the controller is started
with the `run` line of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not be played; this is no verdict."""


class Case:
    """One run of a case: its record, its folder for temporary files and its processes."""

    def __init__(self, folder: Path) -> None:
        self.began = time.time()
        self.lines: list[str] = []
        self.path = folder / "record.txt"
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: list[tuple[str, Path]] = []
        self.servers: list[asyncio.AbstractServer] = []
        self.note("case", f"TROUBLE={int(TROUBLE)}")

    def note(self, who: str, what: str) -> float:
        """Write a line to the record; return its Unix time."""
        now = time.time()
        self.lines.append(f"{now - self.began:9.3f} {who:<10} {what}")
        return now

    def start(self, name: str, config: dict[str, Any], **environment: str) -> None:
        """Start one controller as the deploy file says."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        home = self.temporary / f"{name}-{len(self.logs)}"
        home.mkdir()
        (home / "config.json").write_text(json.dumps(config))
        tmp = home / "tmp"
        tmp.mkdir()
        keep = {key: os.environ[key] for key in ("PATH", "LANG", "LC_ALL") if key in os.environ}
        log = home / "log"
        self.logs.append((name, log))
        with log.open("wb") as out:
            self.processes[name] = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=out, stderr=out,
                env={**keep, "GW_CONFIG": str(home / "config.json"), "GW_NAME": name,
                     "GW_LISTEN": config["listen"], "TMPDIR": str(tmp), **environment},
            )  # fmt: skip
        self.note(name, f"started, pid {self.processes[name].pid}")

    def signal(self, name: str, number: signal.Signals) -> float:
        """Send a signal to a controller that this case started; return the time."""
        self.processes[name].send_signal(number)
        return self.note(name, number.name)

    async def ended(self, name: str, within_s: float) -> bool:
        """Wait for a controller's end."""
        until = time.time() + within_s
        while self.processes[name].poll() is None:
            if time.time() > until:
                return False
            await asyncio.sleep(0.02)
        self.note(name, f"exited with {self.processes[name].returncode}")
        return True

    async def serve(self, handler: Callable[..., Awaitable[None]], port: int = 0) -> int:
        """Listen on a free TCP port and return it."""

        async def quietly(*pair: Any) -> None:
            with contextlib.suppress(asyncio.CancelledError, OSError, EOFError):
                await handler(*pair)
            pair[1].close()

        server = await asyncio.start_server(quietly, HOST, port)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """End what was started, and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            server.close()
        for name, log in self.logs:
            self.lines.append(f"--- log of {name}")
            self.lines += log.read_text(errors="replace").splitlines()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.path.write_text("\n".join(self.lines) + "\n")


def play(file: str, scenario: Callable[[Case], Awaitable[list[str]]], limit_s: float = 100.0) -> None:
    """Play a scenario, which returns what broke the rule; exit with 1, 0 or 2."""
    case = Case(Path(file).resolve().parent)
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(case), limit_s))
        for line in broken:
            case.note("verdict", line)
        status = 1 if broken else 0
        case.note("verdict", "the rule was BROKEN" if broken else "the rule held")
    except (NotRunError, OSError, TimeoutError) as error:
        case.note("verdict", f"could not run: {type(error).__name__}: {error}")
    finally:
        case.close()
    print("\n".join(line for line in case.lines if " verdict " in line))
    sys.exit(status)


def free_port(kinds: tuple[int, ...] = (socket.SOCK_STREAM,)) -> int:
    """Return a port that is free for all these kinds of socket."""
    for _ in range(50):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            first = stack.enter_context(socket.socket(socket.AF_INET, kinds[0]))
            first.bind((HOST, 0))
            port = int(first.getsockname()[1])
            for kind in kinds[1:]:
                stack.enter_context(socket.socket(socket.AF_INET, kind)).bind((HOST, port))
            return port
    raise NotRunError("no free port")


def entry(name: str, port: int, cell: int, state: str = "up") -> dict[str, Any]:
    """Return one booker as the notice board lists it."""
    return {"id": name, "addr": f"{HOST}:{port}", "zone": "budapest", "kind": "std-1", "cell": cell,
            "state": state, "weight": 1, "started_ms": 0}  # fmt: skip


def whole_list(*servers: dict[str, Any]) -> dict[str, Any]:
    """Return the event with the whole list, which is the first."""
    return {"rev": 1, "pool": {"version": 1, "full": True, "servers": list(servers)}}


class Board:
    """The notice board: tells the events after the number asked for, and the last number every second."""

    def __init__(self, *events: dict[str, Any]) -> None:
        self.events = list(events)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch."""
        with contextlib.suppress(OSError, ValueError):
            told = int((await reader.readline()).split()[1])
            while not writer.is_closing():
                for event in self.events:
                    if event["rev"] > told:
                        writer.write(json.dumps(event).encode() + b"\n")
                        told = event["rev"]
                writer.write(b"%d\n" % max(told, 0))
                await writer.drain()
                await asyncio.sleep(1)


def settings(classes: list[dict[str, Any]], cells: list[int], gateways: int = 1) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of the wire page's example."""
    return {
        "az": "budapest", "balancers": gateways, "clients": {"marks_retry": False},
        "domain": {
            "class_cells": [cells for _ in classes], "clear_wait_us": 300_000, "far_state": "piggyback",
            "here": -1, "holding_us": [9_300_000 for _ in classes], "resend_us": 500_000,
            "route_advice": False, "says_wait": False, "shape": "pools", "widths": [1 for _ in classes],
        },
        "family": "trunks",
        "goal": {"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
        "limits": {
            "cancel": True, "conn_idle_us": 600_000_000, "connect_timeout_us": 500_000,
            "cpu_us_per_request": 0.0, "cpu_us_per_s": 400_000, "max_attempts": 5, "max_open": 20_000,
            "max_retry_after_us": 2_000_000, "may_probe": False, "peers": False, "retry_after": True,
            "second_copies": False, "streams_per_conn": 1_048_576,
        },
        "me": 0, "models": ["std-1"], "over_share_worth": 0.1, "registry_mode": "automatic",
        "request_classes": classes, "round_us": 5_000,
        "safety": {
            "answer_slack_us": 20_000, "ask_within_us": 10_000_000, "cold_from": 0.33,
            "drain_grace_us": 250_000, "fall_multiple": 2.0, "fall_us": 1_000_000,
            "warm_after_us": 15_000_000,
        },
        "stage": 0, "stats": {"columns": ["free", "size", "load_share", "depth"], "via": "piggyback"},
        "tenants": [], "tiers": ["booking-servers"], "weights": "silent", "worth_by": "request",
        "zones": ["budapest", "debrecen", "szeged", "gyor"],
    }  # fmt: skip


def call_class(name: str, aim_ms: int, deadline_ms: int, effect: str = "repeatable") -> dict[str, Any]:
    """Return one class of call."""
    return {"aim_us": aim_ms * 1000, "group": "all", "hard_limit_us": deadline_ms * 1000,
            "idempotency": effect, "late_value": 0.25, "memory_span_us": 5_000_000, "name": name,
            "streamed": True, "worth": 1.0}  # fmt: skip


def config(port: int, board_port: int, given: dict[str, Any], *events: dict[str, Any]) -> dict[str, Any]:
    """Return a controller's configuration; `events` are those known at its start."""
    return {
        "name": "n1", "listen": f"{HOST}:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "board": f"{HOST}:{board_port}",
        "known": {"rev": events[-1]["rev"] if events else 0, "notices": list(events)}, "settings": given,
    }  # fmt: skip


class Line:
    """A client's connection to a controller: JSON lines, each with the time it came."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.heard: list[tuple[float, dict[str, Any]]] = []
        self.sent: dict[str, float] = {}
        self.closed = 0.0
        self.task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        with contextlib.suppress(OSError):
            while raw := await self.reader.readline():
                self.heard.append((time.time(), json.loads(raw)))
        self.closed = time.time()

    def say(self, **message: Any) -> None:
        """Send one message."""
        self.writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def launch(self, uid: str, kind: str, left_ms: int, key: str, body: str, cell: int = 0) -> None:
        """Send a set-up."""
        meta = {"class": kind, "left": str(left_ms), "key": key, "extras": f"dest:{cell};width:1;via:-1"}
        self.sent[uid] = time.time()
        self.say(kind="launch", uid=uid, meta=meta, body=body)

    def of(self, uid: str) -> list[tuple[float, dict[str, Any]]]:
        """Return what came for a call."""
        return [(at, message) for at, message in self.heard if message.get("uid") == uid]

    def reset(self) -> None:
        """Reset the connection, as a broken network does."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.writer.transport.abort()


async def dial(port: int, within_s: float = 15.0, source: str = HOST) -> Line:
    """Connect to a controller from a loopback address, and return once a test has passed there."""
    until = time.time() + within_s
    while time.time() < until:
        with contextlib.suppress(OSError):
            line = Line(*await asyncio.open_connection(HOST, port, local_addr=(source, 0)))
            line.say(kind="check", uid="0" * 16, meta={}, reason=0)
            for _ in range(50):
                await asyncio.sleep(0.02)
                if any(m.get("kind") == "checked" and m.get("reason") == 1 for _, m in line.heard):
                    return line
            line.writer.close()
        await asyncio.sleep(0.1)
    raise NotRunError(f"no test passed on port {port}")
