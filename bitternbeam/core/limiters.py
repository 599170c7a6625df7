"""Several bounds asked as one, and bounds that bar nothing, for those that bound a part of it."""

from __future__ import annotations

from collections.abc import Sequence

from bitternbeam.core.calls import Offer
from bitternbeam.core.ports import TrafficLimiter


class UnlimitedTraffic:
    """Bounds that bar nothing: a subsystem overrides what it bounds (see ports.Bounds)."""

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Pass every offer."""
        return None

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Name no booker."""
        return frozenset()

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Let every attempt go out."""
        return ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Take back an attempt that did not go out."""

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Note an attempt that stands."""

    def attempt_refused(self, booker: str) -> None:
        """Note an attempt that was turned away, or an error."""

    def attempt_timed_out(self, booker: str) -> None:
        """Note an attempt that was not answered in time."""

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Note that an attempt holds nothing at its booker any more."""

    def call_ended(self, offer: Offer) -> None:
        """Note that nothing of an offer is left."""


class LimiterChain:
    """Bounds asked in turn: the first refusal stands, and those asked before it take theirs back."""

    def __init__(self, links: Sequence[TrafficLimiter]) -> None:
        self.links = tuple(links)

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Take an offer if every link passes it."""
        for place, one in enumerate(self.links):
            away_us = one.admit(offer, now_us)
            if away_us is not None:
                for passed in self.links[:place]:
                    passed.call_ended(offer)
                return away_us
        return None

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the bookers that are dry for any link."""
        return frozenset().union(*(one.exhausted_bookers(offer, now_us) for one in self.links))

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Return the first reason why an attempt may not go out."""
        for place, one in enumerate(self.links):
            why = one.try_send(booker, retry, offer, now_us)
            if why:
                for passed in self.links[:place]:
                    passed.cancel_send(booker, offer)
                return why
        return ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Take back an attempt that did not go out."""
        for one in self.links:
            one.cancel_send(booker, offer)

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Note an attempt that stands."""
        for one in self.links:
            one.attempt_answered(booker, now_us)

    def attempt_refused(self, booker: str) -> None:
        """Note an attempt that was turned away, or an error."""
        for one in self.links:
            one.attempt_refused(booker)

    def attempt_timed_out(self, booker: str) -> None:
        """Note an attempt that was not answered in time."""
        for one in self.links:
            one.attempt_timed_out(booker)

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Note that an attempt holds nothing at its booker any more."""
        for one in self.links:
            one.attempt_ended(booker, offer)

    def call_ended(self, offer: Offer) -> None:
        """Note that nothing of an offer is left."""
        for one in self.links:
            one.call_ended(offer)


def combine_limiters(links: Sequence[TrafficLimiter]) -> TrafficLimiter | None:
    """Return several bounds as one; None for none."""
    return None if not links else links[0] if len(links) == 1 else LimiterChain(links)
