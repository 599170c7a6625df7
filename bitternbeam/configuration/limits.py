"""The [[fleet.limit]] tables of a node's file."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

from msgspec import Meta, structs

from bitternbeam.configuration.faults import Fault
from bitternbeam.configuration.schema import Entry, Text
from bitternbeam.fleet.limits.terms import MAX_AMOUNT, Limit, check_limits

Scope = Annotated[tuple[Text, ...], Meta(max_length=4096)]


class LimitTable(Entry, frozen=True):
    """One limit: an amount that all members together keep to; an empty scope is met by every call."""

    name: Annotated[Text, Meta(description="unique; limit/NAME is its piece of work")]
    kind: Annotated[Literal["rate", "held"], Meta(description="a second, or at once")]
    amount: Annotated[float, Meta(gt=0, le=MAX_AMOUNT, description="of all members together")]
    safe: Annotated[float, Meta(ge=0, le=1, description="share kept as safe parts")] = 0.05
    most: Annotated[int, Meta(ge=1, le=10_000, description="members that the safe parts are for")] = 64
    lasts_ms: Annotated[int, Meta(ge=1, le=3_600_000, description="life of a grant")] = 20_000
    hold_most_ms: Annotated[int, Meta(ge=1, description="held: no taking lasts longer")] = 3_600_000
    bookers: Annotated[Scope, Meta(description="by name; all unless said, as for each scope")] = ()
    classes: Scope = ()
    tenants: Scope = ()
    callers: Annotated[Scope, Meta(description="by address")] = ()


def limits_of(tables: Sequence[LimitTable]) -> list[Limit]:
    """Return the limits that the tables tell."""
    return [Limit(**structs.asdict(one)) for one in tables]


def limit_faults(tables: Sequence[LimitTable], period_ms: int, ttl_ms: int) -> list[Fault]:
    """Return what in the tables cannot work, each naming its key."""
    found = check_limits(limits_of(tables), period_ms, ttl_ms)
    return [Fault(f"fleet.limit[{index}].{key}", what) for index, key, what in found]
