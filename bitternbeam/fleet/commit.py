"""Which configuration version the fleet commits: forward, but for a rollback that was seen here."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Committed:
    """A version as the record carries it: `EPOCH.NUMBER` and its content digest."""

    number: str
    content: str

    @property
    def order(self) -> tuple[int, int]:
        """Return the number as it compares."""
        epoch, _, number = self.number.partition(".")
        return int(epoch), int(number)

    def value(self) -> dict[str, Any]:
        """Return it as a record carries it."""
        return {"number": self.number, "content": self.content}


def parse_committed(value: dict[str, Any]) -> Committed | None:
    """Read a record's value; None where it is not one."""
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
    """Return what the owner publishes: its own good version, or the committed one while it is behind.

    An owner that came up on an old store must not take the fleet back; one that saw the committed version
    rolled back does.
    """
    if committed is None or own.order >= committed.order or committed.number in rolled_back:
        return own
    return committed
