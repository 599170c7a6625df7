"""Which plug-in runs and within what limits, as its file says."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

from bitternbeam.config import ConfigError


@dataclass(frozen=True, slots=True)
class PluginSettings:
    """One plug-in."""

    path: Path
    fuel: int = 100_000  # instructions, about, for each call of one of its functions
    memory_bytes: int = 1024 * 1024


def read_plugin(path: Path) -> PluginSettings | None:
    """Read the file; None if there is none or it says that no plug-in is wanted."""
    try:
        raw = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    table = raw.get("plugin", {})
    if not isinstance(table, dict):
        raise ConfigError("plugin: not a table")
    if unknown := sorted(table.keys() - {"enabled", "file", "fuel", "memory_kb"}):
        raise ConfigError(f"plugin.{unknown[0]}: not a key of a plug-in")
    if not isinstance(table.get("enabled", False), bool):
        raise ConfigError("plugin.enabled: not true or false")
    if not table.get("enabled", False):
        return None
    name = table.get("file")
    if not isinstance(name, str) or not name:
        raise ConfigError("plugin.file: missing or not a path")
    figures = {"fuel": 100_000, "memory_kb": 1024}
    for key, usual in figures.items():
        value = table.get(key, usual)
        if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
            raise ConfigError(f"plugin.{key}: {value!r} is not a whole number above 0")
        figures[key] = value
    return PluginSettings(path.parent / name, figures["fuel"], figures["memory_kb"] * 1024)
