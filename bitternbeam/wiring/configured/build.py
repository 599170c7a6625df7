"""`run --config FILE`: the daemon whose calls are decided under numbered versions of its configuration."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

from bitternbeam.config import ConfigError, read_config
from bitternbeam.configuration.faults import DocumentError
from bitternbeam.configuration.node import Site, read_site
from bitternbeam.net.sip.settings import sip_settings
from bitternbeam.store.records import StoreError
from bitternbeam.wiring.configured.checks import one_directory
from bitternbeam.wiring.configured.coming_up import open_store
from bitternbeam.wiring.configured.followers import PluginFollower, SipFollower
from bitternbeam.wiring.configured.operators import OperatorsPart
from bitternbeam.wiring.configured.part import ConfigurationPart
from bitternbeam.wiring.daemon import Daemon
from bitternbeam.wiring.platform import PlatformPart


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
    follower: SipFollower | None = None
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
        _join_fleet(daemon, site, configuration, parts, follower)
    if site.node.socket:
        daemon.parts.append(OperatorsPart(daemon, configuration, site.beside(site.node.socket)))
    return daemon


def _join_fleet(
    daemon: Daemon, site: Site, configuration: ConfigurationPart, parts: list[Any],
    follower: SipFollower | None,
) -> None:  # fmt: skip
    """Add the fleet's member, which bounds what the parts send; `follower` is there where SIP is on."""
    from bitternbeam.wiring.fleet.member import Member  # noqa: PLC0415 - only where [fleet] is on

    fleet, common, keeper = site.fleet, daemon.common, configuration.keeper
    assert fleet is not None
    away_us = parts[0].core.settings.max_stay_away_us
    member = Member(
        common.reactor, common.deadlines, common.counters, fleet, keeper.versions, away_us=away_us,
        reread=lambda: read_site(site.path).fleet,
    )  # fmt: skip
    daemon.parts.append(member)
    for part in parts:
        part.core.bounds = member.bounds()
    keeper.checks += member.checks(configuration.offer_file)
    if fleet.directory:
        keeper.checks.append(one_directory)
        if follower is not None:
            # The document's bookers serve until the first view comes.
            member.listing.listed = parts[-1].site.listed
            follower.viewed = lambda: bool(member.listing.servers)


def run(path: Path) -> int:
    """Run the daemon of a file until SIGTERM; returns the exit status, 2 where it can't begin."""
    from twisted.internet import reactor  # noqa: PLC0415 - installed when it is first named

    from bitternbeam.logs import configure_logging  # noqa: PLC0415 - structlog is not for the platform
    from bitternbeam.net.control.tls import TlsError  # noqa: PLC0415 - likewise

    try:
        site = read_site(path)
        configure_logging(site.node.log, site.node.log_level)
        daemon = build(reactor, site)
    except DocumentError as error:
        for fault in error.faults:
            sys.stderr.write(f"bitternbeam: {fault}\n")
        return 2
    except (ConfigError, StoreError, TlsError) as error:
        sys.stderr.write(f"bitternbeam: {error}\n")
        return 2
    return daemon.run()
