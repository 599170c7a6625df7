"""Requests of one client that were read and not offered yet: bounded, and offered in parts."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from tests.downstream_world import ID, ID2, ID3, DownstreamWorld, cancel, request

QUEUE_BYTES = 4_000


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld(Limits(client_queue_bytes=QUEUE_BYTES))
    yield one
    one.close()


def test_the_requests_of_one_read_leave_other_clients_their_turn(world: DownstreamWorld) -> None:
    # Guards against a turn of the event loop that lasts as long as a client goes on sending.
    first, other = world.connect_client(), world.connect_client()

    def slow(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.NewCall):
            world.clock.time_us += world.limits.client_offer_us
        return []

    world.module.script = slow
    first.send(request(ID) + request(ID2))
    other.send(request(ID3))
    world.until(lambda: len(world.module.offered_calls()) == 3)
    assert world.module.offered_calls() != [ID, ID2, ID3]
    assert world.module.offered_calls().index(ID) < world.module.offered_calls().index(ID2)


def test_requests_over_the_bytes_of_all_clients_are_refused_when_they_are_read(
    world: DownstreamWorld,
) -> None:
    # Guards the memory: what is read faster than it is offered was kept without a bound.
    client = world.connect_client()
    client.send(request(ID) + request(ID2, pad="x" * QUEUE_BYTES) + request(ID3))
    client.sync()
    assert client.messages_about(ID2) == [("stop", 34)]
    assert world.module.offered_calls() == [ID, ID3]
    assert world.front.queue_quota.free_bytes == QUEUE_BYTES


def test_the_bytes_of_cancelled_and_closed_requests_are_free_again(world: DownstreamWorld) -> None:
    client = world.connect_client()
    client.send(request(ID) + cancel(ID) + request(ID2))
    client.close()
    world.until(lambda: not world.front.connections)
    assert not world.module.offered_calls()
    assert world.front.queue_quota.free_bytes == QUEUE_BYTES


def test_an_open_requests_id_is_not_refused_when_it_comes_again_over_the_limit(
    world: DownstreamWorld,
) -> None:
    # A refusal would be taken for the answer to the open request.
    client = world.connect_client()
    world.send_request(client, ID)
    client.send(request(ID, pad="x" * QUEUE_BYTES))
    world.until(lambda: world.counters["client.duplicate_ids"] == 1)
    assert not client.messages_about(ID)
    world.accept_call(ID)
    world.until(lambda: client.messages_about(ID) == [("running", None)])
