"""The lingering close over loopback: output arrives complete, pending input is handled, all is bounded."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.protocol import Factory

from bitternbeam.limits import Limits
from bitternbeam.net.connect import listen
from bitternbeam.net.platform.json_lines import JsonLines, Message
from bitternbeam.net.platform.lingering_close import LingeringClose
from tests.loop import parts, pause, reactor, until

LINE = b'{"kind":"launch","uid":"9b1f03aa5c7e2d41"}\n'
LIMITS = Limits(linger_us=300_000, linger_bytes=8_192, linger_connections=3, stalled_us=300_000)


class Line(JsonLines):
    """Records the messages that it receives."""

    def __init__(self, limits: Limits) -> None:
        deadlines, counters = parts()
        super().__init__("peer", deadlines, limits, counters)
        self.messages: list[Message] = []
        self.lost = False

    def message_received(self, message: Message) -> None:
        self.messages.append(message)

    def connectionLost(self, *reason: Any) -> None:
        super().connectionLost(*reason)
        self.lost = True


class LoopbackServer:
    """A listening port, with pairs of an accepted connection and the test's raw socket."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.lines: list[Line] = []
        factory: Any = Factory()
        factory.buildProtocol = lambda _address: self.lines.append(Line(self.limits)) or self.lines[-1]  # type: ignore[func-returns-value]
        self.ports: list[Any] = []
        listen(reactor, "127.0.0.1", 0, factory).addCallback(self.ports.append)
        self.sockets: list[socket.socket] = []

    def connect(self, receive_buffer: int = 0) -> tuple[Line, socket.socket]:
        """Connect, and return both ends of the connection."""
        peer = socket.socket()
        if receive_buffer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        peer.settimeout(10)
        self.sockets.append(peer)
        count = len(self.lines)
        peer.connect(("127.0.0.1", self.ports[0].getHost().port))
        until(lambda: len(self.lines) > count and self.lines[count].is_open)
        return self.lines[-1], peer

    def close(self) -> None:
        """Close everything."""
        for one in self.sockets:
            one.close()
        until(lambda: all(line.lost for line in self.lines))
        self.ports[0].stopListening()
        pause(0.01)


@pytest.fixture
def wire() -> Iterator[LoopbackServer]:
    one = LoopbackServer()
    yield one
    one.close()
    assert not LingeringClose.lingering


def read_to_the_end(peer: socket.socket) -> bytes:
    """Read to the other side's FIN while running the reactor; a reset raises ConnectionResetError."""
    peer.setblocking(False)
    got: list[bytes] = []

    def ended() -> bool:
        try:
            got.append(peer.recv(65536))
        except BlockingIOError:
            return False
        return not got[-1]

    until(ended)
    return b"".join(got)


def test_unread_input_at_the_close_does_not_lose_answers(wire: LoopbackServer) -> None:
    # On a close with unread input the kernel resets the connection and drops what the peer has not received.
    line, peer = wire.connect(receive_buffer=4096)
    for number in range(200):
        line.send({"kind": "running", "uid": f"{number:016x}", "body": "x" * 200})
    line.transport.doWrite()  # more than the peer's receive buffer holds
    peer.sendall(LINE)  # unread at the close
    line.close_gracefully("test")
    peer.sendall(LINE)  # after the close
    answers = [json.loads(one) for one in read_to_the_end(peer).splitlines()]
    assert [one["uid"] for one in answers] == [f"{number:016x}" for number in range(200)]
    assert not line.messages
    peer.close()
    until(lambda: line.lost)
    assert not [name for name in line.counters if name.startswith("closing.bound_met")]


def test_the_close_sends_its_fin_before_it_returns(wire: LoopbackServer) -> None:
    # Input that arrived before a FIN sent in the reactor's next turn would be discarded.
    line, peer = wire.connect()
    line.close_gracefully("test")
    assert peer.recv(10) == b""


def test_a_request_that_has_arrived_is_read_before_the_close(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    peer.sendall(LINE + LINE[:20])  # in the kernel; the reactor does not run
    assert line.read_pending()
    assert len(line.messages) == 1 and line.has_partial_message
    assert not line.read_pending()
    peer.sendall(LINE[20:])
    assert line.read_pending() and len(line.messages) == 2 and not line.has_partial_message


def test_read_pending_leaves_a_close_or_reset_to_the_reactor(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    other, gone = wire.connect()
    peer.close()
    gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    gone.close()  # a reset
    assert not line.read_pending() and not other.read_pending()
    until(lambda: line.lost and other.lost)


def test_input_after_our_fin_is_discarded(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    line.close_gracefully("test")
    peer.sendall(LINE)
    pause(0.05)
    assert not line.messages and not line.lost
    peer.close()
    until(lambda: line.lost)


def test_lingering_for_a_peer_that_never_closes_ends_by_time_out(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    line.close_gracefully("test")
    until(lambda: line.lost)
    assert line.counters["closing.bound_met.lingering"] == 1
    assert peer.recv(10) == b""  # and no reset


def test_a_peer_that_sends_too_much_while_lingering_is_cut_off(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    line.close_gracefully("test")
    peer.sendall(b"x" * (LIMITS.linger_bytes + 1))
    until(lambda: line.lost)
    assert line.counters["closing.bound_met.lingering"] == 1


def test_a_peer_that_does_not_read_is_cut_off(wire: LoopbackServer) -> None:
    line, _peer = wire.connect(receive_buffer=4096)
    line.transport.write(b"x" * 20_000_000)  # paused as well: more than its buffer
    line.close_gracefully("test")
    until(lambda: line.lost)
    assert line.counters["closing.bound_met.flushing"] == 1


def test_a_close_paused_by_a_slow_reader_completes(wire: LoopbackServer) -> None:
    # Twisted never closes a connection whose producer is paused when the last byte is written.
    wire.limits = Limits()
    line, peer = wire.connect()
    line.transport.write(b"x" * 300_000)
    line.close_gracefully("test")
    assert len(read_to_the_end(peer)) == 300_000
    peer.close()
    until(lambda: line.lost)


def test_over_the_linger_limit_the_oldest_connection_is_cut_off(wire: LoopbackServer) -> None:
    # Descriptors are limited: a flood of closes must not hold them for the whole linger time.
    wire.limits = Limits(linger_connections=3)
    pairs = [wire.connect() for _ in range(5)]
    for line, _peer in pairs:
        line.close_gracefully("test")
    pause(0.05)
    assert [line.lost for line, _peer in pairs] == [True, True, False, False, False]
    for _line, peer in pairs:
        peer.close()
    until(lambda: all(line.lost for line, _peer in pairs))


def test_closing_twice_or_after_the_end_does_nothing(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    line.close_gracefully("test")
    line.close_gracefully("test")
    assert line.counters["peer.closed.test"] == 1
    peer.close()
    until(lambda: line.lost)
    line.close_gracefully("test")
    line.drop("test")
    assert not line.read_pending()
