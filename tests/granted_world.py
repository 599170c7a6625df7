"""The simulated fleet of returns_world.py with the leases of fleet.limits in place of ideal sharing.

The times are those of bitternbeam/lab/storm.py. One member owns the admission window, another the limit.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from bitternbeam.fleet.limits.grants import Grants
from bitternbeam.fleet.limits.ledger import Ledger
from bitternbeam.fleet.limits.local_limit import LocalLimit
from bitternbeam.fleet.limits.need import Need
from bitternbeam.fleet.limits.terms import Limit, LimitTimes
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.tokens import Token
from tests.returns_world import Member, Part, World

PERIOD_MS, TTL_MS, LOCK_DELAY_MS = 500, 2_000, 300
TAKEOVER_MS = TTL_MS + LOCK_DELAY_MS + PERIOD_MS


class Grant(Part):
    """A member's part of the budget, by its holding of the limit."""

    def __init__(self, holding: LocalLimit, whole: float) -> None:
        super().__init__(0.0, whole)
        self.holding = holding

    def try_take(self, now_us: int) -> bool:
        return self.holding.try_acquire(now_us)

    def member_rate(self, now_us: int) -> float:
        return self.holding.usable(now_us)


@dataclass
class Granted(World):
    """A reconnect surge whose budget is leased; `cut` isolates a member from the coordination service."""

    settings: ReconnectSettings = field(
        default_factory=lambda: ReconnectSettings("back", 250.0, period_ms=PERIOD_MS)
    )
    lasts_ms: int = TTL_MS + LOCK_DELAY_MS + 4 * PERIOD_MS
    granter: int = 0  # owner of the limit

    def __post_init__(self) -> None:
        self.limit = Limit("back", "rate", self.budget, self.safe, self.members, self.lasts_ms)
        self.times = LimitTimes(PERIOD_MS * 1000, TTL_MS * 1000)
        self.reigns = 0
        self.parts: dict[str, Grant] = {}
        super().__post_init__()
        for one in self.fleet:
            self.boot(one)
        self.reign(self.granter)

    def boot(self, one: Member) -> None:
        """Give a member a new holding, as a restart does."""
        part = Grant(
            LocalLimit(self.limit, self.times, one.name, 1 + self.now_us // 1000, self.now_us), self.budget
        )
        one.part = self.parts[one.name] = part
        if one.returns is not None:
            one.returns.budget = part

    def reign(self, number: int) -> None:
        """Make a member the owner of the limit, without any state."""
        self.granter, self.reigns = number, self.reigns + 1
        name = self.fleet[number].name
        self.ledger = Ledger(
            self.limit, self.times, Token(self.reigns, name), f"{name}.{self.reigns}", self.now_us
        )
        self.after(PERIOD_MS / 2, partial(self.publish, self.ledger))

    def grant(self) -> None:
        """Report what each member needs."""
        for one in self.fleet:
            if one.returns is None or one.down or one.paused:
                continue
            holding = self.parts[one.name].holding
            holding.requested = round(one.returns.due_clients)
            need = holding.build_need(self.now_us)
            if not one.cut:
                self.after(self.delay_ms, partial(self.needed, need))

    def needed(self, need: Need) -> None:
        if not self.fleet[self.granter].cut:
            self.ledger.apply_need(need, self.now_us)

    def publish(self, ledger: Ledger) -> None:
        owner = self.fleet[self.granter]
        if ledger is not self.ledger:
            return
        self.after(PERIOD_MS, partial(self.publish, ledger))
        if not (owner.cut or owner.down or owner.paused):
            self.after(
                self.delay_ms / 2, partial(self.granted, ledger.token, ledger.plan_grants(self.now_us))
            )

    def granted(self, token: Token, grants: Grants) -> None:
        for one in self.fleet:
            if not one.cut and not one.down:
                self.after(self.delay_ms / 2, partial(self.told, one, token, grants))

    def told(self, one: Member, token: Token, grants: Grants) -> None:
        if not one.cut:
            self.parts[one.name].holding.apply_grants(token, grants, self.now_us)
