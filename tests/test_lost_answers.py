"""A booker that may hold a call is sent its release before the next attempt, whichever connection broke."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from twisted.internet.error import ConnectionRefusedError as RefusedError

from tests.held_connects import HeldConnects
from tests.loop import pause, until
from tests.patience import PATIENT
from tests.test_platform import ID, Peer, Stage

RELEASE = ("stop", 16)


@pytest.fixture
def stage() -> Iterator[Stage]:
    one = Stage(PATIENT)
    yield one
    one.close()


def lose_answer(server: Peer) -> None:
    """Reset the connection on which the answer would have come: the call stands at the server."""
    server.transport.abortConnection()


def received(stage: Stage, uid: str) -> list[tuple[str, int | None]]:
    """Return what the server was sent for a call on all its connections, the first on each being first."""
    return [one for server in stage.bookers for one in server.kinds(uid)]


def set_up_on_the_only_connection(stage: Stage, connects: HeldConnects) -> Peer:
    """Set a call up while no other connection to its server is open; further ones are held."""
    server = stage.set_up(ID)
    connects.wait_for(1)  # the spare
    assert len(stage.bookers) == 1
    return server


def stand_on_the_only_connection(stage: Stage, connects: HeldConnects) -> Peer:
    """Set a call up as above and let it stand."""
    server = set_up_on_the_only_connection(stage, connects)
    server.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])
    return server


# Guards against a call that stands at two servers after its answer was lost with the connection.


def test_a_lost_answers_call_is_released_on_another_connection_before_its_retry(stage: Stage) -> None:
    first = stage.set_up(ID)
    until(lambda: len(stage.back.pools["s0"].connections) == 2)
    lose_answer(first)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    ended_us = stage.core.clock.now_us()
    until(lambda: len(stage.peers(ID)) == 2)
    assert stage.core.clock.now_us() >= ended_us + stage.core.settings.release_wait_us
    second = stage.peers(ID)[1]
    kinds = [kind for server in stage.bookers if server is not first for kind in server.kinds(ID)]
    assert RELEASE in kinds
    assert second.kinds(ID)[-1] == ("launch", None)
    second.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])
    pause(0.05)
    assert second.kinds(ID)[-1] == ("launch", None)  # the release does not follow the new attempt


def test_without_another_connection_the_attempt_ends_once_the_release_is_sent_on_a_new_one(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    connects = HeldConnects(monkeypatch)
    lose_answer(set_up_on_the_only_connection(stage, connects))
    until(lambda: not stage.back.pools["s0"].connections)
    pause(0.05)
    assert not stage.counters["outcomes.cut"]
    connects.complete_all()
    until(lambda: stage.counters["outcomes.cut"] == 1)
    ended_us = stage.core.clock.now_us()
    until(lambda: len(stage.peers(ID)) == 2)
    assert stage.core.clock.now_us() >= ended_us + stage.core.settings.release_wait_us
    assert received(stage, ID).count(RELEASE) == 1


def test_an_answer_that_cannot_be_read_is_released_on_its_own_connection(stage: Stage) -> None:
    server = stage.set_up(ID)
    server.send("running", ID, body=None)
    until(lambda: RELEASE in server.kinds(ID))
    until(lambda: stage.counters["outcomes.cut"] == 1)


def test_a_release_written_just_before_its_connection_broke_is_repeated(stage: Stage) -> None:
    server = stage.set_up(ID)
    until(lambda: len(stage.back.pools["s0"].connections) == 2)
    server.transport.pauseProducing()  # it never reads the release
    stage.client.send("stop", ID, reason=16)
    until(lambda: not stage.core.calls)
    lose_answer(server)
    until(lambda: RELEASE in received(stage, ID))
    assert server.kinds(ID) == [("launch", None)]


def test_a_release_is_not_repeated_for_a_call_that_has_a_new_attempt_there(stage: Stage) -> None:
    first = stage.set_up(ID)
    until(lambda: len(stage.back.pools["s0"].connections) == 2)
    lose_answer(first)
    until(lambda: len(stage.peers(ID)) == 2)
    second = stage.peers(ID)[1]
    second.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])
    released_on = [one for one in stage.bookers if one is not first and RELEASE in one.kinds(ID)]
    before = received(stage, ID).count(RELEASE)
    for server in released_on:
        server.transport.abortConnection()
    pause(0.1)
    assert received(stage, ID).count(RELEASE) == before
    assert stage.client.kinds(ID) == [("running", None)]


@pytest.mark.parametrize("begin", [set_up_on_the_only_connection, stand_on_the_only_connection])
def test_what_is_ended_while_no_connection_is_open_is_released_on_the_next(
    stage: Stage, monkeypatch: pytest.MonkeyPatch, begin: Callable[[Stage, HeldConnects], Peer]
) -> None:
    connects = HeldConnects(monkeypatch)
    lose_answer(begin(stage, connects))
    until(lambda: not stage.back.pools["s0"].connections)
    stage.client.send("stop", ID, reason=16)
    until(lambda: not stage.core.calls)
    assert not stage.back.requests
    connects.complete_all()
    until(lambda: RELEASE in received(stage, ID))


def test_calls_of_a_server_whose_process_ended_need_no_release(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    connects = HeldConnects(monkeypatch)
    lose_answer(set_up_on_the_only_connection(stage, connects))
    until(lambda: not stage.back.pools["s0"].connections)
    while connects.waiting:
        connects.fail_first(RefusedError())
    until(lambda: stage.counters["outcomes.cut"] == 1)
    connects.complete_all()
    pause(0.05)
    assert RELEASE not in received(stage, ID)


def test_a_server_that_was_only_unreachable_is_sent_the_releases_of_its_calls(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    connects = HeldConnects(monkeypatch)
    stand_on_the_only_connection(stage, connects)
    pool = stage.back.pools["s0"]
    pool.last_received_us -= stage.back.limits.booker_silent_us + 1
    connects.fail_first()
    until(lambda: stage.client.kinds(ID) == [("running", None), ("stop", 41)])
    connects.wait_for(1)
    connects.complete_all()
    until(lambda: RELEASE in received(stage, ID))
