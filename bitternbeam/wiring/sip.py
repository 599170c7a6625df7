"""The SIP side as a part: the same decisions over servers of its own. Loaded only where it is on."""

from __future__ import annotations

from typing import Any

from bitternbeam.core.control import CallControl
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.net.sip.settings import ConsulSettings, SipServer, SipSettings
from bitternbeam.net.sip.site import SipSite
from bitternbeam.wiring.parts import Common, Serving


class SipPart(Serving):
    """SIP callers, SIP servers, and Consul if it names them."""

    name = "sip"

    def __init__(self, common: Common, settings: SipSettings) -> None:
        self.common = common
        config = common.config
        self.core = CallControl(
            Controller(config.settings, config.seed + 1),
            config.settings,
            common.deadlines,
            common.limits,
            common.counters,
        )
        self.site = SipSite(
            reactor=common.reactor,
            settings=settings,
            core=self.core,
            deadlines=common.deadlines,
            limits=common.limits,
            counters=common.counters,
        )
        self.follow(settings.consul)

    def follow(self, consul: ConsulSettings | None) -> None:
        """Take the list from Consul, or from Consul no longer."""
        if self.site.consul:
            self.site.consul.stop()
            self.site.consul = None
        if consul is None:
            return
        from bitternbeam.net.consul import Consul  # noqa: PLC0415 - its HTTP client takes time to load

        self.site.consul = Consul(
            reactor=self.common.reactor,
            settings=consul,
            listed=self.site.listed,
            deadlines=self.common.deadlines,
            limits=self.common.limits,
            counters=self.common.counters,
        )

    def serve(self, servers: tuple[SipServer, ...]) -> None:
        """Take a version's servers for the list; calls that stand at one that has gone stand on."""
        entries = [SwitchEntry(one.name, one.cell, SwitchState.READY) for one in servers]
        self.site.listed(ListKind.COMPLETE, list(servers), entries)

    def start(self) -> Any:
        """Listen on UDP and TCP."""
        return self.site.start()

    def refuse_new(self) -> None:
        """Turn INVITEs away."""
        self.site.front.closing = True

    def stop(self) -> None:
        """Close the sockets once the last answers have left."""
        self.common.deadlines.after(self.common.limits.flush_us // 2, self.site.stop)
