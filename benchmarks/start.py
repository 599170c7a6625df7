"""Memory and time to ready of the platform's `run` against another checkout, side by side.

    python -m benchmarks.start OTHER_CHECKOUT [--python PYTHON] [--rounds N]

Each round starts one of either, in turn, on example/config.json with a port of the system's choice, waits for
the line that tells where it listens, then reads what of it is resident.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

HERE = Path(__file__).parents[1]


def once(folder: Path, python: str) -> tuple[float, float]:
    """Start one controller and end it; returns seconds to ready and resident MB."""
    more = {"GW_CONFIG": str(folder / "example/config.json"), "GW_LISTEN": "127.0.0.1:0"}
    began = time.perf_counter()
    code = [python, "-B", "-m", "bitternbeam"]
    with subprocess.Popen(code, cwd=folder, env=os.environ | more, stderr=subprocess.PIPE) as run:
        assert run.stderr
        while b"listens on" not in run.stderr.readline():
            if run.poll() is not None:
                raise SystemExit(f"{folder}: ended with {run.returncode}")
        ready_s = time.perf_counter() - began
        time.sleep(0.5)
        status = Path(f"/proc/{run.pid}/status").read_text()
        resident_kb = int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])
        run.kill()
    return ready_s, resident_kb / 1000


@click.command()
@click.argument("other", type=click.Path(path_type=Path, exists=True))
@click.option(
    "--python", default=sys.executable, help="With requirements.txt alone, as the platform builds it."
)
@click.option("--rounds", default=9, show_default=True)
def main(other: Path, python: str, rounds: int) -> None:
    """Measure and print JSON: medians."""
    seen: dict[str, list[tuple[float, float]]] = {"this": [], "other": []}
    with tempfile.TemporaryDirectory() as cache:
        os.environ["PYTHONPYCACHEPREFIX"] = cache  # neither may profit from the other's
        for folder in (HERE, other):
            subprocess.run([python, "-m", "compileall", "-q", "bitternbeam"], cwd=folder, check=True)
        for _ in range(rounds):
            seen["this"].append(once(HERE, python))
            seen["other"].append(once(other, python))
    result = {
        name: {
            "ready_s": round(statistics.median(one[0] for one in rows), 3),
            "resident_mb": round(statistics.median(one[1] for one in rows), 2),
        }
        for name, rows in seen.items()
    }
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
