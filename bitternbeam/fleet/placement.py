"""When a member wants a piece of work: from its place in line, and from what is known of the lock.

The holder alone hands work over, to the first in line and only after it has held it for `settle_us`: so a
piece of work moves by hand at most once in that time, however members flap. A lock that lies free is taken
by the first in line at once; each one behind waits `grace_us` longer, so that a first in line that can't or
won't (two members may see different fleets) costs a moment and not the work.
"""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.fleet.claim import Claim, Phase
from bitternbeam.fleet.lease import LeaseTimes

HELD_PHASES = (Phase.OWNER, Phase.FENCING, Phase.CHECKING)


@dataclass(slots=True)
class Lock:
    """A lock as the watch saw it last: who holds it, or since when it lies free."""

    session: str | None = None
    free_since_us: int | None = None
    known: bool = False

    def observe(self, session: str | None, now_us: int) -> None:
        """Take what the engine shows; a lock never taken is free."""
        if session is None and (not self.known or self.session is not None):
            self.free_since_us = now_us
        elif session is not None:
            self.free_since_us = None
        self.session, self.known = session, True

    def forget(self) -> None:
        """Know nothing: the watch failed, or the engine starts anew."""
        self.session, self.free_since_us, self.known = None, None, False


def should_hold(claim: Claim, lock: Lock, place: int, declined: bool, now_us: int) -> bool:
    """Tell whether the member wants the work now; `place` is its place in line, `aside` that it gave up."""
    times: LeaseTimes = claim.times
    if claim.phase in HELD_PHASES:
        return not declined and (place == 0 or now_us < claim.held_since_us + times.settle_us)
    if declined and place == 0:
        declined = False  # all stand aside: then the first in line does the work after all
    if declined:
        return False
    if not lock.known:
        return False  # the watch tells within its first answer; without one there is no engine to ask either
    if lock.free_since_us is None:
        return False
    waited_us = now_us - lock.free_since_us
    return place == 0 or waited_us >= times.lock_delay_us + place * times.grace_us
