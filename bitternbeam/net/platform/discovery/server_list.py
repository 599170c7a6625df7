"""Applies server list events to the core and to the upstream connections."""

from __future__ import annotations

from bitternbeam.core.control import CallControl
from bitternbeam.decision.interface import ListKind, SwitchEntry
from bitternbeam.net.platform.back import BookerEndpoint, PlatformBack
from bitternbeam.net.platform.discovery.events import ListEvent


class ServerList:
    """Applies each event of the server list to the core and to the upstream connections."""

    def __init__(self, core: CallControl, back: PlatformBack) -> None:
        self.core = core
        self.back = back

    def update(self, kind: ListKind, event: ListEvent) -> None:
        """Apply one event.

        The core is updated first, so that it sends nothing new to a server whose connections are closed.
        """
        servers = event.servers
        entries = [
            SwitchEntry(server.server, server.cell, server.state, server.started_us) for server in servers
        ]
        endpoints = [
            BookerEndpoint(server.server, server.host, server.port, server.state, server.started_us)
            for server in servers
        ]
        self.core.update_bookers(kind, entries)
        self.back.update_endpoints(endpoints, complete=kind is not ListKind.CHANGES)
