"""A loop that stood still: what came meanwhile goes before the timers, and its wait counts as time passed."""

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
    """Stand still until the timer of a request that waits for a release is due."""
    deadlines = stage.front.deadlines
    block_loop_until(deadlines, stage.core.by_uid[ID].release_wait_until_us + 5 * MS)


def cancelled(stage: Stage) -> None:
    write_to_socket(stage.client, "stop", ID, reason=16)


def closed(stage: Stage) -> None:
    stage.client.transport.socket.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("leave", [cancelled, closed])
def test_a_retry_that_is_due_while_its_clients_leaving_lies_unread_is_not_sent(
    stage: Stage, leave: Callable[[Stage], None]
) -> None:
    # The timer ran before the sockets were read: the request went on long after its client had left.
    server = stage.set_up(ID)
    server.send("stop", ID, reason=41)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    leave(stage)
    block_past_the_pause(stage)
    until(lambda: not stage.core.calls)
    pause(0.05)
    assert len(stage.peers(ID)) == 1
    assert sum(one.kinds(ID).count(("launch", None)) for one in stage.bookers) == 1


def test_a_retry_that_is_due_goes_out_when_nothing_lies_unread(stage: Stage) -> None:
    server = stage.set_up(ID)
    server.send("stop", ID, reason=41)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    block_past_the_pause(stage)
    until(lambda: sum(one.kinds(ID).count(("launch", None)) for one in stage.bookers) == 2)


def test_an_answer_that_came_in_time_goes_before_the_deadline_that_is_due_with_it(stage: Stage) -> None:
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
def test_the_deadline_passed_on_counts_the_time_for_which_a_request_lay_unread(
    stage: Stage, new: bool
) -> None:
    # The client's time was counted from the read: the server was told 0.4 s more than the client had.
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


def test_a_connection_made_and_written_while_the_loop_stood_still_counts_from_then(stage: Stage) -> None:
    # It is accepted in one turn and read in the next: its bytes are older than the poll before that.
    pause(0.02)
    sent_us = stage.front.deadlines.now_us()
    with socket.create_connection(("127.0.0.1", stage.ports[1].getHost().port)) as peer:
        write_to_socket(peer, "launch", ID, **request(1_000))
        block_loop_until(stage.front.deadlines, sent_us + 400 * MS)
        until(lambda: stage.peers(ID))
    assert 0 < int(stage.peers(ID)[0].got[-1]["meta"]["left"]) <= 600


def test_a_set_up_leaves_in_the_turn_in_which_its_time_was_computed(stage: Stage) -> None:
    # It left in the loop's next turn, and a busy one takes long: its time was no longer true.
    (server,) = stage.bookers
    until(lambda: stage.back.pools["s0"].connections)
    deliver_request(stage, ID)
    line = server.transport.socket.recv(10_000, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    assert json.loads(line)["uid"] == ID
    until(lambda: stage.peers(ID))
    assert server.kinds(ID) == [("launch", None)]


class ScriptedPoller:
    """A poller and its clock: each poll takes what the script says, and so does the work after it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.takes = 0.0
        self.register = self.modify = self.unregister = None

    def poll(self, timeout_s: float, most: int) -> list[tuple[int, int]]:
        self.now += self.takes
        return []

    def poll_then_work(self, polls: TimedPoller, takes: float, work: float, timeout_s: float = 1.0) -> float:
        """Poll, and return how old input read then may be; then be busy for a while."""
        self.takes = takes
        polls.poll(timeout_s, 1)
        age = self.now - polls.arrival_s
        self.now += work
        return round(age, 6)


def test_input_found_by_a_poll_that_had_to_wait_has_just_come() -> None:
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
    )  # it did not block: it was kept
    assert script.poll_then_work(polls, takes=0.2, work=0.0) == 0


def test_the_reactor_is_watched_once_however_many_clocks_it_has(stage: Stage) -> None:
    watched = reactor._poller
    assert isinstance(watched, TimedPoller)
    ReactorClock(reactor)
    assert reactor._poller is watched
