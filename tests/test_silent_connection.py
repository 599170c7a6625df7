"""One of a server's connections goes silent and stays open: the releases of its calls still arrive."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from tests.loop import pause, until
from tests.patience import PATIENT
from tests.test_platform import ID, ID2, LivePeer, Peer, Stage

# A tenth of the usual times.
LIMITS = replace(PATIENT, booker_retry_us=50_000, booker_silent_us=250_000, booker_renewal_us=400_000)
STANDS = [("running", None)]
ENDED = [("running", None), ("stop", 16)]


def go_silent(server: Peer) -> None:
    """Leave a connection open, with nothing read on it, not even its end."""
    server.transport.pauseProducing()


class LiveStage(Stage):
    """A stage whose server answers heartbeats."""

    def __init__(self) -> None:
        super().__init__(LIMITS)
        self.bookers[0].__class__ = LivePeer
        self.ports[0].factory.buildProtocol = self.accept
        self.pool = self.back.pools["s0"]
        until(lambda: self.pool.connections)

    def accept(self, _address: object) -> Peer:
        """Make the server's end of a new connection."""
        self.bookers.append(LivePeer())
        return self.bookers[-1]

    def stand(self, *uids: str) -> list[Peer]:
        """Set calls up, each on a connection of its own with a spare beside it, and let them stand."""
        servers = []
        for uid in uids:
            servers.append(self.set_up(uid))
            until(lambda: len(self.pool.connections) == len(servers) + 1)
        for server, uid in zip(servers, uids, strict=True):
            server.send("running", uid, body="x")
        until(lambda: all(self.client.kinds(uid) == STANDS for uid in uids))
        return servers

    def wait_for_new_connection(self) -> Peer:
        """Wait until one more connection is opened."""
        known = len(self.bookers)
        until(lambda: len(self.bookers) > known)
        return self.bookers[-1]


@pytest.fixture
def stage() -> Iterator[LiveStage]:
    one = LiveStage()
    yield one
    one.close()


@pytest.mark.parametrize("renewals", [1, 3])
def test_a_release_lost_on_a_silent_connection_comes_on_the_next(stage: LiveStage, renewals: int) -> None:
    # Guards against a release that never comes: a server repeats it only on the next connection opened.
    (server,) = stage.stand(ID)
    go_silent(server)
    until(lambda: stage.counters["booker.set_aside.silent"] == 1 and not stage.pool.connecting)
    in_use = len(stage.pool.connections)
    for _ in range(renewals):
        newest = stage.wait_for_new_connection()
    newest.send("stop", ID, reason=16)  # the call ended after the connection before was opened
    until(lambda: stage.client.kinds(ID) == ENDED)
    assert len(stage.pool.connections) <= in_use


def test_renewals_end_with_the_calls_whose_releases_are_in_doubt(stage: LiveStage) -> None:
    server, other = stage.stand(ID, ID2)
    go_silent(server)
    stage.wait_for_new_connection()
    stage.client.send("stop", ID, reason=16)
    until(lambda: not stage.back.requests.keys() - {ID2})
    pause(0.1)  # a connection that was being opened comes up
    opened = len(stage.bookers)
    pause(3 * LIMITS.booker_renewal_us / 1e6)
    assert len(stage.bookers) == opened and stage.client.kinds(ID2) == STANDS and not other.lost


def test_no_connection_is_renewed_once_the_server_has_closed_the_silent_one(stage: LiveStage) -> None:
    # Guards against new connections as long as a call lasts, after a moment of silence.
    (server,) = stage.stand(ID)
    go_silent(server)
    until(lambda: stage.counters["booker.set_aside.silent"] == 1 and not stage.pool.connecting)
    server.transport.loseConnection()
    pause(0.1)
    opened = len(stage.bookers)
    pause(3 * LIMITS.booker_renewal_us / 1e6)
    assert len(stage.bookers) == opened and stage.client.kinds(ID) == STANDS


def test_a_connection_that_answers_is_kept(stage: LiveStage) -> None:
    stage.stand(ID)
    pause(4 * LIMITS.booker_silent_us / 1e6)
    assert len(stage.bookers) == 2 and not any(one.lost for one in stage.bookers)
