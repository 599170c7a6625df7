"""`numbers`: plans of numbers are checked and compiled, and numbers looked up in a table."""

from __future__ import annotations

import json
import time
from datetime import datetime
from pathlib import Path

import click

from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.numbers.normal import Dialling, NumberError, normalise
from bitternbeam.numbers.plan import Plans, build
from bitternbeam.numbers.rules import Source, read_source
from bitternbeam.numbers.table import Table, TableError, write_table


def built(files: tuple[Path, ...], version: str) -> Plans | None:
    """Build plans, each called after its file; prints what is wrong with them and returns None."""
    sources: list[Source] = []
    faults: list[Fault] = []
    for path in files:
        try:
            with path.open(encoding="utf-8") as lines:
                sources.append(read_source(path.stem, lines, str(path)))
        except (OSError, UnicodeDecodeError) as error:
            faults.append(Fault("", getattr(error, "strerror", None) or "not UTF-8", str(path)))
        except DocumentError as error:
            faults += error.faults
    if not faults:
        try:
            return build(sources, version, {path.stem: str(path) for path in files})
        except DocumentError as error:
            faults += error.faults
    for fault in faults:
        click.echo(str(fault))
    return None


def compiled(files: tuple[Path, ...], table: Path, version: str) -> int:
    """Compile plans into a table; returns the exit status."""
    plans = built(files, version)
    if plans is None:
        return 1
    try:
        head = write_table(plans, table)
    except TableError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{table}: {head.rules} rules, version {head.version or head.digest[:16]}")
    return 0


def looked_up(
    table: Path,
    called: tuple[str, ...],
    at: str | None,
    *,
    dialling: Dialling,
    call_class: str,
    cell: int,
    plan: str,
) -> int:
    """Print what a table says of numbers; returns the exit status."""
    try:
        at_us = int(datetime.fromisoformat(at).timestamp() * 1e6) if at else time.time_ns() // 1000
    except ValueError:
        raise click.UsageError(f"--at: {at!r} is no time, as 2026-12-25T00:00:00+01:00") from None
    try:
        mapped = Table(table)
    except TableError as error:
        raise click.ClickException(str(error)) from None
    if plan and plan not in mapped.head.plans:
        raise click.UsageError(f"--plan: {plan!r}: known are {', '.join(mapped.head.plans)}")
    status = 0
    for text in called:
        try:
            number = normalise(text, dialling).number
        except NumberError as error:
            click.echo(json.dumps({"number": text, "error": str(error)}))
            status = 1
            continue
        found = mapped.analyse(number, call_class, cell, at_us, plan)
        told = {
            "number": number, "prefix": found.prefix, "route": found.route or None,
            "version": mapped.version or mapped.head.digest[:16], "plan": found.plan,
            "goes_on_as": found.number, "cause": found.cause or None, "lines": found.lines,
        }  # fmt: skip
        click.echo(json.dumps(told))
    mapped.close()
    return status
