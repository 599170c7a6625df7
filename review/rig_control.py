"""A stand-in control service (docs/control-protocol.md): offers versions and sends their chunks when it is told to.

It needs blake3, which requirements-full.txt names: a case that uses it runs under that environment.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from typing import Any

import rig_platform as rig
from blake3 import blake3

CHUNK = 8 * 1024
Entries = dict[tuple[str, str], dict[str, Any]]


def line_of(key: tuple[str, str], entry: dict[str, Any]) -> bytes:
    """Return an entry's canonical line."""
    return json.dumps([*key, dict(sorted(entry.items()))], separators=(",", ":")).encode()


class Document:
    """A whole version."""

    def __init__(self, number: int, entries: Entries) -> None:
        self.number = number
        lines = [line_of(key, entry) for key, entry in entries.items()]
        total = sum(int.from_bytes(blake3(line).digest(), "big") for line in lines)
        self.content = f"{total % (1 << 256):064x}"
        self.payload = b"\n".join(lines)

    def offer(self, nonce: str) -> dict[str, Any]:
        """Return its offer."""
        return {
            "type": "offer", "nonce": nonce, "number": {"epoch": 1, "number": self.number},
            "size": len(self.payload), "chunk": CHUNK, "digest": blake3(self.payload).hexdigest(),
            "content": self.content,
        }  # fmt: skip


class Service:
    """The control service; `said` holds what the controller said, with times."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.said: list[tuple[float, dict[str, Any]]] = []
        self.news = asyncio.Event()
        self.writer: asyncio.StreamWriter | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        beat = asyncio.create_task(self._beat(writer))
        try:
            while line := await reader.readline():
                message = json.loads(line)
                if message["type"] != "alive":
                    self.record("control", f"<- {rig.shown(line.strip(), 300)}")
                    self.said.append((time.monotonic(), message))
                    self.news.set()
        except (OSError, ValueError):
            pass
        beat.cancel()
        writer.close()

    @staticmethod
    async def _beat(writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(5)
            writer.write(b'{"type":"alive"}\n')

    async def heard(self, within_s: float, since: int = 0, **fields: Any) -> dict[str, Any]:
        """Wait for a message with these fields; raises CannotRunError."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            for _, message in self.said[since:]:
                if all(message.get(key) == value for key, value in fields.items()):
                    return message
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), max(0.01, end - time.monotonic()))
            except TimeoutError:
                break
        raise rig.CannotRunError(f"the controller did not say {fields} within {within_s} s")

    async def send(self, document: Document, last_at: float = 0.0) -> int:
        """Offer a version and send its chunks, the last one not before a time; returns where its answers begin."""
        since, nonce = len(self.said), secrets.token_hex(8)
        writer = self.writer
        if writer is None:
            raise rig.CannotRunError("no controller on the control stream")
        self.record("control", f"-> offers version 1.{document.number}, {len(document.payload)} bytes")
        writer.write(json.dumps(document.offer(nonce)).encode() + b"\n")
        await self.heard(10, since, type="want", nonce=nonce)
        parts = [document.payload[at : at + CHUNK] for at in range(0, len(document.payload), CHUNK)]
        for index, part in enumerate(parts):
            if index == len(parts) - 1 and last_at:
                await writer.drain()
                await asyncio.sleep(max(0.0, last_at - time.monotonic()))
            header = {
                "type": "chunk",
                "nonce": nonce,
                "index": index,
                "size": len(part),
                "digest": blake3(part).hexdigest(),
            }
            writer.write(json.dumps(header).encode() + b"\n" + part)
            await writer.drain()
        self.record("control", f"-> the last chunk of 1.{document.number}")
        return since
