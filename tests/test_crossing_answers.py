"""Messages and closes of a server that cross messages sent to it: every request still gets its answer."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from tests.held_connects import HeldConnects
from tests.loop import pause, reactor, until
from tests.patience import PATIENT
from tests.stalled import deliver_request, write_to_socket
from tests.test_platform import ID, ID2, LIMITS, Peer, Stage


@pytest.fixture
def stage() -> Iterator[Stage]:
    one = Stage(PATIENT)
    pause(0.02)  # polls that find nothing, so that what a test delivers next counts as just arrived
    yield one
    one.close()


def close_both_ways(server: Peer) -> None:
    server.transport.socket.shutdown(socket.SHUT_RDWR)


def reset(server: Peer) -> None:
    server.transport.abortConnection()
    reactor.runUntilCurrent()  # sends the reset without reading any socket
    assert server.lost


def set_up_apart(stage: Stage) -> tuple[Peer, Peer]:
    """Send two set-ups in one turn, on a connection each: a server that leaves one waiting gets no second."""
    pool = stage.back.pools["s0"]
    pool.connect()
    until(lambda: len(pool.connections) == 2)
    deliver_request(stage, ID)
    deliver_request(stage, ID2)
    until(lambda: stage.peers(ID) and stage.peers(ID2))
    (server,), (other,) = stage.peers(ID), stage.peers(ID2)
    assert server is not other
    return server, other


@pytest.mark.parametrize("close", [close_both_ways, reset])
def test_a_set_up_crossing_an_idle_close_is_retried_after_the_pause(
    stage: Stage, close: Callable[[Peer], None]
) -> None:
    # The close is unread when the set-up is written, and the server never reads the set-up.
    (server,) = stage.bookers
    until(lambda: stage.back.pools["s0"].connections)
    close(server)
    deliver_request(stage, ID)
    assert stage.core.by_uid[ID].current_attempt is not None
    written_us = stage.core.clock.now_us()
    until(lambda: stage.counters["outcomes.cut"] == 1)
    assert stage.core.by_uid[ID].release_wait_until_us >= written_us + stage.core.settings.release_wait_us
    until(lambda: stage.peers(ID))
    assert stage.core.clock.now_us() >= written_us + stage.core.settings.release_wait_us
    stage.peers(ID)[-1].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])


@pytest.mark.parametrize("part", [b'{"kind":"running","uid":"', b'{"kind":"running","uid":"' + ID.encode()])
def test_an_incomplete_answer_is_ignored(stage: Stage, part: bytes) -> None:
    server = stage.set_up(ID)
    server.transport.write(part)
    server.transport.loseConnection()
    until(lambda: len(stage.peers(ID)) == 2)
    assert stage.counters["outcomes.cut"] == 1 and not stage.client.got
    stage.peers(ID)[-1].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])


@pytest.mark.parametrize("first", ["running", "stop"])
def test_an_answer_crossing_the_cancel_is_not_passed_on(stage: Stage, first: str) -> None:
    server = stage.set_up(ID)
    stage.client.send("stop", ID, reason=16)
    until(lambda: server.kinds(ID)[1:] == [("stop", 16)])
    server.send(first, ID, body="x", reason=34)
    server.send("running", ID, body="y")
    server.send("check", "t", reason=0)
    until(lambda: server.kinds("t"))
    assert not stage.client.got and not server.lost
    assert not stage.core.calls and not stage.back.requests


def test_answers_after_a_refusal_or_on_a_wrong_connection_are_ignored(stage: Stage) -> None:
    server, other = set_up_apart(stage)
    other.send("running", ID, body="from elsewhere")
    other.send("check", "t", reason=0)
    until(lambda: other.kinds("t"))
    assert not stage.client.got
    server.send("stop", ID, reason=17)
    server.send("running", ID, body="after its end")
    server.send("check", "t", reason=0)
    until(lambda: server.kinds("t"))
    assert not [one for one in stage.client.got if one["kind"] == "running"]
    other.send("running", ID2, body="x")
    until(lambda: stage.client.kinds(ID2) == [("running", None)])


def test_an_answer_on_a_retired_connection_is_not_passed_on_twice(stage: Stage) -> None:
    first = stage.set_up(ID)
    pause(0.05)
    stage.set_up(ID2).send("running", ID2, body="x")
    until(lambda: stage.counters["booker.set_aside.overtaken"] == 1)
    first.send("running", ID, body="late")
    until(lambda: len(stage.peers(ID)) == 2)
    stage.peers(ID)[1].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    pause(0.05)
    assert [one["body"] for one in stage.client.got if one["uid"] == ID] == ["x"]


def test_an_exception_for_one_message_does_not_lose_the_next(stage: Stage) -> None:
    # The exception must not close the connection and fail every set-up on it.
    server = stage.set_up(ID)
    usual = stage.core.attempt_answered
    faults: list[str] = []

    def stood(attempt: Any, body: object) -> bool:
        if attempt.offer.uid == ID:
            faults.append(ID)
            raise RuntimeError("a fault of ours")
        return usual(attempt, body)

    stage.core.attempt_answered = stood  # type: ignore[method-assign]
    pool = stage.back.pools["s0"]
    (connection,) = {leg.connection for leg in stage.back.requests.values()}
    pool.least_loaded = lambda: connection  # type: ignore[method-assign, assignment, return-value]
    assert stage.set_up(ID2) is server
    answers = b"".join(
        json.dumps({"kind": "running", "uid": uid, "meta": {}, "body": "x"}).encode() + b"\n"
        for uid in (ID, ID2)
    )
    server.transport.write(answers)  # in one read
    until(lambda: stage.client.kinds(ID2) == [("running", None)])
    assert faults == [ID] and not server.lost
    until(lambda: stage.client.kinds(ID))  # its own time-out ends it


def test_a_connect_time_out_does_not_end_attempts_with_another_pending(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One connect in fifty never completes. Its time-out must not end younger attempts, nor put their server
    # on trial calls.
    connects = HeldConnects(monkeypatch)
    stage.bookers[0].transport.abortConnection()
    connects.wait_for(1)
    stage.request(stage.client, ID)
    connects.wait_for(2)
    connects.fail_first()
    assert ID in stage.back.requests and not stage.counters["outcomes.no_connection"]
    connects.complete_all()
    until(lambda: stage.peers(ID))
    stage.peers(ID)[0].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])
    assert not stage.module.switches["s0"].suspect


def test_waiting_attempts_end_when_the_last_connect_fails(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    connects = HeldConnects(monkeypatch)
    stage.bookers[0].transport.abortConnection()
    connects.wait_for(1)
    stage.request(stage.client, ID)
    connects.wait_for(2)
    connects.fail_first()
    connects.fail_first()
    assert stage.counters["outcomes.no_connection"] == 1
    until(lambda: stage.client.kinds(ID) == [("stop", 34)])
    assert not stage.back.requests and stage.back.pools["s0"].connecting == 0


def test_a_release_before_its_answer_ends_the_attempt_once(stage: Stage) -> None:
    server = stage.set_up(ID)
    write_to_socket(server, "stop", ID, reason=16)
    write_to_socket(server, "running", ID, body="x")
    until(lambda: len(stage.client.got) == 1 or len(stage.peers(ID)) == 2)
    pause(0.05)
    finals = stage.client.kinds(ID)
    assert len(finals) <= 1 and ("running", None) not in finals


def test_a_connection_with_unsent_output_is_not_chosen_beside_a_free_one() -> None:
    # A connection with unsent output and no pending attempt must not be taken for an idle one.
    stage = Stage(replace(LIMITS, stalled_us=60_000_000))
    (slow,) = stage.bookers
    pool = stage.back.pools["s0"]
    until(lambda: pool.connections)
    (connection,) = pool.connections
    connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    slow.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.transport.pauseProducing()
    pool.connect()
    until(lambda: len(pool.connections) == 2 and len(stage.bookers) == 2)
    connection.transport.write(b'{"kind":"stopped","uid":""}\n' * 500_000)  # more than the kernel takes
    until(lambda: connection.has_unsent_output)
    connection.last_received_us = stage.core.clock.now_us() + 1  # among equals it would be chosen
    deliver_request(stage, ID)
    assert list(connection.pending) == []
    (leg,) = stage.back.requests.values()
    assert leg.connection is not None and leg.connection is not connection
    until(lambda: stage.peers(ID))
    assert ID not in slow.launches
    slow.transport.abortConnection()
    stage.close()
