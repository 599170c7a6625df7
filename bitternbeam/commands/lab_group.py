"""`bitternbeam lab`: fleets of real processes with faults, counted at the receivers."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from bitternbeam.commands.options import AS_JSON


@click.group()
def lab() -> None:
    """Start a fleet of real processes, inject faults, and count at the receivers (from a checkout)."""


@lab.command()
@click.option("--processes", default=5, show_default=True, type=click.IntRange(2, 200))
@click.option("--bookers", default=8, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--cycles", default=20, show_default=True, type=click.IntRange(0), help="Of each kind of fault."
)
@click.option(
    "--fault", "faults", multiple=True, type=click.Choice(["kill", "pause"]), help="Both unless said."
)
@click.option("--ttl-ms", default=2_000, show_default=True, type=click.IntRange(1_000))
@click.option("--lock-delay-ms", default=300, show_default=True, type=click.IntRange(0, 60_000))
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Folder kept with all logs and their timeline.jsonl."
)
@click.option("--plot", type=click.Path(path_type=Path), help="Draw the ownership timeline (matplotlib).")
@AS_JSON
def owners(faults: tuple[str, ...], logs: Path | None, as_json: bool, **told: Any) -> None:
    """Kill and pause owners of the fleet's work; print takeover times, stale acts and overlaps."""
    from bitternbeam.commands.lab import run_owners  # noqa: PLC0415 - no other command needs it

    sys.exit(run_owners(faults or ("kill", "pause"), logs, as_json, **told))


@lab.command()
@click.option("--processes", default=20, show_default=True, type=click.IntRange(2, 200))
@click.option("--bookers", default=4, show_default=True, type=click.IntRange(1, 100))
@click.option("--rate", default=60.0, show_default=True, help="What one booker serves a second.")
@click.option("--load", default=3.0, show_default=True, help="Offered at the peak, in parts of the capacity.")
@click.option("--logs", type=click.Path(path_type=Path), help="Folder kept with all logs.")
@click.option("--plot", type=click.Path(path_type=Path), help="Draw load, goodput and retries (matplotlib).")
@AS_JSON
def overload(logs: Path | None, as_json: bool, **told: Any) -> None:
    """Overload the bookers with the fleet's sharing on, then off; print both side by side."""
    from bitternbeam.commands.lab import run_overload  # noqa: PLC0415 - no other command needs it

    sys.exit(run_overload(logs, as_json, **told))
