"""The discovery watch over loopback, against scripted discovery servers (boards)."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from bitternbeam.config import Config
from bitternbeam.core.control import CallControl
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.connect import listen
from bitternbeam.net.platform.back import PlatformBack
from bitternbeam.net.platform.discovery.server_list import ServerList
from bitternbeam.net.platform.discovery.watch import DiscoveryWatch
from bitternbeam.settings import read_settings
from bitternbeam.wiring.parts import Common
from bitternbeam.wiring.platform import PlatformPart
from tests.loop import parts, pause, reactor, until
from tests.world import SETTINGS

ROOT = Path(__file__).parents[1]


class WatchPeer(LineOnlyReceiver):
    """The server side of one connection to a scripted board."""

    delimiter = b"\n"
    transport: Any

    def __init__(self) -> None:
        self.received_lines: list[bytes] = []

    def lineReceived(self, line: bytes) -> None:
        self.received_lines.append(line)

    def send_event(self, rev: int, state: str, full: bool = False, booker: str = "s0") -> bytes:
        line = event(rev, state, full, booker)
        self.transport.write(line)
        return line


def event(rev: int, state: str, full: bool = False, booker: str = "s0") -> bytes:
    server = {"id": booker, "addr": "127.0.0.1:9", "cell": 0, "state": state, "started_ms": 0}
    return json.dumps({"rev": rev, "pool": {"full": full, "servers": [server]}}).encode() + b"\n"


class Board:
    """A scripted discovery server that records every connection made to it."""

    def __init__(self, port: int = 0) -> None:
        self.peers: list[WatchPeer] = []
        self.ports: list[Any] = []
        factory: Any = Factory()
        factory.buildProtocol = lambda _addr: self.peers.append(WatchPeer()) or self.peers[-1]  # type: ignore[func-returns-value]
        listen(reactor, "127.0.0.1", port, factory).addCallback(self.ports.append)
        self.address = f"127.0.0.1:{self.ports[0].getHost().port}"

    def requested(self, count: int = 1) -> list[bytes]:
        """Wait for so many connections and return the lines received on the last."""
        until(lambda: len(self.peers) >= count and self.peers[-1].received_lines)
        return self.peers[-1].received_lines

    def close(self) -> None:
        for desk in self.peers:
            if desk.transport:
                desk.transport.abortConnection()
        self.ports[0].stopListening()


@pytest.fixture
def boards() -> Iterator[list[Board]]:
    both = [Board(), Board()]
    yield both
    for board in both:
        board.close()
    pause(0.02)


class WatchHarness:
    """A discovery watch with a core and a back behind it."""

    def __init__(self, board: Board, limits: Limits) -> None:
        deadlines, self.counters = parts()
        self.core = CallControl(Controller(SETTINGS, 1), SETTINGS, deadlines, limits, self.counters)
        self.back = PlatformBack(reactor, self.core, deadlines, limits, self.counters)
        self.core.attach(self.back)
        known = {"rev": 3, "notices": [json.loads(event(3, "up", full=True))]}
        self.watch = DiscoveryWatch(
            reactor=reactor,
            address=board.address,
            update=ServerList(self.core, self.back).update,
            deadlines=deadlines,
            limits=limits,
            counters=self.counters,
        )
        self.watch.start(known)

    def wait_for_state(self, state: SwitchState | None, booker: str = "s0") -> None:
        until(lambda: self.core.states.get(booker) is state)


@pytest.fixture
def client(boards: list[Board]) -> Iterator[WatchHarness]:
    one = WatchHarness(boards[0], Limits(discovery_silent_us=300_000, discovery_first_line_us=300_000))
    assert boards[0].requested() == [b"watch 3"]
    yield one
    one.watch.stop()
    one.back.close_all()


def test_events_are_applied_once_and_in_order(client: WatchHarness, boards: list[Board]) -> None:
    desk = boards[0].peers[0]
    desk.transport.write(desk.send_event(4, "draining") + b"4\n")  # written twice
    desk.send_event(5, "up", booker="s1")
    client.wait_for_state(SwitchState.READY, "s1")
    client.wait_for_state(SwitchState.DRAINING)
    assert client.counters["discovery.repeated_events"] == 1 and client.counters["discovery.events"] == 3
    desk.transport.write(b'{"rev":5}\n5\n')
    desk.send_event(6, "removed")
    client.wait_for_state(None)
    assert len(boards[0].peers) == 1


def close_mid_event(desk: WatchPeer) -> None:
    desk.transport.write(event(4, "draining")[:30])
    desk.transport.loseConnection()


def stall_mid_event(desk: WatchPeer) -> None:
    desk.transport.write(event(4, "draining")[:30])


def skip_event(desk: WatchPeer) -> None:
    desk.send_event(5, "removed")


def send_higher_heartbeat(desk: WatchPeer) -> None:
    desk.transport.write(b"4\n")


def send_higher_heartbeat_object(desk: WatchPeer) -> None:
    desk.transport.write(b'{"rev":4}\n')


def send_malformed_line(desk: WatchPeer) -> None:
    desk.transport.write(b'{"rev":4,"pool":{"full":fal\xff\n')


def send_endless_line(desk: WatchPeer) -> None:
    desk.transport.write(b"{" + b"x" * 40_000)


@pytest.mark.parametrize(
    "fault",
    [
        close_mid_event,
        stall_mid_event,
        skip_event,
        send_higher_heartbeat,
        send_higher_heartbeat_object,
        send_malformed_line,
        send_endless_line,
    ],
)
def test_events_missed_by_a_board_fault_are_requested_again(
    client: WatchHarness, boards: list[Board], fault: Any
) -> None:
    # Discovery soon counts the event as received in any case; later sends to a draining booker are faults.
    fault(boards[0].peers[0])
    assert boards[0].requested(2) == [b"watch 3"]
    boards[0].peers[1].send_event(4, "draining")
    client.wait_for_state(SwitchState.DRAINING)


def test_the_time_outs_fit_the_rules() -> None:
    # Events count as received 2 s after a closed connection, 4 s after silence, 4 s after a changed address.
    # Within each of these times another fault must fit.
    limits = Limits()
    hangs = limits.discovery_connect_us + limits.discovery_retry_us
    mute = limits.discovery_first_line_us + limits.discovery_retry_us
    round_trips = 100_000
    assert limits.discovery_silent_us > 1_500_000  # a heartbeat comes every second
    assert limits.discovery_first_line_us > 1_200_000
    for told_us, noticed_us in (
        (2_000_000, limits.discovery_retry_us),
        (4_000_000, limits.discovery_silent_us + limits.discovery_retry_us),
        (4_000_000, 0),
    ):
        left_us = told_us - noticed_us - round_trips
        assert 3 * hangs <= left_us and mute <= left_us
    # Everything counts as received 7 s later; what is slower by less is waited for. Lines come every second.
    assert limits.discovery_late_us > 7_000_000 + 1_000_000
    # As strict as without a separate time-out for the first line.
    assert limits.discovery_silent_us + hangs + limits.discovery_retry_us <= 3_000_000
    assert hangs + limits.discovery_retry_us <= 1_000_000


@pytest.mark.parametrize(
    ("says", "listed"),
    [
        ("drain", SwitchState.DRAINING),
        ("two in pieces", None),
        ("number", SwitchState.READY),
        ("", SwitchState.READY),
    ],
)
def test_no_call_is_accepted_before_the_boards_first_line(
    boards: list[Board], says: str, listed: SwitchState | None
) -> None:
    # A restarted process knows the events before its start, and later ones count as received too. Its first
    # call, accepted before the board's first line, went to a booker that had been draining for half a second.
    raw: Any = json.loads((ROOT / "example/config.json").read_text())
    known = {"rev": 3, "notices": [json.loads(event(3, "up", full=True))]}
    settings = read_settings(raw["settings"])
    config = Config(
        "n0", "127.0.0.1", 0, 1, boards[0].address, known, settings, Limits(discovery_settle_us=400_000)
    )
    deadlines, counters = parts()
    part = PlatformPart(Common(reactor, config, deadlines, config.limits, counters))
    part.start()
    assert boards[0].requested() == [b"watch 3"] and not part.ready()
    desk = boards[0].peers[0]
    if says == "two in pieces":
        desk.transport.write(event(4, "draining")[:20])
        pause(0.05)
        assert not part.ready()
        desk.transport.write(event(4, "draining")[20:] + event(5, "removed"))
    elif says:
        desk.transport.write(event(4, "draining") if says == "drain" else b'{"rev":3}\n')
    until(part.ready)
    assert part.core.states.get("s0") is listed
    part.stop()
    pause(0.02)


def test_calls_are_accepted_without_an_answer_from_the_board(boards: list[Board]) -> None:
    raw: Any = json.loads((ROOT / "example/config.json").read_text())
    known = {"rev": 3, "notices": [json.loads(event(3, "up", full=True))]}
    settings = read_settings(raw["settings"])
    boards[0].ports[0].stopListening()
    pause(0.02)
    config = Config("n0", "127.0.0.1", 0, 1, boards[0].address, known, settings, Limits())
    deadlines, counters = parts()
    part = PlatformPart(Common(reactor, config, deadlines, config.limits, counters))
    part.start()
    until(part.ready)
    part.stop()
    pause(0.02)
