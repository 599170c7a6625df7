"""The connections to all servers stay within their descriptors, and a lack of ours is no server's fault."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.protocol import Factory

from bitternbeam.core.calls import Attempt, AttemptEnd, Offer
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.connect import listen
from bitternbeam.net.platform.back import BookerEndpoint, PlatformBack
from tests.loop import pause, reactor, until
from tests.manual_clock import ManualClock
from tests.test_platform import ID, Peer


class RecordingCore:
    """Keeps what the back tells."""

    def __init__(self) -> None:
        self.ends: list[tuple[str, Outcome]] = []
        self.accepted: list[str] = []

    def attempt_written(self, attempt: Attempt) -> None:
        pass

    def may_write(self, attempt: Attempt) -> bool:
        return True

    def attempt_answered(self, attempt: Attempt, body: object) -> bool:
        self.accepted.append(attempt.offer.uid)
        return True

    def attempt_ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        self.ends.append((attempt.offer.uid, end.outcome))

    def report_received(self, *_: Any) -> None:
        pass

    probe_ended = report_received


class UpstreamHarness:
    """A back and three servers."""

    def __init__(self, **limits: int) -> None:
        self.limits = Limits(**limits)
        self.clock = ManualClock()
        self.core = RecordingCore()
        self.counters = Counters()
        core: Any = self.core
        self.back = PlatformBack(reactor, core, self.clock.deadlines, self.limits, self.counters)
        self.peers: list[list[Peer]] = [[], [], []]
        self.ports: list[Any] = []
        for peers in self.peers:
            factory: Any = Factory()
            factory.buildProtocol = lambda _addr, mine=peers: mine.append(Peer()) or mine[-1]
            listen(reactor, "127.0.0.1", 0, factory).addCallback(self.ports.append)

    def endpoint(self, number: int, state: SwitchState = SwitchState.READY) -> BookerEndpoint:
        return BookerEndpoint(f"s{number}", "127.0.0.1", self.ports[number].getHost().port, state, 0)

    def list_all(self) -> None:
        self.back.update_endpoints([self.endpoint(number) for number in range(3)], True)

    def set_up(self, uid: str, server: int) -> None:
        offer = Offer(uid, "low", 0, 3_000_000, self.clock.now_us(), "n", "v=0")
        self.back.set_up(Attempt(1, 0, f"s{server}", offer, 1_500_000, self.clock.now_us()))

    def open_connections(self) -> list[int]:
        return [sum(not one.lost for one in peers) for peers in self.peers]

    def close(self) -> None:
        self.back.close_all()
        for port in self.ports:
            port.stopListening()
        pause(0.02)


@pytest.fixture
def rig() -> Iterator[UpstreamHarness]:
    one = UpstreamHarness(upstream_connections=2)
    yield one
    one.close()


def test_past_the_share_no_connection_is_made_and_a_request_goes_elsewhere(rig: UpstreamHarness) -> None:
    rig.list_all()
    until(lambda: rig.open_connections() == [1, 1, 0])
    rig.set_up(ID, 2)
    assert rig.core.ends == [(ID, Outcome.NO_CONNECTION)]  # at once, so that another server is asked
    for _ in range(10):
        rig.clock.advance(rig.limits.booker_retry_us)
        pause(0.005)
        assert rig.back.descriptor_quota.in_use == 2 and rig.open_connections() == [1, 1, 0]
    assert rig.counters["booker.no_descriptor"] >= 10


def test_a_connection_that_closes_makes_room_for_another_server(rig: UpstreamHarness) -> None:
    rig.list_all()
    until(lambda: rig.open_connections() == [1, 1, 0])
    rig.back.update_endpoints([rig.endpoint(0, SwitchState.GONE)], False)
    rig.clock.advance(rig.limits.booker_removal_grace_us)
    until(lambda: rig.back.descriptor_quota.in_use == 1)
    rig.clock.advance(rig.limits.booker_retry_us)
    until(lambda: rig.open_connections() == [0, 1, 1])
    assert rig.back.descriptor_quota.in_use == 2
    rig.close()
    assert rig.back.descriptor_quota.in_use == 0


def test_one_server_gets_no_more_than_its_part() -> None:
    rig = UpstreamHarness(upstream_connections=7)
    rig.list_all()
    until(lambda: rig.open_connections() == [1, 1, 1])
    for number in range(6):
        rig.set_up(f"{number:016x}", 0)
        pause(0.02)
    assert rig.open_connections() == [2, 1, 1]
    rig.close()


def establish_silent_call(rig: UpstreamHarness) -> None:
    """Let a call stand at the first server, which then says nothing for so long that it is looked after."""
    rig.list_all()
    until(lambda: rig.open_connections()[0] == 1)
    rig.set_up(ID, 0)
    until(lambda: ID in rig.peers[0][0].launches)
    rig.peers[0][0].send("running", ID, body="x")
    until(lambda: rig.core.accepted)


def test_a_lack_of_descriptors_cuts_no_call_that_stands(rig: UpstreamHarness) -> None:
    establish_silent_call(rig)
    rig.clock.advance(rig.limits.booker_silent_us + 2 * rig.limits.booker_retry_us)
    pause(0.02)
    assert rig.counters["booker.no_descriptor"] and not rig.core.ends and rig.open_connections()[0] == 1
    rig.peers[0][0].send("stop", ID, reason=16)
    until(lambda: rig.core.ends == [(ID, Outcome.SERVED)])


def test_a_socket_that_the_system_refuses_cuts_no_call_that_stands() -> None:
    rig = UpstreamHarness(booker_connections=1)
    establish_silent_call(rig)
    until(lambda: rig.open_connections() == [1, 1, 1])
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    first_free = os.dup(0)
    os.close(first_free)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, limits[1]))
        rig.clock.advance(rig.limits.booker_silent_us + 2 * rig.limits.booker_retry_us)
        until(lambda: rig.counters["booker.no_connection"] >= 1)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    assert not rig.core.ends and rig.open_connections()[0] == 1
    rig.close()
