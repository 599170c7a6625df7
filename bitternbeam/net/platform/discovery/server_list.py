"""Where the list goes: to the core, which decides by it, and to the upstream connections."""

from __future__ import annotations

from bitternbeam.core.control import CallControl
from bitternbeam.decision.interface import ListKind, SwitchEntry
from bitternbeam.net.platform.back import BookerEndpoint, PlatformBack
from bitternbeam.net.platform.discovery.events import ListEvent


class ServerList:
    """Hands each event of the list to the core and to the upstream side."""

    def __init__(self, core: CallControl, back: PlatformBack) -> None:
        self.core = core
        self.back = back

    def update(self, kind: ListKind, event: ListEvent) -> None:
        """Apply one event.

        The core comes first: nothing new may go to a server whose connections are being closed.
        """
        servers = event.servers
        entries = [SwitchEntry(one.server, one.cell, one.state, one.started_us) for one in servers]
        places = [
            BookerEndpoint(one.server, one.host, one.port, one.state, one.started_us) for one in servers
        ]
        self.core.update_bookers(kind, entries)
        self.back.update_endpoints(places, complete=kind is not ListKind.CHANGES)
