"""One booker's limit under its current health, as computed by the booker's owner. Pure: no clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from bitternbeam.fleet.pressure import LimitController, Pressure, Report, cold_limit, sum_reports
from bitternbeam.fleet.ramp import BookerHealth, Health


class BookerLimit:
    """One booker's limit: updated once a period from the reports, capped at once when its health changes."""

    def __init__(self) -> None:
        self.controller = LimitController()
        self.ready_pressure: Pressure | None = None  # as if the booker were ready
        self.other_booker_rates: list[float] = []  # accepted per second

    def resume(self, pressure: Pressure) -> None:
        """Continue from what the previous owner published."""
        self.controller.resume(pressure)
        self.ready_pressure = None

    def replaced(self) -> None:
        """Handle a replacement of the booker.

        It took place before it was noticed; refusals since then have lowered the capacity, which is restored.
        """
        self.controller.restore_capacity()

    def step(
        self, reports: Sequence[Report], booker: str, bookers: Iterable[str], health: BookerHealth
    ) -> None:
        """Update the limit from the members' reports of a period; `bookers` are all names."""
        traffic, demand = sum_reports(reports, booker)
        pressed = self.controller.step(traffic, cold=health.health is not Health.READY)
        self.other_booker_rates = [
            sum_reports(reports, name)[0].accepted for name in bookers if name != booker
        ]
        at_ms = max((one.at_ms for one in reports), default=0)
        self.ready_pressure = Pressure(
            self.controller.limit, demand, max(1, len(reports)), pressed, at_ms, self.controller.capacity
        )

    def pressure(self, health: BookerHealth, published: Pressure | None) -> Pressure | None:
        """Return what is to be published, or None if nothing is known.

        A cold booker's cap applies at once: applied a period later, all members went on sending as before.
        """
        base = self.ready_pressure or published
        if base is None or health.health is Health.READY:
            return base
        # The cap holds for all members together, whatever their number.
        held = base.within(cold_limit(health.share, self.controller.capacity, self.other_booker_rates))
        return replace(held, bore=self.controller.capacity)
