"""No attempt begins for a client that has left while its request waited, wherever it waited.

What the client did lies unread in the kernel as the attempt is decided on, or as its connection comes up: the
loop that was held up has not had its turn.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from bitternbeam.core.calls import AttemptEnd
from bitternbeam.decision import interface as api
from tests.downstream_world import ID, DownstreamWorld, RawClient, cancel, request

SEND = api.Send(ID, "s0", 0)
Leave = Callable[[], None]


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld()
    yield one
    one.close()


def held_by_the_module(world: DownstreamWorld, client: RawClient, leave: Leave) -> None:
    """Wait for the first list, or for room at a server."""
    world.send_request(client, ID)
    leave()
    world.act(SEND)


def for_a_retry(world: DownstreamWorld, client: RawClient, leave: Leave) -> None:
    """Wait after a refusal by a server."""
    world.send_request(client, ID)
    world.act(SEND)
    world.core.attempt_ended(world.back.attempts.pop(), AttemptEnd(api.Outcome.TURNED_AWAY))
    leave()
    world.act(SEND)


def for_the_pause_after_a_reset(world: DownstreamWorld, client: RawClient, leave: Leave) -> None:
    """Wait until an attempt in doubt has been released."""
    world.send_request(client, ID)
    world.act(SEND)
    world.core.attempt_ended(world.back.attempts.pop(), AttemptEnd(api.Outcome.CUT))
    leave()
    world.clock.time_us += world.core.settings.release_wait_us
    world.act(SEND)


def for_an_upstream_connection(world: DownstreamWorld, client: RawClient, leave: Leave) -> None:
    """Wait at a server to which none is up."""
    world.send_request(client, ID)
    world.back.connected = False
    world.act(SEND)
    assert world.back.waiting
    leave()
    world.back.connect()


def in_the_event_queue(world: DownstreamWorld, client: RawClient, leave: Leave) -> None:
    """Wait behind the event at which the module is."""
    connection = world.connection_of(client)
    client.send(request(ID))
    world.wait_for_input(connection)

    def busy(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.TimerDue):
            connection.poll_input()
            connection.offer_queued()
            leave()
        return [SEND] if isinstance(event, api.NewCall) else []

    world.module.script = busy
    world.core.event_queue.process(api.TimerDue(0))


WAITS = (
    held_by_the_module,
    for_a_retry,
    for_the_pause_after_a_reset,
    for_an_upstream_connection,
    in_the_event_queue,
)
LEAVES: dict[str, Callable[[RawClient], None]] = {
    "stays": lambda _client: None,
    "cancels": lambda client: client.send(cancel(ID)),
    "closes": RawClient.close,
    "half-closes": RawClient.half_close,
    "resets": RawClient.reset,
}


@pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
@pytest.mark.parametrize("wait", WAITS, ids=lambda wait: wait.__name__)
def test_a_request_whose_client_left_while_it_waited_is_not_sent_on(
    world: DownstreamWorld,
    wait: Callable[[DownstreamWorld, RawClient, Leave], None],
    leave: Callable[[RawClient], None],
) -> None:
    client = world.connect_client()
    connection = world.connection_of(client)
    stays = leave is LEAVES["stays"]

    def left() -> None:
        leave(client)
        if not stays:
            world.wait_for_input(connection)

    wait(world, client, left)
    assert [one.offer.uid for one in world.back.attempts] == ([ID] if stays else [])
    assert (ID in world.core.by_uid) is stays and (world.front.requests.find(ID) is not None) is stays
    if leave is RawClient.half_close:
        world.until(client.read)
        assert (
            client.messages_about(ID) == [("stop", 41)] and client.ended == "end"
        )  # it may still be reading
