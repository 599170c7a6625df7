"""When a member should hold a piece of work, by its position in the order of candidates and the lock's state.

Only the holder hands work over: to the first in order, and only after holding it for `settle_us`. So a piece
of work is handed over at most once in that time, however members flap. A free lock is acquired by the first
in order at once; each later candidate waits `grace_us` longer, so that a first one that cannot or will not
act (two members may see different fleets) causes a short delay and not the loss of the work.
"""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.fleet.claim import Claim, Phase
from bitternbeam.fleet.lease import LeaseTimes

HELD_PHASES = (Phase.OWNER, Phase.FENCING, Phase.CHECKING)


@dataclass(slots=True)
class Lock:
    """A lock as last seen by the watch: the session that holds it, or since when it is free."""

    session: str | None = None
    free_since_us: int | None = None
    known: bool = False

    def observe(self, session: str | None, now_us: int) -> None:
        """Record the lock's state in the engine; a lock that was never acquired is free."""
        if session is None and (not self.known or self.session is not None):
            self.free_since_us = now_us
        elif session is not None:
            self.free_since_us = None
        self.session, self.known = session, True

    def forget(self) -> None:
        """Reset to unknown: the watch failed, or the engine was restarted."""
        self.session, self.free_since_us, self.known = None, None, False


def should_hold(claim: Claim, lock: Lock, place: int, declined: bool, now_us: int) -> bool:
    """Return whether the member should hold the work; `place` is its position, `declined` that it gave up."""
    times: LeaseTimes = claim.times
    if claim.phase in HELD_PHASES:
        return not declined and (place == 0 or now_us < claim.held_since_us + times.settle_us)
    if declined and place == 0:
        declined = False  # all members decline: the first in order does the work
    if declined:
        return False
    if not lock.known:
        return False  # known from the watch's first answer; without one the engine is unreachable
    if lock.free_since_us is None:
        return False
    waited_us = now_us - lock.free_since_us
    return place == 0 or waited_us >= times.lock_delay_us + place * times.grace_us
