"""What every piece of the fleet's work is handed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bitternbeam.configuration.fleet import Fleet
from bitternbeam.counters import Counters
from bitternbeam.fleet.lease import LeaseTimes
from bitternbeam.fleet.membership import Membership
from bitternbeam.net.coordination import ConsulApi
from bitternbeam.tables.deadlines import Deadlines


@dataclass(slots=True)
class Bench:
    """What every piece of work is handed."""

    reactor: Any
    deadlines: Deadlines
    counters: Counters
    fleet: Fleet
    times: LeaseTimes
    api: ConsulApi
    roster: Membership
