"""Idle connections, the limit on connections, floods and clients that send or read what they should not."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bitternbeam.core.calls import End
from bitternbeam.decision import interface as api
from bitternbeam.decision.interface import Outcome
from bitternbeam.limits import Limits
from tests.downstream_world import ID, ID2, ID3, DownstreamWorld, RawClient, cancel, line, request

LIMITS = Limits(client_connections=2, client_over_limit=2, client_requests=3, client_backlog=5)
HALF = len(request(ID)) // 2


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld(LIMITS)
    yield one
    one.end()


def served(world: DownstreamWorld, client: RawClient, uid: str = ID) -> None:
    """See that a request that was sent is taken and answered."""
    world.until(lambda: uid in world.module.calls())
    world.stands(uid)
    world.until(lambda: client.told(uid) == [("running", None)])


# Closed for idleness.


def idle_us(world: DownstreamWorld, asked: bool) -> int:
    return world.limits.client_idle_us if asked else world.limits.client_silent_us


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
@pytest.mark.parametrize("sent", [HALF, len(request(ID))], ids=["half a request", "a request"])
def test_what_arrives_as_a_connection_is_closed_for_idleness_is_served(
    world: DownstreamWorld, asked: bool, sent: int
) -> None:
    client = world.client()
    if asked:
        client.sync()
    client.send(request(ID)[:sent])
    world.arrived(world.connection(client))
    world.pass_us(idle_us(world, asked))
    client.send(request(ID)[sent:])
    served(world, client)


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_a_connection_in_the_middle_of_a_request_is_not_idle_within_a_bound(
    world: DownstreamWorld, asked: bool
) -> None:
    client = world.client()
    if asked:
        client.sync()
    connection = world.connection(client)
    world.pass_us(idle_us(world, asked) - 1)
    client.send(request(ID)[:HALF])
    world.until(lambda: connection.has_partial_message)
    world.pass_us(world.limits.client_silent_us - 1)
    assert connection.is_open
    client.send(request(ID)[HALF:-1])
    world.until(lambda: connection.bytes_read >= len(request(ID)) - 1)
    world.pass_us(1)  # its first byte is the measure: an endless one in small pieces holds nothing longer
    world.until(client.read)
    assert client.ended == "end" and world.counters["client.closed.half_message"] == 1


def test_the_rest_of_a_request_that_lies_unread_at_the_bound_is_read(world: DownstreamWorld) -> None:
    client = world.client()
    connection = world.connection(client)
    client.send(request(ID)[:HALF])
    world.until(lambda: connection.has_partial_message)
    client.send(request(ID)[HALF:])
    world.arrived(connection)
    world.pass_us(2 * world.limits.client_silent_us)
    served(world, client)


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_an_idle_connection_ends_without_a_reset(world: DownstreamWorld, asked: bool) -> None:
    client = world.client()
    if asked:
        client.sync()
    world.pass_us(idle_us(world, asked) - 1)
    assert world.connection(client).is_open
    world.pass_us(1)
    client.send(cancel(ID))  # crosses the close
    world.until(client.read)
    assert client.ended == "end"


# Closed to make room.


@pytest.mark.parametrize("sent", [HALF, len(request(ID))], ids=["half a request", "a request"])
def test_one_that_sends_a_request_makes_no_room(world: DownstreamWorld, sent: int) -> None:
    clients = [world.client(), world.client()]
    for client in clients:
        client.sync()
    clients[0].send(request(ID)[:sent])
    world.arrived(world.connection(clients[0]))
    world.front.buildProtocol(None)
    assert [one.transport.getPeer().port for one in world.front.connections.values()] == [
        clients[0].socket.getsockname()[1]
    ]
    clients[0].send(request(ID)[sent:])
    served(world, clients[0])


def test_one_on_which_a_call_stands_makes_room_and_the_release_goes_elsewhere(world: DownstreamWorld) -> None:
    clients = [world.client(), world.client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        client.send(request(uid))
        served(world, client, uid)
    world.client().sync()
    world.until(lambda: clients[0].read() or clients[0].ended)
    assert clients[0].ended == "end" and not world.back.released
    world.core.ended(world.back.attempts[0], End(Outcome.SERVED))  # its server tells of the end
    world.until(lambda: clients[1].told(ID) == [("stop", 16)])


@pytest.mark.parametrize("asked", [False, True], ids=["silent", "asked once"])
def test_one_in_the_middle_of_a_request_goes_after_those_that_send_nothing(
    world: DownstreamWorld, asked: bool
) -> None:
    clients = [world.client(), world.client()]
    for client in clients:
        client.send(line("check", "t", reason=0) * asked + request(ID)[:HALF])
        world.until(lambda client=client: world.connection(client).has_partial_message)  # type: ignore[misc]
    clients[1].send(request(ID)[HALF:])
    served(world, clients[1])
    world.pass_us(world.limits.client_young_us + 1)
    world.front.buildProtocol(None)
    clients[0].send(request(ID2)[HALF:])
    world.until(clients[1].read)
    assert world.connection(clients[0]).is_open


def test_half_requests_lock_nobody_out(world: DownstreamWorld) -> None:
    for _ in range(LIMITS.client_connections):
        client = world.client()
        client.send(request(ID)[:HALF])
        world.until(lambda client=client: world.connection(client).has_partial_message)  # type: ignore[misc]
    client = world.client()
    client.send(request(ID2))
    served(world, client, ID2)


def test_a_request_on_a_connection_for_which_there_is_no_room_is_refused(world: DownstreamWorld) -> None:
    # Closed unread, it was lost with no answer. What is open on the others goes on.
    clients = [world.client(), world.client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.waiting(client, uid)
    late = world.unaccepted()
    late.send(request(ID3) + line("check", "t", reason=0))
    world.until(late.read)
    assert late.told(ID3) == [("stop", 34)] and late.told("t") == [("checked", 1)]
    assert late.ended == "end" and world.module.calls() == [ID, ID2]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.stands(uid)
        world.turn()
        assert client.told(uid) == [("running", None)]


def test_a_flood_of_connections_with_requests_has_each_of_them_answered(world: DownstreamWorld) -> None:
    for uid in (ID, ID2):
        world.waiting(world.client(), uid)
    flood = [world.unaccepted() for _ in range(60)]
    uids = [f"{number:016x}" for number in range(60)]
    for client, uid in zip(flood, uids, strict=True):
        client.send(request(uid))
    world.until(lambda: all(client.read() for client in flood))
    told = [client.told(uid) for client, uid in zip(flood, uids, strict=True)]
    assert told == [[("stop", 34)]] * 60 and {client.ended for client in flood} == {"end"}
    assert len(world.front.connections) == 2 and not world.front.over_limit_connections.connections


def test_a_connection_past_the_limit_that_says_nothing_is_closed_soon(world: DownstreamWorld) -> None:
    for uid in (ID, ID2):
        world.waiting(world.client(), uid)
    silent = world.client()
    world.pass_us(world.limits.client_young_us - 1)
    assert not silent.read()
    world.pass_us(1)
    world.until(silent.read)
    assert silent.ended == "end" and not world.front.over_limit_connections.connections


# Floods and nonsense.


def test_requests_past_a_connections_bound_are_refused_and_the_others_served(world: DownstreamWorld) -> None:
    client, other = world.client(), world.client()
    uids = [f"{number:016x}" for number in range(400)]
    client.send(b"".join(map(request, uids)))
    client.sync()
    bound = LIMITS.client_requests
    assert [client.told(uid) for uid in uids[:bound]] == [[]] * bound
    assert [client.told(uid) for uid in uids[bound:]] == [[("stop", 34)]] * (400 - bound)
    other.send(request(ID))
    served(world, other)
    world.decide(*(api.Refuse(uid) for uid in uids[:bound]))
    client.send(request(ID2))
    served(world, client, ID2)


@pytest.mark.parametrize("size", [1, 700])
def test_an_endless_line_in_small_pieces_costs_its_bound_and_nobody_else(
    world: DownstreamWorld, size: int
) -> None:
    client, other = world.client(), world.client()
    world.waiting(other, ID)
    connection = world.connection(client)
    sent = 0
    while connection.is_open:
        client.send(b"x" * size)
        sent += size
        known = connection.bytes_read
        world.until(lambda known=known: connection.bytes_read > known or not connection.is_open)  # type: ignore[misc]
    assert sent <= world.limits.line_bytes + 2 * size
    assert world.counters["client.dropped.overlong_line"] == 1
    world.stands(ID)
    world.until(lambda: other.told(ID))


NOISE = [b"{nonsense\n", b"[1]\n", b"x" * 20_000, line("odd", ID), line("launch", "7")]


@pytest.mark.parametrize("noise", NOISE, ids=lambda one: one[:12])
def test_what_came_before_nonsense_is_answered(world: DownstreamWorld, noise: bytes) -> None:
    # The connection is of no further use; reset at once, it took its requests' answers along.
    client = world.client()
    world.waiting(client, ID)
    world.decide(api.Send(ID, "s0", 0))
    client.send(request(ID2) + noise + request(ID3))
    world.until(client.read)
    assert client.told(ID) == [("stop", 41)] and client.told(ID2) == [("stop", 34)]
    assert client.told(ID3) == [] and client.ended == "end"
    assert world.back.given_up == [ID] and world.module.calls() == [ID]


def test_who_reads_nothing_is_cut_off_alone_once_its_answers_pile_up(world: DownstreamWorld) -> None:
    client, other = world.client(), world.client()
    world.waiting(client, ID)
    ref = world.waiting(other, ID2)
    connection = world.connection(client)
    while not connection.transport.producerPaused:
        connection.send({"kind": "staging", "uid": ID, "meta": {}, "body": "x" * 8_000})
    client.send(line("check", "t", reason=0) * (LIMITS.client_backlog + 1))
    world.until(lambda: not connection.is_open)
    assert world.counters["client.stalled"] == 1 and world.core.by_uid.keys() == {ID2}
    assert world.front.still_waiting(ref)


def test_at_the_end_of_the_process_all_are_closed_and_those_past_the_limit_too(
    world: DownstreamWorld,
) -> None:
    clients = [world.client(), world.client()]
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.waiting(client, uid)
    late = world.client()
    world.front.close_all()
    for client, uid in zip(clients, (ID, ID2), strict=True):
        world.until(client.read)
        assert client.told(uid) == [("stop", 41)] and client.ended == "end"
    world.until(late.read)
    assert late.ended == "end" and world.front.open_transports, "they linger until the clients have closed"
    for client in (*clients, late):
        client.close()
    world.until(lambda: not world.front.open_transports)
