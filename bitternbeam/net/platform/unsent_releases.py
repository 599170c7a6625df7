"""Releases that a booker has not received for certain, kept until a connection carries them.

A booker that has accepted a set-up keeps its call until it hears a release, whatever becomes of the
connection. So the release of a set-up whose connection broke, and of one that was cancelled while no
connection was open, is sent on another connection, and so is one whose own connection broke soon after.
"""

from __future__ import annotations

from collections import OrderedDict

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits


class RecentReleases:
    """The ids released on one connection within `booker_release_repeat_us`: they may be lost with it."""

    def __init__(self, limits: Limits) -> None:
        self._retention_us = limits.booker_release_repeat_us
        self._sent_us: OrderedDict[str, int] = OrderedDict()

    def add(self, uid: str, now_us: int) -> None:
        """Record a release that was written just now."""
        self._sent_us[uid] = now_us
        self._sent_us.move_to_end(uid)
        self._expire(now_us)

    def uids(self, now_us: int) -> list[str]:
        """Return the ids released lately, oldest first."""
        self._expire(now_us)
        return list(self._sent_us)

    def _expire(self, now_us: int) -> None:
        while self._sent_us and next(iter(self._sent_us.values())) + self._retention_us < now_us:
            self._sent_us.popitem(last=False)


class UnsentReleases:
    """The ids whose releases wait for a connection to one booker.

    Past `undelivered_releases` the oldest is dropped and counted.
    """

    def __init__(self, limits: Limits, counters: Counters) -> None:
        self._max_ids = limits.undelivered_releases
        self._counters = counters
        self._uids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, uid: str) -> bool:
        return uid in self._uids

    def add(self, uid: str) -> None:
        """Keep an id until its release can be sent."""
        self._uids[uid] = None
        if len(self._uids) > self._max_ids:
            self._uids.popitem(last=False)
            self._counters.add("booker.releases_dropped")

    def take_all(self) -> list[str]:
        """Remove and return all ids, oldest first."""
        uids = list(self._uids)
        self._uids.clear()
        return uids
