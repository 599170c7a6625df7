"""The [fleet.verdicts] table of a node's file."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

from msgspec import Meta, structs

from bitternbeam.configuration.faults import Fault
from bitternbeam.configuration.limits import LimitTable
from bitternbeam.configuration.schema import Entry
from bitternbeam.configuration.tenants import TenantTable
from bitternbeam.fleet.verdicts.observations import SubjectKey
from bitternbeam.fleet.verdicts.settings import VerdictSettings, find_faults

Millis = Annotated[int, Meta(ge=1, le=604_800_000)]
Share = Annotated[float, Meta(gt=0, le=1)]
Kind = Literal["booker", "tenant", "caller", "version"]


class VerdictTable(Entry, frozen=True):
    """Verdicts that all members hold alike: ejected bookers, barred tenants and callers, bad versions."""

    kinds: Annotated[tuple[Kind, ...], Meta(max_length=4, description="that are pronounced and heeded")] = (
        "booker", "tenant", "caller", "version",
    )  # fmt: skip
    judge_ms: Annotated[Millis, Meta(description="a member tells of a booker's attempts of so long")] = 3_000
    least: Annotated[int, Meta(ge=1, le=10_000, description="attempts, or it has no opinion")] = 3
    fail_share: Annotated[Share, Meta(description="of them not answered in time: the booker fails")] = 0.5
    quorum: Annotated[Share, Meta(description="of the members with an opinion: it is ejected")] = 0.5
    members_least: Annotated[int, Meta(ge=1, le=10_000, description="that say so")] = 2
    eject_ms: Annotated[Millis, Meta(description="a booker is ejected for; then twice, at most 10 min")] = (
        30_000
    )
    eject_share: Annotated[Share, Meta(description="of all bookers, ejected at once at most")] = 0.5
    over_factor: Annotated[
        float, Meta(ge=1, le=10_000, description="a tenant's or caller's demand to its limit of kind rate")
    ] = 3.0
    over_ms: Annotated[Millis, Meta(description="for so long, and it is barred")] = 10_000
    bar_ms: Annotated[
        Millis, Meta(description="a tenant or caller is barred for; then twice, at most a day")
    ] = 60_000
    bad_ms: Annotated[Millis, Meta(description="a version rolled back is not taken for")] = 86_400_000


def terms_of(table: VerdictTable, period_ms: int) -> VerdictSettings:
    """Return the terms that a table tells."""
    return VerdictSettings(**structs.asdict(table), period_ms=period_ms)


def judged_limits(limits: Sequence[LimitTable]) -> dict[SubjectKey, float]:
    """Return the least amount a second that a limit of kind rate has for each tenant and caller it names."""
    found: dict[SubjectKey, float] = {}
    for limit in limits:
        if limit.kind == "rate":
            for kind, names in (("tenant", limit.tenants), ("caller", limit.callers)):
                for name in names:
                    found[kind, name] = min(limit.amount, found.get((kind, name), limit.amount))
    return found


def verdict_faults(
    table: VerdictTable | None, limits: Sequence[LimitTable], tenants: Sequence[TenantTable], period_ms: int
) -> list[Fault]:
    """Return what in the table cannot work, each naming its key."""
    known = {one.name for one in tenants}
    found = [
        Fault(f"fleet.limit[{index}].tenants", f"no [[fleet.tenant]] has the name {name!r}")
        for index, limit in enumerate(limits)
        for name in limit.tenants
        if name not in known
    ]
    if table is None:
        return found
    return found + [
        Fault(f"fleet.verdicts.{key}", what) for key, what in find_faults(terms_of(table, period_ms))
    ]
