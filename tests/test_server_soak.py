"""A seeded soak on real processes: servers hang, die or are replaced at random while calls stand.

CI plays few seeds. More are played by hand: SERVER_SOAK_SEEDS=60 pytest -n 6 tests/test_server_soak.py
"""

from __future__ import annotations

import os
import time
from pathlib import Path
from random import Random

import pytest

from tests.loop import pause, until
from tests.server_processes import ProcessStage, ServerProcess, server_entry

SEEDS = int(os.environ.get("SERVER_SOAK_SEEDS", "4"))
TOLD_S = 8.05  # an end whose release could not be sent is told within this time
LATEST_WORD_S = 6.0


class Trial:
    """One server's end and its replacement, as a seed draws them."""

    def __init__(self, stage: ProcessStage, seed: int) -> None:
        self.stage = stage
        self.random = Random(seed)
        self.stops = self.random.random() < 0.6  # else it is killed, and its connections are reset
        self.is_replaced = self.random.random() < 0.7  # another process has its address
        self.start_told = self.random.random() < 0.5
        self.listed_there = self.is_replaced and self.random.random() < 0.4
        self.word_s = self.random.uniform(0.3, LATEST_WORD_S)
        self.successor: ServerProcess | None = None
        self.later: list[str] = []

    def play(self) -> None:
        """Play it and check what the client was told."""
        stage = self.stage
        uids = stage.set_up(self.random.randint(2, 5))
        elsewhere = stage.start_server("s-new")
        started_ms = self._end_old_server()
        ended_s = time.monotonic()
        self._set_up_until(ended_s + self.word_s)
        port = stage.old.port if self.listed_there else elsewhere.port
        self._tell(server_entry("s-new", port, "up", started_ms if self.start_told else 0))
        left = stage.wait_until_over(uids, ended_s, TOLD_S)
        assert not left, f"not told as over: {left}"
        pause(max(0.0, ended_s + TOLD_S - time.monotonic()))
        if self.successor:
            self._check_successor(self.successor)

    def _end_old_server(self) -> int:
        """End the old process, as drawn; returns the start of what replaces it, in milliseconds."""
        stage = self.stage
        if self.is_replaced:
            stage.old.leave_address()
            started_ms = time.time_ns() // 1_000_000
            self.successor = stage.start_server("s-successor", stage.old.port)
        else:
            started_ms = time.time_ns() // 1_000_000
        if self.stops:
            stage.old.stop()
        else:
            stage.old.close()
        return started_ms

    def _set_up_until(self, end_s: float) -> None:
        """Set calls up under the old name, at random times, until then."""
        while (left_s := end_s - time.monotonic()) > 0:
            pause(min(left_s, self.random.uniform(0.2, 1.5)))
            if time.monotonic() < end_s:
                self.later += self.stage.begin(self.random.randint(1, 2))

    def _tell(self, new: dict[str, object]) -> None:
        gone = server_entry("s-old", self.stage.old.port, "removed")
        words = [[gone, new], [new, gone]]
        first, second = self.random.choice(words)
        if self.random.random() < 0.4:
            self.stage.tell(first, second)
            return
        self.stage.tell(first)
        pause(0.4)
        self.stage.tell(second)

    def _check_successor(self, successor: ServerProcess) -> None:
        """Check that calls at the process that took the address stand until it ends them."""
        client = self.stage.client
        standing = [uid for uid in self.later if client.kinds(uid) == [("running", None)]]
        told_over = [uid for uid in self.later if client.kinds(uid)[:1] == [("running", None)]]
        assert standing == told_over, "a call was told as over while it stands"
        assert not successor.uids("release") & set(standing)
        assert successor.uids("launch") - successor.uids("release") <= set(standing)
        successor.end_calls()
        at_successor = [uid for uid in standing if uid in successor.uids("launch")]
        until(lambda: self.stage.told_over(at_successor))


# Guards against calls that stand for ever, or end while they stand, in combinations no other test names.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_calls_end_with_their_process_whatever_a_seed_draws(seed: int, tmp_path: Path) -> None:
    stage = ProcessStage(tmp_path)
    try:
        Trial(stage, seed).play()
    finally:
        stage.close()
