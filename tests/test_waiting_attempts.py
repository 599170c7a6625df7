"""An attempt that waits for a connection: the rules are checked again at the moment of writing."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.net.platform.back import BookerEndpoint
from tests.held_connects import HeldConnects
from tests.loop import pause, reactor, until
from tests.test_platform import ID, Peer, Stage

READY, DRAINING, GONE = SwitchState.READY, SwitchState.DRAINING, SwitchState.GONE


class Waiting(Stage):
    """A stage on which one request waits for the connection to its server."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        self.connects = HeldConnects(monkeypatch)
        (first,) = self.bookers
        first.transport.abortConnection()
        self.connects.wait_for()
        self.address = self.ports[0].getHost().port

    def wait(self, **odd: str) -> None:
        """Send a request that then waits."""
        self.request(self.client, ID, **odd)
        until(lambda: self.back.requests)
        assert not self.peers(ID)

    def tell(
        self, state: SwitchState, *, started_us: int = 0, port: int = 0, only_core: bool = False
    ) -> None:
        """Bring news of the server's state, start or address."""
        self.core.update_bookers(ListKind.CHANGES, [SwitchEntry("s0", 0, state, started_us)])
        if not only_core:
            place = BookerEndpoint("s0", "127.0.0.1", port or self.address, state, started_us)
            self.back.update_endpoints([place], False)

    def second_server(self) -> list[Peer]:
        """List one more server, which can be reached at once."""
        peers: list[Peer] = []
        factory = type(self.ports[0].factory)()
        factory.buildProtocol = lambda _addr: peers.append(Peer()) or peers[-1]  # type: ignore[func-returns-value]
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.ports.append(port)
        held, self.connects.waiting = self.connects.waiting, []
        self.core.update_bookers(ListKind.CHANGES, [SwitchEntry("s1", 1, READY)])
        self.back.update_endpoints([BookerEndpoint("s1", "127.0.0.1", port.getHost().port, READY, 0)], False)
        self.connects.complete_all()
        self.connects.waiting = held
        until(lambda: peers and self.back.pools["s1"].connections)
        return peers

    def nothing_is_written(self) -> None:
        """Let the connection come up; what waited for it must not be written there."""
        known = len(self.bookers)
        self.connects.complete_all()
        until(lambda: len(self.bookers) > known or not self.back.pools)
        pause(0.05)
        assert not self.peers(ID)


@pytest.fixture
def stage(monkeypatch: pytest.MonkeyPatch) -> Iterator[Waiting]:
    one = Waiting(monkeypatch)
    yield one
    one.close()


def test_one_that_may_still_go_is_written_when_the_connection_comes_up(stage: Waiting) -> None:
    stage.wait()
    stage.connects.complete_all()
    until(lambda: stage.peers(ID))
    stage.peers(ID)[0].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_server_that_drained_or_went_gets_nothing_when_its_connection_comes_up(
    stage: Waiting, state: SwitchState
) -> None:
    # Every attempt that waited was written, however long ago the list had said so.
    stage.wait()
    stage.tell(state, only_core=True)
    stage.nothing_is_written()
    until(lambda: stage.client.kinds(ID) == [("stop", 34)])
    assert stage.counters["sends.stale.not_listed"] == 1


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_the_request_goes_on_elsewhere_at_once_when_its_server_drains_or_goes(
    stage: Waiting, state: SwitchState
) -> None:
    # It waited for a connection that was of no more use, and then as long again for a release of nothing.
    stage.wait()
    other = stage.second_server()
    due_us = stage.core.clock.now_us() + stage.core.settings.release_wait_us
    stage.tell(state)
    until(lambda: [one for one in other if ID in one.launches])
    assert not stage.counters["outcomes.cut"] and stage.counters["outcomes.not_sent"] == 1
    assert stage.core.by_uid[ID].release_wait_until_us == 0 < due_us
    stage.connects.complete_all()
    pause(0.05)
    assert not stage.peers(ID)


def test_a_server_with_a_new_address_gets_the_request_there_and_not_at_the_old_one(stage: Waiting) -> None:
    stage.wait()
    peers: list[Peer] = []
    factory = type(stage.ports[0].factory)()
    factory.buildProtocol = lambda _addr: peers.append(Peer()) or peers[-1]  # type: ignore[func-returns-value]
    stage.ports.append(reactor.listenTCP(0, factory, interface="127.0.0.1"))
    stage.tell(READY, port=stage.ports[-1].getHost().port)
    stage.connects.wait_for(2)
    stage.connects.complete_all()
    until(lambda: [one for one in peers if ID in one.launches])
    pause(0.05)
    assert not stage.peers(ID) and sum(ID in one.launches for one in peers) == 1


def test_a_server_that_started_anew_gets_nothing_that_was_decided_on_before(stage: Waiting) -> None:
    # The decision knew of no slow start: so many waiting attempts came at once to a cold server.
    stage.wait()
    stage.tell(READY, started_us=stage.core.clock.now_us(), only_core=True)
    stage.nothing_is_written()
    assert stage.counters["sends.stale.restarted"] == 1
    assert stage.client.kinds(ID) == [("stop", 34)]  # its slow start has no room yet


def test_a_client_that_has_left_is_not_sent_on(stage: Waiting) -> None:
    stage.wait()
    stage.front.is_client_waiting = lambda ref: False  # type: ignore[method-assign]
    stage.nothing_is_written()
    assert stage.counters["sends.stale.client_left"] == 1
    assert not stage.core.calls and not stage.module.calls and not stage.back.requests


def test_a_client_that_cancels_while_its_request_waits_is_not_sent_on(stage: Waiting) -> None:
    stage.wait()
    stage.client.send("stop", ID, reason=16)
    until(lambda: not stage.core.calls)
    stage.nothing_is_written()


def test_a_wait_that_lasts_to_the_end_of_its_time_leaves_no_release_in_doubt(stage: Waiting) -> None:
    # It counted as an attempt that was not answered, whose release had to be waited for.
    stage.wait(left="400")
    until(lambda: stage.client.kinds(ID))
    assert stage.counters["outcomes.no_connection"] == 1 and not stage.counters["outcomes.no_answer"]
    stage.nothing_is_written()


def test_time_that_ran_out_while_the_loop_stood_still_is_seen_at_the_moment_of_writing(
    stage: Waiting,
) -> None:
    stage.wait(left="400")
    (leg,) = stage.back.requests.values()
    while stage.core.clock.now_us() < stage.core.by_uid[ID].answer_by_us:
        pass
    assert not stage.core.may_write(leg.attempt)  # its timer is due, and has not had its turn
    assert stage.counters["sends.stale.too_late"] == 1
    until(lambda: stage.client.kinds(ID))
    stage.nothing_is_written()


def test_the_deadline_passed_on_is_computed_when_the_attempt_is_written(stage: Waiting) -> None:
    stage.wait(left="1000")
    call = stage.core.by_uid[ID]
    while stage.core.clock.now_us() < call.offer.received_us + 500_000:
        pass
    stage.connects.complete_all()
    until(lambda: stage.peers(ID))
    assert 0 < int(stage.peers(ID)[0].got[-1]["meta"]["left"]) <= 500
