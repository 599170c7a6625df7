"""Questions to a running daemon over its Unix socket."""

from __future__ import annotations

import json
import socket
from collections.abc import Generator, Iterable, Iterator
from pathlib import Path
from typing import Any

TIMEOUT_S = 30


class NoAnswerError(Exception):
    """The daemon did not answer, or says that it can't; the text says why."""


def ask(path: Path, question: dict[str, Any]) -> Iterator[Any]:
    """Yield the answers to a question: one, or those of a listing."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as wire:
        wire.settimeout(TIMEOUT_S)
        try:
            wire.connect(str(path))
            wire.sendall(json.dumps(question).encode() + b"\n")
            with wire.makefile("rb") as lines:
                if (yield from _answers(lines)):
                    return
        except TimeoutError:
            raise NoAnswerError(f"{path}: no answer within {TIMEOUT_S} s") from None
        except (OSError, ValueError) as error:
            why = getattr(error, "strerror", None) or error
            raise NoAnswerError(f"{path}: {why}; does the daemon run?") from None
        raise NoAnswerError(f"{path}: the daemon closed the connection")


def _answers(lines: Iterable[bytes]) -> Generator[Any, None, bool]:
    """Yield what the daemon's lines answer; returns whether the answer came to its end."""
    for line in lines:
        answer = json.loads(line)
        if "error" in answer:
            raise NoAnswerError(answer["error"])
        if "is" in answer:
            yield answer["is"]
            return True
        if answer.get("end"):
            return True
        yield answer["item"]
    return False
