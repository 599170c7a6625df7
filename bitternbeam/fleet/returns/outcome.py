"""The outcomes of reconnect admission, and the budget that admitted clients draw on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class ReconnectBudget(Protocol):
    """A member's part of the fleet's reconnect budget."""

    def try_take(self, now_us: int) -> bool:
        """Take one token if there is one."""
        ...

    def member_rate(self, now_us: int) -> float:
        """Return this member's rate, in reconnects per second."""
        ...

    def fleet_rate(self) -> float:
        """Return the rate of the whole fleet, in reconnects per second."""
        ...


@dataclass(frozen=True, slots=True)
class Admit:
    """The client is admitted."""


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The client is refused and told to retry after `delay_us` microseconds."""

    delay_us: int


ADMIT = Admit()
