"""The admin address as a part of the daemon: its questions answered from the parts that serve."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from bitternbeam.metrics.counts import snapshot, sum_counts
from bitternbeam.metrics.pool import count_ejected
from bitternbeam.net.accepting import AcceptBounds
from bitternbeam.net.admin import AdminWire, render_vars
from bitternbeam.net.connect import listen
from bitternbeam.wiring.parts import Part

if TYPE_CHECKING:
    from bitternbeam.wiring.daemon import Daemon

log = logging.getLogger("bitternbeam")


class AdminPart(Part):
    """Listens at `admin` ($GW_ADMIN) for `check` and `vars`."""

    name = "admin"

    def __init__(self, daemon: Daemon, address: tuple[str, int]) -> None:
        self.daemon = daemon
        self.address = address
        common = daemon.common
        self.wire = AdminWire(self.answer, common.deadlines, common.limits, common.counters)
        self.port: Any = None

    def start(self) -> Any:
        """Listen; an address that can't be had ends the daemon before anything is served."""
        host, port = self.address
        limits = self.daemon.limits
        most_open = limits.admin_connections + limits.admin_closing
        bounds = AcceptBounds(most_open, limits.accept_retry_us, self.daemon.counters)
        made = listen(self.daemon.reactor, host, port, self.wire, bounds)
        made.addCallback(self._listening)
        return made

    def _listening(self, port: Any) -> None:
        self.port = port
        log.info("admin listens on %s:%d", self.address[0], port.getHost().port)

    def answer(self, line: bytes) -> str:
        """Return the answer to one line, without its line feed."""
        word = line.decode("ascii", "replace").strip().lower()
        if word == "check":
            if self.daemon.ending:
                return "-ERR ending"
            serving = self.daemon.serving
            return "+OK yes" if serving and all(part.ready() for part in serving) else "-ERR not ready"
        if word == "vars":
            return render_vars(self.figures())
        self.daemon.counters.add("admin.unknown")
        shown = word[:40] if word.isprintable() else "?"
        return f"-ERR unknown command {shown!r}: check or vars" if word else "-ERR empty line: check or vars"

    def figures(self) -> dict[str, object]:
        """Return what `vars` prints, added up over the parts that serve."""
        cores = [part.core for part in self.daemon.serving]
        ejected = sum(count_ejected(getattr(core.module, "switches", {}), core.states) for core in cores)
        return snapshot(
            sum_counts(core.metrics for core in cores),
            active=sum(core.active for core in cores),
            pool_size=sum(len(core.states) for core in cores),
            pool_ejected=ejected,
        )

    def stop(self) -> None:
        """Close the address; questions in flight are cut."""
        if self.port:
            self.port.stopListening()
        self.wire.close_all()
