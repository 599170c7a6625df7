"""What follows a swap to another version: the SIP side's servers, and the plug-in."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternbeam.config import ConfigError
from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.node import Site
from bitternbeam.configuration.schema import Plugin
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.net.sip.settings import consul_settings, servers_of
from bitternbeam.plugins.settings import plugin_settings
from bitternbeam.wiring.daemon import Daemon


class SipFollower:
    """Keeps the SIP side at what the version says of its servers and of Consul."""

    def __init__(self, part: Any, snapshot: Snapshot) -> None:
        self.part = part
        self.servers = servers_of(snapshot)
        self.consul = consul_settings(snapshot)
        self.viewed: Callable[[], bool] = lambda: False  # whether the fleet's pool view is the list

    def __call__(self, snapshot: Snapshot) -> None:
        """Follow a swap."""
        servers, consul = servers_of(snapshot), consul_settings(snapshot)
        told = consul is None and (servers != self.servers or self.consul is not None)
        if consul != self.consul:
            self.part.follow(consul)
            if consul is not None:
                self.part.site.consul.start()
        self.servers, self.consul = servers, consul
        if told and not self.viewed():
            self.part.serve(servers)


class PluginFollower:
    """Puts the version's plug-in before the cores: checked with the version, asked from the swap on."""

    def __init__(self, daemon: Daemon, site: Site) -> None:
        self.daemon = daemon
        self.site = site
        self.ready: dict[str, Any] = {}
        self.now: Plugin | None = None

    def gates(self, snapshot: Snapshot) -> dict[str, Any]:
        """Load the plug-in once for each core; raises DocumentError."""
        settings = plugin_settings(snapshot.plugin, self.site.path.parent)
        if settings is None:
            return {}
        from bitternbeam.plugins.wasm import WasmGate  # noqa: PLC0415 - its runtime takes memory

        config = self.daemon.common.config
        names = [kind.name for kind in config.settings.classes]
        away_us = config.settings.max_stay_away_us
        try:
            return {
                part.name: WasmGate(settings, names, away_us, self.daemon.counters)
                for part in self.daemon.serving
            }
        except ConfigError as error:
            key, _, what = str(error).partition(": ")
            raise DocumentError([Fault(key, what)]) from None

    def check(self, old: Snapshot, new: Snapshot) -> None:
        """Load what a version wants before it is staged."""
        if new.plugin != old.plugin:
            self.ready = self.gates(new)

    def __call__(self, snapshot: Snapshot) -> None:
        """Follow a swap; after a rollback the old plug-in is loaded again."""
        if snapshot.plugin == self.now:
            return
        self.begin(snapshot)

    def begin(self, snapshot: Snapshot) -> None:
        """Put a version's plug-in to work, loaded now if it was not checked; raises DocumentError."""
        self.now = snapshot.plugin
        gates, self.ready = self.ready or self.gates(snapshot), {}
        for part in self.daemon.serving:
            part.core.admission_filter = gates.get(part.name)
