"""Nothing is sent on for a client that left with much unread behind its requests, nor twice under an id."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from bitternbeam.net.platform import client_connection
from tests.downstream_world import ID, ID2, ID3, DownstreamWorld, RawClient, cancel, request

READ_BYTES = 64 * 1024  # of one read; a look is limited to one here, so that more fits into the kernel
NO_REQUEST = b'{"kind":"staging","uid":"0000000000000000","meta":{}}\n'
MUCH_UNREAD = NO_REQUEST * (3 * READ_BYTES // len(NO_REQUEST))

Leave = Callable[[RawClient], None]
LEAVES: dict[str, Leave] = {
    "cancels": lambda client: client.send(cancel(ID)),
    "closes": RawClient.close,
    "half-closes": RawClient.half_close,
}


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[DownstreamWorld]:
    monkeypatch.setattr(client_connection, "MAX_READS_PER_POLL", 1)
    one = DownstreamWorld(Limits(recent_ids=3))
    one.module.script = lambda event: (
        [api.Send(event.call, "s0", 0)] if isinstance(event, api.NewCall) else []
    )
    yield one
    one.close()


# Guards against requests that are sent on although their client's cancel or end lies unread behind them.
@pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
def test_a_request_is_not_sent_on_when_its_client_left_with_much_unread(
    world: DownstreamWorld, leave: Leave
) -> None:
    client = world.connect_client()
    client.send(request(ID) + MUCH_UNREAD)
    leave(client)
    for _ in range(20):
        world.run_loop_once()
    assert not world.back.attempts and not world.module.offered_calls()


@pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
def test_a_retry_is_not_sent_when_its_client_left_with_much_unread(
    world: DownstreamWorld, leave: Leave
) -> None:
    world.module.script = lambda _event: []
    client = world.connect_client()
    world.send_request(client, ID)
    client.send(MUCH_UNREAD)
    leave(client)
    world.clock.time_us += world.limits.client_recheck_us
    world.act(api.Send(ID, "s0", 0))
    assert not world.back.attempts
    for _ in range(20):
        world.run_loop_once()
    assert not world.core.calls and len(world.front.requests) == 0


def test_a_client_that_stays_is_served_once_all_is_read(world: DownstreamWorld) -> None:
    client = world.connect_client()
    client.send(request(ID) + MUCH_UNREAD + request(ID2))
    world.until(lambda: len(world.back.attempts) == 2)
    assert [one.offer.uid for one in world.back.attempts] == [ID, ID2]


def test_a_request_behind_unread_input_for_too_long_is_refused(world: DownstreamWorld) -> None:
    # Its client may have left: within 0.1 s an attempt may not begin any more.
    client = world.connect_client()
    client.send(request(ID) + MUCH_UNREAD)
    connection = world.connection_of(client)
    connection.transport.doRead()
    world.clock.time_us += world.limits.client_unseen_us + 1
    connection.offer_queued()
    assert not world.back.attempts
    world.until(lambda: client.messages_about(ID) == [("stop", 34)])


def test_ids_that_never_ran_do_not_make_one_that_ran_run_again(world: DownstreamWorld) -> None:
    # Guards against an id that runs twice, as its client left and others filled the table of recent ids.
    client = world.connect_client()
    client.send(request(ID))
    world.until(lambda: world.back.attempts)
    client.close()
    world.until(lambda: not world.core.calls)
    other = world.connect_client()
    other.send(b"".join(request(f"{number:016x}", **{"class": "unknown"}) for number in range(10)))
    other.sync()
    other.send(request(ID) + request(ID3))
    world.until(lambda: len(world.back.attempts) == 2)
    assert [one.offer.uid for one in world.back.attempts] == [ID, ID3]
    world.until(lambda: other.messages_about(ID) == [("stop", 41)])
