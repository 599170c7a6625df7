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

from bitternbeam.configuration.faults import DocumentError, Fault, path_of, shown
from bitternbeam.configuration.lines import placed
from bitternbeam.configuration.reading import field_of, read_tables, read_toml
from bitternbeam.configuration.schema import Address, AnyEntry, Entry, Key
from bitternbeam.fleet.bounds import Terms
from bitternbeam.fleet.lease import LeaseTimes, faults

Text = Annotated[str, Meta(max_length=1024)]


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


class Fleet(Entry, frozen=True):
    """Work done once for the fleet, under leases on an engine: [fleet] (docs/fleet.md)."""

    engine: Annotated[Address, Meta(description="the Consul agent, host:port")] = ""
    token: Annotated[Text, Meta(description="X-Consul-Token, if the agent asks for one")] = ""
    name: Annotated[Text, Meta(description="this member's name; unique in the fleet")] = ""
    service: Annotated[Text, Meta(description="the service the members register as")] = "bitternbeam"
    prefix: Annotated[Text, Meta(description="KV folder of the leases")] = "bitternbeam/fleet"
    ttl_ms: Annotated[int, Meta(ge=1, description="session TTL")] = 10_000
    lock_delay_ms: Annotated[int, Meta(ge=0, description="the engine holds a lapsed lock back so long")] = (
        1_000
    )
    margin_ms: Annotated[int, Meta(ge=0, description="stop so long before the TTL")] = 2_000
    pause_ms: Annotated[int, Meta(ge=1, description="a gap in ticks longer than this is a pause")] = 1_000
    tick_ms: Annotated[int, Meta(ge=10, le=10_000, description="how often leases are looked at")] = 100
    probe_ms: Annotated[int, Meta(ge=10, le=600_000, description="between two probes of one booker")] = 500
    probes: Annotated[
        tuple[Annotated[str, Meta(pattern=r"^[^\s=]+=[^\s:]+:[0-9]{1,5}$")], ...],
        Meta(max_length=4096, description="bookers probed for the fleet, NAME=host:port"),
    ] = ()
    directory: Annotated[
        Text, Meta(description="service whose instances make the SIP side's pool view; none unless said")
    ] = ""
    transport: Annotated[Literal["udp", "tcp"], Meta(description="of instances that do not say")] = "udp"
    view_age_ms: Annotated[
        int, Meta(ge=100, le=3_600_000, description="a published record is believed for so long")
    ] = 30_000
    gone_ms: Annotated[
        int, Meta(ge=100, le=3_600_000, description="an instance left out drains, and is gone after")
    ] = 10_000
    recent_ms: Annotated[
        int, Meta(ge=1_000, le=86_400_000, description="shares assume the largest fleet seen within")
    ] = 600_000
    ramp_step_ms: Annotated[
        int, Meta(ge=100, le=600_000, description="a returning booker's share doubles after each")
    ] = 5_000
    bounds: Annotated[bool, Meta(description="bound sends by the fleet's shares and budgets")] = True
    period_ms: Annotated[
        int, Meta(ge=100, le=60_000, description="between two reports, and two moves of a limit")
    ] = 1_000
    retry_fraction: Annotated[
        float, Meta(ge=0, le=1, description="repeated attempts to first ones, over the window")
    ] = 0.1
    retry_window_ms: Annotated[int, Meta(ge=100, le=600_000, description="the window")] = 10_000
    retry_floor_per_s: Annotated[
        float,
        Meta(ge=0, le=10_000, description="repeated attempts of the whole fleet that are always allowed"),
    ] = 2.0
    accepts_factor: Annotated[
        float, Meta(ge=1, le=100, description="without shares: offers passed to answers got")
    ] = 2.0


def lease_faults(fleet: Fleet) -> list[Fault]:
    """Return what in a [fleet] section cannot work, each naming its key (fleet.lease.faults)."""
    found = [Fault(f"fleet.{key}", what) for key, what in faults(lease_times(fleet))]
    if not fleet.engine:
        found.append(Fault("fleet.engine", "names no engine: give the Consul agent as host:port"))
    names = [one.partition("=")[0] for one in fleet.probes]
    for name in sorted({one for one in names if names.count(one) > 1}):
        found.append(Fault("fleet.probes", f"booker {name!r} stands there twice"))
    if "," in fleet.name or "@" in fleet.name or "/" in fleet.name:
        found.append(Fault("fleet.name", "may hold no comma, @ or /"))
    if not fleet.name:
        found.append(Fault("fleet.name", "no member name: give one that is unique in the fleet"))
    return found


def lease_times(fleet: Fleet) -> LeaseTimes:
    """Return the lease times of a [fleet] section, in microseconds."""
    return LeaseTimes(
        ttl_us=fleet.ttl_ms * 1000,
        lock_delay_us=fleet.lock_delay_ms * 1000,
        margin_us=fleet.margin_ms * 1000,
        pause_us=fleet.pause_ms * 1000,
        tick_us=fleet.tick_ms * 1000,
    )


def bound_terms(fleet: Fleet) -> Terms:
    """Return what bounds sends in a [fleet] section."""
    return Terms(
        period_us=fleet.period_ms * 1000,
        retry_fraction=fleet.retry_fraction,
        retry_window_us=fleet.retry_window_ms * 1000,
        retry_floor_per_s=fleet.retry_floor_per_s,
        accepts_factor=fleet.accepts_factor,
    )


TWO_DIRECTORIES = "names a directory beside fleet.directory; keep one"
TLS = ("certificate", "key", "authority", "server_name")
LOCAL: dict[str, type[Entry]] = {"node": Node, "control": Control, "fleet": Fleet}


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


def read_local(raw: dict[str, Any], section: str, faults: list[Fault]) -> Any:
    """Take a section of the process out of a document; what is wrong with it goes to the faults."""
    table = raw.pop(section, {})
    kind = LOCAL[section]
    before = len(faults)
    if not isinstance(table, dict):
        faults.append(Fault(section, f"{shown(table)} is not a table"))
        return kind()
    known = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for key, value in table.items():
        if key not in known:
            faults.append(
                Fault(path_of(section, "", key), f"unknown key; known are {', '.join(sorted(known))}")
            )
            continue
        try:
            msgspec.convert(value, known[key].type)
        except msgspec.ValidationError as error:
            what, below = field_of(str(error))
            faults.append(Fault(path_of(section, "", key) + below, f"{shown(value)}: {what}"))
    return kind() if len(faults) > before else msgspec.convert(table, kind)


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
                faults += lease_faults(fleet)
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
