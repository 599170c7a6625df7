"""The record of all pairs' grants, as it is written and as a member reads it.

    {"budgets": {...}, "reign": "m1.7.1", "rev": 3, "lasts_us": 20000000,
     "pairs": [["north", "b1"], ...],
     "members": {"m1": [boot, seq, [0, 2, 3, 1]], ...}}   the report that it answers; places in `pairs`

A member that stands there has 0 at every pair that is left out; one that does not keeps what it has until
that lapses. So a member reads its own row alone, and the record is small: with each cell written in full it
passed, at 200 tenants, 60 bookers and 40 members, what the engine takes as one value.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.limits.grants import GrantRow, Grants
from bitternbeam.fleet.limits.need import Need, is_amount, is_count, parse_need
from bitternbeam.fleet.limits.terms import Limit


@dataclass(frozen=True, slots=True)
class PairTerms:
    """What all pairs' limits have in common (fleet.limits.terms.Limit)."""

    most: int = 64
    lasts_ms: int = 20_000
    hold_most_ms: int = 3_600_000

    def limit(self, pair: Pair, amount: int = 0) -> Limit:
        """Return one pair's limit."""
        return Limit("@".join(pair), "held", amount, 0.0, self.most, self.lasts_ms, self.hold_most_ms)


class Telling:
    """The grants of a record, as they are put together member by member."""

    def __init__(self) -> None:
        self.places: dict[Pair, int] = {}
        self.members: dict[str, list[Any]] = {}

    @property
    def pairs(self) -> list[Pair]:
        """Return the pairs, by place."""
        return list(self.places)

    def add(self, member: str, boot: int, seq: int, extras: Mapping[Pair, float]) -> None:
        """Put in what a member gets, as the answer to a report; never more than is counted."""
        cells: list[int | float] = []
        for pair, much in extras.items():
            extra = int(much * 1000 + 1e-6) / 1000
            if extra > 0:
                cells.append(self.places.setdefault(pair, len(self.places)))
                cells.append(int(extra) if extra == int(extra) else extra)
        self.members[member] = [boot, seq, cells]


@dataclass(frozen=True, slots=True)
class Told:
    """What a record says to one member: extras by pair, and which report (boot, seq) it answers, if any."""

    reign: str
    rev: int
    lasts_us: int
    answers: tuple[int, int] | None
    extras: Mapping[Pair, float]

    def grants(self, limit: Limit, member: str, pair: Pair) -> Grants:
        """Return one pair's grants, as far as this member goes."""
        rows = {member: GrantRow(self.extras.get(pair, 0.0), *self.answers)} if self.answers else {}
        return Grants(limit.name, self.reign, self.rev, 0.0, self.lasts_us, rows)


def read_grants(value: Any, member: str) -> Told | None:
    """Read what a record says to a member; None for anything of another form."""
    if not isinstance(value, dict):
        return None
    reign, rev, lasts_us = value.get("reign"), value.get("rev"), value.get("lasts_us")
    members, pairs = value.get("members"), value.get("pairs")
    if not isinstance(reign, str) or not 0 < len(reign) <= 128 or type(rev) is not int or not is_count(rev):
        return None
    if type(lasts_us) is not int or not is_count(lasts_us):
        return None
    if not isinstance(members, dict) or not isinstance(pairs, list):
        return None
    mine = members.get(member)
    if mine is None:
        return Told(reign, rev, lasts_us, None, {})
    if not isinstance(mine, list) or len(mine) != 3 or not is_count(mine[0]) or not is_count(mine[1]):
        return None
    cells = mine[2]
    if not isinstance(cells, list) or len(cells) % 2:
        return None
    extras: dict[Pair, float] = {}
    for at, extra in zip(cells[::2], cells[1::2], strict=True):
        pair = pairs[at] if type(at) is int and 0 <= at < len(pairs) else None
        if not isinstance(pair, list) or len(pair) != 2 or not is_amount(extra):
            return None
        if not isinstance(pair[0], str) or not isinstance(pair[1], str):
            return None
        extras[pair[0], pair[1]] = float(extra)
    return Told(reign, rev, lasts_us, (mine[0], mine[1]), extras)


# A report's row: tenant, booker, held, extra. Read by msgspec, as there are some thousand each period.
Has = tuple[
    str, str, Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)], Annotated[float, msgspec.Meta(ge=0, le=1e12)]
]


@dataclass(frozen=True, slots=True)
class Report:
    """One member's part of a report: its head, what it has by pair, and what its tenants want."""

    head: Need  # of no pair: number, place and whether it knows all that it holds
    has: Mapping[Pair, tuple[int, float]]  # held, extra
    wants: Mapping[str, float]


def report_of(member: str, part: Mapping[str, Any]) -> Report | None:
    """Read a member's part; None for anything else."""
    number, place, rows, wants = (part.get(key) for key in ("number", "place", "needs", "wants"))
    if not isinstance(number, list) or not isinstance(place, list) or not isinstance(rows, list):
        return None
    head = parse_need(member, [*number, 0.0, 0, 0.0, part.get("settled"), *place])
    if head is None or not isinstance(wants, dict) or not all(map(is_amount, wants.values())):
        return None
    try:
        read = msgspec.convert(rows, list[Has])
    except msgspec.ValidationError:
        return None
    return Report(head, {(tenant, booker): (held, extra) for tenant, booker, held, extra in read}, wants)
