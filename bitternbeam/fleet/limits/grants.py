"""The grants that a limit's owner publishes: the safe part and each member's extra.

A row is (extra, boot, seq): the member may use `extra` beyond its safe part until the need (boot, seq) that
the row answers is `grant_duration_us` old. A member without a row keeps its extra until that expires.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.limits.need import is_amount, is_count

MAX_MEMBERS = 10_000


@dataclass(frozen=True, slots=True)
class GrantRow:
    """One member's extra and the need that it answers."""

    extra: float
    boot: int
    seq: int


@dataclass(frozen=True, slots=True)
class Grants:
    """One published revision of a limit: `rev` counts within `owner_term`, the time under one owner."""

    limit_name: str
    owner_term: str
    rev: int
    safe_part: float  # what a member may use without a grant
    grant_duration_us: int
    rows: Mapping[str, GrantRow]

    def to_record_value(self) -> dict[str, Any]:
        """Return the grants as the value of a record."""
        rows = {name: [row.extra, row.boot, row.seq] for name, row in sorted(self.rows.items())}
        return {
            "limit": self.limit_name, "reign": self.owner_term, "rev": self.rev, "part": self.safe_part,
            "lasts_us": self.grant_duration_us, "rows": rows,
        }  # fmt: skip


RECORD_KEYS = {"limit", "reign", "rev", "part", "lasts_us", "rows"}


def parse_grants(value: Any) -> Grants | None:
    """Parse a record's value; None if it is malformed."""
    if not isinstance(value, dict) or set(value) != RECORD_KEYS:
        return None
    limit, owner_term, rows = value["limit"], value["reign"], value["rows"]
    if not isinstance(limit, str) or not isinstance(owner_term, str) or not 0 < len(owner_term) <= 128:
        return None
    if not (is_count(value["rev"]) and is_amount(value["part"]) and is_count(value["lasts_us"])):
        return None
    if not isinstance(rows, dict) or len(rows) > MAX_MEMBERS:
        return None
    parsed = {}
    for name, row in rows.items():
        if not isinstance(row, list) or len(row) != 3:
            return None
        if not (is_amount(row[0]) and is_count(row[1]) and is_count(row[2])):
            return None
        parsed[name] = GrantRow(float(row[0]), row[1], row[2])
    return Grants(limit, owner_term, value["rev"], float(value["part"]), value["lasts_us"], parsed)
