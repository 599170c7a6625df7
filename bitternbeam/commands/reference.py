"""The reference of every section and key, made from the schema: `bitternbeam config reference`."""

from __future__ import annotations

from typing import Any, get_args, get_origin

import msgspec
from msgspec import inspect

from bitternbeam.configuration.node import ARRAYS, LOCAL, TABLES
from bitternbeam.configuration.reading import ALIASES
from bitternbeam.configuration.schema import NAMED, SINGLE, Entry


def kind_of(kind: Any) -> str:
    """Return a type in TOML's words, with its bounds."""
    if isinstance(kind, inspect.Metadata):
        return kind_of(kind.type)
    if isinstance(kind, inspect.LiteralType):
        return " or ".join(f"`{value}`" for value in sorted(map(str, kind.values)))
    if isinstance(kind, inspect.DictType):
        return f"table of {kind_of(kind.value_type)}"
    if isinstance(kind, inspect.VarTupleType):
        return f"list of {kind_of(kind.item_type)}"
    if isinstance(kind, inspect.StructType):
        return "tables"
    if isinstance(kind, inspect.UnionType):
        return "table"  # one that may be left out
    names: dict[Any, str] = {
        inspect.StrType: "text", inspect.IntType: "whole number", inspect.FloatType: "number",
        inspect.BoolType: "true or false",
    }  # fmt: skip
    return names[type(kind)] + bounds_of(kind)


def bounds_of(kind: Any) -> str:
    """Return a number's bounds."""
    signs = {"ge": "from", "gt": "above", "le": "to", "lt": "below"}
    told = [
        f"{word} {getattr(kind, name):g}"
        for name, word in signs.items()
        if getattr(kind, name, None) is not None
    ]
    return f" {' '.join(told)}" if told else ""


def description_of(kind: Any) -> str:
    """Return what the schema says of a field."""
    if get_origin(kind) is not None:
        for part in get_args(kind)[1:]:
            if isinstance(part, msgspec.Meta) and part.description:
                return part.description
    for part in getattr(kind, "__metadata__", ()):
        if isinstance(part, msgspec.Meta) and part.description:
            return part.description
    return ""


def default_of(field: Any) -> str:
    """Return a field's default as TOML has it."""
    if field.required:
        return "needed"
    value = field.default
    if value is msgspec.NODEFAULT or value in (None, "", (), {}):
        return "-"
    return f"`{str(value).lower()}`" if isinstance(value, bool) else f"`{value}`"


def table_of(title: str, section: str, kind: type[Entry]) -> str:
    """Return the table of one section."""
    aliases = {ours: told for told, ours in ALIASES.get(section, {}).items()}
    described = {field.encode_name: field.type for field in inspect.type_info(kind).fields}  # type: ignore[attr-defined]
    summary = (kind.__doc__ or "").split("\n")[0]
    rows = [f"### `{title}`", "", summary, "", "| key | is | default | |", "| --- | --- | --- | --- |"]
    for field in msgspec.structs.fields(kind):
        name = aliases.get(field.encode_name, field.encode_name)
        shown = kind_of(described[field.encode_name])
        rows.append(f"| `{name}` | {shown} | {default_of(field)} | {description_of(field.type)} |")
    return "\n".join(rows) + "\n"


def reference() -> str:
    """Return the reference as Markdown."""
    parts = [table_of(f"[{section}]", section, kind) for section, kind in LOCAL.items()]
    for (kind, key), within in ARRAYS.items():
        outer = next(section for section, one in LOCAL.items() if one is kind)
        parts.append(table_of(f"[[{outer}.{key}]]", outer, within))
    for (kind, key), within in TABLES.items():
        outer = next(section for section, one in LOCAL.items() if one is kind)
        parts.append(table_of(f"[{outer}.{key}]", outer, within))
    parts += [table_of(f"[{section}.NAME]", section, kind) for section, kind in NAMED.items()]
    parts += [table_of(f"[{section}]", section, kind) for section, kind in SINGLE.items()]
    return "\n".join(parts)
