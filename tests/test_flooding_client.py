"""A client that sends at full speed delays no other client for long and does not fill the memory."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.flood import KINDS
from tests.loaded_process import MEMORY_LIMIT_KB, ROOT, LoadedProcess

FLOOD_S = 4.0
AIM_S = 1.5  # the class's aim in example/config.json, within which an answer is worth most
BETWEEN_S = 0.2


@pytest.fixture
def process(tmp_path: Path) -> Iterator[LoadedProcess]:
    one = LoadedProcess(tmp_path)
    yield one
    one.close()


# Guards against late answers and growing memory while one client sends at full speed, under ever new names.
@pytest.mark.parametrize("kind", sorted(KINDS))
def test_a_client_at_full_speed_delays_no_other_and_fills_no_memory(
    process: LoadedProcess, kind: str
) -> None:
    assert process.answer_s()[0] == "running"
    arguments = ["--port", str(process.port), "--seconds", str(FLOOD_S), "--line", kind]
    flood = subprocess.Popen([sys.executable, "-m", "standins.flood", *arguments], cwd=ROOT)
    answers = []
    try:
        while flood.poll() is None:
            answers.append(process.answer_s())
            time.sleep(BETWEEN_S)
    finally:
        flood.kill()
        flood.wait()
    assert flood.returncode == 0 and answers
    assert {answer for answer, _ in answers} == {"running"}
    assert max(seconds for _, seconds in answers) < AIM_S
    assert process.memory_peak_kb() < MEMORY_LIMIT_KB / 2
