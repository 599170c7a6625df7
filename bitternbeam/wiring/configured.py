"""`run --config FILE`: the daemon whose calls are decided under numbered versions of its configuration."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from bitternbeam import memory
from bitternbeam.config import Config, ConfigError, read_address, read_config
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.faults import DocumentError, Fault, path_of
from bitternbeam.configuration.keeper import Keeper, Result
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.negotiation import Bounds
from bitternbeam.configuration.node import TWO_DIRECTORIES, Site, read_site
from bitternbeam.configuration.probation import Terms
from bitternbeam.configuration.schema import SECTIONS, AnyEntry, Plugin, Sip
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.configuration.versions import Draft, Versions, content_of
from bitternbeam.core.control import CallControl
from bitternbeam.net.control.client import ControlAddress, ControlClient
from bitternbeam.net.control.operators import Answer, AskError, OperatorSocket
from bitternbeam.net.control.tls import TlsFiles, client_options
from bitternbeam.net.sip.settings import consul_settings, servers_of, sip_settings
from bitternbeam.plugins.settings import plugin_settings
from bitternbeam.store.versions import StoreError, VersionStore
from bitternbeam.wiring.daemon import Daemon
from bitternbeam.wiring.parts import Part
from bitternbeam.wiring.platform import PlatformPart
from bitternbeam.wiring.recovering import keep_file, recover
from bitternbeam.wiring.store import ThreadedStore

log = logging.getLogger("bitternbeam")

RESTART = "is taken by a restart alone"


def open_store(site: Site) -> VersionStore | None:
    """Open the store that the file names; None: none is wanted, or the file is to do without."""
    if not site.node.store:
        return None
    try:
        return VersionStore(site.beside(site.node.store), site.node.store_mb)
    except StoreError as error:
        if site.node.on_store_error == "refuse":
            raise
        log.error("%s; going on with the file, without a store", error)
        return None


def versions_of(
    site: Site, config: Config, store: VersionStore | None, terms: Terms, now_us: int
) -> tuple[Versions, Draft | None, VersionStore | None]:
    """Come up on one whole version: the store's, or the file's where the store can't be used."""
    limits = config.limits
    bounds = Bounds(limits.control_version_bytes, limits.control_version_entries)
    if store is not None:
        try:
            versions, staged = recover(config.settings, site.entries, store, terms, now_us, bounds=bounds)
            if store.empty:
                keep_file(store, versions.good, now_us)
            return versions, staged, store
        except (StoreError, DocumentError) as error:
            store.close()
            if site.node.on_store_error == "refuse" or (isinstance(error, DocumentError) and store.empty):
                raise
            log.error("%s; going on with the file, without a store", error)
    versions, staged = recover(config.settings, site.entries, None, terms, now_us, bounds=bounds)
    return versions, staged, None


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
        self.keeper = Keeper(
            versions=versions,
            clock=common.deadlines,
            soon=lambda act: common.reactor.callLater(0, act),
            listed=self.listed,
            counters=common.counters,
            store=self.store,
            busy=memory.at_work,
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
        return any(name in core.listed_as for core in self.cores)

    def serve(self, core: CallControl) -> None:
        """Decide the calls of a core under the version that runs."""
        self.cores.append(core)
        core.policies = self.keeper.versions.pinning

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


def fixed(old: Snapshot, new: Snapshot) -> None:
    """Refuse a version that changes what this process can't change: where it listens, what headers mean."""
    ours, theirs = old.sip or Sip(), new.sip or Sip()
    faults = [
        Fault(path_of("sip", "", name.replace("call_class", "class")), RESTART)
        for name in ("enabled", "listen", "call_class", "class_header", "load_header", "answer_ms")
        if getattr(ours, name) != getattr(theirs, name)
    ]
    if faults:
        raise DocumentError(faults)


def one_directory(_old: Snapshot, new: Snapshot) -> None:
    """Refuse a version that names a directory beside the fleet's pool view."""
    if new.consul is not None:
        raise DocumentError([Fault("consul", TWO_DIRECTORIES)])


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
            part.core.gate = gates.get(part.name)


class OperatorsPart(Part):
    """The operators' socket and what it answers."""

    name = "operators"

    def __init__(self, daemon: Daemon, configuration: ConfigurationPart, path: Path) -> None:
        self.daemon = daemon
        self.keeper = configuration.keeper
        answers: dict[str, Answer] = {
            "status": self.status_asked,
            "bookers": self.bookers,
            "calls": self.calls,
            "versions": self.versions,
            "show": self.show,
            "diff": self.diff,
            "rollback": self.rollback,
        }
        self.socket = OperatorSocket(daemon.reactor, path, answers, daemon.limits)

    def start(self) -> None:
        """Listen."""
        self.socket.start()

    def stop(self) -> None:
        """Listen no more."""
        self.socket.stop()

    def status_asked(self, _question: dict[str, Any]) -> Any:
        """Return what each part says of itself."""
        name = self.daemon.common.config.name
        told = {part.name: part.status() for part in self.daemon.parts}
        return {"name": name} | {part: status for part, status in told.items() if status}

    def bookers(self, _question: dict[str, Any]) -> Iterator[Any]:
        """Yield every listed booker as its side, name, cell and state."""
        for part in self.daemon.serving:
            for name, state in list(part.core.listed_as.items()):
                yield [part.name, name, part.core.cells.get(name, -1), state.value]

    def calls(self, question: dict[str, Any]) -> Iterator[Any]:
        """Yield every open call, or those of one version."""
        now_us = self.daemon.deadlines.now_us()
        for part in self.daemon.serving:
            for call in part.core.calls.values():
                if question.get("version") in (None, call.plan.version):
                    yield {
                        "side": part.name,
                        "call": call.offer.uid,
                        "class": call.offer.call_class,
                        "state": call.state.value,
                        "booker": call.out.booker if call.out else "",
                        "attempts": call.attempts,
                        "version": call.plan.version,
                        "age_ms": (now_us - call.offer.taken_us) // 1000,
                    }

    def versions(self, _question: dict[str, Any]) -> Any:
        """Return what runs, what can be gone back to, and how others ended."""
        versions = self.keeper.versions
        now = versions.version
        return {
            "running": {"number": str(now.number), "stage": now.stage.value, "reason": now.reason},
            "past": [
                {"number": str(one.number), "at_us": one.at_us, "reason": one.reason, "content": one.content}
                for one in versions.past
            ],
            "ended": [
                {
                    "number": str(one.number),
                    "stage": one.stage.value,
                    "reason": one.reason,
                    "key": one.key,
                    "at_us": one.steps[-1][1],
                }
                for one in versions.ended
            ],
        }

    def show(self, question: dict[str, Any]) -> Iterator[Any]:
        """Yield the entries of the running version, or of one section or key."""
        section, name = question.get("section"), question.get("name")
        if section is not None and section not in SECTIONS:
            raise AskError(f"section {section!r}: known are {', '.join(sorted(SECTIONS))}")
        entries = self.keeper.versions.running.entries
        if name is not None:
            found = entries.get((str(section), str(name)))
            if found is None:
                raise AskError(f"{section}.{name}: no such entry in version {self.running()}")
            return iter([told(str(section), str(name), found)])
        return (told(*key, entry) for key, entry in entries.items() if section in (None, key[0]))

    def running(self) -> Number:
        """Return the number of what runs."""
        return self.keeper.versions.running.number

    def diff(self, question: dict[str, Any]) -> Iterator[Any]:
        """Yield the entries in which two versions differ."""
        first, second = Number.read(str(question["first"])), Number.read(str(question["second"]))
        try:
            pairs = self.keeper.versions.compare(first, second)
        except KeyError as error:
            raise AskError(f"version {error.args[0]} is not among those that are kept") from None
        return ([*key, plain(old), plain(new)] for key, (old, new) in pairs.items())

    def rollback(self, question: dict[str, Any]) -> Any:
        """Go back to a good version of the past; the answer comes once it is held."""
        number = Number.read(str(question["number"]))
        if number == self.running():
            raise AskError(f"version {number} runs already")
        try:
            changes = self.keeper.versions.changes_to(number)
        except KeyError:
            raise AskError(f"version {number} is not among those that are kept") from None
        version = Version(number, "operator")
        version.step(Stage.RECEIVED, self.daemon.deadlines.now_us())
        answer: Deferred[Any] = Deferred()

        def done(result: Result) -> None:
            if result.held:
                answer.callback({"number": str(number), "durable": result.durable})
            else:
                answer.callback({"number": str(number), "faults": [str(one) for one in result.faults]})

        self.keeper.submit(Draft(version, changes, whole=False), done)
        return answer


def plain(entry: AnyEntry | None) -> Any:
    """Return an entry as plain values, without secrets."""
    if entry is None:
        return None
    values = msgspec.to_builtins(entry)
    return {**values, "token": "***"} if values.get("token") else values


def told(section: str, name: str, entry: AnyEntry) -> list[Any]:
    """Return an entry as an answer has it."""
    return [section, name, plain(entry)]


def build(reactor: Any, site: Site) -> Daemon:
    """Put the daemon of a file together; raises ConfigError, DocumentError, StoreError and TlsError."""
    environment = dict(os.environ)
    if site.node.platform:
        environment["GW_CONFIG"] = str(site.beside(site.node.platform))
    daemon = Daemon(reactor, read_config(environment))
    configuration = ConfigurationPart(daemon, site, open_store(site))
    keeper = configuration.keeper
    snapshot = keeper.versions.running
    parts: list[Any] = [PlatformPart(daemon.common)]
    sip = sip_settings(snapshot)
    if sip is not None:
        from bitternbeam.wiring.sip import SipPart  # noqa: PLC0415 - only where it is on

        parts.append(SipPart(daemon.common, sip))
        follower = SipFollower(parts[-1], snapshot)
        keeper.watchers.append(follower)
    daemon.parts += parts
    for part in parts:
        configuration.serve(part.core)
    plugin = PluginFollower(daemon, site)
    plugin.begin(snapshot)
    keeper.checks.append(plugin.check)
    keeper.watchers.append(plugin)
    daemon.parts.append(configuration)
    if site.fleet is not None:
        from bitternbeam.wiring.fleet import Member  # noqa: PLC0415 - only where [fleet] is on

        common = daemon.common
        member = Member(common.reactor, common.deadlines, common.counters, site.fleet, keeper.versions)
        daemon.parts.append(member)
        for part in parts:
            part.core.bounds = member.load.bounds if member.load else None
        if site.fleet.directory:
            keeper.checks.append(one_directory)
            if sip is not None:
                # The document's bookers serve until the first view comes.
                member.listed = parts[-1].site.listed
                follower.viewed = lambda: bool(member.servers)
    if site.node.socket:
        daemon.parts.append(OperatorsPart(daemon, configuration, site.beside(site.node.socket)))
    return daemon


def run(path: Path) -> int:
    """Run the daemon of a file until SIGTERM; returns the exit status, 2 where it can't begin."""
    from twisted.internet import reactor  # noqa: PLC0415 - installed when it is first named

    from bitternbeam.logs import set_up  # noqa: PLC0415 - structlog is not for the platform
    from bitternbeam.net.control.tls import TlsError  # noqa: PLC0415 - likewise

    try:
        site = read_site(path)
        set_up(site.node.log, site.node.log_level)
        daemon = build(reactor, site)
    except DocumentError as error:
        for fault in error.faults:
            sys.stderr.write(f"bitternbeam: {fault}\n")
        return 2
    except (ConfigError, StoreError, TlsError) as error:
        sys.stderr.write(f"bitternbeam: {error}\n")
        return 2
    return daemon.run()
