"""The owner's record of the budgets: what is published, and what a new owner goes on from.

    {"version": "3.14", "amounts": {"lines": {"b1": {"north": 12, ...}, ...}, ...},
     "warm": {"b1": {"north": 2}}, "balance": {"lines": {"north": 0.25}}, "penalty": {...}, "turnover": {...}}

Token and age stand beside it, in the record that carries it (fleet.record).
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass, field
from typing import Any

from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.slices import Meter
from bitternbeam.fleet.budgets.terms import Kind

MOST_PAIRS = 200_000

Amounts = dict[Pair, int]
Figures = dict[Kind, dict[str, float]]


@dataclass(slots=True)
class Kept:
    """A record's value, read."""

    version: str = ""
    amounts: dict[Kind, Amounts] = field(default_factory=dict)
    warm: Amounts = field(default_factory=dict)
    balance: Figures = field(default_factory=dict)
    penalty: Figures = field(default_factory=dict)
    turnover: Figures = field(default_factory=dict)

    def packed(self, meter: Meter) -> Generator[None, None, dict[str, Any]]:
        """Return it as the record carries it, in slices."""
        amounts = {}
        for kind, rows in self.amounts.items():
            amounts[str(kind)] = yield from _by_booker(rows, meter)
        warm = yield from _by_booker(self.warm, meter)
        whole: dict[str, Any] = {"version": self.version, "amounts": amounts, "warm": warm}
        for key, of in (("balance", self.balance), ("penalty", self.penalty), ("turnover", self.turnover)):
            whole[key] = {str(kind): _rounded(one) for kind, one in of.items()}
            yield
        return whole


def _by_booker(rows: Amounts, meter: Meter) -> Generator[None, None, dict[str, dict[str, int]]]:
    found: dict[str, dict[str, int]] = {}
    for (tenant, booker), amount in rows.items():
        found.setdefault(booker, {})[tenant] = amount
        if meter.spent(3):
            yield
    return found


def _rounded(figures: Mapping[str, float]) -> dict[str, float]:
    return {name: round(one, 3) for name, one in sorted(figures.items()) if round(one, 3)}


def _amounts(value: Any) -> Amounts | None:
    if not isinstance(value, dict):
        return None
    found: Amounts = {}
    for booker, row in value.items():
        if not isinstance(row, dict) or len(row) + len(found) > MOST_PAIRS:
            return None
        for tenant, amount in row.items():
            if type(amount) is not int or amount < 0:
                return None
            found[str(tenant), str(booker)] = amount
    return found


def _figures(value: Any) -> Figures | None:
    if not isinstance(value, dict):
        return None
    found: Figures = {}
    for kind in Kind:
        one = value.get(str(kind), {})
        if not isinstance(one, dict):
            return None
        for number in one.values():
            if isinstance(number, bool) or not isinstance(number, int | float) or not -1e6 < number < 1e6:
                return None
        found[kind] = {str(name): float(number) for name, number in one.items()}
    return found


def kept_of(value: Any) -> Kept | None:
    """Read a record's value; None where it is not one."""
    if not isinstance(value, dict) or not isinstance(value.get("version"), str):
        return None
    amounts = value.get("amounts")
    if not isinstance(amounts, dict):
        return None
    found: dict[Kind, Amounts] = {}
    for kind in Kind:
        rows = _amounts(amounts.get(str(kind), {}))
        if rows is None:
            return None
        found[kind] = rows
    warm = _amounts(value.get("warm"))
    balance, penalty, turnover = (_figures(value.get(key)) for key in ("balance", "penalty", "turnover"))
    if warm is None or balance is None or penalty is None or turnover is None:
        return None
    return Kept(value["version"], found, warm, balance, penalty, turnover)
