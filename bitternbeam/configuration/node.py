"""What a node's own file says beside the document: its store, its sockets, where its versions come from.

These hold for the life of a process and are never streamed: a controller that was sent to another control
service, or lost its store by a version, could not be called back.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from bitternbeam.configuration.faults import DocumentError, Fault, shown
from bitternbeam.configuration.fleet import Fleet, fleet_faults
from bitternbeam.configuration.limits import LimitTable
from bitternbeam.configuration.lines import placed
from bitternbeam.configuration.reading import field_of, read_tables, read_toml
from bitternbeam.configuration.returns import ReturnTable
from bitternbeam.configuration.schema import Address, AnyEntry, Entry, Key, Text
from bitternbeam.configuration.tenants import BudgetTable, TenantTable
from bitternbeam.configuration.verdicts import VerdictTable


class Node(Entry, frozen=True):
    """What holds for the process: [node]."""

    platform: Annotated[Text, Meta(description="the platform's JSON; GW_CONFIG unless said")] = ""
    store: Annotated[Text, Meta(description="folder of the store; none unless said")] = ""
    store_mb: Annotated[int, Meta(ge=1, le=65536, description="what the store may hold")] = 256
    on_store_error: Annotated[
        Literal["refuse", "file"], Meta(description="at the start: do not start, or go on with the file")
    ] = "refuse"
    socket: Annotated[Text, Meta(description="the operators' Unix socket; none unless said")] = ""
    log: Annotated[Literal["plain", "json"], Meta(description="form of the log")] = "plain"
    log_level: Annotated[Literal["debug", "info", "warning"], Meta(description="debug: each send")] = "info"
    probation_s: Annotated[int, Meta(ge=1, le=3600, description="for which a new version is judged")] = 30


class Control(Entry, frozen=True):
    """Where versions come from: [control]."""

    services: Annotated[tuple[Address, ...], Meta(max_length=16, description="tried in turn")] = ()
    certificate: Annotated[Text, Meta(description="PEM; with key and authority: mutual TLS")] = ""
    key: Annotated[Text, Meta(description="PEM")] = ""
    authority: Annotated[Text, Meta(description="PEM, by which the service is trusted")] = ""
    server_name: Annotated[Text, Meta(description="that its certificate must hold")] = ""


TWO_DIRECTORIES = "names a directory beside fleet.directory; keep one"
TLS = ("certificate", "key", "authority", "server_name")
LOCAL: dict[str, type[Entry]] = {"node": Node, "control": Control, "fleet": Fleet}
# [[fleet.limit]] and so on.
ARRAYS: dict[tuple[type[Entry], str], type[Entry]] = {
    (Fleet, "limit"): LimitTable,
    (Fleet, "tenant"): TenantTable,
    (Fleet, "budget"): BudgetTable,
}
TABLES: dict[tuple[type[Entry], str], type[Entry]] = {  # [fleet.returns]
    (Fleet, "returns"): ReturnTable,
    (Fleet, "verdicts"): VerdictTable,
}


@dataclass(frozen=True, slots=True)
class Site:
    """One file: what holds for the process, and the document that the first version is made of."""

    path: Path
    node: Node
    control: Control
    entries: dict[Key, AnyEntry]
    fleet: Fleet | None = None

    def beside(self, name: str) -> Path:
        """Return a path that the file names, seen from its folder."""
        return self.path.parent / name


def table_faults(kind: type[Entry], table: Any, path: str) -> list[Fault]:
    """Return what is wrong with one table, key by key, and within its arrays of tables."""
    if not isinstance(table, dict):
        return [Fault(path, f"{shown(table)} is not a table")]
    known = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    found = []
    for key, value in table.items():
        place = f"{path}.{key}"
        if key not in known:
            found.append(Fault(place, f"unknown key; known are {', '.join(sorted(known))}"))
        elif (within := ARRAYS.get((kind, key))) and isinstance(value, list):
            for index, one in enumerate(value):
                found += table_faults(within, one, f"{place}[{index}]")
        elif inner := TABLES.get((kind, key)):
            found += table_faults(inner, value, place)
        else:
            try:
                msgspec.convert(value, known[key].type)
            except msgspec.ValidationError as error:
                what, below = field_of(str(error))
                found.append(Fault(place + below, f"{shown(value)}: {what}"))
    for key, field in known.items():
        if field.required and key not in table:
            found.append(Fault(f"{path}.{key}", "missing"))
    return found


def read_local(raw: dict[str, Any], section: str, faults: list[Fault]) -> Any:
    """Take a section of the process out of a document; what is wrong with it goes to the faults."""
    table = raw.pop(section, {})
    kind = LOCAL[section]
    found = table_faults(kind, table, section)
    faults += found
    return kind() if found else msgspec.convert(table, kind)


def read_site(path: Path) -> Site:
    """Read a node's file; raises DocumentError with the file and, where they can be had, the lines."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError([Fault("", getattr(error, "strerror", None) or str(error), str(path))]) from None
    faults: list[Fault] = []
    entries: dict[Key, AnyEntry] = {}
    node, control, fleet = Node(), Control(), None
    try:
        raw = read_toml(text)
        node, control = read_local(raw, "node", faults), read_local(raw, "control", faults)
        if "fleet" in raw:
            before = len(faults)
            fleet = read_local(raw, "fleet", faults)
            if len(faults) == before:
                faults += fleet_faults(fleet)
        given = [name for name in TLS if getattr(control, name)]
        if given and len(given) < len(TLS):
            faults.append(
                Fault(f"control.{given[0]}", "TLS needs certificate, key, authority and server_name")
            )
        entries = read_tables(raw)
        if fleet is not None and fleet.directory and any(key[0] == "consul" for key in entries):
            faults.append(Fault("consul.addr", TWO_DIRECTORIES))
    except DocumentError as error:
        faults += error.faults
    if faults:
        raise DocumentError(placed(tuple(faults), text, str(path)))
    return Site(path, node, control, entries, fleet)
