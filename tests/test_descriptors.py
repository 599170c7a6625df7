"""Descriptors: how they are divided, and a process whose clients use up their part."""

from __future__ import annotations

import errno
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from twisted.internet.protocol import Factory, Protocol

from bitternbeam.config import ConfigError, read_config
from bitternbeam.counters import Counters
from bitternbeam.descriptors import DISCOVERY, MIN_UPSTREAM, plan_descriptors
from bitternbeam.limits import Limits
from bitternbeam.net.accepting import AcceptBounds, AcceptingPort, open_port
from tests.loop import pause, reactor, until
from tests.test_board import Board, boards
from tests.test_daemon import one_booker
from tests.test_platform import EXTRAS, ID

__all__ = ["boards"]
ROOT = Path(__file__).parents[1]


# The division.


def test_discovery_has_a_descriptor_for_each_of_its_connections() -> None:
    # One open, one connecting, one closing, and those kept though they went silent.
    assert 3 + Limits().discovery_silent_connections == DISCOVERY


def test_the_parts_fit_the_available_descriptors() -> None:
    for descriptors in range(0, 5_000):
        try:
            plan = plan_descriptors(descriptors)
        except ValueError:
            assert descriptors < 64
            continue
        assert plan.total <= descriptors
        assert 3 * plan.clients >= descriptors and 2 * plan.clients <= descriptors + 1
        assert plan.admin >= 4 and plan.clients_closing >= 4 and plan.upstream >= MIN_UPSTREAM
        assert min(plan.lingering, plan.excess_clients) >= 1
        assert (
            plan.lingering + plan.excess_clients < plan.clients_closing
        )  # or none would be accepted meanwhile
        if descriptors >= 100:
            assert plan.upstream >= descriptors // 4


@pytest.mark.parametrize("descriptors", [64, 128, 256, 576, 1024])
def test_the_configuration_divides_its_descriptors(descriptors: int, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    raw: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
    path.write_text(json.dumps(raw | {"limits": raw["limits"] | {"sockets": descriptors}}))
    limits = read_config({"GW_CONFIG": str(path)}).limits
    plan = plan_descriptors(descriptors)
    assert (limits.client_connections, limits.client_closing_connections) == (
        plan.clients,
        plan.clients_closing,
    )
    assert (limits.admin_connections, limits.upstream_connections) == (plan.admin, plan.upstream)


def test_the_systems_limit_comes_before_a_higher_one(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "config.json"
    path.write_text((ROOT / "example/config.json").read_text())
    monkeypatch.setattr(resource, "getrlimit", lambda _which: (256, 256))
    assert read_config({"GW_CONFIG": str(path)}).limits.client_connections == plan_descriptors(256).clients
    monkeypatch.setattr(resource, "getrlimit", lambda _which: (20, 20))
    with pytest.raises(ConfigError, match=r"limits\.sockets: 20 descriptors are too few"):
        read_config({"GW_CONFIG": str(path)})


# The port.


class Greeter(Protocol):
    """Writes a greeting to each connection."""

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.write(b"served")


class BoundedPort:
    """A port with accept bounds that counts the reactor's calls to it."""

    def __init__(self, most_open: int, monkeypatch: pytest.MonkeyPatch, retry_us: int) -> None:
        self.protocols: list[Greeter] = []
        self.reads = 0
        read = AcceptingPort.doRead

        def counted(port: AcceptingPort) -> None:
            self.reads += 1
            read(port)

        monkeypatch.setattr(AcceptingPort, "doRead", counted)
        factory: Any = Factory()
        factory.buildProtocol = lambda _addr: self.protocols.append(Greeter()) or self.protocols[-1]  # type: ignore[func-returns-value]
        self.counters = Counters()
        bounds = AcceptBounds(most_open, retry_us, self.counters)
        self.port = cast(Any, open_port(reactor, "127.0.0.1", 0, factory, bounds))
        self.address = ("127.0.0.1", int(self.port.socket.getsockname()[1]))

    def close(self) -> None:
        self.port.stopListening()
        for one in self.protocols:
            transport: Any = one.transport
            if transport.connected:
                transport.abortConnection()
        pause(0.02)


def was_served(sock: socket.socket) -> bool:
    """Return whether the greeting has arrived; fails on a close without one."""
    readable, _, _ = select.select([sock], [], [], 0)
    if readable:
        assert sock.recv(100) == b"served"
    return bool(readable)


def test_a_full_port_leaves_the_rest_in_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = BoundedPort(2, monkeypatch, retry_us=60_000_000)
    clients = [socket.create_connection(rig.address) for _ in range(5)]
    until(lambda: rig.counters["accept.paused.full"])
    for client in clients[:2]:
        until(lambda one=client: was_served(one))  # type: ignore[misc]
    before = rig.reads
    for _ in range(50):
        reactor.iterate(0.001)
    assert rig.reads == before and rig.port.held == 2
    for number, client in enumerate(clients[2:]):
        clients[number].close()
        until(lambda one=client: was_served(one))  # type: ignore[misc]
    for client in clients:
        client.close()
    rig.close()
    assert rig.port.held == 0 and rig.port.retry is None


@pytest.fixture
def no_descriptor() -> Iterator[list[int]]:
    """Return the soft and hard limit for `exhaust_descriptors`, and restore them at the end."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    yield [soft, hard]
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def exhaust_descriptors(limit: list[int]) -> None:
    """Lower the limit so that this process can open no further descriptor."""
    first_free = os.dup(0)
    os.close(first_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, limit[1]))
    with pytest.raises(OSError, match="Too many open files"):
        os.dup(0)


def test_a_port_without_descriptors_closes_no_client_and_does_not_spin(
    monkeypatch: pytest.MonkeyPatch, no_descriptor: list[int]
) -> None:
    rig = BoundedPort(100, monkeypatch, retry_us=20_000)
    client = socket.create_connection(rig.address)
    exhaust_descriptors(no_descriptor)
    until(lambda: rig.counters["accept.paused.exhausted"] >= 3)
    assert rig.reads == rig.counters["accept.paused.exhausted"]  # one try per retry interval
    assert not was_served(client) and not rig.protocols
    resource.setrlimit(resource.RLIMIT_NOFILE, (no_descriptor[0], no_descriptor[1]))
    until(lambda: was_served(client))
    client.close()
    rig.close()


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPERM, errno.ENFILE, errno.ENOBUFS])
def test_other_accept_errors_do_not_close_the_port(monkeypatch: pytest.MonkeyPatch, number: int) -> None:
    rig = BoundedPort(100, monkeypatch, retry_us=1_000)
    listening = rig.port.socket
    faults = [number]

    class Failing:
        def accept(self) -> Any:
            if faults:
                raise OSError(faults.pop(), "a fault")
            return listening.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(listening, name)

    rig.port.socket = Failing()
    client = socket.create_connection(rig.address)
    until(lambda: was_served(client))
    client.close()
    rig.close()


# The process.


def start(path: Path, descriptors: int, **more: str) -> subprocess.Popen[bytes]:
    settings = {
        "GW_CONFIG": str(path),
        "GW_LISTEN": "127.0.0.1:0",
        "BITTERNBEAM_SIP": str(path.parent / "none"),
    }
    code = f'ulimit -n {descriptors} && exec "$0" -B -m bitternbeam'
    environment = os.environ | settings | more
    return subprocess.Popen(
        ["/bin/sh", "-c", code, sys.executable], cwd=ROOT, env=environment, stderr=subprocess.PIPE
    )


def cpu_s(process: subprocess.Popen[bytes]) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def descriptors_of(process: subprocess.Popen[bytes]) -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def listening_port(process: subprocess.Popen[bytes], name: bytes) -> int:
    """Read the log up to the line with the listening port."""
    assert process.stderr
    for line in process.stderr:
        if name + b" listens on 127.0.0.1:" in line:
            return int(line.rpartition(b":")[2])
    raise AssertionError("it never listened")


def query_admin(port: int, line: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=20) as wire:
        wire.sendall(line)
        return wire.makefile("rb").readline()


def test_a_request_behind_a_burst_of_idle_connections_is_served(boards: list[Board], tmp_path: Path) -> None:
    """Fill the listen queue while the process is stopped, so that it accepts the burst in one loop turn.

    Each evicted connection held its descriptor to the end of that turn: accept() failed, and whatever waited
    in the queue was closed, including a request that was already written there.
    """
    descriptors = 80
    bookers, ports, path = one_booker(boards[0], tmp_path)
    raw = json.loads(path.read_text())
    path.write_text(json.dumps(raw | {"limits": raw["limits"] | {"sockets": descriptors}}))
    admin = free_port()
    daemon = start(path, descriptors, GW_ADMIN=f"127.0.0.1:{admin}")
    idle: list[socket.socket] = []
    try:
        address = ("127.0.0.1", listening_port(daemon, raw["name"].encode()))
        until(lambda: bookers)
        boards[0].requested()
        boards[0].ports[0].stopListening()  # discovery goes down
        boards[0].peers[0].transport.abortConnection()
        daemon.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, daemon.pid, os.WSTOPPED)
        idle += [socket.create_connection(address) for _ in range(descriptors)]
        caller = socket.create_connection(address)
        meta = {"class": "slot-lookup", "left": "3000", "key": "n", "extras": EXTRAS}
        caller.sendall(
            json.dumps({"kind": "launch", "uid": ID, "meta": meta, "body": "v=0"}).encode() + b"\n"
        )
        daemon.send_signal(signal.SIGCONT)
        until(lambda: any(ID in one.launches for one in bookers), 20)
        next(one for one in bookers if ID in one.launches).send("running", ID, body="x")
        until(lambda: select.select([caller], [], [], 0)[0], 20)
        assert json.loads(caller.makefile("rb").readline())["kind"] == "running"
        assert query_admin(admin, b"check\n") == b"+OK yes\n"
        again = Board(int(boards[0].address.rpartition(":")[2]))
        assert again.requested() == [b"watch 3"]  # discovery is back, and found a descriptor
        again.close()
        used_s = cpu_s(daemon)
        pause(1.0)
        assert cpu_s(daemon) - used_s < 0.5  # a busy loop takes all of it
        caller.close()
    finally:
        daemon.kill()
        _, said = daemon.communicate(timeout=30)
        for one in idle:
            one.close()
        for port in ports:
            port.stopListening()
    assert b"EMFILE" not in said and b"Too many open files" not in said
