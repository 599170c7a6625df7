"""The tenants and bookers of the budgets' trial, and their tables in a member's file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

PERIOD_MS = 500
HOLD_MS = 2_000
LINES = 16  # of each booker; this and all of the tenants' numbers grow with the members


@dataclass(frozen=True, slots=True)
class Row:
    """A tenant: how its numbers begin ('': the rest), its table, and the calls that it wants at once."""

    name: str
    number: str
    weight: float
    guarantee: int
    ceiling: int = 0
    everywhere: bool = True  # else at the first and the last booker alone
    wants: float = 20.0

    @property
    def calls(self) -> str:
        """Return how the numbers of its callers begin."""
        return self.number or "39"


TENANTS = {
    one.name: one
    for one in (
        Row("north", "31", 2.0, 10, wants=40.0),
        Row("south", "32", 1.0, 10, wants=30.0),
        Row("west", "33", 1.0, 6, 12, everywhere=False),
        Row("rest", "", 1.0, 0),
    )
}
SLEEPER, BOASTER = "south", "north"
NEWCOMER = Row("east", "34", 1.0, 6)  # comes with a version; the rest's until then
NUMBERS = {one.number: one.name for one in (*TENANTS.values(), NEWCOMER) if one.number}


def whose(number: str) -> str:
    """Return whose a called number is."""
    return NUMBERS.get(number[:2], "rest")


def budget_tables(bookers: Sequence[str], times: int) -> str:
    """Return what the bookers have."""
    return "".join(f'[[fleet.budget]]\nbooker = "{one}"\nlines = {LINES * times}\n' for one in bookers)


def tenant_table(name: str, bookers: Sequence[str], times: int) -> str:
    """Return a tenant's table."""
    row = TENANTS.get(name, NEWCOMER)
    toml = f'[[fleet.tenant]]\nname = "{name}"\nweight = {row.weight}\nguarantee = {row.guarantee * times}\n'
    toml += f"ceiling = {row.ceiling * times}\n"
    toml += f'numbers = ["{row.number}"]\n' if row.number else ""
    return toml + ("" if row.everywhere else f'bookers = ["{bookers[0]}", "{bookers[-1]}"]\n')
