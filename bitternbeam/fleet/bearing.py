"""What a booker bears in its health of now: its limit, and a cold one's part of it; the owner's. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from bitternbeam.fleet.pressure import LimitController, Pressure, Report, cold_limit, sum_reports
from bitternbeam.fleet.ramp import BookerHealth, Health


class BookerLimit:
    """One booker's limit: moved once a period by the reports, held at once within what its health allows."""

    def __init__(self) -> None:
        self.controller = LimitController()
        self.ready_pressure: Pressure | None = None  # as it would be were the booker ready
        self.other_booker_rates: list[float] = []  # what the other bookers took, per second

    def resume(self, pressure: Pressure) -> None:
        """Go on from what another owner published."""
        self.controller.resume(pressure)
        self.ready_pressure = None

    def replaced(self) -> None:
        """Note that it was found to be replaced: it was so before, and turned away what it bore till then."""
        self.controller.restore_capacity()

    def step(
        self, reports: Sequence[Report], booker: str, bookers: Iterable[str], health: BookerHealth
    ) -> None:
        """Move the limit by a period's reports of the members; `bookers` names them all."""
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
        """Return what is to be published; None: nothing is known.

        Danger: where a cold booker's part followed a period after its health, all members went on as before.
        """
        base = self.ready_pressure or published
        if base is None or health.health is Health.READY:
            return base
        # It bears only so much from all members together, however many they are.
        held = base.within(cold_limit(health.share, self.controller.capacity, self.other_booker_rates))
        return replace(held, bore=self.controller.capacity)
