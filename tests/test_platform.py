"""The platform's protocol over loopback, between a scripted client and a scripted booker."""

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
    """Collects the messages that it receives."""

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
    """The platform's front and back between one client and one booker."""

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
        """Connect one more client."""
        made: list[Peer] = []
        port = self.ports[1].getHost().port
        connect(reactor, "127.0.0.1", port, 500_000, Peer).addCallback(made.append)
        until(lambda: made)
        return made[0]

    def request(self, client: Peer, uid: str, body: str = "v=0\r\n", **odd: Any) -> None:
        """Send a set-up, with some fields changed."""
        meta = {"class": "low", "left": "3000", "key": "n", "extras": EXTRAS} | odd
        client.send("launch", uid, meta=meta, body=body)

    def set_up(self, uid: str) -> Peer:
        """Send a set-up and return the booker's end of the connection on which it arrived."""
        self.request(self.client, uid)
        until(lambda: self.peers(uid))
        return self.peers(uid)[-1]

    def peers(self, uid: str) -> list[Peer]:
        """Return the booker connections on which a set-up arrived, in order of arrival."""
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


@pytest.mark.parametrize(("cause", "relayed"), [(16, 16), (41, 41)])
def test_a_call_stands_and_its_release_is_relayed(stage: Stage, cause: int, relayed: int) -> None:
    booker = stage.set_up(ID)
    assert booker.got[0]["body"] == "v=0\r\n" and 0 < int(booker.got[0]["meta"]["left"]) <= 1500
    booker.send("running", ID, body="v=1\r\n")
    booker.send("stop", ID, reason=cause)
    until(lambda: len(stage.client.kinds(ID)) == 2)
    assert stage.client.kinds(ID) == [("running", None), ("stop", relayed)]
    assert stage.client.got[0]["body"] == "v=1\r\n" and len(stage.core.calls) == 0


@pytest.mark.parametrize(("gateways", "most"), [(1, 12), (8, 12), (40, 2), (96, 1), (200, 1)])
def test_instances_share_a_bookers_connection_limit(gateways: int, most: int) -> None:
    # Otherwise one instance's burst fills the booker's connections with spares, and others get none.
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
def test_a_client_sending_malformed_input_is_closed(stage: Stage, noise: bytes) -> None:
    # The client must get an answer, an error or a close, and an endless line must not be read to its end.
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
def test_requests_with_invalid_fields_fail_and_are_never_sent_on(stage: Stage, odd: dict[str, Any]) -> None:
    # Bookers do not receive the extras, so they would accept a request with invalid ones.
    stage.request(stage.client, ID, **odd)
    until(lambda: stage.client.got)
    assert stage.client.kinds(ID) == [("stop", 41)] and not stage.core.calls and not stage.peers(ID)
    stage.set_up(ID2)  # the connection is as good as before


def test_a_duplicate_of_an_open_id_does_not_end_the_call(stage: Stage) -> None:
    # On the same connection a second answer could not be told from the open call's; others are closed.
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


@pytest.mark.parametrize("asks", [False, True], ids=["silent", "idle after a request"])
def test_idle_clients_at_the_limit_are_evicted(stage: Stage, asks: bool) -> None:
    # A connection with an open set-up must never be evicted.
    stage.set_up(ID)
    idle = [stage.connect() for _ in range(LIMITS.client_connections - 1)]
    for number, one in enumerate(idle if asks else ()):
        stage.request(one, f"{number:016x}", left="0")
        until(partial(one.got.__getitem__, slice(None)))
    stage.client = stage.connect()
    stage.set_up(ID2)
    until(lambda: idle[0].lost)
    assert not any(one.lost for one in idle[1:])
    assert stage.peers(ID)[0].kinds(ID) == [("launch", None)]  # not cancelled


def test_a_new_connection_is_not_evicted_first(stage: Stage) -> None:
    # Its set-up is on its way, while a connection kept open after an answer may stay for good.
    holder = stage.connect()
    stage.request(holder, ID2, left="0")
    until(lambda: holder.got)
    stage.request(stage.client, ID)
    young = [stage.connect() for _ in range(LIMITS.client_connections - 1)]
    until(lambda: holder.lost)
    assert not any(one.lost for one in young)


def test_an_idle_client_with_a_call_is_not_closed_as_silent(stage: Stage) -> None:
    stage.set_up(ID).send("running", ID, body="x")
    silent = stage.connect()
    until(lambda: silent.lost)
    pause(0.1)
    assert not stage.client.lost


def test_a_client_cannot_cancel_another_clients_set_up(stage: Stage) -> None:
    booker = stage.set_up(ID)
    other = stage.connect()
    other.send("stop", ID, reason=16)
    other.send("check", "t", reason=0)
    until(lambda: other.kinds("t"))
    booker.send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    other.send("stop", ID, reason=16)  # an established call belongs to no connection
    until(lambda: booker.kinds(ID)[1:] == [("stop", 16)])
    # A cancel may have crossed our answer: the call was established, so its release is sent.
    until(lambda: stage.client.kinds(ID) == [("running", None), ("stop", 16)])


@pytest.mark.parametrize("first", [True, False], ids=["another is served", "the next is served"])
def test_a_release_goes_to_a_served_connection_if_its_own_is_closed(stage: Stage, first: bool) -> None:
    # Other connections may belong to faulty clients, and a release sent there would be lost.
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
def test_a_malformed_booker_line_fails_its_attempts_at_once(stage: Stage, noise: bytes) -> None:
    # The connection can't be parsed further: attempts pending on it would wait until they time out.
    booker = stage.set_up(ID)
    booker.transport.write(noise)
    until(lambda: booker.lost and len(stage.peers(ID)) == 2)
    assert stage.counters["outcomes.cut"] == 1
    stage.peers(ID)[1].send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    assert stage.client.kinds(ID) == [("running", None)]


def test_a_lost_connection_fails_only_its_own_set_up(stage: Stage) -> None:
    # Set-ups that share a connection fail together.
    first = stage.set_up(ID)
    second = stage.set_up(ID2)
    first.transport.abortConnection()
    second.send("running", ID2, body="x")
    until(lambda: stage.client.kinds(ID2) and len(stage.peers(ID)) == 2)
    assert len(stage.peers(ID2)) == 1


def test_a_release_lost_with_its_connection_arrives_on_the_next_one(stage: Stage) -> None:
    # The booker repeats it on the next new connection, so one must be opened even if others are left.
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got and len(stage.bookers) == 2)
    pause(0.02)
    booker.transport.abortConnection()
    until(lambda: len(stage.bookers) == 3)
    stage.bookers[2].send("stop", ID, reason=16)
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])


def test_a_connection_whose_answer_was_skipped_is_retired(stage: Stage) -> None:
    # A booker answers in order: once a much later set-up is answered, the earlier answer will not come.
    first = stage.set_up(ID)
    pause(0.05)
    stage.set_up(ID2).send("running", ID2, body="x")
    until(lambda: first.lost and len(stage.peers(ID)) == 2)
    assert stage.counters["booker.set_aside.overtaken"] == 1
    assert first.kinds(ID) == [("launch", None), ("stop", 16)]


def test_a_connection_retired_as_silent_still_delivers_releases(stage: Stage) -> None:
    # A reset after 25 ms of silence lost a release on its way, and its call never ended.
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
def test_a_release_after_a_malformed_line_is_handled(stage: Stage, noise: bytes) -> None:
    # A reset with the release unread lost it: the call never ended, and its client was not notified.
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    booker.transport.write(noise)
    booker.send("stop", ID, reason=16)
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])
    until(lambda: booker.lost)


def test_a_release_crossing_the_close_of_a_retired_connection_is_handled(stage: Stage) -> None:
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    used = list(stage.back.pools["s0"].connections)
    stage.request(stage.client, ID2, left="400")
    until(lambda: stage.counters["booker.set_aside.silent"] == 1)
    (aside,) = (one.transport for one in used if one not in stage.back.pools["s0"].connections)
    aside.stopReading()  # input stays unread until our side is closed, as under load
    booker.send("stop", ID, reason=16)
    until(lambda: stage.counters["booker.parted.silent"] == 1)
    aside.startReading()
    until(lambda: stage.client.kinds(ID)[1:] == [("stop", 16)])
    until(lambda: booker.lost)


def on_heartbeat(peer: Peer, act: Any) -> None:
    """Let a booker's connection call `act` when a heartbeat arrives."""
    usual = peer.lineReceived

    def received(line: bytes) -> None:
        usual(line)
        if json.loads(line)["kind"] == "check":
            act()

    peer.lineReceived = received  # type: ignore[method-assign]


def test_a_quiet_connection_gets_heartbeats_beside_an_active_one(stage: Stage) -> None:
    # Heartbeats answered on another connection made the booker seem alive for as long as it was listed.
    dead = stage.set_up(ID)
    dead.send("running", ID, body="x")
    until(lambda: stage.client.got and len(stage.bookers) == 2)
    (other,) = (one for one in stage.bookers if one is not dead)
    on_heartbeat(dead, dead.transport.abortConnection)  # as the host does when the process has ended
    on_heartbeat(other, lambda: other.send("checked", "0" * 16, reason=1))
    end = time.monotonic() + 20
    while not dead.lost:
        assert time.monotonic() < end, "no heartbeat arrived"
        other.send("usage", "0" * 16)
        pause(0.1)


def test_a_refused_connect_sends_heartbeats_on_the_others_at_once(stage: Stage) -> None:
    first = stage.set_up(ID)
    first.send("running", ID, body="x")
    until(lambda: stage.client.got and len(stage.bookers) == 2)
    (second,) = (one for one in stage.bookers if one is not first)
    on_heartbeat(second, second.transport.abortConnection)
    stage.ports[0].stopListening()  # the process has ended, and only one reset arrives
    pause(0.02)
    first.transport.abortConnection()
    end = time.monotonic() + 10
    while stage.client.kinds(ID)[1:] != [("stop", 41)]:
        assert time.monotonic() < end, "the client never got the release"
        second.send("usage", "0" * 16)  # it is alive: only the refusal makes it suspect
        pause(0.1)


@pytest.mark.parametrize("teller", [0, 1])
def test_load_reports_are_handled_on_any_connection(stage: Stage, teller: int) -> None:
    # A booker reports on some of its connections only. Listening on the first alone, the core used up the
    # free lines last reported one by one, and then refused every call beside idle lines.
    stage.set_up(ID)
    until(lambda: len(stage.bookers) == 2)
    reports: list[Any] = []
    stage.core.report_received = lambda booker, report: reports.append((booker, report.free_lines))  # type: ignore[method-assign]
    stage.bookers[teller].send("usage", "0" * 16, meta={"load": "free:0;size:9"})
    until(lambda: reports)
    for booker in stage.bookers:
        booker.send("usage", "0" * 16, meta={"load": "free:7;size:9"})
    until(lambda: reports[-1:] == [("s0", 7.0)])
    pause(0.05)
    assert reports == [("s0", 0.0), ("s0", 7.0)]  # equal reports on two connections count once


REPORT, BARE = {"load": "hold_back:0.3"}, {"load": "nonsense"}
PROBES: list[tuple[list[dict[str, Any]], list[float | None], str]] = [
    ([REPORT], [0.3], "booker.probes"),
    ([REPORT, REPORT], [0.3], "booker.probes_unasked"),  # doubled
    ([BARE], [], "booker.probes_without_report"),
    ([{}], [], "booker.probes_without_report"),
    ([], [None], "booker.probes_lost"),  # no answer, and nothing else from the booker
]


@pytest.mark.parametrize(("answers", "expected", "counter"), PROBES)
def test_a_probe_is_answered_once_or_lost_and_odd_answers_are_counted(
    stage: Stage, answers: list[dict[str, Any]], expected: list[float | None], counter: str
) -> None:
    # Some bookers report their load only in answers to probes, so the module's probes must be sent.
    (booker,) = stage.bookers
    got: list[float | None] = []
    stage.core.probe_ended = lambda booker, took_us, report: got.append(report.shed_share if report else None)  # type: ignore[method-assign]
    probe = api.Probe("s0")
    stage.core.execute_action(probe)
    pause(0.05)
    assert not booker.got, "a probe although may_probe is false"
    stage.core.settings = replace(SETTINGS, may_probe=True)
    stage.core.execute_action(probe)
    stage.core.execute_action(probe)
    until(lambda: booker.got)
    asked = [(one["kind"], one["reason"]) for one in booker.got]
    assert asked == [("check", 1)], "one pending probe per booker"
    for meta in answers:
        booker.send("checked", booker.got[0]["uid"], meta=meta, reason=1)
    until(lambda: stage.counters[counter])
    pause(0.05)
    assert got == expected
    stage.core.execute_action(probe)
    until(lambda: len(booker.got) == 2)  # and then the next may go
    stage.core.update_bookers(ListKind.CHANGES, [SwitchEntry("s0", 0, SwitchState.DRAINING)])
    booker.send("checked", booker.got[1]["uid"], meta=REPORT, reason=1)
    until(lambda: len(got) == len(expected) + 1)
    stage.core.execute_action(probe)
    pause(0.05)
    assert len(booker.got) == 2, "a probe to a draining booker"


def test_a_lost_probe_of_an_active_booker_reports_no_time(stage: Stage) -> None:
    got: list[Any] = []
    stage.core.probe_ended = lambda *ended: got.append(ended)  # type: ignore[method-assign]
    stage.core.settings = replace(SETTINGS, may_probe=True)
    stage.core.execute_action(api.Probe("s0"))
    until(lambda: stage.bookers[0].got)
    stage.bookers[0].send("usage", "0" * 16, meta={"load": "free:3;size:9"})
    until(lambda: stage.counters["booker.probes_lost"])
    assert not got


@pytest.mark.parametrize("state", [SwitchState.DRAINING, SwitchState.READY])
def test_a_draining_booker_that_refuses_gets_no_reconnects_until_ready(
    stage: Stage, state: SwitchState
) -> None:
    # 200 restarted instances reconnected to each draining booker twice a second for nothing.
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


def test_a_booker_that_keeps_sending_garbage_is_disconnected(stage: Stage) -> None:
    booker = stage.set_up(ID)
    booker.transport.write(b"{nonsense\n")
    until(lambda: stage.counters["booker.parted.bad_line"] == 1)
    for _ in range(40):
        booker.transport.write(b"x" * 1_000 + b"\n")
    until(lambda: stage.counters["booker.dropped.nonsense"] == 1 and booker.lost)


def test_a_short_silence_does_not_retire_a_connection(stage: Stage) -> None:
    booker = stage.set_up(ID)
    booker.send("running", ID, body="x")
    until(lambda: stage.client.got)
    stage.request(stage.client, ID2, left="80")  # less than its margin of 60 ms and the 30 ms of a silence
    until(lambda: stage.client.kinds(ID2))
    assert not stage.counters["booker.set_aside.silent"]


def test_reconnects_are_delayed_after_repeated_resets(stage: Stage) -> None:
    for known in range(1, 5):  # a few in a row are bad luck, and a call may wait
        until(lambda known=known: len(stage.bookers) == known)  # type: ignore[misc]
        pause(0.02)
        stage.bookers[-1].transport.abortConnection()
    pause(LIMITS.booker_retry_us / 1e6 / 2)
    assert len(stage.bookers) == 4
    until(lambda: len(stage.bookers) == 5)


def test_duplicate_answers_and_unknown_ids_are_ignored(stage: Stage) -> None:
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
def test_a_booker_that_reports_a_cut_call_is_not_suspect(stage: Stage, stands: bool) -> None:
    # It lost lines, not its process; taken for dead, it would get single trial calls only.
    booker = stage.set_up(ID)
    if stands:
        booker.send("running", ID, body="x")
    booker.send("stop", ID, reason=41)
    until(lambda: stage.counters["outcomes.cut"] == 1)
    assert not stage.module.switches["s0"].suspect


def test_a_dead_bookers_calls_are_cut(stage: Stage) -> None:
    stage.set_up(ID).send("running", ID, body="x")
    until(lambda: stage.client.kinds(ID))
    stage.ports[0].stopListening()
    for one in stage.bookers:
        one.transport.abortConnection()
    until(lambda: len(stage.client.kinds(ID)) == 2)
    assert stage.client.kinds(ID)[1] == ("stop", 41)


def test_a_cancel_is_not_answered_and_reaches_the_booker(stage: Stage) -> None:
    booker = stage.set_up(ID)
    stage.client.send("stop", ID, reason=16)
    until(lambda: booker.kinds(ID)[1:] == [("stop", 16)])
    assert not stage.client.got and not stage.core.calls


def test_no_state_is_kept_of_removed_bookers_clients_and_calls() -> None:
    # Bookers, ids and connections change all day: state kept for each would fill the memory.
    stage = Stage(replace(LIMITS, client_first_request_us=60_000_000))  # its own client sends nothing
    port = stage.ports[0].getHost().port
    for number in range(1, 6):
        uid, name, client = f"{number:016x}", f"s{number}", stage.connect()

        def tell(state: SwitchState, name: str = name, cell: int = number) -> None:
            stage.core.update_bookers(ListKind.CHANGES, [SwitchEntry(name, cell, state)])
            stage.back.update_endpoints([BookerEndpoint(name, "127.0.0.1", port, state, 0)], False)

        tell(SwitchState.READY)
        stage.request(client, uid, extras=f"dest:{number};width:1;via:-1")
        until(partial(stage.peers, uid))
        tell(SwitchState.DRAINING)
        stage.peers(uid)[0].send("running", uid, body="x")
        until(partial(client.got.__getitem__, slice(None)))
        stage.peers(uid)[0].send("stop", uid, reason=16)
        until(partial(client.got.__getitem__, slice(1, None)))
        assert stage.module.answered_by_cell[number] == 1
        tell(SwitchState.GONE)
        client.transport.loseConnection()
    until(lambda: len(stage.back.pools) == 1 and len(stage.front.connections) == 1)
    until(lambda: not stage.module.answered_by_cell)  # it looks once an interval
    assert not stage.back.requests and not stage.core.calls and not stage.core.by_uid
    assert len(stage.front.requests) == 0 and not stage.front.idle_connections.idle
    assert not any(stage.front.requests.find(f"{number:016x}") for number in range(1, 6))
    assert not stage.module.calls and not stage.module.calls_by_timer and list(stage.core.states) == ["s0"]
    assert list(stage.module.switches) == ["s0"] and not stage.module.first_try_times_us.keys() - {"n"}
    stage.close()


class LivePeer(Peer):
    """A booker's connection that answers heartbeats, as a live booker does."""

    def lineReceived(self, line: bytes) -> None:
        super().lineReceived(line)
        if self.got[-1]["kind"] == "check":
            self.send("checked", self.got[-1]["uid"], reason=1)


@pytest.mark.parametrize("alive", [False, True])
def test_a_booker_that_refuses_connects_is_dead_only_if_heartbeats_fail(stage: Stage, alive: bool) -> None:
    # A process died and left its connections open and silent. The refusal beside them was taken for a full
    # booker, and its call was not reported as cut within the 8 s allowed (mass bench, herd day). A live
    # booker that is merely full answers the heartbeat and keeps its call.
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
