"""Parses discovery's events and heartbeats into typed values. Pure: no I/O, no clock.

An event is `{"rev": N, "pool": {"full": bool, "servers": [...]}}`; a heartbeat is the last revision alone,
as a bare number or as `{"rev": N}`. Numbers may also be strings that Python's `int` accepts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from bitternbeam.decision.interface import SwitchState

STATES = {"up": SwitchState.READY, "draining": SwitchState.DRAINING, "removed": SwitchState.GONE}


class EventFault(Enum):
    """The kind of fault in an event; the value is the last part of a counter's name."""

    MISSING = "missing"
    TYPE = "type"
    VALUE = "value"


class EventError(ValueError):
    """An event is malformed: the kind of fault, its path in the message, and the cause in words."""

    def __init__(self, fault: EventFault, path: str, cause: str) -> None:
        super().__init__(f"{path}: {cause}")
        self.fault = fault
        self.path = path
        self.cause = cause


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The revision of the last event that discovery has."""

    revision: int


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the list; `started_us` is the Unix time of its last restart, or 0."""

    server: str
    host: str
    port: int
    cell: int
    state: SwitchState
    started_us: int


@dataclass(frozen=True, slots=True)
class ListEvent:
    """A numbered change of the server list, or with `full` the complete list."""

    revision: int
    full: bool
    servers: tuple[ServerEntry, ...]


def split_address(text: str) -> tuple[str, int]:
    """Split an address of the form host:port; raises ValueError for any other."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def parse_heartbeat(line: bytes) -> Heartbeat:
    """Parse a line that holds a bare number; raises EventError."""
    return Heartbeat(_parse_integer(line, "line"))


def parse_message(message: Any) -> Heartbeat | ListEvent:
    """Parse one JSON value; raises EventError for the first fault."""
    revision = _parse_integer(_field(message, "rev", "event"), "rev")
    if "pool" not in message:
        return Heartbeat(revision)
    pool = message["pool"]
    full = bool(_field(pool, "full", "pool"))
    servers = _field(pool, "servers", "pool")
    try:
        entries = tuple(_parse_server(server, f"servers[{index}]") for index, server in enumerate(servers))
    except TypeError:
        raise EventError(EventFault.TYPE, "servers", "not a list") from None
    return ListEvent(revision, full, entries)


def _parse_server(server: Any, path: str) -> ServerEntry:
    host, port = _parse_address(_field(server, "addr", path), f"{path}.addr")
    state = _parse_state(_field(server, "state", path), f"{path}.state")
    started_ms = _parse_integer(server.get("started_ms", 0), f"{path}.started_ms")
    cell = _parse_integer(_field(server, "cell", path), f"{path}.cell")
    name = str(_field(server, "id", path))
    return ServerEntry(name, host, port, cell, state, started_ms * 1000)


def _field(parent: Any, key: str, path: str) -> Any:
    if not isinstance(parent, dict):
        raise EventError(EventFault.TYPE, path, "not an object")
    if key not in parent:
        raise EventError(EventFault.MISSING, f"{path}.{key}", "missing")
    return parent[key]


def _parse_integer(value: Any, path: str) -> int:
    try:
        return int(value)
    except TypeError:
        raise EventError(EventFault.TYPE, path, "not a number") from None
    except (ValueError, OverflowError):  # OverflowError for infinity, which Python's json accepts
        raise EventError(EventFault.VALUE, path, "not a whole number") from None


def _parse_address(value: Any, path: str) -> tuple[str, int]:
    if not isinstance(value, str):
        raise EventError(EventFault.TYPE, path, "not a string")
    try:
        return split_address(value)
    except ValueError:
        raise EventError(EventFault.VALUE, path, "not host:port") from None


def _parse_state(value: Any, path: str) -> SwitchState:
    if not isinstance(value, str):
        raise EventError(EventFault.TYPE, path, "not a string")
    if value not in STATES:
        raise EventError(EventFault.VALUE, path, "unknown state")
    return STATES[value]
