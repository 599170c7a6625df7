"""The schema of a configuration: one Struct a section, read from TOML and from the stream alike.

A document is a flat set of entries, each under a key of section and name, as ("route", "west"). A delta names
keys, so that what it costs grows with the keys it names and not with the document.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

from msgspec import Meta, Struct

Key: TypeAlias = tuple[str, str]

Text = Annotated[str, Meta(max_length=1024)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]
Share = Annotated[float, Meta(gt=0, le=1_000_000)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Cell = Annotated[int, Meta(ge=0, le=1_000_000)]
Millis = Annotated[int, Meta(ge=1, le=3_600_000)]
Address = Annotated[str, Meta(max_length=256, pattern=r"^[^\s:]+:[0-9]{1,5}$")]
Digits = Annotated[str, Meta(max_length=16, pattern=r"^\+?[0-9*#]*$")]
Header = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9-]+$")]
Transport = Literal["udp", "tcp"]


class Entry(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, gc=False):
    """What every entry is: immutable, without unknown fields, and of no interest to the cyclic collector.

    Danger: with hundreds of thousands of tracked objects a full collection stops the reactor for tens of
    milliseconds. An entry can't be part of a cycle.
    """


class Booker(Entry, frozen=True):
    """A booker that the version itself brings, in place of one that a directory lists."""

    addr: Annotated[Address, Meta(description="host:port")]
    cell: Annotated[Cell, Meta(description="its cell; 0 unless said")] = 0
    transport: Annotated[Transport, Meta(description="udp or tcp")] = "udp"


class Group(Entry, frozen=True):
    """A named set of bookers, by name or by cell."""

    bookers: Annotated[tuple[Name, ...], Meta(max_length=10_000, description="members by name")] = ()
    cells: Annotated[tuple[Cell, ...], Meta(max_length=10_000, description="members by cell")] = ()
    weights: Annotated[dict[Name, Share], Meta(description="share of the calls by name; 1 unless said")] = {}
    closed: Annotated[
        dict[Name, tuple[Name, ...]], Meta(description="classes that a booker is closed to")
    ] = {}


class Route(Entry, frozen=True):
    """Which groups a call may go to, in order of preference; the narrowest that matches decides."""

    groups: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=16, description="in order")]
    call_class: Annotated[str, Meta(max_length=128, description="of the call; any unless said")] = ""
    cell: Annotated[int, Meta(ge=-1, le=1_000_000, description="of first choice; -1 is any")] = -1
    prefix: Annotated[Digits, Meta(description="of the number called; any unless said")] = ""


class ClassLimits(Entry, frozen=True):
    """What holds for the calls of one class; never looser than the operators' settings."""

    attempts: Annotated[Count, Meta(description="the most set-ups of a call")] = 1_000_000
    answer_ms: Annotated[Millis, Meta(description="the call's final answer comes by then")] = 3_600_000
    rate: Annotated[float, Meta(ge=0, le=1e6, description="calls a second; 0 is no cap")] = 0.0
    burst: Annotated[Count, Meta(description="calls at once above the rate")] = 1


class CallerLimits(Entry, frozen=True):
    """What one caller may do, by its address; the entry `default` holds for all others, each alone."""

    most_open: Annotated[int, Meta(ge=0, le=1_000_000, description="calls at once; 0 is no limit")] = 0
    rate: Annotated[float, Meta(ge=0, le=1e6, description="calls a second; 0 is no cap")] = 0.0
    burst: Annotated[Count, Meta(description="calls at once above the rate")] = 1


class Plugin(Entry, frozen=True):
    """The WebAssembly plug-in."""

    enabled: Annotated[bool, Meta(description="whether it is asked")] = False
    file: Annotated[str, Meta(max_length=1024, description="seen from the folder of the file")] = ""
    fuel: Annotated[int, Meta(ge=1, le=10**9, description="instructions for each call")] = 100_000
    memory_kb: Annotated[int, Meta(ge=1, le=1024 * 1024, description="of its memory")] = 1024


class Server(Entry, frozen=True):
    """A SIP server, as deploy/sip.toml lists them."""

    name: Name
    addr: Address
    transport: Transport = "udp"
    cell: Annotated[int, Meta(ge=-1, le=1_000_000, description="its place in the list unless said")] = -1


class Sip(Entry, frozen=True, rename={"call_class": "class"}):
    """The SIP front and the servers behind it."""

    enabled: Annotated[bool, Meta(description="whether it listens")] = False
    listen: Annotated[str, Meta(max_length=256, description="host:port, UDP and TCP")] = ""
    call_class: Annotated[str, Meta(max_length=128, description="of a call without the header")] = ""
    class_header: Annotated[Header, Meta(description="names a call's class")] = "X-Call-Class"
    load_header: Annotated[Header, Meta(description="in which a server may report")] = "X-Load-Report"
    answer_ms: Annotated[Millis, Meta(description="a caller waits so long, or the longest deadline")] = (
        3_600_000
    )
    server: Annotated[tuple[Server, ...], Meta(max_length=10_000, description="the servers")] = ()


class Consul(Entry, frozen=True):
    """Consul in place of a list of SIP servers."""

    addr: Annotated[Address, Meta(description="of the agent, host:port")]
    service: Annotated[Name, Meta(description="whose instances are the servers")]
    transport: Annotated[Transport, Meta(description="unless an instance says")] = "udp"
    token: Annotated[str, Meta(max_length=1024, description="X-Consul-Token")] = ""


AnyEntry: TypeAlias = Booker | Group | Route | ClassLimits | CallerLimits | Plugin | Sip | Consul

NAMED: dict[str, type[Entry]] = {  # sections of many entries, each with a name
    "booker": Booker,
    "group": Group,
    "route": Route,
    "class": ClassLimits,
    "callers": CallerLimits,
}
SINGLE: dict[str, type[Entry]] = {"plugin": Plugin, "sip": Sip, "consul": Consul}  # of one, named ""
SECTIONS: dict[str, type[Entry]] = {**NAMED, **SINGLE}
