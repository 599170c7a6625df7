"""`config check`: everything that is wrong with a node's file, with lines where they can be had."""

from __future__ import annotations

import os
from pathlib import Path

from bitternbeam.config import ConfigError, read_config
from bitternbeam.configuration.compiling import compile_version
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.lines import placed
from bitternbeam.configuration.node import read_site
from bitternbeam.configuration.snapshot import Snapshot


def check_file(path: Path, platform: Path | None) -> list[Fault]:
    """Return what is wrong with a file; bookers that a directory lists can't be known, and are let pass."""
    try:
        site = read_site(path)
    except DocumentError as error:
        return list(error.faults)
    environment = dict(os.environ)
    if platform or site.node.platform:
        environment["GW_CONFIG"] = str(platform or site.beside(site.node.platform))
    if not environment.get("GW_CONFIG"):
        return [Fault("node.platform", "missing, and neither --platform nor GW_CONFIG is there", str(path))]
    try:
        settings = read_config(environment).settings
    except ConfigError as error:
        return [Fault("node.platform", str(error), str(path))]
    try:
        base = Snapshot.empty(settings, Number(0, 0))
        compile_version(base, dict(site.entries), Number(0, 1), lambda _name: True)
    except DocumentError as error:
        return placed(error.faults, path.read_text(), str(path))
    return []
