"""The platform's `run`: its own side, and what deploy/sip.toml and deploy/plugins.toml switch on."""

from __future__ import annotations

import logging
import os
import sys
from pathlib import Path
from typing import Any

from twisted.internet import reactor as installed_reactor

from bitternbeam.config import Config, ConfigError, read_config
from bitternbeam.net.connect import listening_socket_problem
from bitternbeam.wiring.daemon import Daemon
from bitternbeam.wiring.files import read_plugin, read_sip
from bitternbeam.wiring.platform import PlatformPart


def build(reactor: Any, config: Config) -> Daemon:
    """Put the platform's daemon together; raises ConfigError."""
    if config.inherited_fd is not None and (problem := listening_socket_problem(config.inherited_fd)):
        raise ConfigError(f"GW_INHERITED_FD: {problem}")
    daemon = Daemon(reactor, config)
    daemon.parts.append(PlatformPart(daemon.common))
    if config.admin is not None:
        from bitternbeam.wiring.admin import AdminPart  # noqa: PLC0415 - only where an admin address is set

        daemon.parts.insert(0, AdminPart(daemon, config.admin))  # its address is tried first
    sip = read_sip(Path(os.environ.get("BITTERNBEAM_SIP", "deploy/sip.toml")), config.settings)
    if sip is not None:
        from bitternbeam.wiring.sip import SipPart  # noqa: PLC0415 - off on the platform

        daemon.parts.append(SipPart(daemon.common, sip))
    plugin = read_plugin(Path(os.environ.get("BITTERNBEAM_PLUGINS", "deploy/plugins.toml")), config.settings)
    if plugin is not None:
        from bitternbeam.plugins.wasm import WasmGate  # noqa: PLC0415 - its runtime takes memory

        names = [kind.name for kind in config.settings.classes]
        for part in daemon.serving:
            part.core.admission_filter = WasmGate(
                plugin, names, config.settings.max_stay_away_us, daemon.counters
            )
    return daemon


def main() -> int:
    """Run the daemon; the exit status is 0 after SIGTERM."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s.%(msecs)03d %(name)s %(message)s",
        datefmt="%H:%M:%S",
    )  # fmt: skip
    try:
        daemon = build(installed_reactor, read_config())
    except ConfigError as error:
        sys.stderr.write(f"bitternbeam: {error}\n")
        return 2
    return daemon.run()
