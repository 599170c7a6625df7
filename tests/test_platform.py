"""The platform's wire over loopback: a scripted caller, booker and the daemon's two sides between them."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from itertools import count
from typing import Any

import pytest
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from bitternbeam.core.control import CallControl
from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.connect import connect, listen
from bitternbeam.net.platform.back import BookerEndpoint, PlatformBack
from bitternbeam.net.platform.front import PlatformFront
from tests.loop import parts, pause, reactor, until
from tests.world import SETTINGS

ID, ID2 = "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655"
LIMITS = Limits(
    client_connections=4,
    booker_quarantine_us=300_000,
    client_first_request_us=400_000,
    booker_removal_grace_us=200_000,
    booker_skipped_answer_us=30_000,
)
LAUNCH_NUMBERS = count()
EXTRAS = "dest:0;width:1;via:-1"


class Peer(LineOnlyReceiver):
    """Collects what it is told."""

    delimiter = b"\n"
    transport: Any

    def __init__(self) -> None:
        self.got: list[dict[str, Any]] = []
        self.launches: dict[str, int] = {}  # set-ups, in the order in which all peers got theirs
        self.lost = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True

    def lineReceived(self, line: bytes) -> None:
        message = json.loads(line)
        self.got.append(message)
        if message["kind"] == "launch":
            self.launches.setdefault(message["uid"], next(LAUNCH_NUMBERS))

    def send(self, kind: str, uid: str, **more: Any) -> None:
        self.sendLine(json.dumps({"kind": kind, "uid": uid, "meta": {}, **more}).encode())

    def kinds(self, uid: str) -> list[tuple[str, Any]]:
        return [(m["kind"], m.get("reason")) for m in self.got if m["uid"] == uid]


class Stage:
    """One caller, one booker."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        deadlines, self.counters = parts()
        self.module = Controller(SETTINGS, 1)
        self.core = CallControl(self.module, SETTINGS, deadlines, limits, self.counters)
        self.back = PlatformBack(reactor, self.core, deadlines, limits, self.counters)
        self.core.attach(self.back)
        self.front = PlatformFront(self.core, deadlines, limits, self.counters)
        self.bookers: list[Peer] = []
        factory: Any = Factory()
        factory.buildProtocol = lambda _addr: self.bookers.append(Peer()) or self.bookers[-1]  # type: ignore[func-returns-value]
        self.ports: list[Any] = []
        listen(reactor, "127.0.0.1", 0, factory).addCallback(self.ports.append)
        listen(reactor, "127.0.0.1", 0, self.front).addCallback(self.ports.append)
        at = self.ports[0].getHost().port
        self.core.update_bookers(ListKind.CACHED, [SwitchEntry("s0", 0, SwitchState.READY)])
        self.back.update_endpoints([BookerEndpoint("s0", "127.0.0.1", at, SwitchState.READY, 0)], True)
        self.client = self.connect()
        until(lambda: self.bookers)

    def connect(self) -> Peer:
        """Connect one more caller."""
        made: list[Peer] = []
        port = self.ports[1].getHost().port
        connect(reactor, "127.0.0.1", port, 500_000, Peer).addCallback(made.append)
        until(lambda: made)
        return made[0]

    def request(self, client: Peer, uid: str, body: str = "v=0\r\n", **odd: Any) -> None:
        """Send a set-up, with some fields other than they should be."""
        meta = {"class": "low", "left": "3000", "key": "n", "extras": EXTRAS} | odd
        client.send("launch", uid, meta=meta, body=body)

    def set_up(self, uid: str) -> Peer:
        """Send a set-up and return the booker's end of the connection that it came on."""
        self.request(self.client, uid)
        until(lambda: self.peers(uid))
        return self.peers(uid)[-1]

    def peers(self, uid: str) -> list[Peer]:
        """Return the bookers' connections that a set-up came on, in that order."""
        found = [(one.launches[uid], one) for one in self.bookers if uid in one.launches]
        return [one for _, one in sorted(found, key=lambda pair: pair[0])]

    def close(self) -> None:
        """Close everything."""
        self.front.close_all()
        self.back.close_all()
        for port in self.ports:
            port.stopListening()
        pause(0.02)


@pytest.fixture
def stage() -> Iterator[Stage]:
    one = Stage()
    yield one
    one.close()


@pytest.mark.parametrize(("cause", "told"), [(16, 16), (41, 41)])
def test_a_call_stands_and_its_release_is_relayed(stage: Stage, cause: int, told: int) -> None:
    booker = stage.set_up(ID)
    assert booker.got[0]["body"] == "v=0\r\n" and 0 < int(booker.got[0]["meta"]["left"]) <= 1500
    booker.send("running", ID, body="v=1\r\n")
    booker.send("stop", ID, reason=cause)
    until(lambda: len(stage.client.kinds(ID)) == 2)
    assert stage.client.kinds(ID) == [("running", None), ("stop", told)]
    assert stage.client.got[0]["body"] == "v=1\r\n" and len(stage.core.calls) == 0


@pytest.mark.parametrize(("gateways", "most"), [(1, 12), (8, 12), (40, 2), (96, 1), (200, 1)])
def test_a_large_fleets_gateways_leave_each_other_connections(gateways: int, most: int) -> None:
    # One burst filled a booker's connections with spares that were kept; other gateways had none, for good.
    crowded = Stage(LIMITS.share_of_fleet(gateways))
    uids = [f"{number:016x}" for number in range(30)]
    for uid in uids:
        crowded.set_up(uid)
    pause(0.05)
    assert len(crowded.bookers) == most
    assert [len(crowded.peers(uid)) for uid in uids] == [1] * 30  # they share what there is
    crowded.close()


BAD_LINES = [b"{nonsense\n", b"[1]\n", b"{" + b"x" * 40_000, b'{"kind":"stop","meta":7}\n', b"\xff\xfe\n"]
NO_ID = [b'{"kind":"launch","meta":{}}\n', b'{"kind":"launch","uid":7}\n', b'{"kind":"odd","uid":"x"}\n']


@pytest.mark.parametrize("noise", [*BAD_LINES, *NO_ID, b'{"kind":"launch","uid":"9b1f', b""])
def test_a_caller_that_can_not_be_answered_is_closed_on(stage: Stage, noise: bytes) -> None:
    # It is owed an answer, an error or a close; and an endless line must not be read to its end.
    booker = stage.set_up(ID)
    other = stage.connect()
    other.transport.write(noise)
    until(lambda: other.lost)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    assert stage.client.kinds(ID) == [("running", None)]


INVALID_FIELDS: list[dict[str, Any]] = [
    {"class": "none"}, {"class": 3}, {"left": "-5"}, {"left": "nan"}, {"left": "1e12"}, {"left": "soon"},
    {"left": None}, {"key": 5}, {"key": "5" * 1000}, {"extras": "dest:0;width:-1"},
    {"extras": "dest:0;width:1e9"}, {"extras": "dest:-7;width:1"}, {"extras": "dest:x;width:1"},
    {"extras": 7}, {"body": 7},
]  # fmt: skip


@pytest.mark.parametrize("odd", INVALID_FIELDS, ids=str)
def test_figures_that_make_no_sense_are_answered_and_never_sent_on(stage: Stage, odd: dict[str, Any]) -> None:
    # A booker is not told the figures: it would answer, and nonsense would be served.
    stage.request(stage.client, ID, **odd)
    until(lambda: stage.client.got)
    assert stage.client.kinds(ID) == [("stop", 41)] and not stage.core.calls and not stage.peers(ID)
    stage.set_up(ID2)  # the connection is as good as before


def test_an_open_calls_id_that_comes_again_does_not_end_the_call(stage: Stage) -> None:
    # On its connection an answer could not be told from the open call's; elsewhere a close says enough.
    booker = stage.set_up(ID)
    other = stage.connect()
    stage.request(other, ID, body="another")
    until(lambda: other.lost)
    stage.request(stage.client, ID, body="another")
    stage.client.send("check", "t", reason=0)
    until(lambda: stage.client.kinds("t"))
    assert not stage.client.kinds(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.lost)
    assert stage.client.kinds(ID) == [("running", None)] and not other.got
    assert [one.kinds(ID) for one in stage.peers(ID)] == [[("launch", None)]]


@pytest.mark.parametrize("asks", [False, True], ids=["who say nothing", "who asked once and hold on"])
def test_callers_who_fill_the_limit_lock_nobody_out(stage: Stage, asks: bool) -> None:
    # Yet a connection on which a set-up is open must never make room.
    stage.set_up(ID)
    idle = [stage.connect() for _ in range(LIMITS.client_connections - 1)]
    for number, one in enumerate(idle if asks else ()):
        stage.request(one, f"{number:016x}", left="0")
        until(partial(one.got.__getitem__, slice(None)))
    stage.client = stage.connect()
    stage.set_up(ID2)
    until(lambda: idle[0].lost)
    assert not any(one.lost for one in idle[1:])
    assert stage.peers(ID)[0].kinds(ID) == [("launch", None)]  # not given up


def test_a_connection_just_made_is_not_the_first_to_make_room(stage: Stage) -> None:
    # Its set-up is on its way, while one that asked and holds on may be there for good.
    holder = stage.connect()
    stage.request(holder, ID2, left="0")
    until(lambda: holder.got)
    stage.request(stage.client, ID)
    young = [stage.connect() for _ in range(LIMITS.client_connections - 1)]
    until(lambda: holder.lost)
    assert not any(one.lost for one in young)


def test_who_holds_a_connection_after_a_call_is_no_silent_one(stage: Stage) -> None:
    stage.set_up(ID).send("running", ID, body="x")
    silent = stage.connect()
    until(lambda: silent.lost)
    pause(0.1)
    assert not stage.client.lost


def test_nobody_ends_another_callers_set_up(stage: Stage) -> None:
    booker = stage.set_up(ID)
    other = stage.connect()
    other.send("stop", ID, reason=16)
    other.send("check", "t", reason=0)
    until(lambda: other.kinds("t"))
    booker.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    other.send("stop", ID, reason=16)  # but a call that stands belongs to no connection
    until(lambda: booker.kinds(ID)[1:] == [("stop", 16)])
    # It may be a set-up given up as our answer crossed it: the call stood, and its end is told.
    until(lambda: stage.client.kinds(ID) == [("running", None), ("stop", 16)])


@pytest.mark.parametrize("first", [True, False], ids=["another is served", "the next is served"])
def test_a_release_whose_connection_has_gone_goes_to_one_that_was_served(stage: Stage, first: bool) -> None:
    # The others may all be bad clients', and what they are told never reaches the caller.
    stage.request(stage.connect(), "00000000000000b1")
    if first:
        stage.set_up(ID2).send("running", ID2, body="x")
        until(lambda: stage.client.got)
    gone = stage.connect()
    stage.request(gone, ID)
    until(lambda: stage.peers(ID))
    stage.peers(ID)[0].send("running", ID, body="x")
    until(lambda: gone.got)
    gone.transport.abortConnection()
    stage.connect().send("check", "t", reason=0)
    until(lambda: len(stage.front.connections) == 3)
    stage.peers(ID)[0].send("stop", ID, reason=16)
    if not first:
        stage.set_up(ID2).send("running", ID2, body="x")
    until(lambda: stage.client.kinds(ID))
    assert stage.client.kinds(ID) == [("stop", 16)]


# Bookers.


@pytest.mark.parametrize(
    "noise", [*BAD_LINES, f'{{"kind":"running","uid":"{ID}","body":7}}\n'.encode()], ids=lambda n: n[:12]
)
def test_a_booker_that_can_not_be_read_loses_its_connection_and_no_time(stage: Stage, noise: bytes) -> None:
    # The connection is of no further use: what was open on it would wait out its time for nothing.
    booker = stage.set_up(ID)
    booker.transport.write(noise)
    until(lambda: booker.lost and len(stage.peers(ID)) == 2)
    assert stage.counters["outcomes.cut"] == 1
    stage.peers(ID)[1].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    assert stage.client.kinds(ID) == [("running", None)]


def test_a_lost_connection_takes_one_set_up_along(stage: Stage) -> None:
    # Set-ups that share a connection are spoilt together.
    first = stage.set_up(ID)
    second = stage.set_up(ID2)
    first.transport.abortConnection()
    second.send("running", ID2, body="x")
    until(lambda: stage.client.kinds(ID2) and len(stage.peers(ID)) == 2)
    assert len(stage.peers(ID2)) == 1


def test_a_release_that_went_down_with_its_connection_comes_on_the_next_one(stage: Stage) -> None:
    # A booker sends it again on the next connection that is opened: with others left, none was.
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got and len(stage.bookers) == 2)
    pause(0.02)
    booker.transport.abortConnection()
    until(lambda: len(stage.bookers) == 3)
    stage.bookers[2].send("stop", ID, reason=16)
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])


def test_a_connection_that_is_passed_over_is_dropped(stage: Stage) -> None:
    # A booker answers in turn: the answer to a set-up that a much later one has overtaken will not come.
    first = stage.set_up(ID)
    pause(0.05)
    stage.set_up(ID2).send("running", ID2, body="x")
    until(lambda: first.lost and len(stage.peers(ID)) == 2)
    assert stage.counters["booker.set_aside.overtaken"] == 1
    assert first.kinds(ID) == [("launch", None), ("stop", 16)]


def test_a_connection_set_aside_as_silent_still_brings_releases(stage: Stage) -> None:
    # It was reset after 25 ms of silence with a release on its way, whose call then stood for ever.
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    stage.request(stage.client, ID2, left="400")
    until(lambda: stage.counters["booker.set_aside.silent"] == 1)
    assert stage.peers(ID2) == [booker] and not booker.lost
    booker.send("stop", ID, reason=16)
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])
    until(lambda: booker.lost)


SHORT_BAD_LINES = [one for one in BAD_LINES if len(one) < 1_000]


@pytest.mark.parametrize("noise", SHORT_BAD_LINES, ids=lambda one: one[:12])
def test_a_release_behind_a_line_that_can_not_be_read_is_heard(stage: Stage, noise: bytes) -> None:
    # The connection was reset with the release unread: its call stood for ever, and its caller never heard.
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    booker.transport.write(noise)
    booker.send("stop", ID, reason=16)
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])
    until(lambda: booker.lost)


def test_a_release_on_its_way_when_a_connection_set_aside_is_closed_is_heard(stage: Stage) -> None:
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    used = list(stage.back.pools["s0"].connections)
    stage.request(stage.client, ID2, left="400")
    until(lambda: stage.counters["booker.set_aside.silent"] == 1)
    (aside,) = (one.transport for one in used if one not in stage.back.pools["s0"].connections)
    aside.stopReading()  # what comes now lies unread until our side is closed, as in a busy moment
    booker.send("stop", ID, reason=16)
    until(lambda: stage.counters["booker.parted.silent"] == 1)
    aside.startReading()
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])
    until(lambda: booker.lost)


def on_heartbeat(peer: Peer, act: Any) -> None:
    """Let a booker's end do something when a test comes."""
    usual = peer.lineReceived

    def received(line: bytes) -> None:
        usual(line)
        if json.loads(line)["kind"] == "check":
            act()

    peer.lineReceived = received  # type: ignore[method-assign]


def test_a_connection_whose_reset_did_not_come_is_tested_beside_one_that_is_heard(stage: Stage) -> None:
    # Tests were passed on the other one, so that the booker seemed alive for as long as the list named it.
    dead = stage.set_up(ID)
    dead.send("running", ID, body="x")
    until(lambda: stage.client.got and len(stage.bookers) == 2)
    (other,) = (one for one in stage.bookers if one is not dead)
    on_heartbeat(dead, dead.transport.abortConnection)  # what a machine answers whose process has ended
    on_heartbeat(other, lambda: other.send("checked", "0" * 16, reason=1))
    end = time.monotonic() + 20
    while not dead.lost:
        assert time.monotonic() < end, "it was never tested"
        other.send("usage", "0" * 16)
        pause(0.1)


def test_a_refused_connection_has_the_others_tested_at_once(stage: Stage) -> None:
    first = stage.set_up(ID)
    first.send("running", ID, body="x")
    until(lambda: stage.client.got and len(stage.bookers) == 2)
    (second,) = (one for one in stage.bookers if one is not first)
    on_heartbeat(second, second.transport.abortConnection)
    stage.ports[0].stopListening()  # the process has ended, and only one reset comes through
    pause(0.02)
    first.transport.abortConnection()
    end = time.monotonic() + 10
    while stage.client.kinds(ID)[1:] != [("stop", 41)]:
        assert time.monotonic() < end, "the caller was never told"
        second.send("usage", "0" * 16)  # it is heard: only the refusal makes it suspect
        pause(0.1)


@pytest.mark.parametrize("teller", [0, 1])
def test_the_state_of_the_lines_is_heard_on_whichever_connection_it_comes(stage: Stage, teller: int) -> None:
    # A booker tells it on some of its connections, and no other report may come at all: heard on the first
    # alone, the lines told last were used up one by one, and then every call was refused beside idle lines.
    stage.set_up(ID)
    until(lambda: len(stage.bookers) == 2)
    told: list[Any] = []
    stage.core.report_received = lambda booker, report: told.append((booker, report.free_lines))  # type: ignore[method-assign]
    stage.bookers[teller].send("usage", "0" * 16, meta={"load": "free:0;size:9"})
    until(lambda: told)
    for booker in stage.bookers:
        booker.send("usage", "0" * 16, meta={"load": "free:7;size:9"})
    until(lambda: told[-1:] == [("s0", 7.0)])
    pause(0.05)
    assert told == [("s0", 0.0), ("s0", 7.0)]  # on two connections at once it is one report


REPORT, BARE = {"load": "hold_back:0.3"}, {"load": "nonsense"}
PROBES: list[tuple[list[dict[str, Any]], list[float | None], str]] = [
    ([REPORT], [0.3], "booker.probes"),
    ([REPORT, REPORT], [0.3], "booker.probes_unasked"),  # doubled
    ([BARE], [], "booker.probes_without_report"),
    ([{}], [], "booker.probes_without_report"),
    ([], [None], "booker.probes_lost"),  # never, and the booker says nothing else either
]


@pytest.mark.parametrize(("answers", "told", "counted"), PROBES)
def test_a_probe_is_answered_once_or_lost_and_each_odd_answer_is_counted(
    stage: Stage, answers: list[dict[str, Any]], told: list[float | None], counted: str
) -> None:
    # Where load is told in answers to probes alone, nothing carried the module's probes out.
    (booker,) = stage.bookers
    got: list[float | None] = []
    stage.core.probe_ended = lambda booker, took_us, report: got.append(report.shed_share if report else None)  # type: ignore[method-assign]
    probe = api.Probe("s0")
    stage.core.execute_action(probe)
    pause(0.05)
    assert not booker.got, "a probe without leave"
    stage.core.settings = replace(SETTINGS, may_probe=True)
    stage.core.execute_action(probe)
    stage.core.execute_action(probe)
    until(lambda: booker.got)
    asked = [(one["kind"], one["reason"]) for one in booker.got]
    assert asked == [("check", 1)], "one probe out a booker"
    for meta in answers:
        booker.send("checked", booker.got[0]["uid"], meta=meta, reason=1)
    until(lambda: stage.counters[counted])
    pause(0.05)
    assert got == told
    stage.core.execute_action(probe)
    until(lambda: len(booker.got) == 2)  # and then the next may go
    stage.core.update_bookers(ListKind.CHANGES, [SwitchEntry("s0", 0, SwitchState.DRAINING)])
    booker.send("checked", booker.got[1]["uid"], meta=REPORT, reason=1)
    until(lambda: len(got) == len(told) + 1)
    stage.core.execute_action(probe)
    pause(0.05)
    assert len(booker.got) == 2, "a probe to one that drains"


def test_a_lost_probe_of_a_booker_that_is_heard_tells_no_wait(stage: Stage) -> None:
    got: list[Any] = []
    stage.core.probe_ended = lambda *told: got.append(told)  # type: ignore[method-assign]
    stage.core.settings = replace(SETTINGS, may_probe=True)
    stage.core.execute_action(api.Probe("s0"))
    until(lambda: stage.bookers[0].got)
    stage.bookers[0].send("usage", "0" * 16, meta={"load": "free:3;size:9"})
    until(lambda: stage.counters["booker.probes_lost"])
    assert not got


@pytest.mark.parametrize("state", [SwitchState.DRAINING, SwitchState.READY])
def test_one_that_drains_and_refuses_is_not_called_again_until_it_is_ready(
    stage: Stage, state: SwitchState
) -> None:
    # Two hundred restarted controllers called each draining booker twice a second for nothing.
    at = stage.ports[0].getHost().port
    stage.back.update_endpoints([BookerEndpoint("s0", "127.0.0.1", at, state, 0)], False)
    stage.ports[0].stopListening()
    stage.bookers[0].transport.abortConnection()
    until(lambda: stage.counters["booker.no_connection"] > 0)
    pause(1.2)
    assert (stage.counters["booker.no_connection"] > 1) is (state is SwitchState.READY)
    factory = stage.ports[0].factory
    listen(reactor, "127.0.0.1", at, factory).addCallback(lambda port: stage.ports.__setitem__(0, port))
    stage.back.update_endpoints([BookerEndpoint("s0", "127.0.0.1", at, SwitchState.READY, 0)], False)
    until(lambda: len(stage.bookers) > 1)


def test_one_that_goes_on_with_nonsense_is_read_no_further(stage: Stage) -> None:
    booker = stage.set_up(ID)
    booker.transport.write(b"{nonsense\n")
    until(lambda: stage.counters["booker.parted.bad_line"] == 1)
    for _ in range(40):
        booker.transport.write(b"x" * 1_000 + b"\n")
    until(lambda: stage.counters["booker.dropped.nonsense"] == 1 and booker.lost)


def test_a_short_silence_is_no_reason_to_leave_a_connection(stage: Stage) -> None:
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    stage.request(stage.client, ID2, left="80")  # less than its margin of 60 ms and the 30 ms of a silence
    until(lambda: stage.client.kinds(ID2))
    assert not stage.counters["booker.set_aside.silent"]


def test_a_booker_that_resets_every_new_connection_is_not_called_in_a_tight_loop(stage: Stage) -> None:
    for known in range(1, 5):  # a few in a row are bad luck, and a call may wait
        until(lambda known=known: len(stage.bookers) == known)  # type: ignore[misc]
        pause(0.02)
        stage.bookers[-1].transport.abortConnection()
    pause(LIMITS.booker_retry_us / 1e6 / 2)
    assert len(stage.bookers) == 4
    until(lambda: len(stage.bookers) == 5)


def test_second_copies_and_unknown_ids_harm_nobody(stage: Stage) -> None:
    booker = stage.set_up(ID)
    for uid in (ID2, ID, ID):
        booker.send("running", uid, body="x")
    booker.send("stop", ID2, reason=41)
    other = next(one for one in stage.bookers if one is not booker)
    stage.set_up(ID2)
    other.send("running", ID2, body="not its own") if other not in stage.peers(ID2) else None
    stage.peers(ID2)[0].send("running", ID2, body="x")
    until(lambda: stage.client.kinds(ID2))
    assert [m["body"] for m in stage.client.got] == ["x", "x"] and not booker.lost


@pytest.mark.parametrize("stands", [True, False])
def test_a_booker_that_says_a_call_was_cut_is_not_taken_for_dead(stage: Stage, stands: bool) -> None:
    # It loses lines, not its process: held against it, it was left single trials.
    booker = stage.set_up(ID)
    if stands:
        booker.send("running", ID, body="x")
    booker.send("stop", ID, reason=41)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    assert not stage.module.switches["s0"].suspect


def test_a_dead_booker_cuts_what_stood_there(stage: Stage) -> None:
    stage.set_up(ID).send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    stage.ports[0].stopListening()
    for one in stage.bookers:
        one.transport.abortConnection()
    until(lambda: len(stage.client.kinds(ID)) == 2)
    assert stage.client.kinds(ID)[1] == ("stop", 41)


def test_a_caller_that_gives_up_is_owed_nothing_and_the_booker_is_told(stage: Stage) -> None:
    booker = stage.set_up(ID)
    stage.client.send("stop", ID, reason=16)
    until(lambda: booker.kinds(ID)[1:] == [("stop", 16)])
    assert not stage.client.got and not stage.core.calls


def test_nothing_is_kept_of_bookers_callers_and_calls_that_have_gone(stage: Stage) -> None:
    # Bookers, ids and connections are new all day: what is kept of each would fill the memory.
    port = stage.ports[0].getHost().port
    for number in range(1, 6):
        uid, name, caller = f"{number:016x}", f"s{number}", stage.connect()

        def tell(state: SwitchState, name: str = name, cell: int = number) -> None:
            stage.core.update_bookers(ListKind.CHANGES, [SwitchEntry(name, cell, state)])
            stage.back.update_endpoints([BookerEndpoint(name, "127.0.0.1", port, state, 0)], False)

        tell(SwitchState.READY)
        stage.request(caller, uid, extras=f"dest:{number};width:1;via:-1")
        until(partial(stage.peers, uid))
        tell(SwitchState.DRAINING)
        stage.peers(uid)[0].send("running", uid, body="x")
        until(partial(caller.got.__getitem__, slice(None)))
        stage.peers(uid)[0].send("stop", uid, reason=16)
        until(partial(caller.got.__getitem__, slice(1, None)))
        tell(SwitchState.GONE)
        caller.transport.loseConnection()
    assert stage.module.answered_by_cell == dict.fromkeys(range(1, 6), 1)
    until(lambda: len(stage.back.pools) == 1 and len(stage.front.connections) == 1)
    until(lambda: not stage.module.answered_by_cell)  # it looks once an interval
    assert not stage.back.requests and not stage.core.calls and not stage.core.by_uid
    assert len(stage.front.requests) == 0 and not stage.front.idle_connections.idle
    assert not any(stage.front.requests.find(f"{number:016x}") for number in range(1, 6))
    assert not stage.module.calls and not stage.module.calls_by_timer and list(stage.core.states) == ["s0"]
    assert list(stage.module.switches) == ["s0"] and not stage.module.first_try_times_us.keys() - {"n"}


class LivePeer(Peer):
    """A booker's connection that passes tests, as a live booker does."""

    def lineReceived(self, line: bytes) -> None:
        super().lineReceived(line)
        if self.got[-1]["kind"] == "check":
            self.send("checked", self.got[-1]["uid"], reason=1)


@pytest.mark.parametrize("alive", [False, True])
def test_a_booker_that_refuses_new_connections_beside_silent_ones_is_dead_only_if_it_fails_a_test(
    stage: Stage, alive: bool
) -> None:
    # Its process died and left its connections open and silent: refused beside them was taken for full,
    # and the call that stood there was never told as cut (mass bench, herd day: lost, 8 s after its end).
    # A live booker that is merely full passes the test and keeps its call.
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    if alive:
        for one in stage.bookers:
            one.__class__ = LivePeer
    stage.ports[0].stopListening()
    started = time.monotonic()
    if alive:
        pause(2 * LIMITS.booker_silent_us / 1e6)
        assert stage.client.kinds(ID) == [("running", None)]
        assert any(m["kind"] == "check" for one in stage.bookers for m in one.got)
    else:
        until(lambda: len(stage.client.kinds(ID)) == 2, 7.5)  # within the 8 s that the rule allows
        assert stage.client.kinds(ID)[1] == ("stop", 41)
        assert time.monotonic() - started < 7.5
