"""The whole daemon as a process: its signals."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from twisted.internet.protocol import Factory

from bitternbeam.net.connect import connect, listen
from tests.loop import pause, reactor, until
from tests.test_board import Board, boards, event
from tests.test_platform import EXTRAS, ID, ID2, Peer

__all__ = ["boards"]
ROOT = Path(__file__).parents[1]


def configuration(notice: bytes) -> dict[str, Any]:
    raw: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
    return raw | {"known": {"rev": 3, "notices": [json.loads(notice)]}}


def start(path: Path) -> subprocess.Popen[bytes]:
    none = str(path.parent / "none")
    more = {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:0", "BITTERNBEAM_SIP": none}
    code = [sys.executable, "-B", "-m", "bitternbeam"]
    return subprocess.Popen(code, cwd=ROOT, env=os.environ | more, stderr=subprocess.PIPE)


def test_sighup_follows_the_board_that_the_file_then_names(boards: list[Board], tmp_path: Path) -> None:
    # Without a handler the signal ended the process, and a bad file must not end it either.
    path = tmp_path / "config.json"
    raw = configuration(event(3, "up", full=True))
    path.write_text(json.dumps(raw | {"board": boards[0].address}))
    daemon = start(path)
    try:
        assert boards[0].requested() == [b"watch 3"]
        boards[0].peers[0].send_event(4, "draining")
        pause(0.2)
        path.write_text(json.dumps(raw | {"board": boards[1].address}))
        daemon.send_signal(signal.SIGHUP)
        assert boards[1].requested() == [b"watch 4"]  # the numbering goes on
        path.write_text("{")
        daemon.send_signal(signal.SIGHUP)
        pause(0.5)
        path.write_text(json.dumps(raw | {"board": boards[0].address}))
        daemon.send_signal(signal.SIGHUP)
        assert boards[0].requested(2) == [b"watch 4"]
        daemon.send_signal(signal.SIGTERM)
        _, said = daemon.communicate(timeout=30)
    finally:
        daemon.kill()
    assert daemon.returncode == 0
    assert b"counter reloads 2\n" in said and b"counter reloads.bad 1\n" in said
    assert len(boards[1].peers) == 1


def one_booker(board: Board, folder: Path) -> tuple[list[Peer], list[Any], Path]:
    """Listen as the one booker that a configuration knows; returns its connections, ports and that file."""
    bookers: list[Peer] = []
    ports: list[Any] = []
    factory: Any = Factory()
    factory.buildProtocol = lambda _addr: bookers.append(Peer()) or bookers[-1]  # type: ignore[func-returns-value]
    listen(reactor, "127.0.0.1", 0, factory).addCallback(ports.append)
    notice = json.loads(event(3, "up", full=True))
    notice["pool"]["servers"][0]["addr"] = f"127.0.0.1:{ports[0].getHost().port}"
    path = folder / "config.json"
    path.write_text(json.dumps(configuration(json.dumps(notice).encode()) | {"board": board.address}))
    return bookers, ports, path


def test_sigterm_serves_on_and_lets_calls_come_to_their_end(boards: list[Board], tmp_path: Path) -> None:
    # Requests still arrive for 0.6 s, and a call that stands would be cut, and worth nothing, for no reason.
    bookers, ports, path = one_booker(boards[0], tmp_path)
    daemon = start(path)
    assert daemon.stderr
    try:
        found = re.search(rb"listens on 127.0.0.1:(\d+)", daemon.stderr.readline())
        assert found
        callers: list[Peer] = []

        def dial(uid: str) -> Peer:
            count = len(callers)
            connect(reactor, "127.0.0.1", int(found[1]), 500_000, Peer).addCallback(callers.append)
            until(lambda: len(callers) > count)
            meta = {"class": "slot-lookup", "left": "3000", "key": "n", "extras": EXTRAS}
            callers[-1].send("launch", uid, meta=meta, body="v=0")
            until(lambda: any(uid in one.launches for one in bookers))
            next(one for one in bookers if uid in one.launches).send("running", uid, body="x")
            until(lambda: callers[-1].kinds(uid))
            return callers[-1]

        until(lambda: bookers)
        first = dial(ID)
        daemon.send_signal(signal.SIGTERM)
        pause(0.3)
        dial(ID2)
        pause(0.7)
        assert first.kinds(ID) == [("running", None)] and daemon.poll() is None
        for one in bookers:
            for uid in one.launches:
                one.send("stop", uid, reason=16)
        until(lambda: daemon.poll() is not None)
        until(lambda: first.lost)
        assert first.kinds(ID) == [("running", None), ("stop", 16)] and daemon.returncode == 0
    finally:
        daemon.kill()
        daemon.stderr.close()
        ports[0].stopListening()


def test_calls_outlast_a_planned_restart_and_the_next_process_tells_of_their_end(
    boards: list[Board], tmp_path: Path
) -> None:
    # Released at the end of the old process, a fifth of a day's calls was cut on the day of restarts. A
    # release of a call that the new process sent and gave up must not become a second answer to its caller.
    bookers, ports, path = one_booker(boards[0], tmp_path)

    def dial(daemon: subprocess.Popen[bytes]) -> Peer:
        assert daemon.stderr
        found = re.search(rb"listens on 127.0.0.1:(\d+)", daemon.stderr.readline())
        assert found
        made: list[Peer] = []
        connect(reactor, "127.0.0.1", int(found[1]), 500_000, Peer).addCallback(made.append)
        until(lambda: made)
        return made[0]

    def call(caller: Peer, uid: str, left: str = "3000") -> Peer:
        meta = {"class": "slot-lookup", "left": left, "key": uid, "extras": EXTRAS}
        caller.send("launch", uid, meta=meta, body="v=0")
        until(lambda: any(uid in one.launches for one in bookers))
        return next(one for one in bookers if uid in one.launches)

    old = start(path)
    caller = dial(old)
    call(caller, ID).send("running", ID, body="x")
    until(lambda: caller.kinds(ID))
    old.send_signal(signal.SIGTERM)
    until(lambda: old.poll() is not None)
    until(lambda: all(one.lost for one in bookers))
    assert not any(("stop", 16) in one.kinds(ID) for one in bookers), "the booker was told to end the call"
    assert caller.kinds(ID) == [("running", None)]
    new = start(path)
    try:
        caller = dial(new)
        call(caller, ID2).send("running", ID2, body="x")  # so it is known to lead to the callers
        until(lambda: caller.kinds(ID2))
        given_up = f"{7:016x}"
        teller = call(caller, given_up, left="400")
        until(lambda: caller.kinds(given_up))  # its final answer, as no booker gave one
        teller.send("stop", given_up, reason=34)  # it crosses our giving up
        teller.send("stop", ID, reason=16)
        until(lambda: caller.kinds(ID))
        pause(0.1)
        assert caller.kinds(ID) == [("stop", 16)]
        assert len(caller.kinds(given_up)) == 1
    finally:
        new.kill()
        for daemon in (old, new):
            assert daemon.stderr
            daemon.communicate()
        ports[0].stopListening()
