"""The fleet's limits as the cores ask them: room at the offer, taken at each send, given back at its end."""

from __future__ import annotations

from collections.abc import Callable

from bitternbeam.core.calls import Offer
from bitternbeam.core.limiters import UnlimitedTraffic
from bitternbeam.fleet.limits.member import CallScope, MemberLimits
from bitternbeam.wiring.fleet.bench import Bench

AWAY_MOST_US = 60_000_000
OVER_SHARE = "over_share"  # another booker may be tried


class LimitBounds(UnlimitedTraffic):
    """What the cores ask: room at the offer where no booker matters, taken at each send."""

    def __init__(self, bench: Bench, limits: MemberLimits, tenant_of: Callable[[Offer], str]) -> None:
        self.bench, self.limits, self.tenant_of = bench, limits, tenant_of
        # Those that bar a booker whatever the call is.
        self.of_bookers = [
            one.name for one in limits.limits.values() if not (one.classes or one.tenants or one.callers)
        ]

    def scope(self, offer: Offer, booker: str = "") -> CallScope:
        """Return what a call is to a limit."""
        return CallScope(booker, offer.call_class, self.tenant_of(offer), offer.client)

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Turn an offer away that no booker may be sent now."""
        for one in self.limits.matching(self.scope(offer)):
            if not one.has_room(now_us):
                one.note_refused()
                self.bench.counters.add(f"fleet.limits.{one.limit.name}.refused")
                if one.limit.kind == "held":
                    return self.limits.times.period_us
                return min(AWAY_MOST_US, int(1e6 / max(one.usable(now_us), 1e-6)))
        return None

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the bookers that a limit of theirs bars now."""
        found: set[str] = set()
        for name in self.of_bookers:
            one = self.limits.readers[name].local_limit
            if one.limit.bookers and not one.has_room(now_us):
                found.update(one.limit.bookers)
        return frozenset(found)

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Take from every limit that an attempt meets, or from none."""
        name = self.limits.try_acquire(self.scope(offer, booker), now_us)
        if name:
            self.bench.counters.add(f"fleet.limits.{name}.refused")
        return OVER_SHARE if name else ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Give back what is held; what was taken of a rate is spent."""
        self.limits.release(self.scope(offer, booker))

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Give back what is held."""
        self.limits.release(self.scope(offer, booker))
