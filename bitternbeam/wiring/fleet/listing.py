"""The followed pool view handed to who takes its servers, as news of the list."""

from __future__ import annotations

from bitternbeam.counters import Counters
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.fleet.view import Server, change
from bitternbeam.net.consul import Listed
from bitternbeam.net.sip.settings import SipServer
from bitternbeam.net.sip.transport import Hop

STATES = {"ready": SwitchState.READY, "draining": SwitchState.DRAINING}


class Listing:
    """What was last told; `listed` takes the news, None: nobody does."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.listed: Listed | None = None
        self.servers: dict[str, Server] = {}
        self.first = True

    def followed(self, servers: dict[str, Server]) -> None:
        """Hand a view's news on."""
        news = change(self.servers, servers)
        self.servers = servers
        if self.listed is None or not (news.servers or news.gone or self.first):
            return
        entries = [
            SwitchEntry(one.name, one.cell, STATES[one.state], one.started_ms * 1000) for one in news.servers
        ]
        entries += [SwitchEntry(one.name, one.cell, SwitchState.GONE) for one in news.gone]
        told = [SipServer(one.name, Hop(one.transport, one.host, one.port), one.cell) for one in news.servers]
        kind = ListKind.COMPLETE if self.first else ListKind.CHANGES
        self.first = False
        self.counters.add("fleet.lists")
        self.listed(kind, told, entries)
