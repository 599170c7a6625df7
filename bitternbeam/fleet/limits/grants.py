"""What a limit's owner publishes: the amount in force and each member's extra.

A row is (extra, boot, seq): beyond its safe part the member may use `extra` until the need (boot, seq) that
it answers is `lasts_us` old. A member without a row keeps what it has until that lapses by itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.limits.need import is_amount, is_count

MAX_MEMBERS = 10_000


@dataclass(frozen=True, slots=True)
class GrantRow:
    """One member's extra and the need it answers."""

    extra: float
    boot: int
    seq: int


@dataclass(frozen=True, slots=True)
class Grants:
    """One published state of a limit; `reign` is one owner's time in office, `rev` counts within it."""

    limit_name: str
    owner_term: str
    rev: int
    safe_part: float  # the safe part
    grant_duration_us: int
    rows: Mapping[str, GrantRow]

    def to_record_value(self) -> dict[str, Any]:
        """Return it as a record carries it."""
        rows = {name: [row.extra, row.boot, row.seq] for name, row in sorted(self.rows.items())}
        return {
            "limit": self.limit_name, "reign": self.owner_term, "rev": self.rev, "part": self.safe_part,
            "lasts_us": self.grant_duration_us, "rows": rows,
        }  # fmt: skip


RECORD_KEYS = {"limit", "reign", "rev", "part", "lasts_us", "rows"}


def parse_grants(value: Any) -> Grants | None:
    """Read what is published; None for anything of another form."""
    if not isinstance(value, dict) or set(value) != RECORD_KEYS:
        return None
    limit, reign, rows = value["limit"], value["reign"], value["rows"]
    if not isinstance(limit, str) or not isinstance(reign, str) or not 0 < len(reign) <= 128:
        return None
    if not (is_count(value["rev"]) and is_amount(value["part"]) and is_count(value["lasts_us"])):
        return None
    if not isinstance(rows, dict) or len(rows) > MAX_MEMBERS:
        return None
    read = {}
    for name, row in rows.items():
        if not isinstance(row, list) or len(row) != 3:
            return None
        if not (is_amount(row[0]) and is_count(row[1]) and is_count(row[2])):
            return None
        read[name] = GrantRow(float(row[0]), row[1], row[2])
    return Grants(limit, reign, value["rev"], float(value["part"]), value["lasts_us"], read)
