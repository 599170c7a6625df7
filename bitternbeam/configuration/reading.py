"""Entries out of plain values: from TOML tables, and from the lines that the stream carries."""

from __future__ import annotations

import json
import math
import re
import tomllib
from collections.abc import Iterator, Mapping
from typing import Any, cast

import msgspec
from blake3 import blake3

from bitternbeam.configuration.faults import MOST_FAULTS, DocumentError, Fault, path_of, shown
from bitternbeam.configuration.schema import NAMED, SECTIONS, SINGLE, AnyEntry, Booker, Entry, Key, Sip

LINE_BYTES = 256 * 1024  # of one entry: a group may name thousands of bookers
FIELDS = {
    section: {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for section, kind in SECTIONS.items()
}
ENCODER = msgspec.json.Encoder(order="deterministic")
ENVELOPE = msgspec.json.Decoder(tuple[str, str, msgspec.Raw])
DECODERS = {section: msgspec.json.Decoder(kind) for section, kind in SECTIONS.items()}
ALIASES = {"route": {"class": "call_class"}}  # TOML says `class`, as people do
BEGINS = re.compile(rb'\["([a-z]+)","([^"\\]{0,128})",')  # of a line that is no JSON further on
AT = re.compile(r"(.*) - at `(?:key in )?\$(.*)`$")


def field_of(problem: str) -> tuple[str, str]:
    """Split msgspec's message into what is wrong and the path below the value."""
    found = AT.match(problem)
    return (found[1], found[2].replace("[...]", "")) if found else (problem, "")


def finite(value: Any) -> bool:
    """Tell whether no number in a value is a NaN or infinite: no comparison would ever find fault with it."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, dict):
        return all(map(finite, value.values()))
    return all(map(finite, value)) if isinstance(value, (list, tuple)) else True


def read_entry(section: str, name: str, table: Any) -> tuple[AnyEntry | None, list[Fault]]:
    """Read one entry from plain values; None with every fault of every field if it can't be used."""
    if not isinstance(table, dict):
        return None, [Fault(path_of(section, name), f"{shown(table)} is not a table")]
    fields = FIELDS[section]
    aliases = ALIASES.get(section, {})
    values = {aliases.get(key, key): value for key, value in table.items()}
    faults = []
    for key, value in values.items():
        path = path_of(section, name, {ours: told for told, ours in aliases.items()}.get(str(key), str(key)))
        if key not in fields:
            known = ", ".join(
                sorted({**{ours: ours for ours in fields}, **aliases}.keys() - aliases.values())
            )
            faults.append(Fault(path, f"unknown key; known are {known}"))
        elif not finite(value):
            faults.append(Fault(path, f"{shown(value)} is not a finite number"))
        else:
            try:
                msgspec.convert(value, fields[key].type)
            except (msgspec.ValidationError, RecursionError) as error:
                what, below = field_of(str(error))
                faults.append(Fault(path + below, f"{shown(value)}: {what[:1].lower()}{what[1:]}"))
    for key, field in fields.items():
        if field.required and key not in values:
            faults.append(Fault(path_of(section, name, key), "missing"))
    if faults:
        return None, faults
    return cast(AnyEntry, msgspec.convert(values, SECTIONS[section])), []


def flatten(raw: Mapping[str, Any]) -> Iterator[tuple[str, str, Any]]:
    """Yield the entries of a document's tables as (section, name, table)."""
    for section, table in raw.items():
        if section in SINGLE:
            yield section, "", table
        elif section in NAMED and isinstance(table, dict):
            for name, entry in table.items():
                yield section, name, entry
        else:
            yield section, "", table


def read_tables(raw: Mapping[str, Any]) -> dict[Key, AnyEntry]:
    """Read a document as TOML gives it; all that is wrong with it is raised at once."""
    entries: dict[Key, AnyEntry] = {}
    faults: list[Fault] = []
    for section, name, table in flatten(raw):
        if section not in SECTIONS:
            faults.append(Fault(section, f"unknown section; known are {', '.join(sorted(SECTIONS))}"))
        elif section in NAMED and not name:
            faults.append(Fault(section, f"{shown(table)} is not a table of named tables"))
        else:
            entry, wrong = read_entry(section, name, table)
            faults += wrong
            if entry is not None:
                entries[section, name] = entry
        if len(faults) >= MOST_FAULTS:
            break
    if faults:
        raise DocumentError(faults)
    return served(entries)


def served(entries: dict[Key, AnyEntry]) -> dict[Key, AnyEntry]:
    """Turn the servers of [sip], as older files list them, into bookers of their own."""
    sip = entries.get(("sip", ""))
    if not isinstance(sip, Sip) or not sip.server:
        return entries
    faults = []
    for place, one in enumerate(sip.server):
        key = ("booker", one.name)
        if key in entries:
            faults.append(Fault(f"sip.server[{place}].name", f"{one.name!r} is named twice"))
        cell = one.cell if one.cell >= 0 else place
        entries[key] = Booker(addr=one.addr, cell=cell, transport=one.transport)
    if faults:
        raise DocumentError(faults)
    entries["sip", ""] = msgspec.structs.replace(sip, server=())
    return entries


def read_toml(text: str) -> dict[str, Any]:
    """Parse TOML; a slip of the pen is a fault with its line."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.match(r"(.*) \(at line (\d+), column \d+\)$", str(error))
        what, line = (found[1], int(found[2])) if found else (str(error), text.count("\n") + 1)
        raise DocumentError([Fault("", f"not TOML: {what}", line=line)]) from None
    except RecursionError:
        raise DocumentError([Fault("", "not TOML: nested too deeply")]) from None


# The stream's form: one JSON array a line, ["route","north",{...}], with null to remove an entry.


def line_of(key: Key, entry: Entry | None) -> bytes:
    """Return an entry's one canonical line, without its end."""
    return ENCODER.encode((*key, entry))


def no_twins(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object and refuse a key that stands in it twice: which one was meant can't be told."""
    built = dict(pairs)
    if len(built) < len(pairs):
        raise ValueError("a key stands twice in one object")
    return built


def read_kept(line: bytes) -> tuple[Key, AnyEntry | None]:
    """Read a line that line_of() made, and whose digest was checked; raises ValueError."""
    section, name, raw = ENVELOPE.decode(line)
    if line.endswith(b",null]"):
        return (section, name), None
    return (section, name), cast(AnyEntry, DECODERS[section].decode(raw))


def read_line(line: bytes) -> tuple[Key, AnyEntry | None]:
    """Read one line of the stream; raises DocumentError."""
    section = name = ""
    try:
        if len(line) > LINE_BYTES:
            raise ValueError(f"an entry of {len(line)} bytes; the most is {LINE_BYTES}")
        section, name, raw = ENVELOPE.decode(line)
        if section not in SECTIONS:
            raise ValueError("unknown section")
        if (not name) is (section in NAMED):
            raise ValueError("an entry of this section has a name" if section in NAMED else "has no name")
        if bytes(raw) == b"null":
            return (section, name), None
        entry = cast(AnyEntry, DECODERS[section].decode(raw))
        if line_of((section, name), entry) != line:  # else canonical, which can't hold a key twice
            json.loads(line, object_pairs_hook=no_twins)
        return (section, name), entry
    except (ValueError, RecursionError) as error:  # msgspec's own and UnicodeDecodeError are ValueErrors
        if not section and (found := BEGINS.match(line)):
            section, name = found[1].decode(), found[2].decode(errors="replace")
        what, below = field_of(str(error)) if isinstance(error, ValueError) else ("nested too deeply", "")
        raise DocumentError([Fault(path_of(section, name) + below, what)]) from None


# The content of a version as one number: equal for equal contents whatever way they were reached.

MODULUS = 1 << 256


def hash_of(line: bytes) -> int:
    """Return a line's hash as a number, to be summed modulo MODULUS."""
    return int.from_bytes(blake3(line).digest(), "big")


def weigh(key: Key, entry: Entry) -> int:
    """Return what an entry adds to its version's content digest.

    The digest is the sum of the entries' hashes modulo 2^256 (incremental hashing, Bellare and
    Micciancio 1997): a delta changes it by what it names alone. It tells mistakes, not forgers, apart;
    those are kept out by TLS and the payload's own digest.
    """
    return hash_of(line_of(key, entry))
