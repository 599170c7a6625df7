"""Selects the switches that an instance probes in an interval."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import bitternbeam.decision.interface as api
from bitternbeam.decision.load import SECOND_US, interval_and_wait_limit
from bitternbeam.decision.state import Switch

PROBES_PER_S = 8.0  # to one switch, all instances together


class Probing:
    """Draws the switches to probe at random, at a bounded rate over all instances."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        # A probe costs the switch work: one per second from every instance would fill a switch in slow start.
        # The rate is per second rather than per interval, as short aims don't make a switch faster.
        interval_us, _ = interval_and_wait_limit(settings)
        self.probability = (
            PROBES_PER_S * interval_us / SECOND_US / settings.gateways if settings.may_probe else 0.0
        )
        self.random = random

    def switches_to_probe(self, switches: Iterable[Switch]) -> list[str]:
        """Return the names of the switches to probe in this interval, in the order given."""
        if not self.probability:
            return []  # without a random draw, which would change all later ones
        # A probe costs as much as a set-up; a paced switch should spend its capacity on set-ups.
        ready = (one for one in switches if one.state is api.SwitchState.READY and not one.paced)
        return [switch.name for switch in ready if self.random.random() < self.probability]
