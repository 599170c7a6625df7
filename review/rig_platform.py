"""What the cases of this review share: a record, small stand-ins of the platform, and the controller's process.

Only the standard library is used. Every address is 127.0.0.1 with a port that the system gives, every file that
is not the record stands in a temporary folder, and every process that is started here is ended here.

Exit codes of a case: 1 the rule was broken, 0 it held, 2 the case couldn't run.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case couldn't be set up; says nothing about the rule."""


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def __call__(self, who: str, what: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {who:<14} {what}\n")
        self.file.flush()


def shown(line: bytes | str, most: int = 200) -> str:
    """Return a line for the record; long ones are cut and give their length."""
    text = line.decode("utf-8", "replace") if isinstance(line, bytes) else line
    return text if len(text) <= most else f"{text[:most]}... ({len(text)} characters)"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(**over: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment: two bookers' cells, one class, few controllers."""
    made: dict[str, Any] = {
        "az": "east", "zones": ["east"], "balancers": 2, "me": 0, "tiers": ["bookers"], "stage": 0,
        "family": "trunks", "models": ["std-1"], "registry_mode": "automatic", "round_us": 5000,
        "weights": "silent", "worth_by": "request", "over_share_worth": 0.1, "tenants": [],
        "clients": {"marks_retry": False},
        "domain": {
            "shape": "pools", "class_cells": [[0, 1, 2, 3]], "widths": [1], "holding_us": [9_000_000],
            "clear_wait_us": 300_000, "resend_us": 500_000, "says_wait": False, "route_advice": False,
            "far_state": "piggyback", "here": -1,
        },
        "limits": {
            "cancel": True, "may_probe": False, "peers": False, "retry_after": True, "second_copies": False,
            "max_attempts": 5, "max_open": 20_000, "max_retry_after_us": 2_000_000,
            "conn_idle_us": 600_000_000, "connect_timeout_us": 500_000, "streams_per_conn": 1_048_576,
            "cpu_us_per_request": 0.0, "cpu_us_per_s": 400_000,
        },
        "safety": {
            "answer_slack_us": 20_000, "ask_within_us": 10_000_000, "cold_from": 0.33,
            "drain_grace_us": 250_000, "fall_multiple": 2.0, "fall_us": 1_000_000, "warm_after_us": 15_000_000,
        },
        "stats": {"columns": ["free", "size", "load_share", "depth"], "via": "piggyback"},
        "request_classes": [
            {
                "name": "slot-lookup", "aim_us": 1_500_000, "hard_limit_us": 9_000_000, "worth": 1.0,
                "late_value": 0.25, "idempotency": "repeatable", "streamed": True, "group": "all",
                "memory_span_us": 5_000_000,
            }
        ],
    }  # fmt: skip
    made.update(over)
    return made


def uid() -> str:
    """Return a new id."""
    return secrets.token_hex(8)


Line = dict[str, Any]


class Board:
    """The notice board: numbered events, `watch N`, and the last number every second."""

    def __init__(self, record: Record) -> None:
        self.record, self.events = record, []  # type: ignore[var-annotated]
        self.watchers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.ticking = asyncio.create_task(self._tick())

    def tell(self, servers: list[Line], full: bool = False) -> None:
        """Add an event and send it to whoever watches."""
        rev = len(self.events) + 1
        event = {"rev": rev, "pool": {"version": rev, "full": full, "servers": servers}}
        self.events.append(event)
        self.record("board", shown(json.dumps(event)))
        for writer in list(self.watchers):
            writer.write(json.dumps(event).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            asked = int((await reader.readline()).split()[1])
            for event in self.events[asked:]:
                writer.write(json.dumps(event).encode() + b"\n")
            writer.write(b"%d\n" % len(self.events))
            self.watchers.add(writer)
            await reader.read()
        except (OSError, IndexError, ValueError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(1)
            for writer in list(self.watchers):
                writer.write(b"%d\n" % len(self.events))


class Booker:
    """A sound booker: answers set-ups, releases calls when they end, gives up what its peer gives up.

    A release goes on the connection of the set-up while that is open, else on any other, and once more on the
    next connection that is opened.
    """

    def __init__(self, record: Record, name: str, cell: int, hold_s: float = 5.0) -> None:
        self.record, self.name, self.cell, self.hold_s = record, name, cell, hold_s
        self.answer_s = 0.02
        self.body: Callable[[Line], str] = lambda line: f"answer of {name} to {line['uid']}"
        self.port = 0
        self.shown_port = 0  # the address in the list: a proxy's, if there is one
        self.writers: list[asyncio.StreamWriter] = []
        self.setups: dict[str, tuple[asyncio.StreamWriter, asyncio.Task[None]]] = {}
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.stood_since: dict[str, float] = {}
        self.again: list[str] = []  # releases to repeat on the next connection
        self.launches: list[tuple[float, str]] = []
        self.stops: dict[str, float] = {}
        self.released: dict[str, float] = {}  # by this booker
        self.longest = 0  # bytes of its longest message

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 17)
        self.port = self.server.sockets[0].getsockname()[1]
        self.shown_port = self.shown_port or self.port

    def entry(self, state: str = "up", started_ms: int = 0) -> Line:
        """Return its entry of the list."""
        return {
            "id": self.name, "addr": f"127.0.0.1:{self.shown_port}", "zone": "east", "kind": "std-1",
            "cell": self.cell, "state": state, "weight": 1, "started_ms": started_ms,
        }  # fmt: skip

    def report(self) -> str:
        """Return its load report."""
        free = 60 - len(self.standing) - len(self.setups)
        return f"free:{free};size:60;load_share:0.1;depth:0"

    def send(self, writer: asyncio.StreamWriter, message: Line) -> None:
        """Write one message."""
        line = json.dumps(message, ensure_ascii=False, separators=(",", ":")).encode()
        self.longest = max(self.longest, len(line))
        self.record(self.name, f"-> {shown(line)}")
        writer.write(line + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record(self.name, f"connection {len(self.writers) + 1} opened")
        self.writers.append(writer)
        writer.write(json.dumps({"kind": "usage", "uid": "0" * 16, "meta": {"load": self.report()}}).encode() + b"\n")
        for one in self.again:
            self.send(writer, {"kind": "stop", "uid": one, "meta": {}, "reason": 16})
        self.again = []
        try:
            while line := await reader.readline():
                if len(line) > 16 * 1024 + 1:
                    self.record(self.name, f"a message of {len(line)} bytes: can't be read, closes")
                    break
                self._take(json.loads(line), writer, line)
        except (OSError, ValueError) as error:
            self.record(self.name, f"connection ended: {error}")
        self.writers.remove(writer)
        for one, (where, task) in list(self.setups.items()):
            if where is writer:
                self.record(self.name, f"set-up {one} is given up with its connection")
                task.cancel()
                del self.setups[one]
        writer.close()

    def _take(self, message: Line, writer: asyncio.StreamWriter, line: bytes) -> None:
        kind, one = message.get("kind"), message.get("uid", "")
        if kind == "check":
            writer.write(json.dumps({"kind": "checked", "uid": one, "meta": {}, "reason": 1}).encode() + b"\n")
            return
        self.record(self.name, f"<- {shown(line.strip())}")
        if kind == "launch":
            self.launches.append((time.monotonic(), one))
            self.setups[one] = (writer, asyncio.create_task(self._answer(message, writer)))
        elif kind == "stop":
            self.stops.setdefault(one, time.monotonic())
            if one in self.setups:
                self.setups.pop(one)[1].cancel()
            if self.standing.pop(one, None):
                self.record(self.name, f"call {one} was released by its peer")

    async def _answer(self, message: Line, writer: asyncio.StreamWriter) -> None:
        one = message["uid"]
        await asyncio.sleep(self.answer_s)
        self.setups.pop(one, None)
        self.standing[one] = writer
        self.stood_since[one] = time.monotonic()
        self.send(writer, {"kind": "running", "uid": one, "meta": {"load": self.report()}, "body": self.body(message)})
        asyncio.create_task(self._end(one))  # noqa: RUF006 - it ends with the program

    async def _end(self, one: str) -> None:
        await asyncio.sleep(self.hold_s)
        writer = self.standing.pop(one, None)
        if writer is None:
            return
        self.released[one] = time.monotonic()
        self.again.append(one)
        where = writer if writer in self.writers else next(iter(self.writers), None)
        self.record(self.name, f"call {one} has come to its end")
        if where is not None:
            self.send(where, {"kind": "stop", "uid": one, "meta": {"load": self.report()}, "reason": 16})


class Proxy:
    """A relay in front of one address; each connection can be made silent or reset."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.to_port, self.port = record, name, port, 0
        self.links: list[Link] = []

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            writer.transport.abort()
            return
        link = Link(self, len(self.links) + 1, writer, far_writer)
        self.links.append(link)
        self.record(self.name, f"link {link.number} opened")
        await asyncio.gather(link.pump(reader, far_writer), link.pump(far_reader, writer))


class Link:
    """One connection through a proxy."""

    def __init__(self, proxy: Proxy, number: int, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.proxy, self.number, self.near, self.far = proxy, number, near, far
        self.silent = False
        self.seen = b""

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one direction; a silent link goes on reading and drops what it reads."""
        try:
            while data := await reader.read(65536):
                self.seen = (self.seen + data)[-200_000:]
                if not self.silent:
                    writer.write(data)
        except OSError:
            pass
        if not self.silent:
            writer.close()

    def go_silent(self) -> None:
        """Carry nothing any more, and stay open."""
        self.proxy.record(self.proxy.name, f"link {self.number} falls silent and stays open")
        self.silent = True

    def reset(self, near: bool = True, far: bool = True) -> None:
        """Reset both sides."""
        self.proxy.record(self.proxy.name, f"link {self.number} is reset")
        for writer, wanted in ((self.near, near), (self.far, far)):
            if wanted:
                reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Client:
    """One connection of a caller."""

    numbers = itertools.count(1)
    everyone: list[Client] = []  # kept: a reader whose connection nobody holds is destroyed with a complaint

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.everyone.append(self)
        self.name = f"client {next(self.numbers)}"
        self.came: dict[str, list[tuple[float, Line]]] = {}
        self.closed = asyncio.Event()
        self.news = asyncio.Event()
        self.most = 16 * 1024

    async def connect(self) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 17)
        self.record(self.name, "connects")
        self.reading = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while line := await self.reader.readline():
                self.record(self.name, f"<- {shown(line.strip())}")
                message: Line = (
                    json.loads(line)
                    if len(line) <= self.most + 1
                    else {"kind": "unreadable", "uid": "", "size": len(line)}
                )
                self.came.setdefault(message.get("uid", ""), []).append((time.monotonic(), message))
                self.news.set()
                if message["kind"] == "unreadable":
                    self.record(self.name, f"a message of {len(line)} bytes: over 16 KiB, can't be read")
        except (OSError, ValueError) as error:
            self.record(self.name, f"connection ended: {error}")
        self.closed.set()
        self.news.set()

    def send(self, message: Line) -> None:
        """Write one message."""
        line = json.dumps(message, ensure_ascii=False, separators=(",", ":")).encode()
        self.record(self.name, f"-> {shown(line)}")
        self.writer.write(line + b"\n")

    def launch(self, cell: int = 0, left_ms: int = 3000, body: str = "offer", key: str = "") -> str:
        """Send a set-up and return its id."""
        one = uid()
        meta = {
            "class": "slot-lookup",
            "left": str(left_ms),
            "key": key or uid(),
            "extras": f"dest:{cell};width:1;via:-1",
        }
        self.send({"kind": "launch", "uid": one, "meta": meta, "body": body})
        return one

    def stop(self, one: str) -> None:
        """Give up a set-up, or release a call."""
        self.send({"kind": "stop", "uid": one, "meta": {}, "reason": 16})

    async def wait_for(self, one: str, count: int, within_s: float) -> list[Line]:
        """Wait until this many messages of one id have come, or the time is up."""
        end = time.monotonic() + within_s
        while len(self.came.get(one, [])) < count and time.monotonic() < end:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), max(0.01, end - time.monotonic()))
            except TimeoutError:
                break
        return [message for _, message in self.came.get(one, [])]

    async def check(self) -> bool:
        """Send a test; tells whether it passed."""
        probe = "0" * 16
        before = len(self.came.get(probe, []))
        self.send({"kind": "check", "uid": probe, "meta": {}, "reason": 0})
        came = await self.wait_for(probe, before + 1, 1.0)
        return len(came) > before and came[-1].get("reason") == 1

    def close(self) -> None:
        """Close."""
        self.record(self.name, "closes")
        self.writer.close()


class Controller:
    """One session controller, started with the deploy file's `run`."""

    def __init__(
        self, record: Record, folder: Path, board_port: int, made: Line, known: list[Line], **more: Any
    ) -> None:
        self.record, self.folder = record, folder
        self.port = free_port()
        self.environment = {**os.environ, "TMPDIR": str(folder), "GW_NAME": "n1", "PYTHONHASHSEED": "0"}
        self.environment.update(more.pop("environment", {}))
        self.config = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"127.0.0.1:{board_port}", "known": {"rev": len(known), "notices": known},
            "settings": made, **more,
        }  # fmt: skip
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.arguments = ""  # behind `run`

    async def start(self, pass_fds: tuple[int, ...] = (), known: list[Line] | None = None) -> None:
        """Start the process."""
        if known is not None:
            self.config["known"] = {"rev": len(known), "notices": known}
        self.starts += 1
        path = self.folder / f"config-{self.starts}.json"
        path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        run = f"{run} {self.arguments}"
        environment = {**self.environment, "GW_CONFIG": str(path), "GW_LISTEN": f"127.0.0.1:{self.port}"}
        log = (self.folder / f"log-{self.starts}.txt").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=pass_fds
        )
        PROCESSES.append(self.process)
        self.record("controller", f"start {self.starts}, process {self.process.pid}")

    async def ready(self, within_s: float = 20.0) -> None:
        """Wait until a test passes."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRunError(f"the controller ended with {self.process.returncode}: {self.log()}")
            try:
                client = await Client(self.record, self.port).connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            passed = await client.check()
            client.close()
            if passed:
                self.record("controller", "passed a test")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"the controller was not ready in time: {self.log()}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.record("controller", f"{number.name} to process {self.process.pid}")
            self.process.send_signal(number)

    def log(self) -> str:
        """Return the end of the newest log."""
        path = self.folder / f"log-{self.starts}.txt"
        text = path.read_text(errors="replace")[-1500:] if path.exists() else ""
        return text.replace(str(self.folder), "FOLDER").replace(str(ROOT), "ROOT")


def need_full_requirements() -> None:
    """Raise CannotRunError unless the build's environment has requirements-full.txt; build-2.sh puts it there."""
    wanted = "import immutables, msgspec, blake3, lmdb"
    if subprocess.run([ROOT / ".venv/bin/python", "-c", wanted], capture_output=True, check=False).returncode:
        raise CannotRunError("requirements-full.txt is not installed in .venv: run review/build-2.sh")


PROCESSES: list[asyncio.subprocess.Process] = []


async def end_processes() -> None:
    """End whatever was started here."""
    for process in PROCESSES:
        if process.returncode is None:
            process.kill()
            await process.wait()


def main(case: Callable[[Record, Path], Awaitable[int]], record_path: Path, limit_s: float = 100.0) -> int:
    """Run a case; returns its exit code."""
    record = Record(record_path)
    record("case", f"TROUBLE={int(TROUBLE)}")

    async def run() -> int:
        try:
            with tempfile.TemporaryDirectory(prefix="review-") as folder:
                return await asyncio.wait_for(case(record, Path(folder)), limit_s)
        finally:
            await end_processes()

    sys.unraisablehook = lambda _what: None  # streams that are left open complain when the loop has ended
    try:
        code = asyncio.run(run())
    except CannotRunError as error:
        record("case", f"couldn't run: {error}")
        code = NOT_RUN
    except Exception:
        record("case", "couldn't run: " + traceback.format_exc().replace(str(ROOT), "ROOT"))
        code = NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case couldn't run"}[code]
    record("case", f"verdict: {verdict} (exit {code})")
    print(verdict)
    return code


def start_case(case: Callable[[Record, Path], Awaitable[int]], file: str) -> None:
    """Run a case from its script: the record goes beside it."""
    folder = Path(file).resolve().parent
    sys.exit(main(case, Path(os.environ.get("RECORD", folder / "record.txt"))))
