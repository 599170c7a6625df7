"""`bitternbeam numbers`: plans of numbers checked and compiled, and numbers looked up."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click


@click.group()
def numbers() -> None:
    """Check and compile plans of numbers, and look numbers up."""


PLANS = click.argument("sources", nargs=-1, required=True, type=click.Path(path_type=Path))


@numbers.command("check")
@PLANS
def check_numbers(sources: tuple[Path, ...]) -> None:
    """Check plans that belong together; prints FILE:LINE: what is wrong, a line an error."""
    from bitternbeam.commands.numbers import built  # noqa: PLC0415 - no other command needs it

    sys.exit(1 if built(sources, "") is None else 0)


@numbers.command("build")
@PLANS
@click.argument("table", type=click.Path(path_type=Path))
@click.option("--version", "number", default="", help="What the table is called; its digest unless said.")
def build_numbers(sources: tuple[Path, ...], table: Path, number: str) -> None:
    """Compile plans, of which the first is where numbers begin, into a table."""
    from bitternbeam.commands.numbers import compiled  # noqa: PLC0415 - no other command needs it

    sys.exit(compiled(sources, table, number))


@numbers.command("lookup")
@click.argument("table", type=click.Path(path_type=Path))
@click.argument("called", nargs=-1, required=True)
@click.option("--at", help="The instant that decides, as 2026-12-25T00:00:00+01:00; now unless said.")
@click.option("--class", "call_class", default="", help="Of the call.")
@click.option("--cell", default=-1, help="Of first choice.")
@click.option("--plan", default="", help="To begin in.")
@click.option("--country", default="", help="The country code of numbers dialled with --national.")
@click.option("--national", default="", help="What is dialled before a national number.")
@click.option("--international", default="00", show_default=True, help="And before a country code.")
@click.option("--short", multiple=True, help="A code that stands for itself.")
def look_up(
    table: Path, called: tuple[str, ...], at: str | None, short: tuple[str, ...], **said: Any
) -> None:
    """Print one JSON object a number: number, prefix, route, version and what led there."""
    from bitternbeam.commands.numbers import looked_up  # noqa: PLC0415 - no other command needs it
    from bitternbeam.numbers.normal import Dialling, NumberError  # noqa: PLC0415 - likewise

    dialled = {name: said.pop(name) for name in ("country", "national", "international")}
    try:
        dialling = Dialling(short=frozenset(short), **dialled)
    except NumberError as error:
        raise click.UsageError(f"--national: {error}") from None
    sys.exit(looked_up(table, called, at, dialling=dialling, **said))
