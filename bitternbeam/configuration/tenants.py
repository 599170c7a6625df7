"""The [[fleet.tenant]] and [[fleet.budget]] tables of a node's file."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta
from msgspec import json as coded

from bitternbeam.configuration.faults import Fault
from bitternbeam.configuration.schema import Entry, Name
from bitternbeam.fleet.budgets.belonging import Belonging, clashes
from bitternbeam.fleet.budgets.terms import MOST, Budget, Part, Tenant, faults

Names = Annotated[tuple[Name, ...], Meta(max_length=4096)]
LINES = "lines"


class TenantTable(Entry, frozen=True):
    """One tenant; a call is its own by number, else caller's address, else class, else it takes the rest."""

    name: Annotated[Name, Meta(description="unique")]
    weight: Annotated[float, Meta(ge=0, le=MOST, description="of what is shared; 0 stands last in line")] = (
        1.0
    )
    guarantee: Annotated[int, Meta(ge=0, le=MOST, description="lines, over all of its bookers")] = 0
    ceiling: Annotated[int, Meta(ge=0, le=MOST, description="lines it never passes; 0: none")] = 0
    bookers: Annotated[Names, Meta(description="it may use; all with a budget unless said")] = ()
    numbers: Annotated[Names, Meta(description="beginnings of the called number; the longest counts")] = ()
    callers: Annotated[Names, Meta(description="beginnings of the caller's address; likewise")] = ()
    classes: Annotated[Names, Meta(description="call classes")] = ()


class BudgetTable(Entry, frozen=True):
    """What one booker has, for the whole fleet."""

    booker: Annotated[Name, Meta(description="as the lists name it")]
    lines: Annotated[int, Meta(ge=0, le=MOST, description="set-ups and calls at once")]
    draining: Annotated[bool, Meta(description="give nothing new")] = False


def tenants_of(tables: Sequence[TenantTable]) -> list[Tenant]:
    """Return the tenants that the tables tell."""
    return [
        Tenant(one.name, one.weight, Part(one.guarantee, one.ceiling), bookers=one.bookers) for one in tables
    ]


def budgets_of(tables: Sequence[BudgetTable]) -> list[Budget]:
    """Return the budgets that the tables tell; of lines alone."""
    return [Budget(one.booker, 0, one.lines, one.draining) for one in tables]


def version_of(tenants: Sequence[TenantTable], budgets: Sequence[BudgetTable]) -> str:
    """Return a short name for what the tables say: the same at all members that have the same."""
    return blake2b(coded.encode((tenants, budgets)), digest_size=4).hexdigest()


def belonging_of(tables: Sequence[TenantTable]) -> Belonging:
    """Return the rule whose a call is."""
    return Belonging((one.name, one.numbers, one.callers, one.classes) for one in tables)


def tenant_faults(
    tenants: Sequence[TenantTable], budgets: Sequence[BudgetTable], bookers: Sequence[str]
) -> Iterator[Fault]:
    """Yield what in the tables cannot work, each naming its key; bookers: those that are known, if any."""
    for table, index, key, what in faults(tenants_of(tenants), budgets_of(budgets)):
        yield Fault(f"fleet.{table}[{index}].{key.removeprefix(f'{LINES}.')}", what)
    rows = [(one.name, one.numbers, one.callers, one.classes) for one in tenants]
    for index, key, what in clashes(rows):
        yield Fault(f"fleet.tenant[{index}].{key}", what)
    for index, one in enumerate(budgets):
        if bookers and one.booker not in bookers:
            yield Fault(f"fleet.budget[{index}].booker", f"booker {one.booker!r} is not among fleet.probes")
    if tenants and not budgets:
        yield Fault("fleet.tenant[0]", "tenants share nothing: no [[fleet.budget]] is there")
    if budgets and not tenants:
        yield Fault("fleet.budget[0]", "nobody may use it: no [[fleet.tenant]] is there")
