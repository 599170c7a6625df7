"""The standing test's limits on `run`, checked on the process that the deploy file leaves."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import time
import tomllib
from pathlib import Path

import pytest

from tests.test_admin import free_port, wait_yes
from tests.test_board import Board, boards, event
from tests.test_daemon import configuration

__all__ = ["boards"]
ROOT = Path(__file__).parents[1]


def socket_inodes(pid: int) -> set[str]:
    """Return the inodes of the sockets that a process holds."""
    found = set()
    for fd in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{fd}")
        except OSError:
            continue
        if match := re.fullmatch(r"socket:\[(\d+)\]", target):
            found.add(match[1])
    return found


def table_inodes(pid: int, table: str) -> set[str]:
    """Return the socket inodes that one of the kernel's tables in /proc/PID/net lists."""
    lines = Path(f"/proc/{pid}/net/{table}").read_text().splitlines()[1:]
    column = 6 if table == "unix" else 9
    return {line.split()[column] for line in lines if len(line.split()) > column}


def busy_seconds(pid: int) -> dict[str, float]:
    """Return the processor time of each thread, in seconds."""
    tick = os.sysconf("SC_CLK_TCK")
    times = {}
    for task in os.listdir(f"/proc/{pid}/task"):
        fields = Path(f"/proc/{pid}/task/{task}/stat").read_text().rsplit(")", 1)[1].split()
        times[task] = (int(fields[11]) + int(fields[12])) / tick
    return times


@pytest.mark.skipif(not Path("/proc/self/net/tcp").exists(), reason="needs Linux's /proc")
def test_run_is_one_execd_process_of_ipv4_sockets_with_no_thread_busy(
    boards: list[Board], tmp_path: Path
) -> None:
    # Each is refused under the standing test: a shell left around, a child, a Unix or IPv6 socket, a spin.
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(event(3, "up", full=True)) | {"board": boards[0].address}))
    admin = free_port()
    env = {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:0", "GW_ADMIN": f"127.0.0.1:{admin}"}
    run = subprocess.Popen(["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=os.environ | env)
    try:
        wait_yes(admin)
        pid = run.pid
        assert "python" in os.path.basename(os.readlink(f"/proc/{pid}/exe"))  # the shell was replaced
        assert "libc.so" in Path(f"/proc/{pid}/maps").read_text()  # linked against the C library
        tasks = os.listdir(f"/proc/{pid}/task")
        assert all(not Path(f"/proc/{pid}/task/{task}/children").read_text().split() for task in tasks)
        for _ in range(50):
            held = socket_inodes(pid)
            ipv4 = table_inodes(pid, "tcp") | table_inodes(pid, "udp")
            if held <= ipv4:
                break
            time.sleep(0.02)  # one whose connection was just refused stands in no table until it is closed
        assert held, "it holds its listening sockets"
        assert held <= ipv4, held - ipv4
        assert not held & (table_inodes(pid, "tcp6") | table_inodes(pid, "udp6") | table_inodes(pid, "unix"))
        before = busy_seconds(pid)
        time.sleep(1.0)
        after = busy_seconds(pid)
        assert all(after[task] - before.get(task, 0.0) < 0.9 for task in after)  # every thread waits
    finally:
        run.send_signal(signal.SIGTERM)
        run.wait(timeout=30)
    assert run.returncode == 0
