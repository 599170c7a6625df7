"""Lending: how much of unused guarantees is lent, and who has borrowed.

No standing call is cut, so that what is lent comes back only as it is released. Of a guarantee that is not
used, as much is lent as the borrowers surely release within the time that it is promised in: half of the
turnover that was measured, less two standard deviations of a Poisson count, and what they keep idle. The
rest stays free and is there at once.

Who holds more than its own share borrows; who holds less while others borrow lends. The balance of both, in
own shares, fades by halves; a debtor's weight in what is left over is divided by 1 + balance, so that one
that always borrows stands behind one that seldom does.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

MOST = 8.0  # own shares: nobody stands further behind, or ahead
SURE = 0.5  # part of the measured turnover that is counted on
SMOOTH = 0.2


def surely(expected: float) -> float:
    """Return what a Poisson count of that mean surely reaches."""
    return max(0.0, expected - 2 * math.sqrt(expected)) if expected > 0 else 0.0


class Turnover:
    """What part of a booker's holdings is released in a period, by booker."""

    def __init__(self) -> None:
        self.rate: dict[str, float] = {}

    def step(self, counts: Mapping[str, tuple[int, int]], bookers: Collection[str]) -> None:
        """Take (held, released) of each booker's last period; those that are no more are forgotten."""
        for gone in self.rate.keys() - set(bookers):
            del self.rate[gone]
        for booker, (held, released) in counts.items():
            if held + released > 0 and booker in bookers:
                now, before = released / (held + released), self.rate.get(booker, 0.0)
                self.rate[booker] = before + SMOOTH * (now - before)

    def comes_back(self, booker: str, held: int, idle: int, periods: int) -> float:
        """Return what borrowers that hold so much there surely give back within so many periods."""
        rate = SURE * self.rate.get(booker, 0.0)
        return idle + surely((held - idle) * (1 - (1 - rate) ** periods))


class Debts:
    """Each tenant's balance of what it borrowed and lent, in own shares."""

    def __init__(self, half_us: int) -> None:
        self.half_us = half_us
        self.balance: dict[str, float] = {}

    def step(self, own: Mapping[str, int], held: Mapping[str, int], elapsed_us: int) -> None:
        """Take what all hold now; it counts for the time since the last step."""
        decay = 0.5 ** (elapsed_us / self.half_us)
        over = {one: max(0, held.get(one, 0) - share) for one, share in own.items()}
        under = {one: max(0, share - held.get(one, 0)) for one, share in own.items()}
        lent = min(1.0, sum(over.values()) / max(1, sum(under.values())))
        for tenant, share in own.items():
            now = (over[tenant] - lent * under[tenant]) / max(1, share)
            kept = decay * self.balance.get(tenant, 0.0) + (1 - decay) * now
            self.balance[tenant] = min(MOST, max(-MOST, kept))
        for gone in self.balance.keys() - own.keys():
            del self.balance[gone]


def kept_back(
    unused: Mapping[str, int], bookers: Mapping[str, tuple[str, ...]], back: Mapping[str, float]
) -> dict[str, int]:
    """Return what of each tenant's unused guarantee is not lent.

    bookers: of each tenant; back: what surely comes back at each booker, split by what is unused there.
    """
    at: dict[str, int] = {}
    for tenant, amount in unused.items():
        for booker in bookers[tenant]:
            at[booker] = at.get(booker, 0) + amount
    kept = {}
    for tenant, amount in unused.items():
        lent = sum(back.get(one, 0.0) * amount / at[one] for one in bookers[tenant] if at[one])
        kept[tenant] = max(0, amount - int(lent))
    return kept
