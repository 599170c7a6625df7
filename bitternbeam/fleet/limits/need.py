"""What a member reports of one limit each period: its need, what it holds, and which record it stands by.

The owner's promise counts from a need: a grant names the need it answers (boot, seq), the member counts its
lasting from when it sent that one, the owner from when it saw it. Neither trusts a wall clock, and a record
or report that is old, repeated or brought back by an engine answers nothing that is still alive.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.tokens import Token, parse_token

ROW_LENGTH = 9


@dataclass(frozen=True, slots=True)
class Need:
    """One report. `boot` grows with each start of the member, `seq` with each report of one start."""

    member: str
    boot: int
    seq: int
    demand: float  # a second (rate) or at once (held), what was refused included
    held: int
    extra: float  # of its live grant as it was sent; 0: none
    holdings_known: bool  # it knows all that it holds; not so after a start that lost its memory
    token: Token | None = None  # of the record it stands by: it takes none before that any more
    rev: int = 0
    owner_term: str = ""

    def to_row(self) -> list[Any]:
        """Return it as a report carries it (the report says whose it is)."""
        token = "" if self.token is None else str(self.token)
        return [
            self.boot, self.seq, round(self.demand, 4), self.held, self.extra, self.holdings_known, token,
            self.rev,
            self.owner_term,
        ]  # fmt: skip


def is_count(value: Any) -> bool:
    """Whether it is a whole number from 0 up."""
    return type(value) is int and 0 <= value < 1 << 62


def is_amount(value: Any) -> bool:
    """Whether it is an amount."""
    return type(value) in (int, float) and 0 <= value <= 1e12


def parse_need(member: str, row: Any) -> Need | None:
    """Read a need; None for anything else."""
    if not isinstance(row, list) or len(row) != ROW_LENGTH:
        return None
    boot, seq, demand, held, extra, settled, token, rev, reign = row
    if not (
        is_count(boot)
        and is_count(seq)
        and is_amount(demand)
        and is_count(held)
        and is_amount(extra)
        and is_count(rev)
    ):
        return None
    if (
        type(settled) is not bool
        or not isinstance(token, str)
        or not isinstance(reign, str)
        or len(reign) > 128
    ):
        return None
    read = parse_token(token) if token else None
    if token and read is None:
        return None
    return Need(member, boot, seq, float(demand), held, float(extra), settled, read, rev, reign)
