"""What the cases 6 to 10 share: stand-ins for bookers, the notice board and callers, a proxy, the controller.

All stand-ins run in the test's own process, on loopback ports that the system chooses. The controller is a
process of its own, started with the `run` line of the deploy file. Times in the record are Unix seconds.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LINE_BYTES = 16 * 1024  # no message holds more


class CouldNotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, a JSON line each."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.time()

    def note(self, who: str, what: str, **more: Any) -> float:
        """Write one line; returns its time."""
        now = time.time()
        line = {"at": round(now, 4), "s": round(now - self.began, 3), "who": who, "what": what} | more
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()
        return now


def encode(**message: Any) -> bytes:
    """Return a message as a line, its text in UTF-8."""
    return json.dumps(message, separators=(",", ":"), ensure_ascii=False).encode() + b"\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    connection = writer.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Attempt:
    """One set-up as a booker saw it. It is out from its arrival until its end or until it is given up."""

    def __init__(self, uid: str, line: BookerLine, at: float) -> None:
        self.uid, self.line, self.arrived = uid, line, at
        self.answered: float | None = None  # when the call began to stand
        self.ended: float | None = None
        self.why = ""


class BookerLine:
    """One connection of a controller to a booker."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.open = True

    def say(self, **message: Any) -> None:
        """Send one message."""
        if self.open:
            self.writer.write(encode(**message))


class Booker:
    """A sound booker: it answers each set-up, and its calls stand for a while.

    A call that stands belongs to no connection. Its release goes out on the connection of its set-up, else on
    any open one, and also on the next one that is opened.
    """

    def __init__(self, record: Record, name: str, *, answer_s: float = 0.03, hold_s: float = 8.0) -> None:
        self.record, self.name, self.answer_s, self.hold_s = record, name, answer_s, hold_s
        self.lines: list[BookerLine] = []
        self.attempts: list[Attempt] = []
        self.latest: dict[str, Attempt] = {}
        self.body: Callable[[str], str] = lambda uid: f"answer of {name} to {uid}\r\n"
        self.refuses = False
        self.waiting: dict[str, int] = {}  # releases for the next connection
        self.report = "free:400;size:400;load_share:0.3;depth:0"
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self._report())

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(0.4)
            for line in self.lines[:4]:
                line.say(kind="usage", uid="0" * 16, meta={"load": self.report})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = BookerLine(writer)
        self.lines.append(line)
        line.say(kind="usage", uid="0" * 16, meta={"load": self.report})
        for uid, cause in self.waiting.items():
            line.say(kind="stop", uid=uid, meta={}, reason=cause)
        self.waiting.clear()
        try:
            while raw := await reader.readline():
                self._heard(line, json.loads(raw))
        except (OSError, ValueError):
            pass
        line.open = False
        self.lines.remove(line)
        for one in self.attempts:  # what is open on a connection that ends is given up
            if one.line is line and one.answered is None and one.ended is None:
                self._over(one, "given up: its connection ended before the answer")
        writer.close()

    def _heard(self, line: BookerLine, message: dict[str, Any]) -> None:
        kind, uid = message.get("kind"), str(message.get("uid"))
        if kind == "launch":
            at = self.record.note(self.name, "set-up arrived", uid=uid)
            attempt = self.latest[uid] = Attempt(uid, line, at)
            self.attempts.append(attempt)
            asyncio.get_running_loop().call_later(self.answer_s, self._answer, attempt)
        elif kind == "stop":
            found = self.latest.get(uid)
            if found is not None and found.ended is None:
                self._over(found, "released by the session controller")
            line.say(kind="stopped", uid=uid, meta={})
        elif kind == "check":
            line.say(kind="checked", uid=uid, meta={}, reason=1)

    def _answer(self, attempt: Attempt) -> None:
        if attempt.ended is not None:
            return
        if self.refuses:
            attempt.line.say(kind="stop", uid=attempt.uid, meta={"note": "no_path"}, reason=34)
            self._over(attempt, "refused")
            return
        attempt.answered = self.record.note(self.name, "answered: the call stands", uid=attempt.uid)
        attempt.line.say(kind="running", uid=attempt.uid, meta={}, body=self.body(attempt.uid))
        asyncio.get_running_loop().call_later(self.hold_s, self.release, attempt)

    def release(self, attempt: Attempt) -> None:
        """Bring a call that stands to its end."""
        if attempt.ended is not None:
            return
        self._over(attempt, "came to its end")
        own = attempt.line if attempt.line.open else next((one for one in self.lines if one.open), None)
        if own is not None:
            own.say(kind="stop", uid=attempt.uid, meta={}, reason=16)
        self.waiting[attempt.uid] = 16

    def _over(self, attempt: Attempt, why: str) -> None:
        attempt.ended = self.record.note(self.name, why, uid=attempt.uid)
        attempt.why = why


class Proxy:
    """Stands between the controller and one booker and passes lines on, until a case disturbs it."""

    def __init__(self, record: Record, booker: Booker) -> None:
        self.record, self.booker = record, booker
        self.pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []  # to the controller, booker
        self.forgotten: set[asyncio.StreamWriter] = set()
        self.loses: Callable[[dict[str, Any]], bool] = lambda _message: False
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, onward = await asyncio.open_connection("127.0.0.1", self.booker.port, limit=1 << 20)
        pair = (writer, onward)
        self.pairs.append(pair)
        await asyncio.gather(self._up(reader, writer, onward), self._down(there, writer, onward))
        self.pairs.remove(pair)

    async def _up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, onward: asyncio.StreamWriter
    ) -> None:
        try:
            while raw := await reader.readline():
                if writer in self.forgotten:
                    self.record.note("network", "reset: the connection is forgotten", lost=raw.decode()[:80])
                    reset(writer)
                    return
                onward.write(raw)
        except (OSError, ValueError):
            pass
        onward.close()

    async def _down(
        self, there: asyncio.StreamReader, writer: asyncio.StreamWriter, onward: asyncio.StreamWriter
    ) -> None:
        try:
            while raw := await there.readline():
                message = json.loads(raw)
                if self.loses(message):
                    self.record.note("network", "answer lost, connection reset", uid=message["uid"])
                    reset(writer)
                    reset(onward)
                    return
                writer.write(raw)
        except (OSError, ValueError):
            pass
        if writer not in self.forgotten:
            writer.close()

    def forget(self) -> None:
        """Forget every open connection: the booker's end is gone, and what the controller sends is reset."""
        self.record.note("network", "the booker forgets its connections", booker=self.booker.name)
        for writer, onward in self.pairs:
            self.forgotten.add(writer)
            onward.close()


class Board:
    """The notice board: one whole list, then a line with the last number every second."""

    def __init__(self, record: Record, addresses: dict[str, int]) -> None:
        self.record = record
        servers = [
            {"id": name, "addr": f"127.0.0.1:{port}", "zone": "budapest", "kind": "std-1", "cell": cell,
             "state": "up", "weight": 1, "started_ms": 0}
            for cell, (name, port) in enumerate(addresses.items())
        ]  # fmt: skip
        self.events = [{"rev": 1, "pool": {"version": 1, "full": True, "servers": servers}}]
        self.places = {one["id"]: one for one in servers}
        self.lines: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen, at the same port if it was down before."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def down(self) -> None:
        """Close every connection and accept no new one until it is started again."""
        self.record.note("board", "goes down")
        if self.server is not None:
            self.server.close()
        for writer in list(self.lines):
            writer.close()

    def tell(self, name: str, state: str) -> float:
        """Put an event on the board, whether anybody is connected or not; returns its time."""
        rev = len(self.events) + 1
        servers = [self.places[name] | {"state": state}]
        self.events.append({"rev": rev, "pool": {"version": rev, "full": False, "servers": servers}})
        return self.record.note("board", f"{name} is {state}", rev=rev)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.lines.add(writer)
        try:
            told = int((await reader.readline()).split()[1])
            self.record.note("board", "asked", after=told)
            beat = 0.0
            while not writer.is_closing():
                for event in self.events[told:]:
                    writer.write(encode(**event))
                told = len(self.events)
                if time.monotonic() >= beat:
                    writer.write(f"{told}\n".encode())
                    beat = time.monotonic() + 1
                await writer.drain()
                await asyncio.sleep(0.02)
        except (OSError, IndexError, ValueError):
            pass
        self.lines.discard(writer)
        writer.close()


class Caller:
    """One client on one connection; its messages hold 16 KiB at most, those it reads too."""

    def __init__(self, record: Record, port: int, name: str = "caller") -> None:
        self.record, self.port, self.name = record, port, name
        self.answers: dict[str, tuple[float, str]] = {}  # the first final answer of each set-up
        self.bodies: dict[str, str] = {}
        self.releases: dict[str, float] = {}
        self.unreadable = 0
        self.count = 0

    async def connect(self) -> None:
        """Connect, and read from then on."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        self.task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while raw := await reader.readline():
                if len(raw.rstrip(b"\n")) > LINE_BYTES:
                    self.unreadable += 1
                    self.record.note(self.name, "cannot read a message over 16 KiB", bytes=len(raw))
                    continue
                self._heard(json.loads(raw))
        except (OSError, ValueError):
            pass

    def _heard(self, message: dict[str, Any]) -> None:
        kind, uid = message["kind"], message["uid"]
        if kind == "running" and uid not in self.answers:
            self.answers[uid] = (self.record.note(self.name, "answer: the call stands", uid=uid), "stands")
            self.bodies[uid] = message.get("body", "")
        elif kind == "stop" and uid not in self.answers:
            at = self.record.note(self.name, "turned away or failed", uid=uid, cause=message.get("reason"))
            self.answers[uid] = (at, "over")
        elif kind == "stop":
            at = self.record.note(self.name, "release of a call", uid=uid, cause=message.get("reason"))
            self.releases.setdefault(uid, at)

    def launch(
        self, call_class: str = "slot-lookup", cell: int = 0, left_ms: int = 3000, body: str = ""
    ) -> str:
        """Send a set-up with a new id."""
        self.count += 1
        uid = os.urandom(8).hex()
        meta = {"class": call_class, "left": str(left_ms), "key": f"{self.count:016x}",
                "extras": f"dest:{cell};width:1;via:-1"}  # fmt: skip
        self.record.note(self.name, "set-up", uid=uid)
        self.writer.write(encode(kind="launch", uid=uid, meta=meta, body=body or "v=0\r\n"))
        return uid

    def stop(self, uid: str) -> float:
        """End a call that stands, or give up a set-up."""
        at = self.record.note(self.name, "ends its call", uid=uid)
        self.writer.write(encode(kind="stop", uid=uid, meta={}, reason=16))
        return at

    async def stands(self, uid: str, wait_s: float = 5.0) -> bool:
        """Wait until a set-up has its answer, and tell whether the call stands."""
        await until(lambda: uid in self.answers, wait_s)
        return self.answers.get(uid, (0.0, ""))[1] == "stands"


async def until(true: Callable[[], bool], wait_s: float) -> bool:
    """Wait until something holds, for so long at most; returns whether it does."""
    end = time.monotonic() + wait_s
    while not true():
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(0.02)
    return True


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment: those of the project's example."""
    return dict(copy.deepcopy(json.loads((ROOT / "example/config.json").read_text())["settings"]))


class Controller:
    """One session controller, a process of its own."""

    def __init__(self, record: Record, folder: Path, board: int, known: Any = None, name: str = "n1") -> None:
        self.record, self.folder, self.name = record, folder, name
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.environment: dict[str, str] = {}
        self.settings = settings()
        self.board = board
        self.known = known or {"rev": 0, "notices": []}
        self.lives = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with the run line of the deploy file, and wait until it passes a test.

        Somebody may take a free port before the first start: then another one is tried.
        """
        for tries in range(3):
            said = await self._start()
            if said is None:
                return
            if self.lives > tries + 1 or "listen:" not in said:
                break
            self.port = free_port()
        raise CouldNotRunError(f"{self.name} did not come up: {said}")

    async def _start(self) -> str | None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        told = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "board": f"127.0.0.1:{self.board}",
            "known": self.known, "settings": self.settings,
        }  # fmt: skip
        self.config.write_text(json.dumps(told))
        self.lives += 1
        private = self.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        environment = os.environ | self.environment | {
            "GW_CONFIG": str(self.config), "GW_NAME": self.name, "GW_LISTEN": f"127.0.0.1:{self.port}",
            "TMPDIR": str(private),
        }  # fmt: skip
        log = self.folder / f"{self.name}.{self.lives}.log"
        with log.open("w") as file:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=file, stderr=file
            )
        self.record.note("platform", "started", controller=self.name, pid=self.process.pid)
        end = time.monotonic() + 30
        while not await self._passes():
            if time.monotonic() >= end or self.process.returncode is not None:
                return " | ".join(log.read_text().strip().splitlines()[-12:])
            await asyncio.sleep(0.1)
        self.record.note("platform", "passed its test", controller=self.name)
        return None

    async def _passes(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(encode(kind="check", uid="0" * 16, meta={}, reason=0))
            raw = await asyncio.wait_for(reader.readline(), 1)
            return bool(raw) and json.loads(raw).get("reason") == 1
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def restart(self) -> None:
        """Play a planned restart: SIGTERM, SIGKILL 3.7 s later if it is still there, then a new process."""
        assert self.process is not None
        self.record.note("platform", "SIGTERM", controller=self.name)
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 3.7)
            self.record.note("platform", "ended by itself", controller=self.name)
        except TimeoutError:
            self.record.note("platform", "SIGKILL", controller=self.name)
            self.process.kill()
            await self.process.wait()
        await self.start()

    async def end(self) -> None:
        """End it whatever state it is in."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


Case = Callable[[Record, Path], Awaitable[tuple[int, str]]]


def play(case: Case, folder: Path, longest_s: float = 110.0) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        status, said = asyncio.run(_bounded(case, record, scratch, longest_s))
    except (CouldNotRunError, OSError, TimeoutError) as error:
        status, said = COULD_NOT_RUN, f"the case could not run: {error!r}"
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    record.note("judge", said, trouble=TROUBLE, status=status)
    print(said, flush=True)
    os._exit(status)  # what is still open in this process ends with it


async def _bounded(case: Case, record: Record, scratch: Path, longest_s: float) -> tuple[int, str]:
    loop = asyncio.get_running_loop()
    me = asyncio.current_task()
    assert me is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, me.cancel)
    async with asyncio.timeout(longest_s):
        return await case(record, scratch)
