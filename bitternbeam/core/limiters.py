"""Combination of several traffic limiters, and a base class that limits nothing."""

from __future__ import annotations

from collections.abc import Sequence

from bitternbeam.core.calls import Offer
from bitternbeam.core.ports import TrafficLimiter


class UnlimitedTraffic:
    """A limiter that allows everything; subclasses override what they limit (see ports.TrafficLimiter)."""

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Admit every offer."""
        return None

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return no bookers."""
        return frozenset()

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Allow every attempt."""
        return ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Ignore an attempt that was not sent."""

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Ignore an established call."""

    def attempt_refused(self, booker: str) -> None:
        """Ignore a refused or failed attempt."""

    def attempt_timed_out(self, booker: str) -> None:
        """Ignore an unanswered attempt."""

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Ignore the end of an attempt."""

    def call_ended(self, offer: Offer) -> None:
        """Ignore the end of a call."""


class LimiterChain:
    """Limiters asked in turn; on the first refusal, those asked before release what they acquired."""

    def __init__(self, links: Sequence[TrafficLimiter]) -> None:
        self.links = tuple(links)

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Admit an offer if every limiter admits it; else return the first retry delay."""
        for index, link in enumerate(self.links):
            delay_us = link.admit(offer, now_us)
            if delay_us is not None:
                for admitted in self.links[:index]:
                    admitted.call_ended(offer)
                return delay_us
        return None

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the bookers that any limiter has exhausted."""
        return frozenset().union(*(link.exhausted_bookers(offer, now_us) for link in self.links))

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Return the first reason against an attempt; '' if it may be sent."""
        for index, link in enumerate(self.links):
            reason = link.try_send(booker, retry, offer, now_us)
            if reason:
                for admitted in self.links[:index]:
                    admitted.cancel_send(booker, offer)
                return reason
        return ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Undo a successful try_send."""
        for link in self.links:
            link.cancel_send(booker, offer)

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Record an attempt that established its call."""
        for link in self.links:
            link.attempt_answered(booker, now_us)

    def attempt_refused(self, booker: str) -> None:
        """Record an attempt that was refused or failed with an error."""
        for link in self.links:
            link.attempt_refused(booker)

    def attempt_timed_out(self, booker: str) -> None:
        """Record an attempt that was not answered in time."""
        for link in self.links:
            link.attempt_timed_out(booker)

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Release an attempt, which holds nothing at its booker any more."""
        for link in self.links:
            link.attempt_ended(booker, offer)

    def call_ended(self, offer: Offer) -> None:
        """Release an admitted offer."""
        for link in self.links:
            link.call_ended(offer)


def combine_limiters(links: Sequence[TrafficLimiter]) -> TrafficLimiter | None:
    """Return one limiter for all links; None if there are none."""
    return None if not links else links[0] if len(links) == 1 else LimiterChain(links)
