"""The list of bookers as it was told last, and where a call may go by it."""

from __future__ import annotations

from collections.abc import Iterable

from bitternbeam.core.calls import Plan
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState, Tier


class Listing:
    """The bookers that are listed."""

    def __init__(self) -> None:
        self.received = False  # once, if only from the configuration
        self.states: dict[str, SwitchState] = {}
        self.cells: dict[str, int] = {}
        self.start_times_us: dict[str, int] = {}  # the latest start that was told of each

    def update(self, kind: ListKind, entries: Iterable[SwitchEntry]) -> None:
        """Take news; a whole list leaves out those that are gone."""
        self.received = True
        if kind in (ListKind.COMPLETE, ListKind.CACHED):
            missing = self.states.keys() - {entry.switch for entry in entries}
            self.states.update(dict.fromkeys(missing, SwitchState.GONE))
        for entry in entries:
            self.states[entry.switch], self.cells[entry.switch] = entry.state, entry.cell
            self.start_times_us[entry.switch] = max(entry.started_at_us, self.started_us(entry.switch))
        gone = [name for name, state in self.states.items() if state is SwitchState.GONE]
        for name in gone:
            del self.states[name]
            self.cells.pop(name, None)
            self.start_times_us.pop(name, None)

    def started_us(self, booker: str) -> int:
        """Return the latest start that was told of a server; 0 for long ago."""
        return self.start_times_us.get(booker, 0)

    def is_ready(self, booker: str) -> bool:
        """Tell whether new calls may be sent to a booker."""
        return self.states.get(booker) is SwitchState.READY

    def cell_of(self, booker: str) -> int:
        """Return a booker's cell, -1 if it is not listed."""
        return self.cells.get(booker, -1)

    def allows(self, plan: Plan, booker: str) -> bool:
        """Tell whether a call's version lets it go to a booker."""
        cell = self.cells.get(booker, -1)
        return plan.allowed is None or any(tier.contains(booker, cell) for tier in plan.allowed)

    def has_available(self, plan: Plan, dry: frozenset[str]) -> bool:
        """Tell whether some booker that a call may go to is not dry."""
        ready = SwitchState.READY
        return any(
            state is ready and name not in dry and self.allows(plan, name)
            for name, state in self.states.items()
        )

    def exclude_bookers(self, allowed: tuple[Tier, ...] | None, dry: frozenset[str]) -> tuple[Tier, ...]:
        """Return what the module may choose from, less the dry bookers."""
        if allowed is None:
            return (Tier({}, frozenset(self.cells.values()), dry),)
        return tuple(
            Tier(
                {name: weight for name, weight in tier.switches.items() if name not in dry},
                tier.cells, tier.excluded | dry, tier.weights,
            )
            for tier in allowed
        )  # fmt: skip
