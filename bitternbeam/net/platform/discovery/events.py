"""Discovery's wire: numbered events and heartbeats, decoded into typed values. Pure: no I/O, no clock.

An event is `{"rev": N, "pool": {"full": bool, "servers": [...]}}`; a heartbeat is the last number alone, bare
or as `{"rev": N}`. Numbers may be written as strings, as Python's `int` reads them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from bitternbeam.decision.interface import SwitchState

STATES = {"up": SwitchState.READY, "draining": SwitchState.DRAINING, "removed": SwitchState.GONE}


class EventFault(Enum):
    """What is wrong with an event; the value is the last part of its counter's name."""

    MISSING = "missing"
    TYPE = "type"
    VALUE = "value"


class EventError(ValueError):
    """An event that cannot be read: the kind of fault, its place in the message, and the cause in words."""

    def __init__(self, fault: EventFault, path: str, cause: str) -> None:
        super().__init__(f"{path}: {cause}")
        self.fault = fault
        self.path = path
        self.cause = cause


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The number of the last event that discovery has."""

    revision: int


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the list; `started_us` is the Unix time of a late start, or 0."""

    server: str
    host: str
    port: int
    cell: int
    state: SwitchState
    started_us: int


@dataclass(frozen=True, slots=True)
class ListEvent:
    """A numbered change of the list, or with `full` the whole of it."""

    revision: int
    full: bool
    servers: tuple[ServerEntry, ...]


def split_address(text: str) -> tuple[str, int]:
    """Split an address of the form host:port; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def parse_heartbeat(line: bytes) -> Heartbeat:
    """Read a line that holds a number alone; raises EventError."""
    return Heartbeat(_parse_integer(line, "line"))


def parse_message(message: Any) -> Heartbeat | ListEvent:
    """Read one JSON value; raises EventError, which names the first fault."""
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


def _parse_server(server: Any, place: str) -> ServerEntry:
    host, port = _parse_address(_field(server, "addr", place), f"{place}.addr")
    state = _parse_state(_field(server, "state", place), f"{place}.state")
    started_ms = _parse_integer(server.get("started_ms", 0), f"{place}.started_ms")
    cell = _parse_integer(_field(server, "cell", place), f"{place}.cell")
    name = str(_field(server, "id", place))
    return ServerEntry(name, host, port, cell, state, started_ms * 1000)


def _field(holder: Any, key: str, place: str) -> Any:
    if not isinstance(holder, dict):
        raise EventError(EventFault.TYPE, place, "not an object")
    if key not in holder:
        raise EventError(EventFault.MISSING, f"{place}.{key}", "missing")
    return holder[key]


def _parse_integer(value: Any, place: str) -> int:
    try:
        return int(value)
    except TypeError:
        raise EventError(EventFault.TYPE, place, "not a number") from None
    except (ValueError, OverflowError):  # the latter for an infinite one, which JSON's readers let pass
        raise EventError(EventFault.VALUE, place, "not a whole number") from None


def _parse_address(value: Any, place: str) -> tuple[str, int]:
    if not isinstance(value, str):
        raise EventError(EventFault.TYPE, place, "not a string")
    try:
        return split_address(value)
    except ValueError:
        raise EventError(EventFault.VALUE, place, "not host:port") from None


def _parse_state(value: Any, place: str) -> SwitchState:
    if not isinstance(value, str):
        raise EventError(EventFault.TYPE, place, "not a string")
    if value not in STATES:
        raise EventError(EventFault.VALUE, place, "unknown state")
    return STATES[value]
