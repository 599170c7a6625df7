"""What a server says or does crosses what is sent to it: no request is left with no answer."""

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
    pause(0.02)  # with polls that find nothing: what a test hands over after them has come just now
    yield one
    one.close()


def close_both_ways(server: Peer) -> None:
    server.transport.socket.shutdown(socket.SHUT_RDWR)


def reset(server: Peer) -> None:
    server.transport.abortConnection()
    reactor.runUntilCurrent()  # the reset goes out; nothing is read
    assert server.lost


@pytest.mark.parametrize("close", [close_both_ways, reset])
def test_a_set_up_that_crosses_an_idle_close_is_sent_again_after_the_pause(
    stage: Stage, close: Callable[[Peer], None]
) -> None:
    # The close lies unread as the set-up is written: the server never reads it.
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
def test_an_answer_that_breaks_off_counts_as_none(stage: Stage, part: bytes) -> None:
    server = stage.set_up(ID)
    server.transport.write(part)
    server.transport.loseConnection()
    until(lambda: len(stage.peers(ID)) == 2)
    assert stage.counters["outcomes.cut"] == 1 and not stage.client.got
    stage.peers(ID)[-1].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID) == [("running", None)])


@pytest.mark.parametrize("first", ["running", "stop"])
def test_an_answer_that_crosses_the_cancel_reaches_nobody(stage: Stage, first: str) -> None:
    server = stage.set_up(ID)
    stage.client.send("stop", ID, reason=16)
    until(lambda: server.kinds(ID)[1:] == [("stop", 16)])
    server.send(first, ID, body="x", reason=34)
    server.send("running", ID, body="y")
    server.send("check", "t", reason=0)
    until(lambda: server.kinds("t"))
    assert not stage.client.got and not server.lost
    assert not stage.core.calls and not stage.back.requests


def test_answers_behind_a_refusal_or_on_another_connection_reach_nobody(stage: Stage) -> None:
    server = stage.set_up(ID)
    other = stage.set_up(ID2)
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


def test_an_answer_on_a_connection_that_was_set_aside_reaches_nobody_twice(stage: Stage) -> None:
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


def test_a_fault_over_one_message_does_not_lose_the_answer_behind_it(stage: Stage) -> None:
    # The connection was closed over it, with every set-up on it.
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
    until(lambda: stage.client.kinds(ID))  # its own time ends it


def test_a_connection_that_never_comes_up_does_not_end_what_waits_for_another(
    stage: Stage, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One in fifty never comes up: its time-out ended younger attempts, and put their server on trials.
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


def test_what_waited_its_time_or_for_the_last_connection_ends_when_that_fails(
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


def test_a_release_that_comes_before_its_answer_ends_the_attempt_once(stage: Stage) -> None:
    server = stage.set_up(ID)
    write_to_socket(server, "stop", ID, reason=16)
    write_to_socket(server, "running", ID, body="x")
    until(lambda: len(stage.client.got) == 1 or len(stage.peers(ID)) == 2)
    pause(0.05)
    finals = stage.client.kinds(ID)
    assert len(finals) <= 1 and ("running", None) not in finals


def test_nothing_is_written_behind_what_has_not_left_while_another_connection_is_free() -> None:
    # A slow connection with no attempt waiting on it looked as good as an idle one.
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
    connection.last_received_us = stage.core.clock.now_us() + 1  # of equals it would be taken
    deliver_request(stage, ID)
    assert list(connection.pending) == []
    (leg,) = stage.back.requests.values()
    assert leg.connection is not None and leg.connection is not connection
    until(lambda: stage.peers(ID))
    assert ID not in slow.launches
    slow.transport.abortConnection()
    stage.close()
