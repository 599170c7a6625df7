"""Which plug-in runs and within what limits."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bitternbeam.configuration.schema import Plugin


@dataclass(frozen=True, slots=True)
class PluginSettings:
    """One plug-in."""

    path: Path
    fuel: int = 100_000  # instructions, about, for each call of one of its functions
    memory_bytes: int = 1024 * 1024


def plugin_settings(plugin: Plugin | None, folder: Path) -> PluginSettings | None:
    """Return what a version says of the plug-in, its file seen from a folder; None: it is off."""
    if plugin is None or not plugin.enabled:
        return None
    return PluginSettings(folder / plugin.file, plugin.fuel, plugin.memory_kb * 1024)
