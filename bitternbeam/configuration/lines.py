"""Where in a TOML file a key path stands: the line that a message about it names.

tomllib tells no places, so a file with faults is parsed once more by tree-sitter, which does. It is loaded
only then.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from bitternbeam.configuration.faults import Fault

if TYPE_CHECKING:
    from tree_sitter import Node

STEP = re.compile(r"\[(\d+)\]|([^.\[\]]+)")
TABLES = ("table", "table_array_element")


def steps_of(path: str) -> tuple[str, ...]:
    """Split a key path: `sip.server[1].addr` is ("sip", "server", "1", "addr")."""
    return tuple(number or name for number, name in STEP.findall(path))


def names_of(node: Node) -> tuple[str, ...]:
    """Return the parts of a bare, quoted or dotted key."""
    if node.type == "dotted_key":
        return tuple(part for child in node.named_children for part in names_of(child))
    text = (node.text or b"").decode(errors="replace")
    return (text[1:-1] if node.type == "quoted_key" else text,)


class Places:
    """The line of every key path of a TOML text, collected from its tree; lines count from 1."""

    def __init__(self) -> None:
        self.lines: dict[tuple[str, ...], int] = {}
        self.arrays: dict[tuple[str, ...], int] = {}  # place of the last element of each [[array]]

    def note(self, path: tuple[str, ...], node: Any) -> None:
        """Note where a path stands, and those that it is part of unless they stood before."""
        for length in range(1, len(path) + 1):
            self.lines.setdefault(path[:length], node.start_point[0] + 1)

    def value(self, path: tuple[str, ...], node: Node) -> None:
        """Note what an inline table or an array holds."""
        if node.type == "inline_table":
            self.pairs(path, node)
        elif node.type == "array":
            for place, child in enumerate(one for one in node.named_children if one.type != "comment"):
                self.note((*path, str(place)), child)
                self.value((*path, str(place)), child)

    def pairs(self, path: tuple[str, ...], node: Node) -> None:
        """Note the keys of a table."""
        for child in node.named_children:
            if child.type == "pair":
                key, *rest = child.named_children
                below = path + names_of(key)
                self.note(below, key)
                for one in rest:
                    self.value(below, one)

    def table(self, node: Node) -> None:
        """Note a [table] or an element of an [[array]], with its keys."""
        path: tuple[str, ...] = ()
        for part in names_of(node.named_children[0]):
            path = (*path, part)
            # Danger: within [[a]], a table [a.b] belongs to a's last element.
            if path in self.arrays and node.type == "table":
                path = (*path, str(self.arrays[path]))
        if node.type == "table_array_element":
            self.arrays[path] = self.arrays.get(path, -1) + 1
            self.note(path, node)
            path = (*path, str(self.arrays[path]))
        self.note(path, node)
        self.pairs(path, node)


def places(text: str) -> dict[tuple[str, ...], int]:
    """Return the line of every key path in a TOML text, from 1."""
    import tree_sitter_toml  # noqa: PLC0415 - for files with faults alone
    from tree_sitter import Language, Parser  # noqa: PLC0415 - likewise

    found = Places()
    root = Parser(Language(tree_sitter_toml.language())).parse(text.encode()).root_node
    found.pairs((), root)
    for child in root.named_children:
        if child.type in TABLES:
            found.table(child)
    return found.lines


def placed(faults: tuple[Fault, ...], text: str, file: str) -> list[Fault]:
    """Return the faults with their file and the line of the nearest key that the file holds."""
    where = places(text)
    done = []
    for fault in faults:
        line, steps = fault.line, steps_of(fault.key)
        while not line and steps:
            line, steps = where.get(steps, 0), steps[:-1]
        done.append(Fault(fault.key, fault.what, file, line))
    return sorted(done, key=lambda fault: fault.line)
