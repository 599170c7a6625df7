"""What is measured beside the running controller: compiling alone, and recovery in a new process."""

from __future__ import annotations

import gc
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

from benchmarks.configuration.bench import ROOT, Bench
from bitternbeam.configuration.compiling import compile_version
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.schema import Route


def compiled_alone(bench: Bench) -> dict[str, float]:
    """Return time and memory of checking and compiling a delta of 10 keys, without stream and store."""
    base = bench.keeper.versions.running
    changes: dict[Any, Any] = {("route", f"r{n}"): Route(("g1",), prefix=f"+{n:06d}") for n in range(10)}
    times = []
    for _ in range(200):
        began = time.perf_counter()
        compile_version(base, changes, Number(9, 9), bench.core.states.__contains__)
        times.append((time.perf_counter() - began) * 1000)
    gc.collect()
    tracemalloc.start()
    held = compile_version(base, changes, Number(9, 9), bench.core.states.__contains__)
    kb = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    assert held.number == Number(9, 9)
    return {
        "median_ms": round(sorted(times)[100], 3),
        "p99_ms": round(sorted(times)[198], 3),
        "kb": round(kb, 1),
    }


def recovered(folder: Path, bench: Bench, running: str) -> dict[str, float]:
    """Return how long a new process takes to come up on what the store holds."""
    best = []
    for _ in range(3):
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.configuration.recovery", str(folder)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        imports, took, content, entries = done.stdout.split()
        assert content == running and int(entries) == len(bench.keeper.versions.running.entries)
        best.append((float(took), float(imports)))
    took_s, imports_s = sorted(best)[1]
    return {"s": round(took_s, 2), "imports_s": round(imports_s, 2)}
