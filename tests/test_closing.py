"""The lingering close over loopback: answers are read whole, pending input is handled, all is bounded."""

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
    """Notes the messages that it is handed."""

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
    """A listening address, and pairs of a served line and a raw socket that the test holds."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.lines: list[Line] = []
        factory: Any = Factory()
        factory.buildProtocol = lambda _address: self.lines.append(Line(self.limits)) or self.lines[-1]  # type: ignore[func-returns-value]
        self.ports: list[Any] = []
        listen(reactor, "127.0.0.1", 0, factory).addCallback(self.ports.append)
        self.sockets: list[socket.socket] = []

    def connect(self, receive_buffer: int = 0) -> tuple[Line, socket.socket]:
        """Connect once more."""
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
    """Read to the other side's end, the reactor running; a reset raises ConnectionResetError."""
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


def test_answers_on_their_way_outlast_input_that_nobody_reads(wire: LoopbackServer) -> None:
    # Closed with input unread, the kernel resets the connection and drops what the peer had no room for yet.
    line, peer = wire.connect(receive_buffer=4096)
    for number in range(200):
        line.send({"kind": "running", "uid": f"{number:016x}", "body": "x" * 200})
    line.transport.doWrite()  # into the kernel, more than the peer has room for
    peer.sendall(LINE)  # unread at the close
    line.close_gracefully("test")
    peer.sendall(LINE)  # behind the close
    answers = [json.loads(one) for one in read_to_the_end(peer).splitlines()]
    assert [one["uid"] for one in answers] == [f"{number:016x}" for number in range(200)]
    assert not line.messages
    peer.close()
    until(lambda: line.lost)
    assert not [name for name in line.counters if name.startswith("closing.bound_met")]


def test_the_end_of_the_output_is_out_before_the_close_returns(wire: LoopbackServer) -> None:
    # Left to the next turn of the reactor, whatever came in between would be read and thrown away.
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


def test_a_peers_end_or_reset_is_left_for_the_reactor_to_find(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    other, gone = wire.connect()
    peer.close()
    gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    gone.close()  # a reset
    assert not line.read_pending() and not other.read_pending()
    until(lambda: line.lost and other.lost)


def test_what_comes_behind_the_end_of_our_output_is_not_handled(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    line.close_gracefully("test")
    peer.sendall(LINE)
    pause(0.05)
    assert not line.messages and not line.lost
    peer.close()
    until(lambda: line.lost)


def test_a_peer_that_never_closes_is_given_so_long(wire: LoopbackServer) -> None:
    line, peer = wire.connect()
    line.close_gracefully("test")
    until(lambda: line.lost)
    assert line.counters["closing.bound_met.lingering"] == 1
    assert peer.recv(10) == b""  # and no reset


def test_a_peer_that_sends_without_end_is_cut_off(wire: LoopbackServer) -> None:
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


def test_a_close_that_is_paused_for_a_slow_reader_still_ends(wire: LoopbackServer) -> None:
    # Twisted leaves a connection open for ever if its producer is paused as the last byte leaves.
    wire.limits = Limits()
    line, peer = wire.connect()
    line.transport.write(b"x" * 300_000)
    line.close_gracefully("test")
    assert len(read_to_the_end(peer)) == 300_000
    peer.close()
    until(lambda: line.lost)


def test_of_too_many_that_linger_the_oldest_goes(wire: LoopbackServer) -> None:
    # Descriptors are bounded: a flood of closes must not hold them for the time of each.
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
