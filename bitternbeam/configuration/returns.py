"""The [fleet.returns] table of a node's file."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

from msgspec import Meta, structs

from bitternbeam.configuration.faults import Fault
from bitternbeam.configuration.limits import LimitTable
from bitternbeam.configuration.schema import Entry, Name, Text
from bitternbeam.fleet.limits.terms import SCOPES
from bitternbeam.fleet.returns.settings import ReconnectSettings, faults

Millis = Annotated[int, Meta(ge=1, le=86_400_000)]


class ReturnTable(Entry, frozen=True):
    """Pacing of clients that all come back at once."""

    limit: Annotated[Text, Meta(description="the [[fleet.limit]] of kind rate that is their budget")]
    identity: Annotated[
        Literal["caller", "number"], Meta(description="what tells clients apart: address, or number called")
    ] = "caller"
    classes: Annotated[
        tuple[Name, ...], Meta(max_length=16, description="whose calls are returns, most urgent first; all")
    ] = ()
    fresh_ms: Annotated[Millis, Meta(description="a record is believed to lead for so long")] = 3_000
    horizon_ms: Annotated[Millis, Meta(description="the longest wait that is told")] = 10_000
    skew_ms: Annotated[int, Meta(ge=0, le=60_000, description="members' clocks differ by less")] = 250
    grace_ms: Annotated[Millis, Meta(description="after its slot a client still is at it")] = 2_000
    first_ms: Annotated[Millis, Meta(description="the longest wait told while no slot is known")] = 1_500
    window_ms: Annotated[Millis, Meta(description="the longest window of slots")] = 3_600_000
    fill: Annotated[float, Meta(gt=0, le=1, description="part of the budget that slots are spread at")] = 0.88
    strikes: Annotated[int, Meta(ge=2, le=100, description="early so often: heeds no waits")] = 3
    purse_ms: Annotated[Millis, Meta(description="of a member's part, kept for those at their slots")] = 500


def returns_of(table: ReturnTable, amount: float, period_ms: int, cap_ms: int) -> ReconnectSettings:
    """Return the pacing that a table tells; `amount` a second is its limit's, `cap_ms` what callers heed."""
    return ReconnectSettings(**structs.asdict(table), budget_per_s=amount, period_ms=period_ms, cap_ms=cap_ms)


def return_faults(
    table: ReturnTable | None, limits: Sequence[LimitTable], period_ms: int
) -> list[Fault]:  # fmt: skip
    """Return what in the table cannot work, each naming its key."""
    if table is None:
        return []
    named = [one for one in limits if one.name == table.limit]
    found = [] if table.classes == () or "" not in table.classes else [("classes", "holds an empty name")]
    if table.limit and not named:
        known = ", ".join(one.name for one in limits) or "none"
        found.append(("limit", f"no limit has the name {table.limit!r}; there are: {known}"))
    for one in named[:1]:
        if one.kind != "rate":
            found.append(
                ("limit", f"limit {one.name!r} is of kind {one.kind}; returns need one of kind rate")
            )
        if any(getattr(one, scope) for scope in SCOPES):
            found.append(("limit", f"limit {one.name!r} has a scope; the classes of returns are named here"))
    amount = named[0].amount if named else 1.0
    found += faults(returns_of(table, amount, period_ms, 0))
    return [Fault(f"fleet.returns.{key}", what) for key, what in found]
