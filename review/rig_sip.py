"""Stand-ins for the SIP side: callers and servers over UDP, and Consul's health API and catalogue."""

from __future__ import annotations

import asyncio
import json
import re
import secrets
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import rig_platform as rig

Address = tuple[str, int]


def read(data: bytes) -> tuple[str, list[tuple[str, str]], str]:
    """Return a message's first line, its headers with lower-case names, and its body."""
    head, _, body = data.decode().partition("\r\n\r\n")
    first, *lines = head.split("\r\n")
    return first, [(n.strip().lower(), v.strip()) for n, _, v in (line.partition(":") for line in lines)], body


def get(headers: list[tuple[str, str]], name: str) -> str:
    """Return a header's first value."""
    return next((value for key, value in headers if key == name), "")


def write(first: str, headers: list[tuple[str, str]], body: str = "") -> bytes:
    """Return a message."""
    lines = [first, *(f"{key}: {value}" for key, value in headers), f"Content-Length: {len(body)}", "", body]
    return "\r\n".join(lines).encode()


class Server(asyncio.DatagramProtocol):
    """A sound SIP server: answers INVITEs, ends its calls by BYE, and repeats what UDP may lose."""

    def __init__(self, record: rig.Record, name: str, cell: int, hold_s: float = 3.0) -> None:
        self.record, self.name, self.cell, self.hold_s = record, name, cell, hold_s
        self.answer_s = 0.02
        self.invites: list[tuple[float, str]] = []  # first sends only
        self.answers: dict[str, bytes] = {}  # by Call-ID
        self.acked: set[str] = set()
        self.over: set[str] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take one message."""
        first, headers, _ = read(data)
        call = get(headers, "call-id")
        method = first.split(" ")[0]
        if method == "INVITE":
            if call in self.answers:
                self.transport.sendto(self.answers[call], addr)
                return
            self.record(self.name, f"<- {first} {call}")
            self.invites.append((time.monotonic(), call))
            self.answers[call] = self._reply(headers, "100 Trying", "")
            self.transport.sendto(self.answers[call], addr)
            asyncio.create_task(self._answer(headers, addr, call))  # noqa: RUF006 - it ends with the program
        elif method == "ACK":
            self.acked.add(call)
        elif method in ("BYE", "CANCEL"):
            self.record(self.name, f"<- {method} {call}")
            self.over.add(call)
            self.transport.sendto(self._reply(headers, "200 OK", ""), addr)

    @staticmethod
    def _reply(headers: list[tuple[str, str]], status: str, tag: str, extra: tuple[tuple[str, str], ...] = ()) -> bytes:
        kept = [(k, v) for k, v in headers if k in ("via", "from", "to", "call-id", "cseq")]
        if tag:
            kept = [(k, f"{v};tag={tag}" if k == "to" else v) for k, v in kept]
        return write(f"SIP/2.0 {status}", [*kept, *extra])

    async def _answer(self, headers: list[tuple[str, str]], addr: Address, call: str) -> None:
        await asyncio.sleep(self.answer_s)
        tag = secrets.token_hex(4)
        contact = ("contact", f"<sip:{self.name}@127.0.0.1:{self.port}>")
        self.answers[call] = self._reply(headers, "200 OK", tag, (contact,))
        gap = 0.5
        while call not in self.acked and gap < 16:
            self.transport.sendto(self.answers[call], addr)
            await asyncio.sleep(gap)
            gap *= 2
        await asyncio.sleep(self.hold_s)
        if call in self.over:
            return
        self.over.add(call)
        number = 1
        target = re.search(r"<([^>]+)>", get(headers, "contact"))
        bye = [
            ("Via", f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bK{secrets.token_hex(6)};rport"),
            ("From", f"{get(headers, 'to')};tag={tag}"), ("To", get(headers, "from")), ("Call-ID", call),
            ("CSeq", f"{number} BYE"), ("Max-Forwards", "70"),
        ]  # fmt: skip
        uri = target.group(1) if target else f"sip:{addr[0]}:{addr[1]}"
        self.transport.sendto(write(f"BYE {uri} SIP/2.0", bye), addr)


class Caller(asyncio.DatagramProtocol):
    """A sound SIP caller over UDP."""

    def __init__(self, record: rig.Record, port: int) -> None:
        self.record, self.to = record, ("127.0.0.1", port)
        self.finals: dict[str, int] = {}  # by Call-ID
        self.sent: dict[str, bytes] = {}
        self.byes: dict[str, float] = {}

    async def start(self) -> Caller:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]
        return self

    def invite(self) -> str:
        """Send an INVITE; returns its Call-ID."""
        call = f"{secrets.token_hex(8)}@caller"
        me = f"127.0.0.1:{self.port}"
        number = secrets.token_hex(4)
        self.sent[call] = write(
            f"INVITE sip:{number}@127.0.0.1:{self.to[1]} SIP/2.0",
            [
                ("Via", f"SIP/2.0/UDP {me};branch=z9hG4bK{secrets.token_hex(6)};rport"),
                ("From", f"<sip:desk@{me}>;tag={secrets.token_hex(4)}"), ("To", f"<sip:{number}@127.0.0.1>"),
                ("Call-ID", call), ("CSeq", "1 INVITE"), ("Max-Forwards", "70"), ("Contact", f"<sip:desk@{me}>"),
                ("Expires", "3"),
            ],
        )  # fmt: skip
        asyncio.create_task(self._repeat(call))  # noqa: RUF006 - it ends with the program
        return call

    async def _repeat(self, call: str) -> None:
        gap = 0.5
        while call not in self.finals and gap < 16:
            self.transport.sendto(self.sent[call], self.to)
            await asyncio.sleep(gap)
            gap *= 2

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take one message."""
        first, headers, _ = read(data)
        call = get(headers, "call-id")
        if first.startswith("BYE"):
            self.byes.setdefault(call, time.monotonic())
            kept = [(k, v) for k, v in headers if k in ("via", "from", "to", "call-id", "cseq")]
            self.transport.sendto(write("SIP/2.0 200 OK", kept), addr)
            return
        status = int(first.split(" ")[1]) if first.startswith("SIP/") else 0
        if status < 200 or "INVITE" not in get(headers, "cseq"):
            return
        if call not in self.finals:
            self.record("caller", f"<- {first} {call}")
        self.finals.setdefault(call, status)
        _, own, _ = read(self.sent[call])
        target = re.search(r"<([^>]+)>", get(headers, "contact")) if status < 300 else None
        uri = target.group(1) if target else f"sip:127.0.0.1:{self.to[1]}"
        via = get(own, "via")
        if status < 300:
            via = re.sub("branch=[^;]+", f"branch=z9hG4bK{secrets.token_hex(6)}", via)
        ack = [
            ("Via", via),
            ("From", get(own, "from")),
            ("To", get(headers, "to")),
            ("Call-ID", call),
            ("CSeq", "1 ACK"),
            ("Max-Forwards", "70"),
        ]
        self.transport.sendto(write(f"ACK {uri} SIP/2.0", ack), addr)


class Consul:
    """A sound agent with one service: its health API with blocking queries, and its catalogue."""

    def __init__(self, record: rig.Record, service: str) -> None:
        self.record, self.service = record, service
        self.index = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.catalogue_quiet = False
        self.told: Callable[[dict[str, str]], None] = lambda _states: None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, **items: dict[str, Any] | None) -> None:
        """Register, change or (None) deregister instances; one change of the index."""
        for name, item in items.items():
            if item is None:
                self.items.pop(name, None)
            else:
                self.items[name] = item
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def item(server: Server, status: str = "passing") -> dict[str, Any]:
        """Return an instance as the health API tells it."""
        return {
            "Node": {"Node": "node-1", "Address": "127.0.0.1"},
            "Service": {
                "ID": server.name, "Service": "bookers", "Address": "127.0.0.1", "Port": server.port,
                "Meta": {"cell": str(server.cell)},
            },
            "Checks": [{"CheckID": f"service:{server.name}", "Status": status}],
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            url = urlsplit(request.split(" ")[1])
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            if url.path == f"/v1/health/service/{self.service}":
                await self._health(query, writer)
            elif url.path == f"/v1/catalog/service/{self.service}":
                self.record("consul", f"catalogue is asked{', and stays quiet' if self.catalogue_quiet else ''}")
                if self.catalogue_quiet:
                    await reader.read()
                    return
                found = [{"ServiceID": name, "Node": "node-1", "Address": "127.0.0.1"} for name in self.items]
                self._reply(writer, self.index, found)
            else:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            writer.close()

    async def _health(self, query: dict[str, str], writer: asyncio.StreamWriter) -> None:
        asked = int(query.get("index", "0"))
        wait_s = float(query.get("wait", "300s").removesuffix("s"))
        self.record("consul", f"health is asked with index {asked}")
        if asked and asked >= self.index:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                pass
        states = {name: item["Checks"][0]["Status"] for name, item in self.items.items()}
        self.record("consul", f"health answers with index {self.index}: {states}")
        self._reply(writer, self.index, list(self.items.values()))
        self.told(states)

    @staticmethod
    def _reply(writer: asyncio.StreamWriter, index: int, found: list[Any]) -> None:
        body = json.dumps(found).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: {index}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)


def sip_file(folder: Any, port: int, consul: Consul) -> str:
    """Write the SIP side's file; returns its path."""
    path = folder / "sip.toml"
    path.write_text(
        f'[sip]\nenabled = true\nlisten = "127.0.0.1:{port}"\nanswer_ms = 3000\n'
        f'[consul]\naddr = "127.0.0.1:{consul.port}"\nservice = "{consul.service}"\n'
    )
    return str(path)
