"""Real server processes that hang or are replaced while calls stand at them; discovery then removes them."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loop import pause, until
from tests.server_processes import ProcessStage, ServerProcess, server_entry

TOLD_S = 8.05  # an end whose release could not be sent is told within this time
ENDED = [("running", None), ("stop", 16)]


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[ProcessStage]:
    one = ProcessStage(tmp_path)
    yield one
    one.close()


def replace_elsewhere(stage: ProcessStage, new: ServerProcess) -> None:
    """Remove the old server and list a new one, at its own address, whose start is not given."""
    stage.tell(server_entry("s-old", stage.old.port, "removed"), server_entry("s-new", new.port, "up"))


# Guards against calls that are never ended because connections to a hung process still come up.
@pytest.mark.parametrize("delay_s", [0.3, 4.0, 6.0])
def test_calls_of_a_hung_server_are_over_once_it_is_removed(stage: ProcessStage, delay_s: float) -> None:
    uids = stage.set_up(3)
    new = stage.start_server("s-new")
    stage.old.stop()
    ended_s = time.monotonic()
    pause(delay_s)
    replace_elsewhere(stage, new)
    assert not stage.wait_until_over(uids, ended_s, TOLD_S)


class TakenAddress:
    """Calls that stand at a process which has left its address to another one, and then hangs."""

    def __init__(self, stage: ProcessStage) -> None:
        self.uids = stage.set_up(3)
        self.new = stage.start_server("s-new")
        stage.old.leave_address()
        self.successor = stage.start_server("s-successor", stage.old.port)
        stage.old.stop()
        self.ended_s = time.monotonic()


# Guards against taking the process that answers at a server's address for the one that held its calls.
@pytest.mark.parametrize("delay_s", [0.3, 4.0, 6.0])
def test_a_process_at_the_old_address_does_not_keep_the_calls_of_a_silent_one(
    stage: ProcessStage, delay_s: float
) -> None:
    taken = TakenAddress(stage)
    pause(delay_s)
    replace_elsewhere(stage, taken.new)
    assert not stage.wait_until_over(taken.uids, taken.ended_s, TOLD_S)
    assert not taken.successor.uids("release")


def test_calls_set_up_at_the_process_that_took_the_address_outlast_the_old_servers_removal(
    stage: ProcessStage,
) -> None:
    taken = TakenAddress(stage)
    successor = taken.successor
    until(lambda: successor.uids("open"))
    later = stage.set_up(3)  # some are refused, as the server is suspect
    assert later
    pause(taken.ended_s + 4.5 - time.monotonic())  # the silent connections have been replaced
    replace_elsewhere(stage, taken.new)
    assert not stage.wait_until_over(taken.uids, taken.ended_s, TOLD_S)
    pause(3)
    assert not any(stage.told_over([uid]) for uid in later) and successor.uids("launch") >= set(later)
    successor.end_calls()
    until(lambda: all(stage.client.kinds(uid) == ENDED for uid in later))
    assert not successor.uids("release")
