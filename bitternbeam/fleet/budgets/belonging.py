"""Whose a call is: by the called number, else by the caller's address, else by its class, else the rest's.

Of beginnings that fit, the longest counts (as in routing by prefix). A tenant without any rule takes all
calls that no rule fits; without such a tenant those are nobody's.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

Row = tuple[str, Sequence[str], Sequence[str], Sequence[str]]  # tenant, numbers, callers, classes
KEYS = ("numbers", "callers", "classes")


def _longest(table: dict[str, str], lengths: Sequence[int], text: str) -> str | None:
    for length in lengths:
        if length <= len(text) and (found := table.get(text[:length])) is not None:
            return found
    return None


class Belonging:
    """The rules of all tenants; cheap enough for each call."""

    def __init__(self, rows: Iterable[Row]) -> None:
        self.tables: tuple[dict[str, str], ...] = ({}, {}, {})
        self.rest = ""
        for name, *rules in rows:
            if not any(rules):
                self.rest = name
            for table, rule in zip(self.tables, rules, strict=True):
                table.update(dict.fromkeys(rule, name))
        self.lengths = [sorted({len(one) for one in table}, reverse=True) for table in self.tables]

    def tenant(self, number: str, caller: str, cls: str) -> str:
        """Return whose such a call is; '': nobody's."""
        for at, text in ((0, number), (1, caller)):
            found = _longest(self.tables[at], self.lengths[at], text)
            if found is not None:
                return found
        return self.tables[2].get(cls, self.rest)


def clashes(rows: Sequence[Row]) -> list[tuple[int, str, str]]:
    """Return the rules that two tenants have, as (index of the table, key, what is wrong)."""
    found: list[tuple[int, str, str]] = []
    seen: dict[tuple[str, str], str] = {}
    rest = ""
    for index, (name, *rules) in enumerate(rows):
        for key, rule in zip(KEYS, rules, strict=True):
            for one in rule:
                if (key, one) in seen:
                    found.append((index, key, f"{one!r} is {seen[key, one]!r}'s already"))
                seen.setdefault((key, one), name)
        if not any(rules):
            if rest:
                found.append((index, "name", f"{rest!r} takes all calls that no rule fits already"))
            rest = rest or name
    return found
