"""Consul says that two bookers are out of service, then its catalogue goes quiet for 8 s.

Three SIP bookers on UDP, one SIP caller, a stand-in of Consul's agent and one controller with its SIP side on.
"""

from __future__ import annotations

import asyncio
import importlib.util
import json
import socket
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.common import (
    HOST, TROUBLE, Board, Case, NotRunError, call_class, config, free_port, play, settings, whole_list,
)  # fmt: skip

GRACE_S = 0.250 + 0.050  # "from 250 ms on", and "every time limit is 50 ms longer"
QUIET_S = 8.0  # "discovery is down for 8 s"
CALLS_PER_S = 20
SDP = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"


class Consul:
    """One agent: blocking queries on the health API, and the catalogue."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.index = 10
        self.checks: dict[str, tuple[int, str]] = {}  # of the registered instances: port and check's state
        self.changed = asyncio.Event()
        self.quiet_from = self.quiet_until = 0.0
        self.told_at = 0.0  # the last byte of the answer with the change was written and taken

    def change(self, checks: dict[str, tuple[int, str]]) -> None:
        self.index += 1
        self.checks = checks
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        url = urlsplit(head.split()[1])
        index = int(parse_qs(url.query).get("index", ["0"])[0])
        self.case.note("consul", f"asked {url.path}?{url.query}")
        wait_s = self.quiet_until - time.time()
        if time.time() >= self.quiet_from and wait_s > 0:
            self.case.note("consul", f"quiet: no answer for {wait_s:.1f} s")
            await asyncio.sleep(wait_s)
        health = url.path.startswith("/v1/health/service/")
        if health and index == self.index:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), 60)
            except TimeoutError:
                pass
        if health:
            items: list[Any] = [
                {"Node": {"Node": "node-1", "Address": HOST},
                 "Service": {"ID": name, "Service": "sip-booker", "Address": HOST, "Port": port,
                             "Meta": {"cell": name[1:]}},
                 "Checks": [{"CheckID": f"service:{name}", "Status": state}]}
                for name, (port, state) in self.checks.items()
            ]  # fmt: skip
        else:
            items = [{"ServiceID": name, "ServicePort": port} for name, (port, _) in self.checks.items()]
        body = json.dumps(items).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
            b"X-Consul-Index: %d\r\nContent-Length: %d\r\n\r\n%b" % (self.index, len(body), body)
        )
        try:
            await writer.drain()
            writer.close()
            await writer.wait_closed()
        except OSError:
            return
        if health and self.index > 10 and not self.told_at:
            self.told_at = self.case.note("consul", f"TOLD: index {self.index}, {body.decode()}")
        else:
            self.case.note("consul", f"answered {url.path} index {self.index}")


def fields(message: str) -> dict[str, str]:
    rows = message.split("\r\n\r\n")[0].split("\r\n")[1:]
    return {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}


class Booker(asyncio.DatagramProtocol):
    """A sound SIP server: takes every INVITE at once; each Call-ID that reaches it is noted."""

    transport: Any

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.invites: dict[str, float] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        text = data.decode()
        method, head = text.split(" ", 1)[0], fields(text)
        if method not in ("INVITE", "BYE", "CANCEL"):
            return
        if method == "INVITE" and head["call-id"] not in self.invites:
            self.invites[head["call-id"]] = self.case.note(self.name, f"INVITE {head['call-id']}")
        to = head["to"] if "tag=" in head["to"] else f"{head['to']};tag=b{self.name}"
        body = SDP if method == "INVITE" else ""
        contact = f"Contact: <sip:{HOST}:{self.port}>\r\nContent-Type: application/sdp\r\n" if body else ""
        self.transport.sendto(
            f"SIP/2.0 200 OK\r\nVia: {head['via']}\r\nFrom: {head['from']}\r\nTo: {to}\r\n"
            f"Call-ID: {head['call-id']}\r\nCSeq: {head['cseq']}\r\n{contact}"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode(),
            addr,
        )


class Caller(asyncio.DatagramProtocol):
    """Dials at an even rate; ACKs each answer and hangs up 0.3 s after a 200."""

    transport: Any

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.target = case, (HOST, port)
        self.finals: dict[str, int] = {}
        self.dialled = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def send(self, method: str, number: str, to_tag: str = "", body: str = "") -> None:
        branch = f"z9hG4bK{number}" + ("bye" if method == "BYE" else "ack" if to_tag else "")
        sequence = 2 if method == "BYE" else 1
        kind = "Content-Type: application/sdp\r\n" if body else ""
        self.transport.sendto(
            f"{method} sip:{number}@{HOST}:{self.target[1]} SIP/2.0\r\n"
            f"Via: SIP/2.0/UDP {HOST}:{self.port};branch={branch};rport\r\nMax-Forwards: 70\r\n"
            f"From: <sip:desk@{HOST}:{self.port}>;tag=f{number}\r\n"
            f"To: <sip:{number}@{HOST}>{';tag=' + to_tag if to_tag else ''}\r\nCall-ID: id-{number}\r\n"
            f"CSeq: {sequence} {method}\r\nContact: <sip:desk@{HOST}:{self.port}>\r\n{kind}"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode(),
            self.target,
        )

    def datagram_received(self, data: bytes, addr: Any) -> None:
        text = data.decode()
        head = fields(text)
        if not text.startswith("SIP/2.0"):
            return
        status = int(text.split()[1])
        if status < 200 or not head["cseq"].endswith("INVITE"):
            return
        number = head["call-id"].removeprefix("id-")
        tag = head["to"].partition("tag=")[2]
        self.send("ACK", number, tag)
        if number not in self.finals:
            self.finals[number] = status
            self.case.note("caller", f"{number}: answered {status}")
            if status == 200:
                asyncio.get_running_loop().call_later(0.3, self.send, "BYE", number, tag)

    async def dial(self, seconds: float) -> None:
        until = time.time() + seconds
        while time.time() < until:
            self.dialled += 1
            self.case.note("caller", f"n{self.dialled:05d}: INVITE")
            self.send("INVITE", f"n{self.dialled:05d}", body=SDP)
            await asyncio.sleep(1 / CALLS_PER_S)


async def scenario(case: Case) -> list[str]:
    loop = asyncio.get_running_loop()
    bookers = {
        name: (await loop.create_datagram_endpoint(lambda n=name: Booker(case, n), (HOST, 0)))[1]  # type: ignore[misc]
        for name in ("s0", "s1", "s2")
    }
    consul = Consul(case)
    consul.checks = {name: (one.port, "passing") for name, one in bookers.items()}
    consul_port = await case.serve(consul.handle)
    listed = whole_list()
    board_port = await case.serve(Board(listed).handle)
    sip_port = free_port((socket.SOCK_DGRAM, socket.SOCK_STREAM))
    sip = case.temporary / "sip.toml"
    sip.write_text(
        f'[sip]\nenabled = true\nlisten = "{HOST}:{sip_port}"\nclass = "slot-lookup"\nanswer_ms = 3000\n'
        f'[consul]\naddr = "{HOST}:{consul_port}"\nservice = "sip-booker"\n'
    )
    given = settings([call_class("slot-lookup", 1500, 9000)], [0, 1, 2])
    # The deploy file's command needs msgspec to read sip.toml (claim.txt, last paragraph).
    run = "" if importlib.util.find_spec("msgspec") else "exec .venv/bin/python -B review/3/launch.py"
    case.note("case", f"command: {run or 'as in the deploy file'}")
    case.start("n1", config(free_port(), board_port, given, listed), run, BITTERNBEAM_SIP=str(sip), PYTHONPATH=".")
    caller: Caller = (await loop.create_datagram_endpoint(lambda: Caller(case, sip_port), (HOST, 0)))[1]
    for _ in range(100):  # until its SIP side serves
        await asyncio.sleep(0.1)
        await caller.dial(0.01)
        if 200 in caller.finals.values():
            break
    await caller.dial(5.0)
    if not all(one.invites for one in bookers.values()):
        raise NotRunError("a booker got no call before the change")
    # One release takes two bookers out: s1 is deregistered, the check of s2 turns critical.
    if TROUBLE:
        consul.quiet_from, consul.quiet_until = time.time(), time.time() + QUIET_S
        case.note("consul", f"the open query is answered; then quiet for {QUIET_S} s")
    consul.change({"s0": consul.checks["s0"], "s2": (consul.checks["s2"][0], "critical")})
    await caller.dial(QUIET_S + 2.0)
    await asyncio.sleep(0.5)
    if not consul.told_at:
        raise NotRunError("the change was never told")
    served = sum(status == 200 for status in caller.finals.values())
    case.note("caller", f"{caller.dialled} dialled, {len(caller.finals)} answered, {served} served")
    broken = []
    for name in ("s1", "s2"):
        late = [at - consul.told_at for at in bookers[name].invites.values() if at > consul.told_at + GRACE_S]
        if late:
            broken.append(
                f"{name}: {len(late)} new calls later than {GRACE_S * 1000:.0f} ms after the controller was "
                f"told, the last {max(late):.2f} s after"
            )
    return broken


if __name__ == "__main__":
    play(__file__, scenario)
