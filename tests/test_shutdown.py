"""A shutdown's crossings over loopback: whatever has arrived by the close is answered, in every order.

The clock is moved by hand and the reactor turns only where a test lets it: what a client writes while it
stands is in the kernel, unread, when the close comes.
"""

from __future__ import annotations

import json
import os
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bitternbeam.config import read_config
from bitternbeam.counters import Counters
from bitternbeam.wiring.parts import Common
from bitternbeam.wiring.platform import PlatformPart
from bitternbeam.wiring.shutdown import Lifecycle, Phase
from tests.loop import pause, reactor, until
from tests.manual_clock import ManualClock
from tests.test_admin import free_port
from tests.test_board import Board, boards, event
from tests.test_daemon import configuration, one_booker, start
from tests.test_platform import EXTRAS, ID, ID2

__all__ = ["boards"]
MS = 1_000


def request(uid: str = ID) -> bytes:
    meta = {"class": "slot-lookup", "left": "3000", "key": "n", "extras": EXTRAS}
    return json.dumps({"kind": "launch", "uid": uid, "meta": meta, "body": "v=0"}).encode() + b"\n"


def check(uid: str = ID) -> bytes:
    return json.dumps({"kind": "check", "uid": uid, "meta": {}, "reason": 0}).encode() + b"\n"


class Client:
    """A raw connection: what it writes is in the kernel when `write` returns."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.socket.setblocking(False)
        self.got = b""
        self.ended = False

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    def read(self) -> list[dict[str, Any]]:
        """Return what has come so far; a reset raises ConnectionResetError."""
        try:
            while data := self.socket.recv(65536):
                self.got += data
            self.ended = True
        except BlockingIOError:
            pass
        return [json.loads(line) for line in self.got.splitlines()]

    def answers(self) -> list[tuple[str, str, Any]]:
        return [(one["kind"], one["uid"], one.get("reason")) for one in self.read()]

    def at_end(self) -> list[tuple[str, str, Any]]:
        """Return all answers once the other side has ended."""

        def ended() -> bool:
            self.read()
            return self.ended

        until(ended)
        return self.answers()


class Process:
    """The platform's part under a lifecycle, as in `run`, but on a clock that stands."""

    def __init__(self, folder: Path, board: str = "", inherited: int | None = None, **more: Any) -> None:
        path = folder / "config.json"
        if not path.exists():
            path.write_text(json.dumps(configuration(event(3, "up", full=True))))
        raw = json.loads(path.read_text()) | more
        # Where no board answers, the process listens as soon as it is refused.
        path.write_text(json.dumps(raw | {"board": board or f"127.0.0.1:{free_port()}"}))
        environment = {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:0"}
        if inherited is not None:
            environment["GW_INHERITED_FD"] = str(inherited)
        config = read_config(environment)
        self.clock = ManualClock()
        self.counters = Counters()
        self.part = PlatformPart(Common(reactor, config, self.clock.deadlines, config.limits, self.counters))
        self.life = Lifecycle([self.part], self.clock.deadlines, config.limits)
        self.part.start().addCallback(lambda _: self.life.started())
        self.clients: list[Client] = []

    def phase(self) -> Phase:
        return self.life.phase

    def serving(self) -> Process:
        until(lambda: self.phase() is Phase.SERVING)
        self.port = self.part.port.getHost().port
        return self

    def dial(self, accepted: bool = True) -> Client:
        """Connect; unless accepted, the connection stays in the listen queue."""
        count = self.counters["client.connections"]
        self.clients.append(Client(self.port))
        if accepted:
            until(lambda: self.counters["client.connections"] > count)
        return self.clients[-1]

    def close(self) -> None:
        """Let the time of the shutdown pass, the reactor standing: nothing is read on the way."""
        self.life.terminate()
        self.clock.advance(700 * MS)

    def end(self) -> None:
        for client in self.clients:
            client.socket.close()
        self.life.terminate()
        for _ in range(400):
            self.clock.advance(20 * MS)
        pause(0.05)
        assert self.phase() is Phase.STOPPED and not len(self.part.front.connections)


@pytest.fixture
def process(tmp_path: Path) -> Iterator[Process]:
    one = Process(tmp_path).serving()
    yield one
    one.end()


@pytest.fixture
def shared() -> Iterator[socket.socket]:
    """Listen on a socket that several processes accept on."""
    one = socket.socket()
    one.bind(("127.0.0.1", 0))
    one.listen(512)
    yield one
    one.close()


def test_requests_in_the_listen_queue_are_answered_before_the_listener_closes(process: Process) -> None:
    # Twisted accepts one connection a turn after a quiet time: the others were reset, requests and all.
    clients = [process.dial(accepted=False) for _ in range(40)]
    for number, client in enumerate(clients):
        client.write(request(f"{number:016x}"))
    process.close()
    assert process.phase() is Phase.CLOSING
    for number, client in enumerate(clients):
        assert client.at_end() == [("stop", f"{number:016x}", 34)]


def test_no_connection_is_taken_once_the_listener_is_closed(process: Process) -> None:
    # Closed only in the reactor's next turn, it reset what the kernel accepted in between.
    process.close()
    with pytest.raises(ConnectionRefusedError):
        process.dial(accepted=False)


def test_a_pipelined_request_behind_the_last_one_answered_is_answered(process: Process) -> None:
    client = process.dial()
    client.write(check())
    until(client.read)
    client.write(request() + request(ID2))
    process.close()
    assert client.at_end()[1:] == [("stop", ID, 34), ("stop", ID2, 34)]


def test_an_answer_just_written_outlasts_what_the_client_sends_meanwhile(process: Process) -> None:
    # Closed with input unread, or reached by input after its close, a socket answers with a reset.
    client = process.dial()
    client.write(request())
    process.close()
    client.write(request(ID2)[:20])
    assert client.at_end() == [("stop", ID, 34)]


def test_what_is_written_behind_the_close_meets_no_reset_while_the_process_lasts(process: Process) -> None:
    client = process.dial()
    process.close()
    client.write(request())
    assert client.at_end() == []
    pause(0.05)
    client.write(request(ID2))
    pause(0.05)
    client.write(b"\n")  # a reset by the first would fail here
    assert process.phase() is Phase.CLOSING


def test_half_a_request_is_waited_for_and_served_to_its_end(process: Process) -> None:
    # Closed at 0.7 s, it cut a client that writes slowly, a second short of its last byte.
    client = process.dial()
    whole = request()
    client.write(whole[:-1])
    connection = next(process.part.front.connections.values())
    until(lambda: connection.has_partial_message)
    process.life.terminate()
    process.clock.advance(1_500 * MS)
    assert process.phase() is Phase.ANSWERING
    client.write(whole[-1:])
    until(lambda: process.counters["calls.offered"])
    process.clock.advance(3_000 * MS)
    assert len([one for one in client.at_end() if one[1] == ID]) == 1


def test_half_a_request_that_never_ends_is_closed_without_a_reset(process: Process) -> None:
    client = process.dial()
    client.write(check() + request()[:-1])
    connection = next(process.part.front.connections.values())
    until(lambda: connection.has_partial_message)
    process.life.terminate()
    process.clock.advance(3_299 * MS)
    assert process.phase() is Phase.ANSWERING
    process.clock.advance(1 * MS)
    assert process.phase() is Phase.CLOSING and client.at_end() == [("checked", ID, 1)]


def test_the_request_of_a_connection_just_made_is_waited_for(process: Process) -> None:
    process.life.terminate()
    process.clock.advance(699 * MS)
    client = process.dial()
    process.clock.advance(100 * MS)
    assert process.phase() is Phase.ANSWERING
    client.write(request())
    until(lambda: process.counters["calls.offered"])
    process.clock.advance(3_000 * MS)
    assert len([one for one in client.at_end() if one[1] == ID]) == 1


def test_a_silent_connection_is_not_waited_for(process: Process) -> None:
    client = process.dial()
    process.life.terminate()
    process.clock.advance(720 * MS)
    assert process.phase() is Phase.CLOSING and client.at_end() == []


def test_a_check_that_passes_just_before_is_followed_by_service(boards: list[Board], tmp_path: Path) -> None:
    bookers, ports, _path = one_booker(boards[0], tmp_path)
    process = Process(tmp_path).serving()
    try:
        first = process.dial()
        first.write(check())
        until(first.read)
        assert first.answers() == [("checked", ID, 1)]
        process.life.terminate()
        first.write(request())  # on the connection of the check, and on a new one
        second = process.dial()
        second.write(request(ID2))
        for client, uid in ((first, ID), (second, ID2)):
            until(lambda uid=uid: any(uid in one.launches for one in bookers))  # type: ignore[misc]
            next(one for one in bookers if uid in one.launches).send("running", uid, body="x")
            until(lambda client=client, uid=uid: ("running", uid, None) in client.answers())  # type: ignore[misc]
        first.write(check(ID2))
        until(lambda: ("checked", ID2, 0) in first.answers())
    finally:
        process.end()
        ports[0].stopListening()
        pause(0.02)


def test_a_request_open_at_the_last_moment_gets_its_answer(boards: list[Board], tmp_path: Path) -> None:
    bookers, ports, _path = one_booker(boards[0], tmp_path)
    process = Process(tmp_path).serving()
    try:
        process.life.terminate()
        process.clock.advance(650 * MS)
        client = process.dial()
        client.write(request())
        until(lambda: any(ID in one.launches for one in bookers))
        while process.phase() < Phase.CLOSING:
            process.clock.advance(10 * MS)
            pause(0.002)
        assert [one[:2] for one in client.at_end()] == [("stop", ID)]
    finally:
        process.end()
        ports[0].stopListening()
        pause(0.02)


def test_a_request_read_at_the_close_is_refused_and_not_sent_on(boards: list[Board], tmp_path: Path) -> None:
    bookers, ports, _path = one_booker(boards[0], tmp_path)
    process = Process(tmp_path).serving()
    try:
        client = process.dial()
        until(lambda: any(one.transport for one in bookers))
        client.write(request())
        process.close()
        assert client.at_end() == [("stop", ID, 34)]
        pause(0.05)
        assert not any(ID in one.launches for one in bookers) and not process.counters["sends"]
    finally:
        process.end()
        ports[0].stopListening()
        pause(0.02)


def test_sigterm_before_the_boards_first_word_ends_a_process_that_never_listens(
    boards: list[Board], tmp_path: Path
) -> None:
    process = Process(tmp_path, board=boards[0].address)
    boards[0].requested()
    process.life.terminate()
    boards[0].peers[0].send_event(4, "draining")  # what it listens on comes too late
    boards[0].peers[0].transport.write(b"4\n")
    pause(0.05)
    process.clock.advance(2_000 * MS)
    assert process.part.port is None and process.phase() is Phase.STOPPED


def test_sigterm_at_the_start_leaves_an_inherited_socket_alone(
    boards: list[Board], tmp_path: Path, shared: socket.socket
) -> None:
    # The process beside it serves: a process that ends must not begin to accept from the queue of both.
    process = Process(tmp_path, board=boards[0].address, inherited=shared.fileno())
    boards[0].requested()
    process.life.phase = Phase.SERVING  # as if another part listened: it drains, and the board goes on
    process.part.listening = lambda: True  # type: ignore[method-assign]
    process.life.terminate()
    boards[0].peers[0].transport.write(b"3\n")
    pause(0.05)
    assert process.phase() is Phase.DRAINING and process.part.port is None
    shared.settimeout(10)
    client = Client(shared.getsockname()[1])
    pause(0.05)
    client.write(request())
    other, _address = shared.accept()
    assert other.recv(65536) == request()
    other.close()
    client.socket.close()
    process.end()


def test_an_inherited_queue_is_left_to_the_process_beside(tmp_path: Path, shared: socket.socket) -> None:
    process = Process(tmp_path, inherited=shared.fileno()).serving()
    mine = process.dial()
    mine.write(request())
    before = process.dial(accepted=False)
    before.write(request(ID2))
    process.life.terminate()  # the reactor has not turned: nothing more is accepted from here on
    after = process.dial(accepted=False)
    after.write(request(ID))
    pause(0.05)
    process.clock.advance(700 * MS)
    process.clock.advance(3_000 * MS)
    assert [one[1] for one in mine.at_end()] == [ID]
    shared.settimeout(10)
    for uid in (ID2, ID):  # it still listens, and these wait for whoever accepts
        other, _address = shared.accept()
        assert other.recv(65536) == request(uid)
        other.close()
    process.end()


def test_a_reload_is_followed_in_each_phase_until_the_close(boards: list[Board], tmp_path: Path) -> None:
    process = Process(tmp_path, board=boards[0].address)
    boards[0].requested()
    path = tmp_path / "config.json"
    raw = json.loads(path.read_text())

    def reload(board: Board) -> None:
        path.write_text(json.dumps(raw | {"board": board.address}))
        os.environ["GW_CONFIG"], os.environ["GW_LISTEN"] = str(path), "127.0.0.1:0"
        try:
            process.part.reload()
        finally:
            del os.environ["GW_CONFIG"], os.environ["GW_LISTEN"]

    reload(boards[1])  # before the first word: the start goes on at the new address
    assert boards[1].requested() == [b"watch 3"]
    boards[1].peers[0].transport.write(b"3\n")
    process.serving()
    process.life.terminate()
    reload(boards[0])  # while it drains
    assert boards[0].requested(2) == [b"watch 3"]
    process.clock.advance(720 * MS)
    assert process.phase() is Phase.CLOSING
    reload(boards[1])  # too late: nothing is followed any more
    pause(0.05)
    assert len(boards[1].peers) == 1
    process.end()


def test_a_reload_that_comes_while_the_program_loads_is_made_up_for(
    boards: list[Board], tmp_path: Path
) -> None:
    # With no handler yet the signal ended the process. It is held at its first read of the configuration.
    path, held = tmp_path / "config.json", tmp_path / "held.json"
    raw = configuration(event(3, "up", full=True))
    os.mkfifo(path)
    daemon = start(path)
    try:
        with path.open("w") as first:  # opens once the daemon does
            daemon.send_signal(signal.SIGHUP)
            held.write_text(json.dumps(raw | {"board": boards[1].address}))
            held.rename(path)
            first.write(json.dumps(raw | {"board": boards[0].address}))
        assert boards[1].requested() == [b"watch 3"]
        daemon.send_signal(signal.SIGTERM)
        _, said = daemon.communicate(timeout=30)
    finally:
        daemon.kill()
        daemon.communicate()
    assert daemon.returncode == 0 and b"counter reloads 1\n" in said


def test_a_reload_and_then_a_drain_serve_what_arrives(boards: list[Board], tmp_path: Path) -> None:
    bookers, ports, path = one_booker(boards[0], tmp_path)
    daemon = start(path)
    assert daemon.stderr
    try:
        port = int(daemon.stderr.readline().rpartition(b":")[2])
        boards[0].requested()
        path.write_text(json.dumps(json.loads(path.read_text()) | {"board": boards[1].address}))
        daemon.send_signal(signal.SIGHUP)
        daemon.send_signal(signal.SIGTERM)
        daemon.send_signal(signal.SIGTERM)
        boards[1].requested()  # the reload came first
        client = Client(port)
        client.write(request())
        until(lambda: any(ID in one.launches for one in bookers))
        booker = next(one for one in bookers if ID in one.launches)
        booker.send("running", ID, body="x")
        until(lambda: client.answers() == [("running", ID, None)])
        booker.send("stop", ID, reason=16)
        assert client.at_end() == [("running", ID, None), ("stop", ID, 16)]
        client.socket.close()
        assert daemon.wait(timeout=30) == 0
    finally:
        daemon.kill()
        daemon.communicate()
        ports[0].stopListening()
        pause(0.02)


def test_sigterm_while_the_program_loads_ends_it(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    os.mkfifo(path)
    daemon = start(path)
    with path.open("w"):
        daemon.send_signal(signal.SIGTERM)
        _, said = daemon.communicate(timeout=30)
    assert daemon.returncode in (0, -signal.SIGTERM) and b"Traceback" not in said
