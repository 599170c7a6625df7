"""A laboratory whose bookers have a capacity and whose members are called."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bitternbeam.lab.fleet import Laboratory
from bitternbeam.lab.loads import Loads, loads_of
from bitternbeam.lab.processes import StandIn
from bitternbeam.lab.terms import Terms


class Called(Laboratory):
    """Members between callers and bookers; `rate` is what one booker serves a second.

    `weights` says how the callers' stream is spread over the members (even where it is shorter), `more` are
    further words for the stand-in bookers.
    """

    call_class = "call"  # the one that its settings have
    back_class = "call"  # of clients that come back
    left_ms = 1_000
    sources: Sequence[str] = ("127.0.0.1",)  # of the callers, with a stream each

    def __init__(
        self,
        folder: Path,
        *,
        processes: int,
        bookers: int,
        rate: float,
        terms: Terms,
        fleet: dict[str, Any],
        toml: str = "",
        weights: Sequence[float] = (),
        more: Sequence[str] = (),
    ) -> None:
        super().__init__(folder, processes=processes, bookers=bookers, terms=terms, fleet=fleet, toml=toml)
        self.rate = rate
        self.weights = [*weights, *[1.0] * processes][:processes]
        self.booker_log, self.caller_log = folder / "bookers.jsonl", folder / "callers.jsonl"
        self.ports = folder / "bookers.json"
        self.board = StandIn(
            "bookers", "standins.booker", folder, "--names", ",".join(self.bookers), "--rate", str(rate),
            "--ports", str(self.ports), "--log", str(self.booker_log), *more,
        )  # fmt: skip
        self.targets = folder / "targets.json"
        self.callers = StandIn(
            "callers", "standins.callers", folder, "--targets", str(self.targets),
            "--log", str(self.caller_log),
        )  # fmt: skip

    def enter(self) -> None:
        """Start the fleet, then the callers."""
        super().enter()
        listen = [self.listen[name] for name in self.names]
        rows = zip(self.names, listen, self.weights, strict=True)
        targets = [[*row, source] for row in rows for source in self.sources]
        kind: dict[str, Any] = {"class": self.call_class, "left_ms": self.left_ms, "cells": len(self.bookers)}
        kind["back"] = self.back_class
        self.targets.write_text(json.dumps({"targets": targets} | kind))
        self.callers.start()
        time.sleep(1)

    def close(self) -> None:
        """End the callers too."""
        self.callers.end()
        super().close()

    def platform(self) -> dict[str, Any]:
        """Return settings with one class, a cell for each booker and the size of this fleet."""
        found = super().platform()
        settings = found["settings"]
        kind = settings["request_classes"][0]
        kind |= {"name": self.call_class, "aim_us": 400_000, "hard_limit_us": self.left_ms * 1000}
        settings["request_classes"] = [kind]
        settings["domain"] |= {
            "class_cells": [list(range(len(self.bookers)))],
            "holding_us": [50_000],
            "widths": [1],
        }
        settings["balancers"] = len(self.names)
        return found

    def call(self, rate: float) -> None:
        """Offer so many calls a second from now on."""
        self.order(self.callers, f"rate {rate}")

    def loads(self) -> Loads:
        """Read what happened."""
        logs = (self.caller_log, self.booker_log, self.receiver_log)
        return loads_of(*(self.lines(path) for path in logs))
