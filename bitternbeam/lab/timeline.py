"""All logs of a run as one timeline: members, engine and receivers, in order of time."""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any


def lines_of(path: Path, offset_us: int) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield a log's lines with their Unix time in microseconds; a line that is no record is kept as text.

    Members stamp Unix time (`timestamp`); stand-ins stamp the monotonic clock (`at_us`), which `offset_us`
    turns into Unix time.
    """
    last_us = 0
    for raw in path.read_text(errors="replace").splitlines():
        try:
            line = json.loads(raw)
        except ValueError:
            line = {"event": raw}  # a traceback, or a warning of the interpreter's
        if not isinstance(line, dict):
            line = {"event": raw}
        if "timestamp" in line:
            last_us = int(datetime.fromisoformat(line["timestamp"]).timestamp() * 1e6)
        elif isinstance(line.get("at_us"), int):
            last_us = line["at_us"] + offset_us
        yield last_us, line


def merge(folder: Path, offset_us: int) -> Path:
    """Merge a run's logs into timeline.jsonl, one JSON object a line with `at_us` and `from`."""
    found = []
    for path in sorted(folder.glob("*.jsonl")):
        if path.name == "timeline.jsonl":
            continue
        source = path.name.removesuffix(".jsonl").removesuffix(".log")
        found += [(at_us, source, line) for at_us, line in lines_of(path, offset_us)]
    found.sort(key=lambda one: one[0])
    target = folder / "timeline.jsonl"
    with target.open("w") as out:
        for at_us, source, line in found:
            out.write(json.dumps(line | {"at_us": at_us, "from": source}) + "\n")
    return target
