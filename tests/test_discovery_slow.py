"""Slow discovery: what comes later than every time-out of the watch is still heard."""

from __future__ import annotations

import pytest

from bitternbeam.decision.interface import SwitchState
from tests.loop import pause, until
from tests.test_board import Board, WatchPeer, boards, event
from tests.test_discovery_watch import LIMITS, SECOND, SILENT_US, Follower, follower, send_unread

__all__ = ["boards", "follower"]
STEP_US = 50_000
TOLD_US = 7 * SECOND  # after which every event counts as received
FIRST_LINE_US = LIMITS.discovery_first_line_us


class SlowNetwork:
    """Delivers late what the board writes: the events after the number asked for, then the number."""

    def __init__(self, follower: Follower, board: Board) -> None:
        self.follower = follower
        self.board = board
        self.asked_at_us: list[int] = []
        self.delivered: list[int] = []  # lines by peer
        self.revision = 3

    def run(self, for_us: int, delay_us: int) -> None:
        """Run the clock; every line arrives so long after it was written."""
        end_us = self.follower.clock.time_us + for_us
        while self.follower.clock.time_us < end_us:
            self.follower.clock.advance(STEP_US)
            pause(0.004)
            for number, peer in enumerate(self.board.peers):
                if peer.received_lines:
                    self._deliver(number, peer, delay_us)

    def _deliver(self, number: int, peer: WatchPeer, delay_us: int) -> None:
        if number == len(self.asked_at_us):
            self.asked_at_us.append(self.follower.clock.time_us)
            self.delivered.append(0)
        late_us = self.follower.clock.time_us - self.asked_at_us[number] - delay_us
        while peer.transport.connected and self.delivered[number] * SECOND <= late_us:
            if not self.delivered[number] and self.revision > 3:
                peer.send_event(self.revision, "draining")
            peer.transport.write(b"%d\n" % self.revision)
            self.delivered[number] += 1


def open_peers(board: Board) -> list[WatchPeer]:
    return [peer for peer in board.peers if peer.transport.connected]


@pytest.mark.parametrize("delay_us", [1_500_000, 2 * SECOND, 4 * SECOND, 6 * SECOND])
def test_an_event_later_than_every_time_out_is_applied(
    follower: Follower, boards: list[Board], delay_us: int
) -> None:
    # Guards against dropping each connection before its first line: a draining server was never heard of.
    network = SlowNetwork(follower, boards[0])
    network.run(2 * SECOND, delay_us=0)
    boards[0].peers[0].transport.abortConnection()  # whatever is on its way on the first one is lost
    network.revision = 4
    network.run(TOLD_US, delay_us)
    assert follower.state() is SwitchState.DRAINING


def test_a_connection_on_which_lines_come_late_is_not_replaced_again_and_again(
    follower: Follower, boards: list[Board]
) -> None:
    # Guards a slow discovery against a new connection for every time-out.
    network = SlowNetwork(follower, boards[0])
    network.run(20 * SECOND, delay_us=2 * SECOND)
    assert len(boards[0].peers) <= 3 and len(open_peers(boards[0])) == 1


def test_a_line_on_a_silent_connection_is_applied(follower: Follower, boards: list[Board]) -> None:
    # Guards what was on its way when the connection went silent.
    follower.clock.advance(FIRST_LINE_US)
    follower.clock.advance(LIMITS.discovery_retry_us)
    boards[0].requested(2)
    boards[0].peers[0].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)
    assert follower.counters["discovery.late_lines"] == 1 and len(open_peers(boards[0])) == 2


def test_a_line_on_the_newest_connection_ends_the_older_ones(follower: Follower, boards: list[Board]) -> None:
    # Guards against following an old connection that lags behind.
    follower.clock.advance(FIRST_LINE_US)
    follower.clock.advance(LIMITS.discovery_retry_us)
    boards[0].requested(2)
    send_unread(boards[0].peers[0], event(5, "removed"))
    boards[0].peers[1].send_event(4, "draining")
    until(lambda: follower.counters["discovery.dropped.silent"] + follower.counters["discovery.dropped.gap"])
    until(lambda: follower.state() is SwitchState.DRAINING)
    until(lambda: len(open_peers(boards[0])) == 1)
    assert follower.watch.state.value == "watching"


def test_a_gap_on_a_silent_connection_ends_that_one_alone(follower: Follower, boards: list[Board]) -> None:
    follower.clock.advance(FIRST_LINE_US)
    follower.clock.advance(LIMITS.discovery_retry_us)
    boards[0].requested(2)
    boards[0].peers[0].send_event(5, "removed")
    follower.wait_count("discovery.dropped.gap")
    assert follower.watch.state.value == "asked" and follower.state() is SwitchState.READY
    boards[0].peers[1].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)
    assert len(boards[0].peers) == 2


def test_silent_connections_are_bounded_and_expire(follower: Follower, boards: list[Board]) -> None:
    # Guards the descriptors, and that a board which answers nothing is still asked at a constant rate.
    most = 0
    for _ in range(int(1.5 * LIMITS.discovery_late_us) // STEP_US):
        follower.clock.advance(STEP_US)
        pause(0.004)
        most = max(most, len(open_peers(boards[0])))
    assert most <= 1 + LIMITS.discovery_silent_connections + 1  # one may be closing
    assert not boards[0].peers[0].transport.connected
    period_us = FIRST_LINE_US + LIMITS.discovery_retry_us + 2 * STEP_US
    assert len(boards[0].peers) >= 1.5 * LIMITS.discovery_late_us // period_us
    boards[0].peers[-1].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)


def test_a_move_ends_the_silent_connections_too(follower: Follower, boards: list[Board]) -> None:
    follower.clock.advance(FIRST_LINE_US)
    follower.clock.advance(LIMITS.discovery_retry_us)
    boards[0].requested(2)
    send_unread(boards[0].peers[0], event(4, "removed"))
    follower.watch.move(boards[1].address)
    assert boards[1].requested() == [b"watch 3"]
    until(lambda: not open_peers(boards[0]))
    assert follower.state() is SwitchState.READY


def test_a_connection_that_goes_silent_later_is_kept(follower: Follower, boards: list[Board]) -> None:
    # Guards the watch that has brought lines before: its next one may be on its way.
    boards[0].peers[0].transport.write(b"3\n")
    until(lambda: follower.watch.state.value == "watching")
    follower.clock.advance(SILENT_US)
    assert follower.counters["discovery.silences"] == 1 and follower.watch.state.value == "paused"
    boards[0].peers[0].send_event(4, "draining")
    until(lambda: follower.state() is SwitchState.DRAINING)
