"""What a member reports of one limit each period: its demand, its use and the latest record it applied.

The duration of a grant starts at a need: the grant names the need it answers (boot, seq); the member measures
from when it sent that need, the owner from when it received it. Neither relies on wall clocks, and a record
or report that is old, repeated or restored by the engine answers no need that is still valid.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.tokens import Token, parse_token

ROW_LENGTH = 9


@dataclass(frozen=True, slots=True)
class Need:
    """One report. `boot` increases with each start of the member, `seq` with each report of one start."""

    member: str
    boot: int
    seq: int
    demand: float  # per second (rate) or at once (held), including refused requests
    held: int
    extra: float  # of the grant that was unexpired when the need was sent; 0: none
    holdings_known: bool  # false after a start that lost the state of the one before
    token: Token | None = None  # of the latest record it applied; it ignores earlier ones
    rev: int = 0
    owner_term: str = ""

    def to_row(self) -> list[Any]:
        """Return the need as a row of a report; the report names the member."""
        token = "" if self.token is None else str(self.token)
        return [
            self.boot, self.seq, round(self.demand, 4), self.held, self.extra, self.holdings_known, token,
            self.rev,
            self.owner_term,
        ]  # fmt: skip


def is_count(value: Any) -> bool:
    """Return whether it is an integer from 0 up."""
    return type(value) is int and 0 <= value < 1 << 62


def is_amount(value: Any) -> bool:
    """Return whether it is a number from 0 to 1e12."""
    return type(value) in (int, float) and 0 <= value <= 1e12


def parse_need(member: str, row: Any) -> Need | None:
    """Parse a row of a report; None if it is malformed."""
    if not isinstance(row, list) or len(row) != ROW_LENGTH:
        return None
    boot, seq, demand, held, extra, holdings_known, token, rev, owner_term = row
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
        type(holdings_known) is not bool
        or not isinstance(token, str)
        or not isinstance(owner_term, str)
        or len(owner_term) > 128
    ):
        return None
    parsed_token = parse_token(token) if token else None
    if token and parsed_token is None:
        return None
    return Need(
        member, boot, seq, float(demand), held, float(extra), holdings_known, parsed_token, rev, owner_term
    )
