"""A client that sends at full speed delays no other client for long and does not fill the memory."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.flood import KINDS
from tests.loaded_process import MEMORY_LIMIT_KB, ROOT, LoadedProcess, new_id, set_up_line

FLOOD_S = 4.0
AIM_S = 1.5  # the class's aim in example/config.json, within which an answer is worth most
BETWEEN_S = 0.2
BURST_CLIENTS, BURST_REQUESTS = 100, 2_000


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


def write_burst(client: socket.socket) -> None:
    """Write many requests at once; a client that reads no answer may be disconnected."""
    with contextlib.suppress(OSError):
        client.sendall(b"".join(set_up_line(new_id(), left_ms=50) for _ in range(BURST_REQUESTS)))


def test_bursts_of_many_clients_at_once_fill_no_memory(process: LoadedProcess) -> None:
    # Guards the memory: what each client may have queued must be bounded for all of them together.
    clients = [process.connect() for _ in range(BURST_CLIENTS)]
    writers = [threading.Thread(target=write_burst, args=(client,)) for client in clients]
    for writer in writers:
        writer.start()
    for writer in writers:
        writer.join()
    assert process.answer_s()[0] in ("running", "stop")
    assert process.memory_peak_kb() < MEMORY_LIMIT_KB / 2
    for client in clients:
        client.close()
