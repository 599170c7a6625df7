"""The order of discovery's events: which are news, which repeat others, and where one is missing. Pure."""

from __future__ import annotations

from enum import Enum

from bitternbeam.decision.interface import ListKind
from bitternbeam.net.platform.discovery.events import Heartbeat, ListEvent


class EventOrder(Enum):
    """How an event or a heartbeat stands to what has been taken."""

    NEXT = "next"  # the change that follows on the last one
    FULL_LIST = "whole"  # a newer whole list, whatever was missed before it
    REPEATED = "repeated"  # taken before, or overtaken by a newer whole list
    CURRENT = "current"  # a heartbeat of the number that was taken last
    BEHIND = "behind"  # a heartbeat of a lower number: its sender has yet to catch up
    GAP = "gap"  # one or more before it are missing


class EventSequence:
    """The number of the last event taken; 0 before the first, which carries the whole list.

    Numbers only grow for as long as this process lives, at whatever address discovery is, so a whole list
    under a number that was passed is an old one. Taken, it would bring servers back that are gone.
    """

    def __init__(self) -> None:
        self.revision = 0

    def classify(self, news: Heartbeat | ListEvent) -> EventOrder:
        """Place an event or a heartbeat without taking it."""
        if isinstance(news, Heartbeat):
            if news.revision > self.revision:
                return EventOrder.GAP
            return EventOrder.CURRENT if news.revision == self.revision else EventOrder.BEHIND
        if news.revision <= self.revision:
            return EventOrder.REPEATED
        if news.full or self.revision == 0:
            return EventOrder.FULL_LIST
        return EventOrder.NEXT if news.revision == self.revision + 1 else EventOrder.GAP

    def advance(self, event: ListEvent) -> ListKind:
        """Go on to an event that is NEXT or WHOLE; returns what the core calls such a list."""
        kind = ListKind.CHANGES
        if self.classify(event) is EventOrder.FULL_LIST:
            kind = ListKind.COMPLETE if self.revision else ListKind.CACHED
        self.revision = event.revision
        return kind
