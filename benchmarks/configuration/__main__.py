"""Measure what versions cost at large size, phase after phase, and print JSON."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import click
from twisted.internet import reactor as installed_reactor

from benchmarks.configuration.bench import ROOT, Bench, pause, resident_mb, until
from benchmarks.configuration.comparisons import compiled_alone, recovered
from bitternbeam import memory
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Stage
from bitternbeam.configuration.versions import content_of
from bitternbeam.limits import Limits
from bitternbeam.net.control.client import ControlClient
from bitternbeam.net.control.connection import ControlAddress

reactor: Any = installed_reactor
DELTAS = (10, 10, 10, 1000, 10_000)  # keys that change


class Service:
    """The control service's process."""

    def __init__(self, bookers: int, routes: int, cores: set[int]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.configuration.service", str(bookers), str(routes)],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
        )  # fmt: skip
        os.sched_setaffinity(self.process.pid, cores)
        self.port = int(self.line())

    def line(self) -> bytes:
        """Read a line of what it says."""
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def say(self, order: str) -> None:
        """Give it an order."""
        assert self.process.stdin is not None
        self.process.stdin.write(order.encode() + b"\n")
        self.process.stdin.flush()


class Measurement:
    """The phases, in order; `result` is what is printed."""

    def __init__(self, bench: Bench, service: Service, routes: int) -> None:
        self.bench = bench
        self.service = service
        self.routes = routes
        self.result: dict[str, Any] = {}
        self.client = ControlClient(
            reactor=reactor, node="bench", addresses=[ControlAddress("127.0.0.1", service.port)],
            keeper=bench.keeper, deadlines=bench.deadlines, limits=Limits(), counters=bench.counters,
            random=Random(1),
        )  # fmt: skip

    def whole(self) -> None:
        """Take the large version: received, checked and durable, then good and routed by."""
        bench, result = self.bench, self.result
        self.service.say("whole 0")
        self.service.line()
        pause(0.5)
        bench.callers.take()
        began = time.perf_counter()
        self.client.start()
        until(lambda: bench.runs(Number(1, 1), Stage.PROBATION))
        took = time.perf_counter() - began
        bench.callers.routes = self.routes
        result["whole"] = {"received_checked_durable_s": round(took, 2)} | bench.callers.take() | {
            "resident_mb": round(resident_mb(), 1), "entries": len(bench.keeper.versions.running.entries),
        }  # fmt: skip
        until(lambda: bench.runs(Number(1, 1), Stage.GOOD))
        pause(3)
        result["settled"] = bench.callers.take() | {"resident_mb": round(resident_mb(), 1)}
        pause(5)
        bench.callers.take()
        pause(5)
        result["routed"] = bench.callers.take()

    def deltas(self) -> None:
        """Take deltas of several sizes."""
        self.result["deltas"] = [self._delta(Number(1, 2 + place), size) for place, size in enumerate(DELTAS)]
        self.result["delta_compiled_alone"] = compiled_alone(self.bench)

    def _delta(self, number: Number, size: int) -> dict[str, float]:
        bench = self.bench
        before_mb = resident_mb()
        self.service.say(f"delta {size}")
        offers = bench.counters["control.offers.want"]
        until(lambda: bench.counters["control.offers.want"] > offers)
        began = time.perf_counter()
        until(lambda: bench.runs(number, Stage.PROBATION))
        took = time.perf_counter() - began
        seen = {"keys": size, "ms": round(took * 1000, 1), "mb": round(resident_mb() - before_mb, 2)}
        seen |= bench.callers.take()
        until(lambda: bench.runs(number, Stage.GOOD))
        pause(0.5)
        bench.callers.take()
        return seen

    def ended(self, folder: Path) -> None:
        """Stop all, and measure the store and the recovery from it."""
        bench, result = self.bench, self.result
        bench.callers.running = False
        self.client.stop()
        self.service.process.kill()
        running = content_of(bench.keeper.versions.running)
        pause(0.3)
        bench.threaded.stop()
        result["store_mb"] = round((folder / "versions/data.mdb").stat().st_size / 1e6, 1)
        result["answers"] = bench.callers.answers
        result["recovery"] = recovered(folder, bench, running)


@click.command()
@click.option("--bookers", default=10_000, show_default=True)
@click.option("--routes", default=100_000, show_default=True)
@click.option("--calls", default=200, show_default=True, help="a second")
@click.option("--core", default=-1, show_default=True, help="to be pinned to; -1: the first allowed")
def main(bookers: int, routes: int, calls: int, core: int) -> None:
    """Measure and print JSON."""
    reactor.startRunning(installSignalHandlers=False)
    allowed = sorted(os.sched_getaffinity(0))
    own = {core if core >= 0 else allowed[0]}
    os.sched_setaffinity(0, own)
    result: dict[str, Any] = {
        "machine": f"{platform.machine()}, one of {len(allowed)} cores; Python {platform.python_version()}",
        "bookers": bookers, "routes": routes, "calls_per_s": calls,
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "store"
        bench = Bench(folder, bookers, calls)
        memory.freeze_heap()
        pause(3)
        bench.callers.take()
        pause(5)
        result["steady"] = bench.callers.take() | {"resident_mb": round(resident_mb(), 1)}
        measurement = Measurement(bench, Service(bookers, routes, set(allowed) - own or set(allowed)), routes)
        measurement.whole()
        measurement.deltas()
        measurement.ended(folder)
    click.echo(json.dumps(result | measurement.result, indent=1))


if __name__ == "__main__":
    main()
