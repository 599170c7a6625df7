"""What is wrong with a document: file, line, key, value and what was expected."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

MOST_FAULTS = 100  # of one document that are told; a million faults help nobody
SHOWN = 60  # characters of a value


class Fault(Struct, frozen=True, omit_defaults=True):
    """One thing that is wrong."""

    key: str  # "route.north.groups[1]"
    what: str
    file: str = ""
    line: int = 0  # 0: not known

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}: " if self.line else f"{self.file}: " if self.file else ""
        return f"{place}{self.key}: {self.what}" if self.key else f"{place}{self.what}"


class DocumentError(Exception):
    """A document that can't be used, with everything that is wrong with it."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)[:MOST_FAULTS]
        super().__init__("; ".join(map(str, self.faults[:3])) or "nothing was told")


def shown(value: object) -> str:
    """Return a value as a message shows it, cut where it is long."""
    text = repr(value)
    return text if len(text) <= SHOWN else text[: SHOWN - 3] + "..."


def path_of(section: str, name: str, rest: str = "") -> str:
    """Return the key path of a field, as in route.north.groups[1]."""
    key = f"{section}.{name}" if name else section
    return f"{key}.{rest}" if rest else key
