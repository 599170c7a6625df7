"""A client that cancels, closes, half-closes or resets while it has open requests, in forced orders."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from tests.downstream_world import ID, ID2, ID3, DownstreamWorld, RawClient, cancel, line, request


def cancel_and_close(client: RawClient) -> None:
    client.send(cancel(ID))
    client.close()


LEAVES: dict[str, Callable[[RawClient], None]] = {
    "cancel": lambda client: client.send(cancel(ID)),
    "close": RawClient.close,
    "half-close": RawClient.half_close,
    "reset": RawClient.reset,
    "cancel behind others": lambda client: client.send(line("check", "t", reason=0) * 500 + cancel(ID)),
    "cancel and close": cancel_and_close,
}
leaves = pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
ENDS = {name: leave for name, leave in LEAVES.items() if name in ("close", "half-close", "reset")}
ends = pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld()
    yield one
    one.close()


def test_a_connected_client_is_still_waiting(world: DownstreamWorld) -> None:
    client = world.connect_client()
    ref = world.send_request(client, ID)
    assert world.front.is_client_waiting(ref) and world.front.is_client_waiting(ref)
    assert not world.front.is_client_waiting(ref + (1 << 24)), "an unknown handle"


@leaves
@pytest.mark.parametrize("out", [False, True], ids=["held", "out"])
def test_unread_cancels_and_closes_are_found_before_a_later_attempt(
    world: DownstreamWorld, leave: Callable[[RawClient], None], out: bool
) -> None:
    # A blocked loop runs its timers before it reads sockets: an attempt began for a client that had left.
    client = world.connect_client()
    ref = world.send_request(client, ID)
    connection = world.connection_of(client)
    if out:
        world.act(api.Send(ID, "s0", 0))
    leave(client)
    world.wait_for_input(connection)
    assert not world.front.is_client_waiting(ref)
    assert not world.core.calls and world.back.given_up == ([ID] if out else [])
    assert api.Withdrawn(ID) in world.module.events


@pytest.mark.parametrize("paused", [False, True], ids=["reading", "not reading"])
@ends
def test_the_close_of_a_client_that_does_not_read_is_found(
    world: DownstreamWorld, end: Callable[[RawClient], None], paused: bool
) -> None:
    # Unread answers fill the buffers, and the transport may have stopped reading.
    client = world.connect_client()
    ref = world.send_request(client, ID)
    connection = world.connection_of(client)
    while not connection.transport.producerPaused:
        connection.send({"kind": "staging", "uid": ID, "meta": {}, "body": "x" * 8_000})
    if paused:
        connection.transport.pauseProducing()
    end(client)
    world.wait_for_input(connection)
    assert not world.front.is_client_waiting(ref) and not world.core.calls
    if end is not RawClient.half_close:
        world.until(lambda: not world.front.connections)


@pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
def test_a_request_read_with_its_cancel_or_close_is_never_sent_on(
    world: DownstreamWorld, leave: Callable[[RawClient], None]
) -> None:
    # After a stall both are read together: the request must not be sent on before its cancel is seen.
    world.module.script = lambda event: (
        [api.Send(event.call, "s0", 0)] if isinstance(event, api.NewCall) else []
    )
    client = world.connect_client()
    connection = world.connection_of(client)
    client.send(request(ID))
    leave(client)
    world.wait_for_input(connection)
    known = world.counters["client.messages_in"]
    world.until(lambda: world.counters["client.messages_in"] > known or not connection.is_open)
    if leave is LEAVES["cancel"]:
        client.sync()
        assert not client.messages_about(ID)  # a cancelled request gets no answer
    assert not world.back.attempts and not world.module.offered_calls()
    if leave is RawClient.half_close:
        world.until(lambda: client.messages_about(ID) and client.ended)
        assert client.messages_about(ID) == [("stop", 34)] and client.ended == "end"


def test_requests_cancelled_together_are_not_sent_on_as_one_ends(world: DownstreamWorld) -> None:
    # With the capacity freed by the first, the module starts the second, whose cancel is the next line read.
    client = world.connect_client()
    refs = {uid: world.send_request(client, uid) for uid in (ID, ID2, ID3)}
    asked: list[bool] = []

    def freed(event: api.Event) -> list[api.Action]:
        if event == api.Withdrawn(ID):
            asked.extend(world.front.is_client_waiting(refs[uid]) for uid in (ID2, ID3))
        return []

    world.module.script = freed
    client.send(cancel(ID) + cancel(ID2))
    client.sync()
    assert asked == [False, True] and world.core.by_uid.keys() == {ID3}


@ends
def test_requests_of_a_closing_client_are_not_sent_on_as_one_ends(
    world: DownstreamWorld, end: Callable[[RawClient], None]
) -> None:
    client = world.connect_client()
    refs = {uid: world.send_request(client, uid) for uid in (ID, ID2, ID3)}
    asked: list[bool] = []

    def freed(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Withdrawn):
            asked.extend(world.front.is_client_waiting(ref) for ref in refs.values())
        return []

    world.module.script = freed
    end(client)
    world.until(lambda: not world.core.calls)
    assert asked == [False] * 9 and len(world.front.requests) == 0


def test_input_is_polled_again_while_a_burst_is_being_offered(world: DownstreamWorld) -> None:
    # Decisions on hundreds of requests take a while, in which the last of them may be cancelled.
    client = world.connect_client()

    def slow(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.NewCall) and event.call == ID:
            client.send(cancel(ID3))
            world.wait_for_input(world.connection_of(client))
            world.clock.time_us += world.limits.client_recheck_us
        return [api.Send(event.call, "s0", 0)] if isinstance(event, api.NewCall) else []

    world.module.script = slow
    client.send(request(ID) + request(ID2) + request(ID3))
    client.sync()
    assert [one.offer.uid for one in world.back.attempts] == [ID, ID2]


def test_a_client_leaving_while_its_request_is_offered_leaves_no_state(world: DownstreamWorld) -> None:
    # The front has no core handle for the request yet with which it could withdraw it.
    client = world.connect_client()

    def left(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.NewCall):
            client.send(cancel(ID))
            world.wait_for_input(world.connection_of(client))
            world.clock.time_us += world.limits.client_recheck_us
            found = world.front.requests.find(ID)
            assert found and not world.front.is_client_waiting(found.ref)
        return []

    world.module.script = left
    client.send(request(ID))
    client.sync()
    assert not world.core.calls and len(world.front.requests) == 0


def test_a_half_closed_client_gets_every_answer(world: DownstreamWorld) -> None:
    # The client may have closed: nothing more is sent on, and its attempts are given up. It may also still
    # read: closing without an answer would lose its requests.
    client = world.connect_client()
    world.send_request(client, ID)
    world.act(api.Send(ID, "s0", 0))
    world.send_request(client, ID2)
    client.send(request(ID3))
    client.half_close()
    world.until(client.read)
    assert [client.messages_about(uid) for uid in (ID, ID2, ID3)] == [
        [("stop", 41)],
        [("stop", 41)],
        [("stop", 34)],
    ]
    assert client.ended == "end" and world.back.given_up == [ID] and len(world.back.attempts) == 1


def test_a_half_closed_idle_client_reads_its_last_answer(world: DownstreamWorld) -> None:
    client = world.connect_client()
    world.send_request(client, ID)
    world.accept_call(ID)
    client.half_close()
    world.until(client.read)
    assert client.messages_about(ID) == [("running", None)] and client.ended == "end"
    assert not world.back.released, "an established call belongs to no connection"


def test_a_cancel_that_crosses_the_answer_releases_the_call_once(world: DownstreamWorld) -> None:
    client = world.connect_client()
    world.send_request(client, ID)
    world.act(api.Send(ID, "s0", 0))
    client.send(cancel(ID) + cancel(ID))
    world.wait_for_input(world.connection_of(client))
    assert world.core.attempt_answered(world.back.attempts[0], "v=1")
    client.sync()
    assert client.messages_about(ID) == [("running", None), ("stop", 16)] and world.back.released == [ID]


# The same id again.


def cancelled_while_out(world: DownstreamWorld, client: RawClient) -> None:
    world.act(api.Send(ID, "s0", 0))
    client.send(cancel(ID))


def released_call(world: DownstreamWorld, client: RawClient) -> None:
    world.accept_call(ID)
    client.send(cancel(ID))


AGAIN: dict[str, tuple[Callable[[DownstreamWorld, RawClient], None], list[tuple[str, int | None]]]] = {
    "refused": (lambda world, _: world.act(api.Refuse(ID)), [("stop", 34)]),
    "failed": (lambda world, _: world.act(api.Fail(ID)), [("stop", 41)]),
    "cancelled": (lambda _, client: client.send(cancel(ID)), []),
    "cancelled while out": (cancelled_while_out, []),
    "over": (released_call, [("running", None), ("stop", 16)]),
}


@pytest.mark.parametrize("elsewhere", [False, True], ids=["same connection", "another"])
@pytest.mark.parametrize(("finish", "expected"), AGAIN.values(), ids=AGAIN)
def test_a_reused_id_gets_one_answer_and_is_not_sent_on(
    world: DownstreamWorld,
    finish: Callable[[DownstreamWorld, RawClient], None],
    expected: list[tuple[str, int | None]],
    elsewhere: bool,
) -> None:
    # A late answer or release of the first could not be told from the second's, and the pause after an
    # attempt in doubt would not be kept: for the server it is the same request.
    client = world.connect_client()
    world.send_request(client, ID)
    finish(world, client)
    client.sync()
    assert client.messages_about(ID) == expected
    second = world.connect_client() if elsewhere else client
    sent = len(world.back.attempts)
    second.send(request(ID))
    second.sync()
    assert second.messages_about(ID) == ([] if elsewhere else expected) + [("stop", 41)]
    world.front.inherited_call_released(ID, 16)  # a late or repeated release of the first call
    second.sync()
    assert second.messages_about(ID)[-1] == ("stop", 41) and world.module.offered_calls() == [ID]
    assert len(world.back.attempts) == sent
    world.clock.time_us += world.front.recent_ids.retention_us
    second.send(request(ID))
    world.until(lambda: world.module.offered_calls() == [ID, ID])


def test_an_id_twice_in_one_read_gets_one_answer(world: DownstreamWorld) -> None:
    client = world.connect_client()
    client.send(request(ID) + request(ID, key="another") + request(ID2))
    world.until(client.read)
    assert (
        client.messages_about(ID) == client.messages_about(ID2) == [("stop", 34)]
        and not world.module.offered_calls()
    )


def test_recent_ids_are_bounded_in_time_and_number() -> None:
    world = DownstreamWorld(Limits(recent_ids=2))
    recent = world.front.recent_ids
    for number, uid in enumerate((ID, ID2, ID3)):
        recent.add(uid, number)
    assert len(recent) == 2 and not recent.contains(ID, 3)
    assert recent.contains(ID2, recent.retention_us) and not recent.contains(ID2, recent.retention_us + 1)
    recent.add(ID, 10 * recent.retention_us)
    assert len(recent) == 1
    world.close()
