"""The latest list of bookers, and the bookers to which a call may go."""

from __future__ import annotations

from collections.abc import Iterable

from bitternbeam.core.calls import Plan
from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState, Tier


class Listing:
    """The listed bookers with their states and cells."""

    def __init__(self) -> None:
        self.received = False  # at least once, possibly from the configuration alone
        self.states: dict[str, SwitchState] = {}
        self.cells: dict[str, int] = {}
        self.start_times_us: dict[str, int] = {}  # the latest reported start of each booker

    def update(self, kind: ListKind, entries: Iterable[SwitchEntry]) -> None:
        """Apply changes; bookers missing from a complete list are removed."""
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
        """Return the latest reported start of a server; 0 if none is known."""
        return self.start_times_us.get(booker, 0)

    def is_ready(self, booker: str) -> bool:
        """Return whether new calls may be sent to a booker."""
        return self.states.get(booker) is SwitchState.READY

    def cell_of(self, booker: str) -> int:
        """Return a booker's cell, or -1 if it is not listed."""
        return self.cells.get(booker, -1)

    def allows(self, plan: Plan, booker: str) -> bool:
        """Return whether a call's plan allows a booker."""
        cell = self.cells.get(booker, -1)
        return plan.allowed is None or any(tier.contains(booker, cell) for tier in plan.allowed)

    def has_available(self, plan: Plan, exhausted: frozenset[str]) -> bool:
        """Return whether any ready booker that the plan allows is not exhausted."""
        ready = SwitchState.READY
        return any(
            state is ready and name not in exhausted and self.allows(plan, name)
            for name, state in self.states.items()
        )

    def exclude_bookers(
        self, allowed: tuple[Tier, ...] | None, exhausted: frozenset[str]
    ) -> tuple[Tier, ...]:
        """Return the allowed tiers without the exhausted bookers."""
        if allowed is None:
            return (Tier({}, frozenset(self.cells.values()), exhausted),)
        return tuple(
            Tier(
                {name: weight for name, weight in tier.switches.items() if name not in exhausted},
                tier.cells, tier.excluded | exhausted, tier.weights,
            )
            for tier in allowed
        )  # fmt: skip
