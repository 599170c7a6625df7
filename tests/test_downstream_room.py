"""Idle time-outs, the connection limit, floods, and clients that send garbage or do not read."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bitternbeam.core.calls import AttemptEnd
from bitternbeam.decision import interface as api
from bitternbeam.decision.interface import Outcome
from bitternbeam.limits import Limits
from tests.downstream_world import ID, ID2, ID3, DownstreamWorld, RawClient, cancel, line, request

LIMITS = Limits(client_connections=2, client_excess_connections=2, client_requests=3, client_backlog=5)
HALF = len(request(ID)) // 2


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld(LIMITS)
    yield one
    one.close()


def accept_and_wait(world: DownstreamWorld, client: RawClient, uid: str = ID) -> None:
    """Wait until a sent request is offered, accept it, and wait for the client's answer."""
    world.until(lambda: uid in world.module.offered_calls())
    world.accept_call(uid)
    world.until(lambda: client.messages_about(uid) == [("running", None)])


# Idle time-outs.


def idle_timeout_us(world: DownstreamWorld, asked: bool) -> int:
    return world.limits.client_idle_us if asked else world.limits.client_first_request_us


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
@pytest.mark.parametrize("sent", [HALF, len(request(ID))], ids=["half a request", "a request"])
def test_a_request_arriving_at_the_idle_time_out_is_served(
    world: DownstreamWorld, asked: bool, sent: int
) -> None:
    client = world.connect_client()
    if asked:
        client.sync()
    client.send(request(ID)[:sent])
    world.wait_for_input(world.connection_of(client))
    world.advance_us(idle_timeout_us(world, asked))
    client.send(request(ID)[sent:])
    accept_and_wait(world, client)


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_a_partial_request_extends_the_idle_time_out_once(world: DownstreamWorld, asked: bool) -> None:
    client = world.connect_client()
    if asked:
        client.sync()
    connection = world.connection_of(client)
    world.advance_us(idle_timeout_us(world, asked) - 1)
    client.send(request(ID)[:HALF])
    world.until(lambda: connection.has_partial_message)
    world.advance_us(world.limits.client_first_request_us - 1)
    assert connection.is_open
    client.send(request(ID)[HALF:-1])
    world.until(lambda: connection.bytes_read >= len(request(ID)) - 1)
    world.advance_us(1)  # counted from its first byte, so that endless small pieces gain no time
    world.until(client.read)
    assert client.ended == "end" and world.counters["client.closed.half_message"] == 1


def test_the_unread_rest_of_a_request_is_read_at_the_time_out(world: DownstreamWorld) -> None:
    client = world.connect_client()
    connection = world.connection_of(client)
    client.send(request(ID)[:HALF])
    world.until(lambda: connection.has_partial_message)
    client.send(request(ID)[HALF:])
    world.wait_for_input(connection)
    world.advance_us(2 * world.limits.client_first_request_us)
    accept_and_wait(world, client)


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_an_idle_connection_ends_without_a_reset(world: DownstreamWorld, asked: bool) -> None:
    client = world.connect_client()
    if asked:
        client.sync()
    world.advance_us(idle_timeout_us(world, asked) - 1)
    assert world.connection_of(client).is_open
    world.advance_us(1)
    client.send(cancel(ID))  # crosses the close
    world.until(client.read)
    assert client.ended == "end"


# Eviction.


@pytest.mark.parametrize("sent", [HALF, len(request(ID))], ids=["half a request", "a request"])
def test_a_connection_with_an_unread_request_is_not_evicted(world: DownstreamWorld, sent: int) -> None:
    clients = [world.connect_client(), world.connect_client()]
    for client in clients:
        client.sync()
    clients[0].send(request(ID)[:sent])
    world.wait_for_input(world.connection_of(clients[0]))
    world.front.buildProtocol(None)
    assert [one.transport.getPeer().port for one in world.front.connections.values()] == [
        clients[0].socket.getsockname()[1]
    ]
    clients[0].send(request(ID)[sent:])
    accept_and_wait(world, clients[0])


def test_after_eviction_a_calls_release_goes_to_another_connection(world: DownstreamWorld) -> None:
    clients = [world.connect_client(), world.connect_client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        client.send(request(uid))
        accept_and_wait(world, client, uid)
    world.connect_client().sync()
    world.until(lambda: clients[0].read() or clients[0].ended)
    assert clients[0].ended == "end" and not world.back.released
    world.core.attempt_ended(world.back.attempts[0], AttemptEnd(Outcome.SERVED))  # its server releases it
    world.until(lambda: clients[1].messages_about(ID) == [("stop", 16)])


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_a_connection_with_a_partial_request_is_evicted_last(world: DownstreamWorld, asked: bool) -> None:
    clients = [world.connect_client(), world.connect_client()]
    for client in clients:
        client.send(line("check", "t", reason=0) * asked + request(ID)[:HALF])
        world.until(lambda client=client: world.connection_of(client).has_partial_message)  # type: ignore[misc]
    clients[1].send(request(ID)[HALF:])
    accept_and_wait(world, clients[1])
    world.advance_us(world.limits.client_new_us + 1)
    world.front.buildProtocol(None)
    clients[0].send(request(ID2)[HALF:])
    world.until(clients[1].read)
    assert world.connection_of(clients[0]).is_open


def test_connections_with_partial_requests_are_evicted(world: DownstreamWorld) -> None:
    for _ in range(LIMITS.client_connections):
        client = world.connect_client()
        client.send(request(ID)[:HALF])
        world.until(lambda client=client: world.connection_of(client).has_partial_message)  # type: ignore[misc]
    client = world.connect_client()
    client.send(request(ID2))
    accept_and_wait(world, client, ID2)


def test_a_request_on_a_connection_over_the_limit_is_refused(world: DownstreamWorld) -> None:
    # A close without reading would lose the request. Requests on the other connections go on.
    clients = [world.connect_client(), world.connect_client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.send_request(client, uid)
    late = world.connect_unaccepted()
    late.send(request(ID3) + line("check", "t", reason=0))
    world.until(late.read)
    assert late.messages_about(ID3) == [("stop", 34)] and late.messages_about("t") == [("checked", 1)]
    assert late.ended == "end" and world.module.offered_calls() == [ID, ID2]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.accept_call(uid)
        world.run_loop_once()
        assert client.messages_about(uid) == [("running", None)]


def test_every_request_of_a_connection_flood_is_answered(world: DownstreamWorld) -> None:
    for uid in (ID, ID2):
        world.send_request(world.connect_client(), uid)
    flood = [world.connect_unaccepted() for _ in range(60)]
    uids = [f"{number:016x}" for number in range(60)]
    for client, uid in zip(flood, uids, strict=True):
        client.send(request(uid))
    world.until(lambda: all(client.read() for client in flood))
    answers = [client.messages_about(uid) for client, uid in zip(flood, uids, strict=True)]
    assert answers == [[("stop", 34)]] * 60 and {client.ended for client in flood} == {"end"}
    assert len(world.front.connections) == 2 and not world.front.over_limit_connections.connections


def test_a_silent_connection_over_the_limit_is_closed_soon(world: DownstreamWorld) -> None:
    for uid in (ID, ID2):
        world.send_request(world.connect_client(), uid)
    silent = world.connect_client()
    world.advance_us(world.limits.client_new_us - 1)
    assert not silent.read()
    world.advance_us(1)
    world.until(silent.read)
    assert silent.ended == "end" and not world.front.over_limit_connections.connections


# Floods and malformed input.


def test_requests_over_a_connections_limit_are_refused(world: DownstreamWorld) -> None:
    client, other = world.connect_client(), world.connect_client()
    uids = [f"{number:016x}" for number in range(400)]
    client.send(b"".join(map(request, uids)))
    client.sync()
    bound = LIMITS.client_requests
    assert [client.messages_about(uid) for uid in uids[:bound]] == [[]] * bound
    assert [client.messages_about(uid) for uid in uids[bound:]] == [[("stop", 34)]] * (400 - bound)
    other.send(request(ID))
    accept_and_wait(world, other)
    world.act(*(api.Refuse(uid) for uid in uids[:bound]))
    client.send(request(ID2))
    accept_and_wait(world, client, ID2)


@pytest.mark.parametrize("size", [1, 700])
def test_an_endless_line_in_small_pieces_is_cut_at_the_limit(world: DownstreamWorld, size: int) -> None:
    client, other = world.connect_client(), world.connect_client()
    world.send_request(other, ID)
    connection = world.connection_of(client)
    sent = 0
    while connection.is_open:
        client.send(b"x" * size)
        sent += size
        known = connection.bytes_read
        world.until(lambda known=known: connection.bytes_read > known or not connection.is_open)  # type: ignore[misc]
    assert sent <= world.limits.line_bytes + 2 * size
    assert world.counters["client.dropped.overlong_line"] == 1
    world.accept_call(ID)
    world.until(lambda: other.messages_about(ID))


NOISE = [b"{nonsense\n", b"[1]\n", b"x" * 20_000, line("odd", ID), line("launch", "7")]


@pytest.mark.parametrize("noise", NOISE, ids=lambda one: one[:12])
def test_requests_before_malformed_input_are_answered(world: DownstreamWorld, noise: bytes) -> None:
    # The connection can't be parsed further, but a reset would discard the answers written before.
    client = world.connect_client()
    world.send_request(client, ID)
    world.act(api.Send(ID, "s0", 0))
    client.send(request(ID2) + noise + request(ID3))
    world.until(client.read)
    assert client.messages_about(ID) == [("stop", 41)] and client.messages_about(ID2) == [("stop", 34)]
    assert client.messages_about(ID3) == [] and client.ended == "end"
    assert world.back.given_up == [ID] and world.module.offered_calls() == [ID]


def test_a_client_with_too_many_unread_messages_is_disconnected(world: DownstreamWorld) -> None:
    client, other = world.connect_client(), world.connect_client()
    world.send_request(client, ID)
    ref = world.send_request(other, ID2)
    connection = world.connection_of(client)
    while not connection.transport.producerPaused:
        connection.send({"kind": "staging", "uid": ID, "meta": {}, "body": "x" * 8_000})
        connection.transport.doWrite()  # until the kernel takes no more: the client leaves it unread
    answered = world.counters["client.messages_out"]
    client.send(line("check", "t", reason=0) * (LIMITS.client_backlog + 1))
    world.until(lambda: world.counters["client.messages_out"] > answered + LIMITS.client_backlog)
    world.advance_us(LIMITS.client_unread_us - 1)
    assert connection.is_open
    world.advance_us(1)
    assert not connection.is_open
    assert world.counters["client.stalled"] == 1 and world.core.by_uid.keys() == {ID2}
    assert world.front.is_client_waiting(ref)


def test_close_all_closes_connections_over_the_limit_too(world: DownstreamWorld) -> None:
    clients = [world.connect_client(), world.connect_client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.send_request(client, uid)
    late = world.connect_client()
    world.front.close_all()
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.until(client.read)
        assert client.messages_about(uid) == [("stop", 41)] and client.ended == "end"
    world.until(late.read)
    assert late.ended == "end" and world.front.open_transports, "they linger until the clients have closed"
    for client in (*clients, late):
        client.close()
    world.until(lambda: not world.front.open_transports)
