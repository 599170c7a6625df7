"""`bitternbeam`: the daemon of a file, checks of files, and questions to a daemon that runs.

Exit status: 0 done; 1 the answer is no (a file with faults, a version turned down, a daemon that does not
answer); 2 a command or a configuration that can't be used.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from bitternbeam.commands.asking import NoAnswerError, ask
from bitternbeam.commands.lab_group import lab
from bitternbeam.commands.numbers_group import numbers
from bitternbeam.commands.options import AS_JSON

SOCKET = click.option(
    "--socket",
    type=click.Path(path_type=Path),
    envvar="BITTERNBEAM_SOCKET",
    default="bitternbeam.sock",
    show_default=True,
    help="Unix socket of the daemon, as its [node] names it.",
)


def questioned(path: Path, question: dict[str, Any], as_json: bool, show: Callable[[Any], str]) -> None:
    """Print the answers to a question."""
    try:
        for answer in ask(path, question):
            click.echo(json.dumps(answer) if as_json else show(answer))
    except NoAnswerError as error:
        raise click.ClickException(str(error)) from None


@click.group()
@click.version_option(package_name="bitternbeam", message="%(prog)s %(version)s")
def cli() -> None:
    """Run and look after a bitternbeam session controller."""


@cli.command()
@click.option(
    "--config", "path", type=click.Path(path_type=Path), required=True, help="The node's TOML file."
)
def run(path: Path) -> None:
    """Run the daemon of a file until SIGTERM."""
    from bitternbeam.wiring.configured.build import run as run_daemon  # noqa: PLC0415 - no other command needs it

    sys.exit(run_daemon(path))


@cli.group()
def config() -> None:
    """Check configuration files; show, compare and go back to versions."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--platform",
    type=click.Path(path_type=Path),
    help="The platform's JSON, whose classes and limits are checked against; else the file's own [node].",
)
@AS_JSON
def check(files: tuple[Path, ...], platform: Path | None, as_json: bool) -> None:
    """Check files; prints one line an error as FILE:LINE: KEY: what is wrong."""
    from bitternbeam.commands.checking import check_file  # noqa: PLC0415 - no other command needs it

    faults = [fault for path in files for fault in check_file(path, platform)]
    if as_json:
        keys = ("file", "line", "key", "what")
        click.echo(json.dumps([{key: getattr(fault, key) for key in keys} for fault in faults]))
    else:
        for fault in faults:
            click.echo(str(fault))
    sys.exit(1 if faults else 0)


@config.command()
def reference() -> None:
    """Print every section and key as Markdown."""
    from bitternbeam.commands.reference import reference as made  # noqa: PLC0415 - no other command needs it

    click.echo(made(), nl=False)


@config.command()
@click.argument("section", required=False)
@click.argument("name", required=False)
@SOCKET
@AS_JSON
def show(section: str | None, name: str | None, socket: Path, as_json: bool) -> None:
    """Print the entries of the version that runs."""
    question = {"ask": "show", "section": section, "name": name}
    questioned(socket, question, as_json, lambda one: f"{dotted(one[0], one[1])} {json.dumps(one[2])}")


@config.command()
@SOCKET
@AS_JSON
def versions(socket: Path, as_json: bool) -> None:
    """Print the version that runs, those that can be gone back to, and how others ended."""

    def lines(answer: Any) -> str:
        now = answer["running"]
        shown = [f"{now['number']:>12}  runs, {now['stage']}  {now['reason']}".rstrip()]
        shown += [f"{one['number']:>12}  good  {one['reason']}" for one in reversed(answer["past"])]
        for one in reversed(answer["ended"]):
            key = f"{one['key']}: " if one["key"] else ""
            shown.append(f"{one['number']:>12}  {one['stage']}  {key}{one['reason']}")
        return "\n".join(shown)

    questioned(socket, {"ask": "versions"}, as_json, lines)


@config.command()
@click.argument("first")
@click.argument("second")
@SOCKET
@AS_JSON
def diff(first: str, second: str, socket: Path, as_json: bool) -> None:
    """Print the entries in which two kept versions differ, as EPOCH.NUMBER."""

    def lines(one: Any) -> str:
        key = dotted(one[0], one[1])
        sides = [f"{sign} {key} {json.dumps(side)}" for sign, side in zip("-+", one[2:], strict=True) if side]
        return "\n".join(sides)

    questioned(socket, {"ask": "diff", "first": first, "second": second}, as_json, lines)


@config.command()
@click.argument("number")
@SOCKET
@AS_JSON
def rollback(number: str, socket: Path, as_json: bool) -> None:
    """Go back to a good version that is kept, as EPOCH.NUMBER."""
    try:
        (answer,) = ask(socket, {"ask": "rollback", "number": number})
    except NoAnswerError as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(answer))
    else:
        for fault in answer.get("faults", ()):
            click.echo(fault)
        if "faults" not in answer:
            click.echo(f"version {answer['number']} is held and applied")
    sys.exit(1 if "faults" in answer else 0)


@cli.command()
@SOCKET
@AS_JSON
def status(socket: Path, as_json: bool) -> None:
    """Print what each part of the daemon says of itself."""

    def lines(answer: Any, indent: str = "") -> str:
        shown = []
        for key, value in answer.items():
            if isinstance(value, dict):
                shown.append(f"{indent}{key}:\n{lines(value, indent + '  ')}".rstrip())
            else:
                shown.append(f"{indent}{key}: {'-' if value in (None, '') else value}")
        return "\n".join(shown)

    questioned(socket, {"ask": "status"}, as_json, lines)


@cli.command()
@SOCKET
@AS_JSON
def bookers(socket: Path, as_json: bool) -> None:
    """Print the bookers on the list: side, name, cell, state."""
    questioned(socket, {"ask": "bookers"}, as_json, lambda one: " ".join(map(str, one)))


@cli.command()
@click.option("--version", "number", help="Only calls that were offered under this version.")
@SOCKET
@AS_JSON
def calls(number: str | None, socket: Path, as_json: bool) -> None:
    """Print the open calls, each with its booker and version."""
    question = {"ask": "calls", "version": number}
    questioned(
        socket, question, as_json, lambda one: " ".join(f"{key}={value}" for key, value in one.items())
    )


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a shell: eval it, or keep it in a file that the shell reads."""
    from click.shell_completion import get_completion_class  # noqa: PLC0415 - no other command needs it

    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(cli, {}, "bitternbeam", "_BITTERNBEAM_COMPLETE").source())


cli.add_command(numbers)
cli.add_command(lab)


def dotted(section: str, name: str) -> str:
    """Return an entry's key as people write it."""
    return f"{section}.{name}" if name else section


def main() -> int:
    """Run a command; returns the exit status."""
    try:
        cli.main(prog_name="bitternbeam", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return 2 if isinstance(error, click.UsageError) else 1
    except click.Abort:
        return 1
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
