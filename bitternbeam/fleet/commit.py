"""Which configuration version the fleet commits: never an older one, except after a rollback seen here."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Committed:
    """A version as stored in the record: `EPOCH.NUMBER` and its content digest."""

    number: str
    content: str

    @property
    def order(self) -> tuple[int, int]:
        """Return the version number as a sort key."""
        epoch, _, number = self.number.partition(".")
        return int(epoch), int(number)

    def value(self) -> dict[str, Any]:
        """Return the record's value."""
        return {"number": self.number, "content": self.content}


def parse_committed(value: dict[str, Any]) -> Committed | None:
    """Parse a record's value; None if it is malformed."""
    number, content = value.get("number"), value.get("content")
    if not isinstance(number, str) or not isinstance(content, str):
        return None
    epoch, dot, rest = number.partition(".")
    if not (dot and epoch.isdigit() and rest.isdigit() and len(number) <= 40):
        return None
    return Committed(number, content)


def version_to_publish(
    own: Committed, committed: Committed | None, rolled_back: Collection[str]
) -> Committed:
    """Return what the owner publishes: its own good version, or the committed one if that is newer.

    An owner that starts from an old store must not revert the fleet, unless it has seen the committed version
    rolled back.
    """
    if committed is None or own.order >= committed.order or committed.number in rolled_back:
        return own
    return committed
