"""After a blocked event loop, waiting input is handled before due timers, and its waiting time counts."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator

import pytest

from bitternbeam.net.clock import ReactorClock
from bitternbeam.net.polling import TimedPoller
from tests.loop import pause, reactor, until
from tests.patience import PATIENT
from tests.stalled import block_loop_until, deliver_request, write_to_socket
from tests.test_platform import EXTRAS, ID, Stage

MS = 1_000


@pytest.fixture
def stage() -> Iterator[Stage]:
    one = Stage(PATIENT)
    yield one
    one.close()


def block_past_the_pause(stage: Stage) -> None:
    """Block until the timer of a request that waits for a release is due."""
    deadlines = stage.front.deadlines
    block_loop_until(deadlines, stage.core.by_uid[ID].release_wait_until_us + 5 * MS)


def cancelled(stage: Stage) -> None:
    write_to_socket(stage.client, "stop", ID, reason=16)


def closed(stage: Stage) -> None:
    stage.client.transport.socket.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("leave", [cancelled, closed])
def test_a_due_retry_is_not_sent_if_its_clients_cancel_is_unread(
    stage: Stage, leave: Callable[[Stage], None]
) -> None:
    # A timer that runs before the sockets are read would send the request after its client had left.
    server = stage.set_up(ID)
    server.send("stop", ID, reason=41)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    leave(stage)
    block_past_the_pause(stage)
    until(lambda: not stage.core.calls)
    pause(0.05)
    assert len(stage.peers(ID)) == 1
    assert sum(one.kinds(ID).count(("launch", None)) for one in stage.bookers) == 1


def test_a_due_retry_is_sent_when_nothing_is_unread(stage: Stage) -> None:
    server = stage.set_up(ID)
    server.send("stop", ID, reason=41)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    block_past_the_pause(stage)
    until(lambda: sum(one.kinds(ID).count(("launch", None)) for one in stage.bookers) == 2)


def test_an_answer_received_in_time_is_handled_before_its_due_deadline(stage: Stage) -> None:
    server = stage.set_up(ID)
    attempt = stage.core.by_uid[ID].current_attempt
    assert attempt is not None
    write_to_socket(server, "running", ID, body="x")
    block_loop_until(stage.front.deadlines, attempt.decided_us + attempt.timeout_us + 5 * MS)
    until(lambda: stage.client.kinds(ID))
    assert stage.client.kinds(ID) == [("running", None)]
    assert server.kinds(ID) == [("launch", None)]  # and it was not given up


def request(left_ms: int) -> dict[str, object]:
    return {"meta": {"class": "low", "left": str(left_ms), "key": "n", "extras": EXTRAS}, "body": "v=0\r\n"}


@pytest.mark.parametrize("new", [False, True], ids=["on an open connection", "on a new connection"])
def test_the_time_left_sent_on_excludes_the_time_a_request_was_unread(stage: Stage, new: bool) -> None:
    # Counted from the read, the time sent to the server was 0.4 s more than the client had left.
    peer: object = stage.client
    if new:
        peer = socket.create_connection(("127.0.0.1", stage.ports[1].getHost().port))
    pause(0.02)
    sent_us = stage.front.deadlines.now_us()
    write_to_socket(peer, "launch", ID, **request(1_000))
    block_loop_until(stage.front.deadlines, sent_us + 400 * MS)
    until(lambda: stage.peers(ID))
    left_ms = int(stage.peers(ID)[0].got[-1]["meta"]["left"])
    assert 0 < left_ms <= 600
    assert stage.core.by_uid[ID].answer_by_us < sent_us + 1_000 * MS  # and its answer comes in time for it
    if isinstance(peer, socket.socket):
        peer.close()


def test_a_request_on_a_new_connection_counts_from_before_the_stall(stage: Stage) -> None:
    # It is accepted in one turn and read in the next, so its bytes are older than the last poll.
    pause(0.02)
    sent_us = stage.front.deadlines.now_us()
    with socket.create_connection(("127.0.0.1", stage.ports[1].getHost().port)) as peer:
        write_to_socket(peer, "launch", ID, **request(1_000))
        block_loop_until(stage.front.deadlines, sent_us + 400 * MS)
        until(lambda: stage.peers(ID))
    assert 0 < int(stage.peers(ID)[0].got[-1]["meta"]["left"]) <= 600


def test_a_set_up_is_written_in_the_turn_that_computes_its_time_left(stage: Stage) -> None:
    # Written in the loop's next turn, after a long busy one, its time left would be outdated.
    (server,) = stage.bookers
    until(lambda: stage.back.pools["s0"].connections)
    deliver_request(stage, ID)
    line = server.transport.socket.recv(10_000, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    assert json.loads(line)["uid"] == ID
    until(lambda: stage.peers(ID))
    assert server.kinds(ID) == [("launch", None)]


class ScriptedPoller:
    """A poller with its own clock: each poll, and the work after it, takes a scripted time."""

    def __init__(self) -> None:
        self.now = 100.0
        self.takes = 0.0
        self.register = self.modify = self.unregister = None

    def poll(self, timeout_s: float, most: int) -> list[tuple[int, int]]:
        self.now += self.takes
        return []

    def poll_then_work(self, polls: TimedPoller, takes: float, work: float, timeout_s: float = 1.0) -> float:
        """Poll, and return how old the input read then may be; then work for a while."""
        self.takes = takes
        polls.poll(timeout_s, 1)
        age = self.now - polls.arrival_s
        self.now += work
        return round(age, 6)


def test_input_found_by_a_blocking_poll_has_just_arrived() -> None:
    script = ScriptedPoller()
    polls = TimedPoller(script, lambda: script.now)
    assert script.poll_then_work(polls, takes=0.5, work=0.3) == 0
    # Busy for 0.3 s: what the next poll finds at once may be as old, and so may a connection's first bytes.
    assert script.poll_then_work(polls, takes=0.0, work=0.0) == 0.3
    assert script.poll_then_work(polls, takes=0.0, work=0.0) == 0.3
    assert script.poll_then_work(polls, takes=0.0, work=0.0) == 0
    assert script.poll_then_work(polls, takes=0.0, work=0.2, timeout_s=0.0) == 0
    assert (
        script.poll_then_work(polls, takes=0.1, work=0.0, timeout_s=0.0) == 0.3
    )  # a poll that does not block keeps the age
    assert script.poll_then_work(polls, takes=0.2, work=0.0) == 0


def test_several_clocks_share_one_timed_poller(stage: Stage) -> None:
    watched = reactor._poller
    assert isinstance(watched, TimedPoller)
    ReactorClock(reactor)
    assert reactor._poller is watched
