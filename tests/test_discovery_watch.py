"""The discovery watch where two events cross: real sockets, scripted services, and a clock moved by hand."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.platform.back import PlatformBack
from bitternbeam.net.platform.discovery.connection import DiscoveryConnection
from bitternbeam.net.platform.discovery.server_list import ServerList
from bitternbeam.net.platform.discovery.watch import DiscoveryWatch
from tests.loop import pause, reactor, until
from tests.manual_clock import ManualClock
from tests.test_board import Board, WatchPeer, boards, event
from tests.world import SETTINGS

__all__ = ["boards"]
LIMITS = Limits(discovery_connect_us=5_000_000)
RETRY_US = LIMITS.discovery_retry_us
SILENT_US = LIMITS.discovery_silent_us
SECOND = 1_000_000
KNOWN: dict[str, Any] = {"rev": 3, "notices": [json.loads(event(3, "up", full=True))]}


class Follower:
    """A watch with a core behind it, on a clock that stands still."""

    def __init__(self, address: str, known: dict[str, Any]) -> None:
        self.clock = ManualClock()
        deadlines, self.counters = self.clock.deadlines, Counters()
        self.core = CallControl(Controller(SETTINGS, 1), SETTINGS, deadlines, LIMITS, self.counters)
        self.back = PlatformBack(reactor, self.core, deadlines, LIMITS, self.counters)
        self.core.attach(self.back)
        self.watch = DiscoveryWatch(
            reactor=reactor,
            address=address,
            update=ServerList(self.core, self.back).update,
            deadlines=deadlines,
            limits=LIMITS,
            counters=self.counters,
        )
        self.synced_at_us: list[int] = []
        self.watch.start(known, lambda: self.synced_at_us.append(self.clock.now_us()))

    def state(self, server: str = "s0") -> SwitchState | None:
        return self.core.states.get(server)

    def wait_count(self, name: str, count: int = 1) -> None:
        until(lambda: self.counters[name] >= count)

    def close(self) -> None:
        self.watch.stop()
        self.back.close_all()


@pytest.fixture
def follower(boards: list[Board]) -> Iterator[Follower]:
    one = Follower(boards[0].address, KNOWN)
    assert boards[0].requested() == [b"watch 3"]
    yield one
    one.close()


@pytest.fixture
def received(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Collect what every connection to discovery has read."""
    chunks: list[bytes] = []
    read = DiscoveryConnection.dataReceived

    def noted(self: DiscoveryConnection, data: bytes) -> None:
        read(self, data)
        chunks.append(data)

    monkeypatch.setattr(DiscoveryConnection, "dataReceived", noted)
    return chunks


def send(desk: WatchPeer, data: bytes, received: list[bytes]) -> None:
    """Write, and wait until the other side has read it all."""
    before = sum(map(len, received))
    desk.transport.write(data)
    until(lambda: sum(map(len, received)) >= before + len(data))


def send_unread(desk: WatchPeer, data: bytes) -> None:
    """Put bytes into the other side's receive buffer while nobody there reads."""
    assert desk.transport.socket.send(data) == len(data)


@pytest.fixture
def hung() -> Iterator[str]:
    """Give an address at which no connection comes up: its queue is full, and nobody accepts."""
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen(0)
    fill = [socket.socket() for _ in range(8)]
    for one in fill:
        one.setblocking(False)
        one.connect_ex(listening.getsockname())
    yield f"127.0.0.1:{listening.getsockname()[1]}"
    for one in [*fill, listening]:
        one.close()


def pending_connects() -> int:
    """How many connections the reactor is making."""
    return sum(type(one).__name__ == "Client" and not one.connected for one in reactor.getWriters())


# What shows that discovery speaks.


@pytest.mark.parametrize("noise", [b" ", b"\n", b"3"])
def test_bytes_that_never_make_a_line_do_not_hide_a_silence(
    follower: Follower, boards: list[Board], received: list[bytes], noise: bytes
) -> None:
    desk = boards[0].peers[0]
    send(desk, b"3\n", received)
    for _ in range(4):
        follower.clock.advance(SILENT_US // 4)
        if not follower.counters["discovery.dropped.silent"]:
            send(desk, noise, received)
    follower.clock.advance(RETRY_US)
    assert boards[0].requested(2) == [b"watch 3"]
    boards[0].peers[1].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)


def test_numbers_keep_the_watch_open(follower: Follower, boards: list[Board], received: list[bytes]) -> None:
    for line in (b"3\n", b'{"rev":3}\n', b"2\n", event(3, "removed")) * 2:
        send(boards[0].peers[0], line, received)
        follower.clock.advance(SECOND)
    assert follower.state() is SwitchState.READY and len(boards[0].peers) == 1
    assert follower.counters["discovery.behind"] == 2 and follower.counters["discovery.repeated_events"] == 2


def test_a_new_connection_that_says_nothing_is_given_up_in_time_for_another(
    follower: Follower, boards: list[Board]
) -> None:
    # After a break news counts as told 2 s later; the first of two connections may be a silent one.
    boards[0].peers[0].transport.abortConnection()
    follower.wait_count("discovery.connections", 1)
    until(lambda: follower.watch.state.value == "paused")
    began_us = follower.clock.now_us()
    follower.clock.advance(RETRY_US)
    boards[0].requested(2)
    while len(boards[0].peers) < 3:
        follower.clock.advance(50_000)
        pause(0.01)
    assert boards[0].requested(3) == [b"watch 3"]
    boards[0].peers[2].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)
    assert follower.clock.now_us() - began_us <= 1_900_000


def test_open_watches_fall_silent_while_new_ones_work(
    follower: Follower, boards: list[Board], received: list[bytes]
) -> None:
    send(boards[0].peers[0], b"3\n", received)
    began_us = follower.clock.now_us()
    follower.clock.advance(SILENT_US)
    follower.clock.advance(RETRY_US)
    assert boards[0].requested(2) == [b"watch 3"]
    boards[0].peers[1].transport.write(event(4, "draining") + event(5, "removed"))
    until(lambda: follower.state() is None)
    assert follower.clock.now_us() - began_us <= 2_000_000
    follower.clock.advance(SECOND)
    assert len(boards[0].peers) == 2


# Breaks, gaps and faults.


def test_a_whole_event_without_its_line_feed_is_none(follower: Follower, boards: list[Board]) -> None:
    boards[0].peers[0].transport.write(event(4, "removed")[:-1])
    boards[0].peers[0].transport.loseConnection()
    until(lambda: follower.watch.state.value == "paused")
    assert follower.state() is SwitchState.READY
    follower.clock.advance(RETRY_US)
    assert boards[0].requested(2) == [b"watch 3"]


def test_a_number_above_ours_on_every_connection_is_no_busy_loop(
    follower: Follower, boards: list[Board], received: list[bytes]
) -> None:
    for count in range(1, 6):
        send(boards[0].peers[-1], b"4\n", received)
        assert follower.watch.state.value == "paused"
        follower.clock.advance(RETRY_US - 1)
        pause(0.01)
        assert len(boards[0].peers) == count
        follower.clock.advance(1)
        assert boards[0].requested(count + 1) == [b"watch 3"]
    boards[0].peers[-1].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)


def test_nothing_behind_a_gap_in_the_same_read_is_taken(
    follower: Follower, boards: list[Board], received: list[bytes]
) -> None:
    send(boards[0].peers[0], b"9\n" + event(4, "removed") + b"3\n", received)
    assert follower.state() is SwitchState.READY and follower.watch.state.value == "paused"


@pytest.mark.parametrize(
    ("line", "count"),
    [
        (b'{"rev":Infinity,"pool":{"full":false,"servers":[]}}\n', "discovery.bad_events.value"),
        (event(4, "gone"), "discovery.bad_events.value"),
        (event(4, "up").replace(b'"cell": 0', b'"cell": null'), "discovery.bad_events.type"),
        (event(4, "up").replace(b'"full"', b'"whole"'), "discovery.bad_events.missing"),
    ],
)
def test_a_broken_event_is_counted_by_its_kind_and_asked_for_again(
    follower: Follower, boards: list[Board], received: list[bytes], line: bytes, count: str
) -> None:
    send(boards[0].peers[0], line, received)
    assert follower.counters[count] == 1 and follower.counters["discovery.dropped.bad_event"] == 1
    follower.clock.advance(RETRY_US)
    assert boards[0].requested(2) == [b"watch 3"]
    boards[0].peers[1].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)


def test_a_server_that_cannot_be_reached_stops_nobody_elses_news(
    follower: Follower, boards: list[Board], received: list[bytes]
) -> None:
    line = event(4, "up", booker="s1").replace(b"127.0.0.1:9", b"127.0.0.1:70000")
    send(boards[0].peers[0], line + event(5, "draining"), received)
    assert follower.state("s1") is SwitchState.READY and follower.state() is SwitchState.DRAINING


# Whole lists.


@pytest.mark.parametrize("revision", [1, 2, 3])
def test_an_older_whole_list_brings_nobody_back(
    follower: Follower, boards: list[Board], received: list[bytes], revision: int
) -> None:
    send(boards[0].peers[0], event(revision, "draining", full=True, booker="s9"), received)
    assert follower.state() is SwitchState.READY and follower.state("s9") is None


@pytest.mark.parametrize("revision", [4, 9])
def test_a_newer_whole_list_leaves_out_who_is_gone(
    follower: Follower, boards: list[Board], received: list[bytes], revision: int
) -> None:
    send(boards[0].peers[0], event(revision, "up", full=True, booker="s9"), received)
    assert follower.state() is None and follower.state("s9") is SwitchState.READY
    assert follower.watch.sequence.revision == revision


# Moves.


def test_a_move_while_connecting_lets_go_of_the_connection_being_made(boards: list[Board], hung: str) -> None:
    follower = Follower(hung, KNOWN)
    pause(0.02)
    making = pending_connects()
    assert making >= 1
    follower.watch.move(boards[0].address)
    assert boards[0].requested() == [b"watch 3"]
    assert pending_connects() < making
    follower.close()


def test_moves_there_and_back_leave_one_watch(
    follower: Follower, boards: list[Board], received: list[bytes]
) -> None:
    follower.watch.move(boards[1].address)
    follower.watch.move(boards[0].address)
    assert boards[0].requested(2) == [b"watch 3"]
    follower.clock.advance(SECOND)
    pause(0.05)
    assert len(boards[0].peers) == 2 and not [one for one in boards[1].peers if one.received_lines]
    send(boards[0].peers[1], event(4, "draining"), received)
    assert follower.state() is SwitchState.DRAINING


def test_a_move_to_a_dead_address_is_tried_at_a_steady_pace_until_it_lives(
    follower: Follower, boards: list[Board]
) -> None:
    where = boards[1].address
    boards[1].ports[0].stopListening()
    pause(0.02)
    follower.watch.move(where)
    for count in range(1, 6):
        follower.wait_count("discovery.no_connection", count)
        until(lambda: follower.watch.state.value == "paused")
        pause(0.01)
        assert follower.counters["discovery.no_connection"] == count
        follower.clock.advance(RETRY_US)
    follower.watch.move(boards[0].address)
    assert boards[0].requested(2) == [b"watch 3"]
    follower.clock.advance(RETRY_US)
    pause(0.02)
    assert len(boards[0].peers) == 2


def test_a_move_in_the_pause_leaves_one_connection(follower: Follower, boards: list[Board]) -> None:
    boards[0].peers[0].transport.abortConnection()
    until(lambda: follower.watch.state.value == "paused")
    follower.watch.move(boards[1].address)
    assert boards[1].requested() == [b"watch 3"]
    follower.clock.advance(SECOND)
    pause(0.02)
    assert len(boards[0].peers) == 1 and len(boards[1].peers) == 1


def test_what_the_old_connection_still_holds_is_not_taken_after_the_move(
    follower: Follower, boards: list[Board], received: list[bytes]
) -> None:
    send_unread(boards[0].peers[0], event(4, "removed"))
    follower.watch.move(boards[1].address)
    assert boards[1].requested() == [b"watch 3"]
    send(boards[1].peers[0], event(4, "draining"), received)
    assert follower.state() is SwitchState.DRAINING and len(boards[0].peers) == 1


def test_lines_and_the_end_of_an_earlier_connection_touch_nothing(
    follower: Follower, boards: list[Board], received: list[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    # The transport reads no more once it is aborted; the watch does not depend on that.
    earlier: list[DiscoveryConnection] = []
    ask = DiscoveryConnection.ask
    monkeypatch.setattr(DiscoveryConnection, "ask", lambda self, rev: earlier.append(self) or ask(self, rev))  # type: ignore[func-returns-value]
    follower.watch.move(boards[0].address)
    boards[0].requested(2)
    follower.watch.move(boards[1].address)
    boards[1].requested()
    earlier[0].lineReceived(event(4, "removed"))
    earlier[0].lineReceived(b"9")
    earlier[0].owner.connection_closed(earlier[0])
    assert follower.state() is SwitchState.READY and follower.watch.state.value == "asked"
    follower.clock.advance(LIMITS.discovery_first_line_us)  # no line of theirs put the silence off
    assert follower.watch.state.value == "paused"


def test_a_bad_address_changes_nothing(follower: Follower, boards: list[Board]) -> None:
    with pytest.raises(ValueError, match="not host:port"):
        follower.watch.move("nowhere")
    assert follower.watch.state.value == "asked"


def test_a_stopped_watch_stays_stopped(follower: Follower, boards: list[Board], hung: str) -> None:
    follower.watch.move(hung)
    pause(0.02)
    follower.watch.stop()
    follower.watch.move(boards[1].address)
    follower.clock.advance(10 * SECOND)
    pause(0.02)
    assert follower.watch.state.value == "stopped" and not boards[1].peers


# The start.


@pytest.mark.parametrize("first", [event(5, "removed"), b"4\n", event(4, "gone"), b"{\n"])
def test_a_first_line_that_tells_of_a_gap_settles_nothing(
    boards: list[Board], received: list[bytes], first: bytes
) -> None:
    # Settled by it, a process took requests for a server that was told to be draining.
    follower = Follower(boards[0].address, KNOWN)
    boards[0].requested()
    send(boards[0].peers[0], first, received)
    follower.clock.advance(LIMITS.discovery_burst_us)
    assert not follower.synced_at_us
    follower.clock.advance(RETRY_US - LIMITS.discovery_burst_us)
    assert boards[0].requested(2) == [b"watch 3"]
    send(boards[0].peers[1], event(4, "draining"), received)
    follower.clock.advance(LIMITS.discovery_burst_us)
    assert len(follower.synced_at_us) == 1 and follower.state() is SwitchState.DRAINING
    follower.close()


def test_faults_at_the_start_hold_the_process_up_for_a_bounded_time(
    boards: list[Board], received: list[bytes]
) -> None:
    follower = Follower(boards[0].address, KNOWN)
    boards[0].requested()
    began_us = follower.clock.now_us()
    send(boards[0].peers[0], b"9\n", received)
    follower.clock.advance(SECOND)
    assert follower.synced_at_us == [began_us + LIMITS.discovery_settle_us]
    follower.close()


@pytest.mark.parametrize(
    ("notices", "asked"),
    [
        ([event(1, "up", full=True), event(2, "gone"), event(3, "draining")], b"watch 1"),
        ([event(1, "up", full=True), event(3, "draining")], b"watch 1"),
        ([event(1, "up", full=True), event(2, "draining")], b"watch 2"),
        ([event(1, "up", full=True), event(1, "draining"), event(2, "up"), event(3, "up")], b"watch 3"),
        ([], b"watch 0"),
    ],
)
def test_what_the_configuration_lacks_is_asked_for(
    boards: list[Board], notices: list[bytes], asked: bytes
) -> None:
    # Asked from the number that it names, an event that could not be read was missing for good.
    follower = Follower(boards[0].address, {"rev": 3, "notices": [json.loads(one) for one in notices]})
    assert boards[0].requested() == [asked]
    follower.close()
