"""Who is in the fleet: members as the catalogue tells them, damped, and how large the fleet may be.

A member that has just come counts for ownership only once it has been there steadily for a while, and
longer after each time it left (route flap damping, RFC 2439, with a doubling instead of a penalty that
decays): a member that flaps between the engine and the net must not drag its work to and fro. One that
left counts no more at once, since its lease lapses with it.

The size that shares are divided by errs safe: the largest fleet seen within `recent_us`, so that an engine
that loses half of the members for a moment lets nobody send more. Times are microseconds, handed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from bitternbeam.fleet.rendezvous import weight

MAX_SETTLE_DOUBLINGS = 3  # a member that left often settles for at most so many doublings of settle_us
MAX_DECLINING_MEMBERS = 2  # past so many members that can't reach a receiver, it is the receiver that fails


@dataclass(frozen=True, slots=True)
class Damping:
    """How long a member has to stay before it counts, and for how long a size or a leaving is remembered."""

    settle_us: int
    recent_us: int


@dataclass(slots=True)
class _MemberState:
    since_us: int
    departures: int = 0  # times it left and came back within recent_us
    left_us: int | None = None
    declined: frozenset[str] = frozenset()


class Membership:
    """The members as told, from one member's own view. `me` always counts."""

    def __init__(self, me: str, damping: Damping, now_us: int) -> None:
        self.me = me
        self.damping = damping
        self.states: dict[str, _MemberState] = {}
        self.updated_us: int | None = None
        self.sizes: deque[tuple[int, int]] = deque([(now_us, 1)])  # (time, size), newest last
        self.declined: frozenset[str] = frozenset()  # what `me` stands aside from

    def update(self, members: Mapping[str, frozenset[str]], now_us: int) -> bool:
        """Take the catalogue's passing members, each with the work it stands aside from; True if changed.

        Those in the first answer count at once: nothing says that they have just come.
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
        """Return the members told last, and `me`."""
        return {name for name, one in self.states.items() if one.left_us is None} | {self.me}

    def stable(self, now_us: int) -> list[str]:
        """Return the members that count for ownership now, in order of their names."""
        found = {self.me}
        for name, one in self.states.items():
            settle_us = self.damping.settle_us << min(one.departures, MAX_SETTLE_DOUBLINGS)
            if one.left_us is None and now_us - one.since_us >= settle_us:
                found.add(name)
        return sorted(found)

    def place(self, work: str, now_us: int) -> int:
        """Return the place of `me` for a piece of work: 0 owns it, 1 stands by first, and so on.

        Members that stand aside from it come last; if all do, the order is as if none did.
        """
        return self.order(work, now_us).index(self.me)

    def order(self, work: str, now_us: int) -> list[str]:
        """Return the steady members as they stand in line for a piece of work."""
        return sorted(
            self.stable(now_us), key=lambda name: (self._has_declined(name, work), -weight(name, work), name)
        )

    def _has_declined(self, name: str, work: str) -> bool:
        if name == self.me:
            return work in self.declined
        return work in self.states[name].declined

    def may_decline(self, work: str) -> bool:
        """Whether `me` may stand aside: someone else is there, and few enough have done so already."""
        others = [one for name, one in self.states.items() if name != self.me and one.left_us is None]
        return bool(others) and sum(work in one.declined for one in others) < min(
            MAX_DECLINING_MEMBERS, len(others)
        )

    def size(self, now_us: int) -> int:
        """Return the largest fleet seen within recent_us, at least 1: what shares are divided by."""
        while len(self.sizes) > 1 and self.sizes[1][0] <= now_us - self.damping.recent_us:
            self.sizes.popleft()
        return max(size for _at, size in self.sizes)

    def _note_size(self, size: int, now_us: int) -> None:
        if self.sizes[-1][1] != size:
            self.sizes.append((now_us, size))
        self.size(now_us)  # lets go of what is too old


class EngineContact:
    """Whether a member acts with the fleet or alone: alone once no engine answer was good for a TTL.

    Alone it takes on no work of the fleet; it looks after itself at one part in the fleet's size.
    """

    def __init__(self, ttl_us: int, now_us: int) -> None:
        self.ttl_us = ttl_us
        self.last_answer_us = now_us
        self.is_isolated = False

    def answered(self, now_us: int) -> bool:
        """Note a good answer of the engine; True when the member is with the fleet again."""
        self.last_answer_us = now_us
        back, self.is_isolated = self.is_isolated, False
        return back

    def pause_ended(self, now_us: int) -> None:
        """Note the end of a pause: what was not heard meanwhile is not the engine's silence."""
        self.last_answer_us = now_us

    def tick(self, now_us: int) -> bool:
        """Note the time; True when the member is alone from now on."""
        if self.is_isolated or now_us - self.last_answer_us < self.ttl_us:
            return False
        self.is_isolated = True
        return True
