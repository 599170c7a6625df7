"""Which switches a gateway asks for their report in an interval."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import bitternbeam.decision.interface as api
from bitternbeam.decision.load import SECOND_US, interval_and_wait_limit
from bitternbeam.decision.state import Switch

PROBES_PER_S = 8.0  # a second to one switch, of all gateways together


class Probing:
    """Decides the probes of one instance."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        # Danger: a probe is work there; one from each gateway every second would fill a cold switch.
        # By the second, not by the interval: where aims are short a processor is not for that reason quicker.
        interval_us, _ = interval_and_wait_limit(settings)
        self.probability = (
            PROBES_PER_S * interval_us / SECOND_US / settings.gateways if settings.may_probe else 0.0
        )
        self.random = random

    def switches_to_probe(self, switches: Iterable[Switch]) -> list[str]:
        """Return the names of the switches that are probed in this interval, in the order given."""
        if not self.probability:
            return []  # and no draw: it would change all that are drawn after it
        # A probe is work like a set-up, and the slots of a switch in slow start are better spent on those.
        ready = (one for one in switches if one.state is api.SwitchState.READY and not one.paced)
        return [switch.name for switch in ready if self.random.random() < self.probability]
