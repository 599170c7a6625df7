"""The fleet's members as listed in the catalogue, with flap damping, and the fleet's size.

A new member counts for ownership only after it has been present for a while, and longer after each departure
(route flap damping, RFC 2439, with a doubling instead of a decaying penalty), so that a flapping member does
not move its work to and fro. A member that left stops counting at once, as its lease lapses with it.

The size by which shares are divided is conservative: the largest fleet seen within `recent_us`, so that no
member sends more when the engine loses half of the members for a moment. Times are microseconds, passed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from bitternbeam.fleet.rendezvous import weight

MAX_SETTLE_DOUBLINGS = 3  # largest number of doublings of settle_us
MAX_DECLINING_MEMBERS = 2  # if more members cannot reach a receiver, the receiver is at fault


@dataclass(frozen=True, slots=True)
class Damping:
    """How long a member must be present to count, and how long sizes and departures are remembered."""

    settle_us: int
    recent_us: int


@dataclass(slots=True)
class _MemberState:
    since_us: int
    departures: int = 0  # departures followed by a return within recent_us
    left_us: int | None = None
    declined: frozenset[str] = frozenset()


class Membership:
    """The members known to one member from the catalogue. `me` always counts."""

    def __init__(self, me: str, damping: Damping, now_us: int) -> None:
        self.me = me
        self.damping = damping
        self.states: dict[str, _MemberState] = {}
        self.updated_us: int | None = None
        self.sizes: deque[tuple[int, int]] = deque([(now_us, 1)])  # (time, size), newest last
        self.declined: frozenset[str] = frozenset()  # work that `me` declines

    def update(self, members: Mapping[str, frozenset[str]], now_us: int) -> bool:
        """Apply the catalogue's passing members, each with the work it declines; return whether they changed.

        Members in the first answer count at once, as they need not have joined just now.
        """
        first = self.updated_us is None
        self.updated_us = now_us
        before = self.present()
        for name, aside in members.items():
            one = self.states.get(name)
            if one is None:
                since = now_us - self.damping.settle_us if first else now_us
                self.states[name] = _MemberState(since, declined=aside)
                continue
            one.declined = aside
            if one.left_us is not None:
                long_ago = now_us - one.left_us > self.damping.recent_us
                one.departures = 0 if long_ago else one.departures + 1
                one.left_us, one.since_us = None, now_us
        for name, one in list(self.states.items()):
            if name in members:
                continue
            if one.left_us is None:
                one.left_us = now_us
            elif now_us - one.left_us > self.damping.recent_us:
                del self.states[name]
        now = self.present()
        self._note_size(len(now), now_us)
        return now != before

    def present(self) -> set[str]:
        """Return the members of the last update, and `me`."""
        return {name for name, one in self.states.items() if one.left_us is None} | {self.me}

    def stable(self, now_us: int) -> list[str]:
        """Return the members that count for ownership now, sorted by name."""
        found = {self.me}
        for name, one in self.states.items():
            settle_us = self.damping.settle_us << min(one.departures, MAX_SETTLE_DOUBLINGS)
            if one.left_us is None and now_us - one.since_us >= settle_us:
                found.add(name)
        return sorted(found)

    def place(self, work: str, now_us: int) -> int:
        """Return the position of `me` for a piece of work: 0 is the owner, 1 the first stand-by, and so on.

        Members that decline it come last; if all do, the order is as if none did.
        """
        return self.order(work, now_us).index(self.me)

    def order(self, work: str, now_us: int) -> list[str]:
        """Return the stable members in their order of precedence for a piece of work."""
        return sorted(
            self.stable(now_us), key=lambda name: (self._has_declined(name, work), -weight(name, work), name)
        )

    def _has_declined(self, name: str, work: str) -> bool:
        if name == self.me:
            return work in self.declined
        return work in self.states[name].declined

    def may_decline(self, work: str) -> bool:
        """Return whether `me` may decline: others are present, and few enough have declined already."""
        others = [one for name, one in self.states.items() if name != self.me and one.left_us is None]
        return bool(others) and sum(work in one.declined for one in others) < min(
            MAX_DECLINING_MEMBERS, len(others)
        )

    def size(self, now_us: int) -> int:
        """Return the largest fleet size within recent_us, at least 1, by which shares are divided."""
        while len(self.sizes) > 1 and self.sizes[1][0] <= now_us - self.damping.recent_us:
            self.sizes.popleft()
        return max(size for _at, size in self.sizes)

    def _note_size(self, size: int, now_us: int) -> None:
        if self.sizes[-1][1] != size:
            self.sizes.append((now_us, size))
        self.size(now_us)  # drops outdated sizes


class EngineContact:
    """Whether a member is isolated: it has had no valid answer of the engine for a TTL.

    An isolated member takes on no work of the fleet and keeps to an equal share by the fleet's size.
    """

    def __init__(self, ttl_us: int, now_us: int) -> None:
        self.ttl_us = ttl_us
        self.last_answer_us = now_us
        self.is_isolated = False

    def answered(self, now_us: int) -> bool:
        """Record a valid answer of the engine; return True if that ends the isolation."""
        self.last_answer_us = now_us
        back, self.is_isolated = self.is_isolated, False
        return back

    def pause_ended(self, now_us: int) -> None:
        """Record the end of a pause: missing answers during it are not the engine's fault."""
        self.last_answer_us = now_us

    def tick(self, now_us: int) -> bool:
        """Record the time; return True if the member becomes isolated now."""
        if self.is_isolated or now_us - self.last_answer_us < self.ttl_us:
            return False
        self.is_isolated = True
        return True
