"""Hundreds of clients that write slowly, stop half way or send very many fields stay within the memory."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.loaded_process import MEMORY_LIMIT_KB, LoadedProcess, new_id, set_up_line

CLIENTS = 400  # below `client_connections`, so each is served
LINE_BYTES = 16 * 1024
SLOW_WRITES, SLOW_WRITE_BYTES, SLOW_PAUSE_S = 60, 100, 0.03
SETTLE_S = 1.0

Write = Callable[[LoadedProcess, list[socket.socket], Callable[[], bytes]], None]


def large_request() -> bytes:
    """Return a request of nearly the greatest length."""
    return set_up_line(new_id(), body="x" * (LINE_BYTES - 400))


def request_of_many_fields() -> bytes:
    """Return a request whose head has as many short fields as a message holds."""
    line = set_up_line(new_id(), fields={f"{number:x}": "" for number in range(1_400)})
    assert LINE_BYTES * 0.9 < len(line) < LINE_BYTES
    return line


def write_half(_process: LoadedProcess, clients: list[socket.socket], request: Callable[[], bytes]) -> None:
    """Send nearly the whole of a request on each connection, and no more."""
    for client in clients:
        client.sendall(request()[: LINE_BYTES - 1_700])
    time.sleep(SETTLE_S)


def write_slowly(process: LoadedProcess, clients: list[socket.socket], request: Callable[[], bytes]) -> None:
    """Send a part of a request at a time on each connection; one that was closed as too slow is replaced."""
    lines = [request() for _ in clients]
    for step in range(SLOW_WRITES):
        part = slice(step * SLOW_WRITE_BYTES, (step + 1) * SLOW_WRITE_BYTES)
        for index, line in enumerate(lines):
            try:
                clients[index].sendall(line[part])
            except OSError:
                clients[index].close()
                clients[index] = process.connect()
        time.sleep(SLOW_PAUSE_S)


def write_whole(_process: LoadedProcess, clients: list[socket.socket], request: Callable[[], bytes]) -> None:
    """Send several whole requests at once on each connection."""
    for client in clients:
        client.sendall(b"".join(request() for _ in range(4)))
    time.sleep(SETTLE_S)


@pytest.fixture
def process(tmp_path: Path) -> Iterator[LoadedProcess]:
    one = LoadedProcess(tmp_path)
    yield one
    one.close()


# Guards against a process that passes its memory limit and is killed while hundreds of clients are slow.
@pytest.mark.parametrize("request_line", [large_request, request_of_many_fields])
@pytest.mark.parametrize("write", [write_half, write_slowly, write_whole])
def test_hundreds_of_slow_or_large_clients_stay_within_the_memory(
    process: LoadedProcess, write: Write, request_line: Callable[[], bytes]
) -> None:
    clients = [process.connect() for _ in range(CLIENTS)]
    try:
        write(process, clients, request_line)
        kind, answer_s = process.answer_s()
        assert kind in ("running", "stop") and answer_s < 3.0
        assert process.memory_peak_kb() < MEMORY_LIMIT_KB / 2
    finally:
        for client in clients:
            client.close()
