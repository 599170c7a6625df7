"""The laboratory's commands: runs in a folder that is kept or thrown away, one result each."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from bitternbeam.lab.processes import LabError
from bitternbeam.lab.terms import Terms


def run_in(logs: Path | None, as_json: bool, work: Callable[[Path], dict[str, Any]]) -> int:
    """Do a run in a folder; print its result as JSON or a figure a line; returns the exit status."""
    try:
        if logs is not None:
            if logs.exists() and any(logs.iterdir()):
                raise click.UsageError(f"--logs {logs}: the folder is not empty")
            result = work(logs)
        else:
            with tempfile.TemporaryDirectory(prefix="bitternbeam-lab-") as folder:
                result = work(Path(folder))
    except (LabError, ImportError) as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(result))
    else:
        for key, value in result.items():
            click.echo(f"{key}: {value}")
    return 0


def run_owners(
    faults: tuple[str, ...], logs: Path | None, as_json: bool, *, ttl_ms: int, lock_delay_ms: int, **told: Any
) -> int:
    """Run `lab owners`."""
    from bitternbeam.lab.owners import owners  # noqa: PLC0415

    # The margin and the pause keep their part of the TTL.
    terms = Terms(ttl_ms=ttl_ms, lock_delay_ms=lock_delay_ms, margin_ms=max(700, ttl_ms // 5))
    return run_in(logs, as_json, lambda folder: owners(folder, kinds=faults, terms=terms, **told))


def run_overload(logs: Path | None, as_json: bool, *, load: float, **told: Any) -> int:
    """Run `lab overload`."""
    from bitternbeam.lab.overload import Script, overload  # noqa: PLC0415

    return run_in(logs, as_json, lambda folder: overload(folder, script=Script(load=load), **told))
