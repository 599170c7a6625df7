"""The hand-over at an upgrade: the old process leaves what it learned in $TMPDIR, the new one takes it.

Only with an inherited socket (GW_INHERITED_FD): then, and only then, two processes follow each other on one
machine within seconds. The page of upgrades allows no Unix socket and no child program between the two.
"""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path
from typing import Any

from bitternbeam import __version__
from bitternbeam.decision.handover import StateMismatchError, digest, export_state, import_state
from bitternbeam.net.platform.shared_ids import SharedIds
from bitternbeam.wiring.parts import Common

log = logging.getLogger("bitternbeam")

WRITE_US = 250_000  # between two writings
MOST_BYTES = 4 << 20


class Handover:
    """One process's side: what it finds at its start, and what it leaves while it serves."""

    def __init__(self, common: Common, module: Any, folder: Path | None = None) -> None:
        self.common, self.module = common, module
        name = "".join(one if one.isalnum() else "-" for one in common.config.name) or "controller"
        self.path = (folder or Path(os.environ.get("TMPDIR") or "/tmp")) / f"bitternbeam-{name}.handover"
        self.agreed = digest(common.config.settings, __version__)
        self.writing = False

    def take(self) -> None:
        """Go on from what an old process left, if it fits; else start from nothing, with one line."""
        try:
            with self.path.open("rb") as file:
                raw = file.read(MOST_BYTES + 1)
            if len(raw) > MOST_BYTES:
                raise StateMismatchError("it is too large")
            count = import_state(self.module, json.loads(raw), self.common.deadlines.now_us(), self.agreed)
        except FileNotFoundError:
            return
        except OSError as error:
            log.warning("handover %s: %s; starting from nothing", self.path, error.strerror)
        except (StateMismatchError, ValueError, RecursionError) as error:
            why = error if isinstance(error, StateMismatchError) else "it is not JSON"
            self.common.counters.add("handover.refused")
            log.warning("handover %s: %s; starting from nothing", self.path, why)
        else:
            self.common.counters.add("handover.taken")
            log.info("handover: goes on with what was learned of %d bookers", count)

    def keep(self) -> None:
        """Write what is learned now and from now on, until `stop`."""
        self.writing = True
        self._write()

    def shared_ids(self) -> SharedIds:
        """Return the ids that this process shares with the one beside it."""
        stem = self.path.with_suffix(".ids")
        return SharedIds(stem, self.common.deadlines.now_us, self.common.counters)

    def stop(self) -> None:
        """Write no more: what follows is of a process that ends."""
        self.writing = False

    def _write(self) -> None:
        if not self.writing:
            return
        now_us = self.common.deadlines.now_us()
        self.common.deadlines.call_at(now_us + WRITE_US, self._write)
        part = self.path.with_suffix(f".{os.getpid()}")
        try:
            # Renamed into its place: the other process reads a whole file or none.
            part.write_text(json.dumps(export_state(self.module, now_us, self.agreed)))
            part.replace(self.path)
        except OSError as error:
            self.writing = False
            log.warning("handover %s: %s; nothing is left for a new process", self.path, error.strerror)
