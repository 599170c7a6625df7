"""An id that ran is not run again: not after its client has left, nor at the other process of an upgrade."""

from __future__ import annotations

import json
import random
import signal
import subprocess
from pathlib import Path

import pytest

from bitternbeam.counters import Counters
from bitternbeam.net.connect import connect
from bitternbeam.net.platform.shared_ids import KEPT_SLOTS, SLOT_US, SharedIds
from tests.loaded_process import shared_socket
from tests.loop import pause, reactor, until
from tests.test_admin import Bookers, free_port, start, wait_yes
from tests.test_board import Board, boards
from tests.test_daemon import configuration
from tests.test_platform import EXTRAS, ID, ID2, Peer

__all__ = ["boards"]
START_US = 1_000_000 * SLOT_US


class Processes:
    """Two processes' claims in one folder, on one clock."""

    def __init__(self, folder: Path) -> None:
        self.now_us = START_US
        self.counters = Counters()
        self.stem = folder / "bitternbeam-n1.ids"
        self.first = self.new()

    def new(self, ahead_us: int = 0) -> SharedIds:
        """Start a process, whose clock may be ahead."""
        return SharedIds(self.stem, lambda: self.now_us + ahead_us, self.counters)


@pytest.fixture
def processes(tmp_path: Path) -> Processes:
    return Processes(tmp_path)


def test_an_id_is_claimed_by_one_process_alone(processes: Processes) -> None:
    assert processes.first.claim(ID)
    second = processes.new()
    assert not second.claim(ID) and second.claim(ID2) and not processes.first.claim(ID2)


@pytest.mark.parametrize("ahead_us", [-500_000, 0, 500_000])
def test_claims_that_cross_the_change_of_files_are_seen(processes: Processes, ahead_us: int) -> None:
    processes.now_us = START_US + SLOT_US - 200_000
    second = processes.new(ahead_us)
    seed = random.Random(1)
    for step in range(200):
        processes.now_us += 2_000
        uid = f"{step:016x}"
        both = [processes.first, second]
        seed.shuffle(both)
        assert [one.claim(uid) for one in both] == [True, False]


def test_an_id_is_kept_for_a_minute_and_its_files_are_removed_later(processes: Processes) -> None:
    second = processes.new()
    assert processes.first.claim(ID)
    for _ in range(KEPT_SLOTS):
        processes.now_us += SLOT_US
        assert not second.claim(ID)
        assert processes.first.claim(f"{processes.now_us:016x}")
    processes.now_us += SLOT_US * (KEPT_SLOTS + 1)
    assert second.claim(ID2) and processes.first.claim(ID)
    assert len(list(processes.stem.parent.iterdir())) == 1


def test_an_id_is_kept_from_the_end_of_its_call(processes: Processes) -> None:
    assert processes.first.claim(ID)
    processes.now_us += SLOT_US * (KEPT_SLOTS + 2)
    processes.first.renew(ID)
    assert not processes.new().claim(ID)


def test_a_folder_that_cannot_be_written_leaves_every_claim_allowed(tmp_path: Path) -> None:
    processes = Processes(tmp_path / "missing")
    assert processes.first.claim(ID) and processes.new().claim(ID)
    assert processes.counters["shared_ids.failed"] == 2


def test_part_of_a_record_is_left_for_the_next_read(processes: Processes) -> None:
    assert processes.first.claim(ID)
    (file,) = processes.stem.parent.iterdir()
    with file.open("ab") as more:
        more.write(b"0" * 7)
    assert not processes.new().claim(ID)


def dial(port: int) -> Peer:
    made: list[Peer] = []
    connect(reactor, "127.0.0.1", port, 2_000_000, Peer).addCallback(made.append)
    until(lambda: made)
    return made[0]


def send(client: Peer, uid: str) -> None:
    meta = {"class": "slot-lookup", "left": "3000", "key": "n", "extras": EXTRAS}
    client.send("launch", uid, meta=meta, body="v=0")


def runs(bookers: Bookers, uid: str) -> int:
    return sum(one.kinds(uid).count(("launch", None)) for one in bookers.peers)


# Guards against an id that runs twice, as it comes again at the other process of an upgrade.
@pytest.mark.parametrize("answered", [False, True])
def test_an_id_that_ran_at_the_old_process_of_an_upgrade_does_not_run_at_the_new_one(
    boards: list[Board], tmp_path: Path, answered: bool
) -> None:
    bookers = Bookers()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(bookers.notice()) | {"board": boards[0].address}))
    shared = shared_socket()
    port = shared.getsockname()[1]
    admins = free_port(), free_port()
    started: list[subprocess.Popen[bytes]] = [start(path, admins[0], fd=shared.fileno())]
    try:
        wait_yes(admins[0])
        first = dial(port)
        send(first, ID)
        until(lambda: runs(bookers, ID) == 1)
        if answered:
            next(one for one in bookers.peers if one.kinds(ID)).send("running", ID, body="x")
            until(lambda: first.kinds(ID))
        started.append(start(path, admins[1], fd=shared.fileno()))
        wait_yes(admins[1])
        started[0].send_signal(signal.SIGTERM)
        first.transport.abortConnection()
        pause(0.2)
        second = dial(port)
        send(second, ID)
        until(lambda: second.kinds(ID))
        assert runs(bookers, ID) == 1 and second.kinds(ID) == [("stop", 41)]
    finally:
        for process in started:
            process.kill()
            process.communicate()
        shared.close()
        bookers.port.stopListening()
