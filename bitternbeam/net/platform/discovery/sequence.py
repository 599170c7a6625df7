"""The order of discovery's events: detects repeated and missing ones. Pure: no I/O, no clock."""

from __future__ import annotations

from enum import Enum

from bitternbeam.decision.interface import ListKind
from bitternbeam.net.platform.discovery.events import Heartbeat, ListEvent


class EventOrder(Enum):
    """How an event or a heartbeat relates to the last event applied."""

    NEXT = "next"  # the change that follows the last one
    FULL_LIST = "whole"  # a newer complete list; events before it need not be known
    REPEATED = "repeated"  # applied before, or superseded by a complete list
    CURRENT = "current"  # a heartbeat with the last applied revision
    BEHIND = "behind"  # a heartbeat with a lower revision: its sender lags behind
    GAP = "gap"  # at least one earlier event is missing


class EventSequence:
    """The revision of the last event applied; 0 before the first, which carries the complete list.

    Revisions only grow during the life of this process, also across addresses of discovery. So a complete
    list with a lower revision is outdated, and applying it would bring removed servers back.
    """

    def __init__(self) -> None:
        self.revision = 0

    def classify(self, update: Heartbeat | ListEvent) -> EventOrder:
        """Return how an event or a heartbeat relates to the last event, without applying it."""
        if isinstance(update, Heartbeat):
            if update.revision > self.revision:
                return EventOrder.GAP
            return EventOrder.CURRENT if update.revision == self.revision else EventOrder.BEHIND
        if update.revision <= self.revision:
            return EventOrder.REPEATED
        if update.full or self.revision == 0:
            return EventOrder.FULL_LIST
        return EventOrder.NEXT if update.revision == self.revision + 1 else EventOrder.GAP

    def advance(self, event: ListEvent) -> ListKind:
        """Advance to an event that is NEXT or FULL_LIST; returns the core's kind of list for it."""
        kind = ListKind.CHANGES
        if self.classify(event) is EventOrder.FULL_LIST:
            kind = ListKind.COMPLETE if self.revision else ListKind.CACHED
        self.revision = event.revision
        return kind
