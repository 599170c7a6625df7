"""What a client that comes back is answered, and the budget that it is let in from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class ReconnectBudget(Protocol):
    """A member's part of the fleet's budget for returns."""

    def try_take(self, now_us: int) -> bool:
        """Take one return from it, if it holds one."""
        ...

    def member_rate(self, now_us: int) -> float:
        """Return this member's part, a second."""
        ...

    def fleet_rate(self) -> float:
        """Return the whole budget, a second."""
        ...


@dataclass(frozen=True, slots=True)
class Admit:
    """Let it in."""


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Turn it away, to come again after `us` microseconds."""

    delay_us: int


ADMIT = Admit()
