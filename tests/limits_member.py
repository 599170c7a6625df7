"""One member of the fleet in tests/limits_model.py, with its own clock rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bitternbeam.fleet.claim import Claim
from bitternbeam.fleet.lease import Session
from bitternbeam.fleet.limits.local_limit import LocalLimit
from bitternbeam.fleet.limits.records import GrantPublisher, LimitReader, work_name

if TYPE_CHECKING:
    from tests.limits_model import World

SECOND = 1_000_000


class Member:
    """One process of a member, from its start to its end."""

    def __init__(self, world: World, number: int, boot: int, held: int | None) -> None:
        self.world, self.number, self.boot = world, number, boot
        self.name = f"m{number}"
        self.clock_drift_ppm = (number % 3 - 1) * 450
        now = self.now
        limit = world.configured[self.name]
        self.session = Session(world.lease, now)
        self.claim = Claim(work_name(limit.name), self.name, world.lease)
        self.limiter = LocalLimit(limit, world.times, self.name, boot, now, held=held)
        self.reader = LimitReader(self.limiter, limit.grant_duration_us)
        self.publisher = GrantPublisher(limit, world.times, self.name, boot)
        self.paused = False
        self.inbox: list[str] = []  # read but not yet delivered

    @property
    def now(self) -> int:
        return self.world.now_us + self.world.now_us * self.clock_drift_ppm // SECOND
