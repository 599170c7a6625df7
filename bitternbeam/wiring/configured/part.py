"""The versions as a part of the daemon: their keeper, their store and where they come from."""

from __future__ import annotations

import logging
from random import Random
from typing import Any

from bitternbeam import memory
from bitternbeam.config import read_address
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.node import Site, read_site
from bitternbeam.configuration.probation import Terms
from bitternbeam.configuration.rollout import Result, Rollout
from bitternbeam.configuration.versions import Draft, content_of
from bitternbeam.core.control import CallControl
from bitternbeam.net.control.client import ControlClient
from bitternbeam.net.control.connection import ControlAddress
from bitternbeam.net.control.tls import TlsFiles, client_options
from bitternbeam.store.versions import VersionStore
from bitternbeam.wiring.configured.checks import fixed
from bitternbeam.wiring.configured.coming_up import versions_of
from bitternbeam.wiring.daemon import Daemon
from bitternbeam.wiring.parts import Part
from bitternbeam.wiring.store import ThreadedStore

log = logging.getLogger("bitternbeam")


class ConfigurationPart(Part):
    """The versions: their keeper, their store and where they come from."""

    name = "configuration"

    def __init__(self, daemon: Daemon, site: Site, store: VersionStore | None) -> None:
        self.site = site
        common = self.common = daemon.common
        terms = Terms(watch_us=site.node.probation_s * 1_000_000)
        now_us = common.deadlines.now_us()
        versions, self.staged, store = versions_of(site, common.config, store, terms, now_us)
        self.store = ThreadedStore(common.reactor, store) if store else None
        self.cores: list[CallControl] = []
        self.keeper = Rollout(
            versions=versions,
            clock=common.deadlines,
            soon=lambda act: common.reactor.callLater(0, act),
            listed=self.listed,
            counters=common.counters,
            store=self.store,
            busy=memory.pause_collection,
        )
        self.keeper.checks.append(fixed)
        self.control = self._control()

    def _control(self) -> ControlClient | None:
        settings = self.site.control
        if not settings.services:
            return None
        tls = None
        if settings.key:
            beside = self.site.beside
            files = TlsFiles(
                beside(settings.certificate), beside(settings.key), beside(settings.authority),
                settings.server_name,
            )  # fmt: skip
            tls = lambda: client_options(files)  # noqa: E731 - read anew each time
        addresses = []
        for text in settings.services:
            addresses.append(ControlAddress(*read_address("control.services", text)))
        common = self.common
        return ControlClient(
            reactor=common.reactor,
            node=common.config.name,
            addresses=addresses,
            keeper=self.keeper,
            deadlines=common.deadlines,
            limits=common.limits,
            counters=common.counters,
            random=Random(common.config.seed + 2),
            tls=tls,
        )

    def listed(self, name: str) -> bool:
        """Tell whether a booker stands on the list of any side."""
        return any(name in core.states for core in self.cores)

    def serve(self, core: CallControl) -> None:
        """Decide the calls of a core under the version that runs."""
        self.cores.append(core)
        core.plan_provider = self.keeper.versions.pinning

    def start(self) -> None:
        """Finish what was staged, and follow the control services."""
        versions = self.keeper.versions
        log.info("version %s runs", versions.running.number, extra={"version": str(versions.running.number)})
        if self.store:
            self.store.start()
        if self.staged:
            draft, self.staged = self.staged, None
            self.keeper.submit(draft, self._told)
        elif not self.control and versions.running.number != Number(0, 0):
            self._submit_file(self.site)
        if self.control:
            self.control.start()

    def _told(self, result: Result) -> None:
        for fault in result.faults:
            log.error("version %s: %s", result.number, fault, extra={"version": str(result.number)})

    def _submit_file(self, site: Site) -> None:
        """Offer the file's document as the next version, if it says anything else than what runs."""
        running = self.keeper.versions.running
        if dict(running.entries) == site.entries:  # a Map is never equal to a dict
            return
        version = Version(Number(running.number.epoch, running.number.number + 1), "file")
        version.step(Stage.RECEIVED, self.common.deadlines.now_us())
        self.keeper.submit(Draft(version, dict(site.entries), whole=True), self._told)

    def reload(self) -> None:
        """Read keys and certificates anew; the file's document too, where no service sends versions."""
        if self.control:
            self.control.reload()
        else:
            self.offer_file()

    def offer_file(self) -> None:
        """Offer the file's document as it is now, where no service sends versions."""
        if not self.control:
            self._submit_file(read_site(self.site.path))

    def stop(self) -> None:
        """Follow the services no more and finish what is being written."""
        if self.control:
            self.control.stop()
        if self.store:
            self.store.stop()

    def status(self) -> dict[str, Any]:
        """Return what runs, how far it is, and what the store and the stream do."""
        versions = self.keeper.versions
        return {
            "running": str(versions.running.number),
            "stage": versions.version.stage.value,
            "reason": versions.version.reason,
            "content": content_of(versions.running),
            "entries": len(versions.running.entries),
            "good": str(versions.good.number),
            "calls_by_version": {str(number): n for number, n in versions.pinning.open.items()},
            "store": "none" if self.store is None else self.keeper.store_trouble or "in use",
            "control": self.control.status() if self.control else None,
        }
