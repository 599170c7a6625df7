"""One process's claim on the lease of one piece of work: a state machine driven by the engine's answers.

Times are microseconds of a monotonic clock, passed in; nothing here reads a clock or does I/O.
"""

from __future__ import annotations

from enum import StrEnum

from bitternbeam.fleet.lease import LeaseTimes, Session
from bitternbeam.fleet.tokens import Token, next_number


class Phase(StrEnum):
    """The state of one process's claim on one piece of work."""

    FOLLOWING = "following"  # another process owns it, or this one is not to take it
    ACQUIRING = "acquiring"  # an acquire request is in flight
    FENCING = "fencing"  # the lock is held; a fencing token is being allocated
    OWNER = "owner"  # lock and token held: may act while the session is valid
    CHECKING = "checking"  # the lock is read again after a pause, a rejected action or an error
    RELEASING = "releasing"  # the lock is being given up


class Step(StrEnum):
    """The next request to the engine for a claim."""

    ACQUIRE = "acquire"  # PUT /v1/kv/<key>?acquire=<session>
    READ_COUNTER = "read-counter"  # GET /v1/kv/<key>/token
    WRITE_COUNTER = "write-counter"  # PUT /v1/kv/<key>/token?cas=<index>
    CHECK = "check"  # GET /v1/kv/<key>: whose session holds it
    RELEASE = "release"  # PUT /v1/kv/<key>?release=<session>


class Claim:
    """One process's claim on one piece of work, driven by the engine's answers.

    `wanted` says whether this process should own the work now. At most one request is in flight at a time
    (`busy`); its answer is passed to one of the methods below.
    """

    def __init__(self, key: str, holder: str, times: LeaseTimes) -> None:
        self.key = key
        self.holder = holder
        self.times = times
        self.phase = Phase.FOLLOWING
        self.token: Token | None = None
        self.highest_seen = 0  # highest token number seen anywhere; never reused
        self.counter_index = 0  # the counter's ModifyIndex, for the check-and-set
        self.stored_number = 0
        self.busy = False
        self.lock_session: str | None = None  # session that acquired the lock; a new session holds nothing
        self.not_before_us = 0  # no acquire before this time
        self.takeovers = 0
        self.held_since_us = 0  # when the lock was last granted

    def next_step(self, now_us: int, session: Session, wanted: bool) -> Step | None:
        """Return the next request to send, or None; it counts as in flight from here on."""
        if self.busy:
            return None
        if session.id is None or (self.phase is not Phase.FOLLOWING and session.id != self.lock_session):
            self._lose()
        if session.id is None:
            return None
        step = self._choose(now_us, session, wanted)
        self.busy = step is not None
        return step

    def _choose(self, now_us: int, session: Session, wanted: bool) -> Step | None:
        if self.phase in (Phase.OWNER, Phase.FENCING) and session.pause_ended_us is not None:
            self.phase = Phase.CHECKING
        if not wanted and self.phase in (Phase.OWNER, Phase.FENCING, Phase.CHECKING):
            self.phase = Phase.RELEASING
        match self.phase:
            case Phase.FOLLOWING if wanted and now_us >= self.not_before_us and session.is_valid(now_us):
                self.phase = Phase.ACQUIRING
                self.lock_session = session.id
                # An acquire whose answer is lost may have been granted. With the previous grant's time a
                # member that is not first in order would release it at once, and so would the next one.
                self.held_since_us = now_us
                return Step.ACQUIRE
            case Phase.FENCING if self.counter_index < 0:
                return Step.READ_COUNTER
            case Phase.FENCING:
                return Step.WRITE_COUNTER
            case Phase.CHECKING if session.pause_ended_us is None:
                return Step.CHECK
            case Phase.RELEASING:
                return Step.RELEASE
        return None

    def may_act(self, now_us: int, session: Session) -> Token | None:
        """Return the token to act with, or None if this process is no owner with a valid session."""
        if (
            self.phase is Phase.OWNER
            and self.token is not None
            and session.id == self.lock_session
            and session.is_valid(now_us)
        ):
            return self.token
        return None

    def acquire_answered(self, granted: bool, now_us: int) -> None:
        """Handle the answer to an acquire, refused while another holds the lock or in its lock-delay."""
        self.busy = False
        if self.phase is not Phase.ACQUIRING:
            return
        if granted:
            self.phase = Phase.FENCING
            self.counter_index = -1
            self.takeovers += 1
            self.held_since_us = now_us
        else:
            self.phase = Phase.FOLLOWING
            self.not_before_us = now_us + self.times.retry_us

    def counter_read(self, stored: int, modify_index: int) -> None:
        """Handle the token counter's value: its number and ModifyIndex, both 0 if it is absent."""
        self.busy = False
        if self.phase is Phase.FENCING:
            self.stored_number = stored
            self.counter_index = modify_index

    def counter_written(self, done: bool) -> None:
        """Handle the answer to the check-and-set; if another wrote first, the counter is read again."""
        self.busy = False
        if self.phase is not Phase.FENCING:
            return
        if done:
            number = next_number(self.stored_number, self.highest_seen)
            self.highest_seen = number
            self.token = Token(number, self.holder)
            self.phase = Phase.OWNER
        else:
            self.counter_index = -1

    def number_to_write(self) -> int:
        """Return the number that the check-and-set writes."""
        return next_number(self.stored_number, self.highest_seen)

    def check_answered(self, holder_session: str | None, session: Session) -> None:
        """Handle the lock's current session: keep the token if it is ours, else become a follower."""
        self.busy = False
        if self.phase is not Phase.CHECKING:
            return
        if holder_session is not None and holder_session == session.id:
            self.phase = (
                Phase.FENCING if self.token is None or self.token.number < self.highest_seen else Phase.OWNER
            )
            self.counter_index = -1 if self.phase is Phase.FENCING else self.counter_index
        else:
            self._lose()

    def act_refused(self, highest: Token | None) -> None:
        """Handle an action rejected by a receiver: keep its highest number and read the lock again."""
        if highest is not None:
            self.highest_seen = max(self.highest_seen, highest.number)
        if self.phase is Phase.OWNER:
            self.phase = Phase.CHECKING

    def released(self) -> None:
        """Handle the answer to a release."""
        self.busy = False
        self._lose()

    def request_failed(self) -> None:
        """Handle a failed request: its effect is unknown, so the lock is checked again."""
        self.busy = False
        if self.phase in (Phase.OWNER, Phase.FENCING, Phase.ACQUIRING):
            self.phase = Phase.CHECKING

    def _lose(self) -> None:
        if self.token is not None:
            self.highest_seen = max(self.highest_seen, self.token.number)
        self.token = None
        self.lock_session = None
        self.phase = Phase.FOLLOWING
