"""The SIP side as one piece: its own core and module over its own list of servers."""

from __future__ import annotations

from typing import Any

from bitternbeam.core.control import CallControl
from bitternbeam.core.ports import Directory
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.sip.back import SipBack
from bitternbeam.net.sip.front import SipFront
from bitternbeam.net.sip.router import Router
from bitternbeam.net.sip.settings import SipServer, SipSettings
from bitternbeam.net.sip.transaction import Transactions
from bitternbeam.net.sip.transport import Transports
from bitternbeam.tables.deadlines import Deadlines


class SipSite:
    """Wires the SIP front and back to a core."""

    def __init__(
        self,
        *,
        reactor: Any,
        settings: SipSettings,
        core: CallControl,
        deadlines: Deadlines,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.settings = settings
        self.states: dict[str, SwitchEntry] = {}
        self.core = core
        self.transports = Transports(reactor, deadlines, limits, counters)
        self.transactions = Transactions(self.transports, deadlines, limits, counters)
        self.back = SipBack(
            core=core, transactions=self.transactions, settings=settings, limits=limits, counters=counters
        )
        core.attach(self.back)
        self.front = SipFront(
            core=core,
            transactions=self.transactions,
            settings=settings,
            deadlines=deadlines,
            limits=limits,
            counters=counters,
        )
        self.consul: Directory | None = None
        self.router = Router(self.front, self.back, self.transactions)

    def start(self) -> Any:
        """Take the servers of the file and listen; fires once both ports are open."""
        if self.settings.servers:
            entries = [SwitchEntry(one.name, one.cell, SwitchState.READY) for one in self.settings.servers]
            self.listed(ListKind.CACHED, list(self.settings.servers), entries)
        if self.consul:
            self.consul.start()
        return self.transports.listen(self.settings.host, self.settings.port)

    def listed(self, kind: ListKind, servers: list[SipServer], entries: list[SwitchEntry]) -> None:
        """Take news of the list: where servers are, and their states."""
        if kind in (ListKind.COMPLETE, ListKind.CACHED):
            self.back.hops = {}
        self.back.hops.update({one.name: one.hop for one in servers})
        for entry in entries:
            self.states[entry.switch] = entry
            if entry.state is SwitchState.GONE:
                self.back.hops.pop(entry.switch, None)
                del self.states[entry.switch]  # names are new all day
        if kind is not ListKind.CHANGES:
            self.states = {entry.switch: entry for entry in entries}
        ready = {entry.cell for entry in self.states.values() if entry.state is SwitchState.READY}
        self.settings.cells = sorted(ready)
        self.core.update_bookers(kind, entries)

    def stop(self) -> None:
        """Close the sockets once what was written has left."""
        if self.consul:
            self.consul.stop()
        self.transports.close()
