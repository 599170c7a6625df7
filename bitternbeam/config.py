"""What the daemon is told at its start, from the environment and the configuration file."""

from __future__ import annotations

import os
import resource
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bitternbeam.decision.interface import Settings
from bitternbeam.descriptors import ADMIN_CLOSING, plan_descriptors
from bitternbeam.fields import FieldError, Fields, parse
from bitternbeam.limits import Limits
from bitternbeam.settings import InputError, read_settings

MAX_OPEN_REQUESTS = 20_000  # requests at once, whatever the settings allow: bounds the memory


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The platform's configuration."""

    name: str
    host: str
    port: int
    seed: int
    discovery_address: str
    known_bookers: dict[str, Any]
    settings: Settings
    limits: Limits
    admin: tuple[str, int] | None = None  # the operators' address: `admin`, or GW_ADMIN before it
    inherited_fd: int | None = None  # GW_INHERITED_FD: the callers' listening socket, held by the platform


def read_address(key: str, text: object) -> tuple[str, int]:
    """Split host:port."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host, int(port)


def descriptor_limit() -> int:
    """Return how many descriptors the system lets this process hold."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def read_config(environment: Mapping[str, str] = os.environ) -> Config:
    """Read GW_CONFIG; GW_NAME and GW_LISTEN come before what it says. Raises ConfigError."""
    top = _read_file(environment.get("GW_CONFIG"))
    try:
        return _config(top, environment)
    except FieldError as error:
        raise ConfigError(str(error)) from None


def _read_file(path: str | None) -> Fields:
    if not path:
        raise ConfigError("GW_CONFIG: not set")
    try:
        return Fields(parse(Path(path).read_text()))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from None
    except FieldError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error}") from None
    except ValueError as error:
        raise ConfigError(f"GW_CONFIG: {path}: not JSON: {error}") from None


def _config(top: Fields, environment: Mapping[str, str]) -> Config:
    for key in ("board", "known", "settings"):
        if not top.contains(key):
            raise ConfigError(f"{key}: missing")
    host, port = read_address("listen", environment.get("GW_LISTEN") or top.text("listen", ""))
    read_address("board", top.raw["board"])
    known = top.nested("known")
    known.integer("rev", 0, minimum=0)
    known.array("notices", [])
    settings = _read_settings(top)
    return Config(
        name=environment.get("GW_NAME") or top.text("name", ""),
        host=host,
        port=port,
        seed=_read_seed(top),
        discovery_address=str(top.raw["board"]),
        known_bookers=known.raw,
        settings=settings,
        limits=_read_limits(top),
        admin=_read_admin(top, environment),
        inherited_fd=_read_inherited(environment),
    )


def _read_settings(top: Fields) -> Settings:
    try:
        return read_settings(top.nested("settings").raw)
    except InputError as error:
        raise ConfigError(f"settings: {str(error).removeprefix('settings: ')}") from None


def _read_seed(top: Fields) -> int:
    seed = top.raw.get("seed", "0")
    try:
        return int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None


def _read_limits(top: Fields) -> Limits:
    """Return the sizes that follow from the descriptors and from the requests that may be open."""
    sockets = top.nested("limits", {}).integer("sockets", 1024, above=0)
    max_open = top.nested("settings").nested("limits").integer("max_open", MAX_OPEN_REQUESTS, above=0)
    try:
        plan = plan_descriptors(min(sockets, descriptor_limit()))
    except ValueError as error:
        raise ConfigError(f"limits.sockets: {error}") from None
    return Limits(
        client_connections=plan.clients,
        client_closing_connections=plan.clients_closing,
        client_excess_connections=plan.excess_clients,
        linger_connections=plan.lingering,
        upstream_connections=plan.upstream,
        calls=min(MAX_OPEN_REQUESTS, max_open),
        admin_connections=plan.admin,
        admin_closing=ADMIN_CLOSING,
    )


def _read_admin(top: Fields, environment: Mapping[str, str]) -> tuple[str, int] | None:
    if text := environment.get("GW_ADMIN"):
        return read_address("GW_ADMIN", text)
    return read_address("admin", top.raw["admin"]) if top.raw.get("admin") else None


def _read_inherited(environment: Mapping[str, str]) -> int | None:
    text = environment.get("GW_INHERITED_FD", "").strip()
    if text and not text.isdecimal():
        raise ConfigError(f"GW_INHERITED_FD: {text!r} is not a descriptor number")
    return int(text) if text else None
