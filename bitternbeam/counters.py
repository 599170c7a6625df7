"""Named counters of the messages and events that the daemon handles."""

from __future__ import annotations

from collections import Counter
from typing import TextIO

# Current prefixes and the former ones, which operators' scripts may still read.
EARLIER_PREFIXES = {"client.": "caller.", "discovery.": "board."}


class Counters(Counter[str]):
    """Named counts; a name that was never counted reads as 0."""

    def add(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self[name] += by

    def write(self, sink: TextIO) -> None:
        """Print one line per counter, sorted by name; renamed counters appear under both names."""
        printed = dict(self)
        for name, count in self.items():
            for prefix, earlier in EARLIER_PREFIXES.items():
                if name.startswith(prefix):
                    printed[earlier + name.removeprefix(prefix)] = count
        for name in sorted(printed):
            sink.write(f"counter {name} {printed[name]}\n")
        sink.flush()
