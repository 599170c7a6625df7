"""A client that reads late: the watch on it ends when it has read."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.downstream_world import ID, DownstreamWorld


@pytest.fixture
def world() -> Iterator[DownstreamWorld]:
    one = DownstreamWorld()
    yield one
    one.close()


@pytest.mark.parametrize("reads", [False, True])
def test_who_reads_late_is_not_cut_off_by_a_watch_on_its_past(world: DownstreamWorld, reads: bool) -> None:
    # Each write over the transport's mark set a watch of its own, and only the last one was called off.
    client = world.connect_client()
    world.send_request(client, ID)
    connection = world.connection_of(client)
    while not connection.transport.producerPaused:
        connection.send({"kind": "staging", "uid": ID, "meta": {}, "body": "x" * 8_000})
    for _ in range(3):
        connection.send({"kind": "staging", "uid": ID, "meta": {}})
    if reads:
        world.until(lambda: client.messages_about(ID) and not connection.transport.producerPaused)
    world.advance_us(world.limits.stalled_us - 1)
    assert connection.is_open
    world.advance_us(1)
    assert connection.is_open is reads
    if reads:
        world.accept_call(ID)
        world.until(lambda: ("running", None) in client.messages_about(ID))
