"""A burst written in one turn of the loop: who reads it keeps the connection, who does not read loses it."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.net.platform.unread_output import pending_output_bytes
from tests.downstream_world import ID, ID2, DownstreamWorld, line, request
from tests.loop import reactor

BURST_MESSAGES = 5_000  # far over the transport's 64 KiB and over `client_backlog`
CHECKS = 1_500  # sent at once; the kernel's buffers hold them
MESSAGE_BYTES = len('{"kind":"stop","uid":"0000000000000000","meta":{},"reason":41}\n')
KERNEL_BUFFER_BYTES = 256 * 1024  # asked for each end; a size that is set does not grow as the client reads
MORE_MESSAGES = 4 * BURST_MESSAGES  # more than the kernel's buffers have to drain before it takes more


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld()
    yield one
    one.close()


def connect(world: DownstreamWorld) -> tuple[ClientConnection, int]:
    """Return the front's side of a new client's connection, with one open request on it."""
    client = world.connect_client()
    connection = world.connection_of(client)
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    return connection, world.send_request(client, ID)


def write_burst(connection: ClientConnection, messages: int = BURST_MESSAGES) -> None:
    for number in range(messages):
        connection.send_stop(f"{number:016x}", 41)


def fill_kernel_buffers(connection: ClientConnection) -> None:
    """Write until the kernel takes no more, so that only the client's reading makes room."""
    while not connection.transport.producerPaused:
        connection.send({"kind": "staging", "uid": ID, "meta": {}, "body": "x" * 8_000})
        connection.transport.doWrite()


def read_some(world: DownstreamWorld, size: int) -> None:
    """Let the client read so many bytes, and give the transport its turns to write."""
    left = size
    while left > 0:
        left -= len(world.clients[0].socket.recv(min(left, 65536)))
        reactor.iterate(0)


def test_releases_written_in_one_turn_reach_a_client_that_reads(world: DownstreamWorld) -> None:
    # Guards against a burst of releases, as at a server's death, being taken for messages left unread.
    connection, ref = connect(world)
    write_burst(connection)
    assert connection.is_open and world.front.is_client_waiting(ref)
    client = world.clients[0]
    world.until(lambda: client.read() or len(client.messages) == BURST_MESSAGES)
    assert len(client.messages) == BURST_MESSAGES and not client.ended
    world.advance_us(world.limits.stalled_us)
    assert connection.is_open and world.counters["client.stalled"] == 0


def test_answers_to_messages_read_together_reach_a_client_that_reads(world: DownstreamWorld) -> None:
    # Guards against the same on the way in: one read brings hundreds of messages, all answered in that turn.
    client = world.connect_client()
    connection = world.connection_of(client)
    checks = b"".join(line("check", f"{number:016x}", reason=0) for number in range(CHECKS))
    client.send(checks)
    world.until(lambda: client.read() or len(client.messages) == CHECKS)
    assert len(client.messages) == CHECKS and not client.ended
    assert connection.is_open and world.counters["client.stalled"] == 0


def test_a_slow_reader_is_kept_while_it_reads(world: DownstreamWorld) -> None:
    # Guards against a client being cut off whose backlog lasts longer than `stalled_us`, though it reads.
    connection, _ref = connect(world)
    fill_kernel_buffers(connection)
    write_burst(connection, MORE_MESSAGES)
    step_us = world.limits.client_unread_us // 2
    for _ in range(2 * world.limits.stalled_us // step_us):
        write_burst(connection, MORE_MESSAGES)
        read_some(world, MORE_MESSAGES * MESSAGE_BYTES)
        assert connection.transport.producerPaused
        world.advance_us(step_us)
    assert connection.is_open and world.counters["client.stalled"] == 0


def test_a_client_that_takes_nothing_of_a_burst_is_disconnected(world: DownstreamWorld) -> None:
    # Guards the memory: the burst alone ends no connection, but nothing read of it does.
    connection, ref = connect(world)
    fill_kernel_buffers(connection)
    write_burst(connection)
    world.advance_us(world.limits.client_unread_us - 1)
    assert connection.is_open
    world.advance_us(1)
    assert not connection.is_open and world.counters["client.stalled"] == 1
    assert not world.front.is_client_waiting(ref)


def test_unread_output_is_bounded_in_bytes_at_once(world: DownstreamWorld) -> None:
    # Guards the memory against a client to which much is owed within the time that it is given to read.
    connection, _ref = connect(world)
    fill_kernel_buffers(connection)
    bound = connection.transport.bufferSize + world.limits.client_backlog * world.limits.line_bytes
    pending = pending_output_bytes(connection.transport) - connection.bytes_written
    while connection.is_open and pending + connection.bytes_written < 2 * bound:
        connection.send({"kind": "staging", "uid": ID2, "meta": {}, "body": "x" * 8_000})
    assert bound < pending + connection.bytes_written < bound + 16_000
    assert world.counters["client.stalled"] == 1


def test_requests_in_one_burst_are_all_refused_to_a_client_that_reads(world: DownstreamWorld) -> None:
    # Guards the end of the process, which answers all that is open in one turn.
    client = world.connect_client()
    uids = [f"{number:016x}" for number in range(1, world.limits.client_requests + 1)]
    for uid in uids:
        client.send(request(uid))
        if int(uid, 16) % 50 == 0:
            world.run_loop_once()
    world.until(lambda: len(world.core.by_uid) == len(uids))
    world.core.hang_up_all()
    world.until(lambda: client.read() or len(client.messages) == len(uids))
    assert {one["uid"] for one in client.messages} == set(uids) and not client.ended
