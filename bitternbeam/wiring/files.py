"""deploy/sip.toml and deploy/plugins.toml: the files of their own that the platform's `run` looks into.

What they say is read by the one schema of the configuration. Where a file is absent or says that its part is
off, as on the platform, nothing of that is loaded.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from bitternbeam.config import ConfigError
from bitternbeam.decision.interface import Settings

if TYPE_CHECKING:
    from bitternbeam.configuration.snapshot import Snapshot
    from bitternbeam.net.sip.settings import SipSettings
    from bitternbeam.plugins.settings import PluginSettings


def read_tables_of(path: Path, section: str) -> dict[str, Any] | None:
    """Read a file; None if it is absent or says that its section is off."""
    try:
        raw = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    table = raw.get(section, {})
    return None if isinstance(table, dict) and table.get("enabled") is False else raw


def snapshot_of(raw: dict[str, Any], settings: Settings) -> Snapshot:
    """Compile the tables of a file; raises ConfigError, which names the first key that is wrong."""
    from bitternbeam.configuration.compiling import compile_version  # noqa: PLC0415 - see above
    from bitternbeam.configuration.delta import Number  # noqa: PLC0415 - see above
    from bitternbeam.configuration.faults import DocumentError  # noqa: PLC0415 - see above
    from bitternbeam.configuration.reading import read_tables  # noqa: PLC0415 - see above
    from bitternbeam.configuration.snapshot import Snapshot  # noqa: PLC0415 - see above

    try:
        base = Snapshot.empty(settings, Number(0, 0))
        return compile_version(base, dict(read_tables(raw)), Number(0, 1), lambda _name: False)
    except DocumentError as error:
        raise ConfigError(str(error.faults[0])) from None


def read_sip(path: Path, settings: Settings) -> SipSettings | None:
    """Read the SIP side's file; None if it is off."""
    raw = read_tables_of(path, "sip")
    if raw is None:
        return None
    if "sip" not in raw:
        raise ConfigError("sip: missing")
    from bitternbeam.net.sip.settings import sip_settings  # noqa: PLC0415 - see above

    return sip_settings(snapshot_of(raw, settings))


def read_plugin(path: Path, settings: Settings) -> PluginSettings | None:
    """Read the plug-in's file; None if it is off."""
    raw = read_tables_of(path, "plugin")
    if not raw or not raw.get("plugin", True):
        return None
    from bitternbeam.plugins.settings import plugin_settings  # noqa: PLC0415 - see above

    return plugin_settings(snapshot_of(raw, settings).plugin, path.parent)
