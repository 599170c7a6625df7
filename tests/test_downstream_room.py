"""Idle connections, the limit on connections, floods and clients that send or read what they should not."""

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
    """See that a request that was sent is taken and answered."""
    world.until(lambda: uid in world.module.offered_calls())
    world.accept_call(uid)
    world.until(lambda: client.messages_about(uid) == [("running", None)])


# Closed for idleness.


def idle_timeout_us(world: DownstreamWorld, asked: bool) -> int:
    return world.limits.client_idle_us if asked else world.limits.client_first_request_us


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
@pytest.mark.parametrize("sent", [HALF, len(request(ID))], ids=["half a request", "a request"])
def test_what_arrives_as_a_connection_is_closed_for_idleness_is_served(
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
def test_a_connection_in_the_middle_of_a_request_is_not_idle_within_a_bound(
    world: DownstreamWorld, asked: bool
) -> None:
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
    world.advance_us(1)  # its first byte is the measure: an endless one in small pieces holds nothing longer
    world.until(client.read)
    assert client.ended == "end" and world.counters["client.closed.half_message"] == 1


def test_the_rest_of_a_request_that_lies_unread_at_the_bound_is_read(world: DownstreamWorld) -> None:
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


# Closed to make room.


@pytest.mark.parametrize("sent", [HALF, len(request(ID))], ids=["half a request", "a request"])
def test_one_that_sends_a_request_makes_no_room(world: DownstreamWorld, sent: int) -> None:
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


def test_one_on_which_a_call_stands_makes_room_and_the_release_goes_elsewhere(world: DownstreamWorld) -> None:
    clients = [world.connect_client(), world.connect_client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        client.send(request(uid))
        accept_and_wait(world, client, uid)
    world.connect_client().sync()
    world.until(lambda: clients[0].read() or clients[0].ended)
    assert clients[0].ended == "end" and not world.back.released
    world.core.attempt_ended(
        world.back.attempts[0], AttemptEnd(Outcome.SERVED)
    )  # its server tells of the end
    world.until(lambda: clients[1].messages_about(ID) == [("stop", 16)])


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_one_in_the_middle_of_a_request_goes_after_those_that_send_nothing(
    world: DownstreamWorld, asked: bool
) -> None:
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


def test_half_requests_lock_nobody_out(world: DownstreamWorld) -> None:
    for _ in range(LIMITS.client_connections):
        client = world.connect_client()
        client.send(request(ID)[:HALF])
        world.until(lambda client=client: world.connection_of(client).has_partial_message)  # type: ignore[misc]
    client = world.connect_client()
    client.send(request(ID2))
    accept_and_wait(world, client, ID2)


def test_a_request_on_a_connection_for_which_there_is_no_room_is_refused(world: DownstreamWorld) -> None:
    # Closed unread, it was lost with no answer. What is open on the others goes on.
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


def test_a_flood_of_connections_with_requests_has_each_of_them_answered(world: DownstreamWorld) -> None:
    for uid in (ID, ID2):
        world.send_request(world.connect_client(), uid)
    flood = [world.connect_unaccepted() for _ in range(60)]
    uids = [f"{number:016x}" for number in range(60)]
    for client, uid in zip(flood, uids, strict=True):
        client.send(request(uid))
    world.until(lambda: all(client.read() for client in flood))
    told = [client.messages_about(uid) for client, uid in zip(flood, uids, strict=True)]
    assert told == [[("stop", 34)]] * 60 and {client.ended for client in flood} == {"end"}
    assert len(world.front.connections) == 2 and not world.front.over_limit_connections.connections


def test_a_connection_past_the_limit_that_says_nothing_is_closed_soon(world: DownstreamWorld) -> None:
    for uid in (ID, ID2):
        world.send_request(world.connect_client(), uid)
    silent = world.connect_client()
    world.advance_us(world.limits.client_new_us - 1)
    assert not silent.read()
    world.advance_us(1)
    world.until(silent.read)
    assert silent.ended == "end" and not world.front.over_limit_connections.connections


# Floods and nonsense.


def test_requests_past_a_connections_bound_are_refused_and_the_others_served(world: DownstreamWorld) -> None:
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
def test_an_endless_line_in_small_pieces_costs_its_bound_and_nobody_else(
    world: DownstreamWorld, size: int
) -> None:
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
def test_what_came_before_nonsense_is_answered(world: DownstreamWorld, noise: bytes) -> None:
    # The connection is of no further use; reset at once, it took its requests' answers along.
    client = world.connect_client()
    world.send_request(client, ID)
    world.act(api.Send(ID, "s0", 0))
    client.send(request(ID2) + noise + request(ID3))
    world.until(client.read)
    assert client.messages_about(ID) == [("stop", 41)] and client.messages_about(ID2) == [("stop", 34)]
    assert client.messages_about(ID3) == [] and client.ended == "end"
    assert world.back.given_up == [ID] and world.module.offered_calls() == [ID]


def test_who_reads_nothing_is_cut_off_alone_once_its_answers_pile_up(world: DownstreamWorld) -> None:
    client, other = world.connect_client(), world.connect_client()
    world.send_request(client, ID)
    ref = world.send_request(other, ID2)
    connection = world.connection_of(client)
    while not connection.transport.producerPaused:
        connection.send({"kind": "staging", "uid": ID, "meta": {}, "body": "x" * 8_000})
    client.send(line("check", "t", reason=0) * (LIMITS.client_backlog + 1))
    world.until(lambda: not connection.is_open)
    assert world.counters["client.stalled"] == 1 and world.core.by_uid.keys() == {ID2}
    assert world.front.is_client_waiting(ref)


def test_at_the_end_of_the_process_all_are_closed_and_those_past_the_limit_too(
    world: DownstreamWorld,
) -> None:
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
