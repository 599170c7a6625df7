"""What a subsystem of the fleet is to the member that drives it: one more of these, no branch for it.

All extensions share the member's standing questions and its one report a period: what an extension has to
tell its owner goes into the report under its own name, what its owner decides goes out as the record of one
of its works. So the requests to the engine do not grow with what the fleet does.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from bitternbeam.configuration.fleet import Fleet
from bitternbeam.core.ports import TrafficLimiter
from bitternbeam.net.coordination import KvEntry
from bitternbeam.wiring.fleet.work import Work


class Extension:
    """A subsystem that does nothing; others override what they do. Called in the reactor's thread."""

    name = ""  # its key in the report and in the status
    works: Sequence[Work] = ()  # leased, acted on and published by the member
    bounds: TrafficLimiter | None = None  # what the cores ask, in the order of the extensions

    def shown(self, entries: Mapping[str, KvEntry], now_us: int) -> None:
        """Take the records as the watch shows them; its works were told."""

    def tick(self, now_us: int) -> None:
        """Look at what is due, once a tick of the lease's times."""

    def reports(self, now_us: int) -> dict[str, Any]:
        """Return its part of the report that is sent now, at each turn of a period; {}: nothing."""
        return {}

    def leads(self) -> bool:
        """Tell whether the members' reports are wanted: this member owns one of the works."""
        return any(work.claim.token is not None for work in self.works)

    def heard(self, parts: Mapping[str, dict[str, Any]], now_us: int) -> None:
        """Take its parts of the reports by member, in the middle of each period in which it leads."""

    def restarted(self) -> None:
        """Note that the engine lost what it held; the works were told."""

    def reload(self, fleet: Fleet) -> None:
        """Take what may change in service of a [fleet] section that was read anew; it was checked."""

    def status(self) -> dict[str, Any]:
        """Return what `bitternbeam status` shows of it."""
        return {}
