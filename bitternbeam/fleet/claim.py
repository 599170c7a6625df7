"""One process's claim on the lease of one piece of work: a state machine moved by the engine's answers.

Times are microseconds of a monotonic clock handed in; nothing here reads a clock or does I/O.
"""

from __future__ import annotations

from enum import StrEnum

from bitternbeam.fleet.lease import LeaseTimes, Session
from bitternbeam.fleet.tokens import Token, next_number


class Phase(StrEnum):
    """Where one process stands with one piece of work."""

    FOLLOWING = "following"  # another owns it, or nobody does and it is not ours to take
    ACQUIRING = "acquiring"  # an acquire is on its way
    FENCING = "fencing"  # the lock is held; the token is being taken
    OWNER = "owner"  # lock and token held: it may act while the session is sure
    CHECKING = "checking"  # the lock is read again (after a pause, a refusal or an error)
    RELEASING = "releasing"  # it is no longer ours to hold


class Step(StrEnum):
    """What the wire should do next for a claim."""

    ACQUIRE = "acquire"  # PUT /v1/kv/<key>?acquire=<session>
    READ_COUNTER = "read-counter"  # GET /v1/kv/<key>/token
    WRITE_COUNTER = "write-counter"  # PUT /v1/kv/<key>/token?cas=<index>
    CHECK = "check"  # GET /v1/kv/<key>: whose session holds it
    RELEASE = "release"  # PUT /v1/kv/<key>?release=<session>


class Claim:
    """One process's hold on one piece of work, moved by the engine's answers.

    `wanted` says whether rendezvous hashing gives the work to this process now. At most one step is on the
    wire at a time (`busy`); its answer comes back through one of the methods below.
    """

    def __init__(self, key: str, holder: str, times: LeaseTimes) -> None:
        self.key = key
        self.holder = holder
        self.times = times
        self.phase = Phase.FOLLOWING
        self.token: Token | None = None
        self.highest_seen = 0  # the highest token number seen anywhere: never taken again
        self.counter_index = 0  # the counter's ModifyIndex for the check-and-set
        self.stored_number = 0
        self.busy = False
        self.lock_session: str | None = None  # the session the lock was taken under: a new one holds nothing
        self.not_before_us = 0  # a refused acquire waits
        self.takeovers = 0
        self.held_since_us = 0  # when the lock was granted last

    def next_step(self, now_us: int, session: Session, wanted: bool) -> Step | None:
        """Return the next step to send, or None; the caller marks it sent by sending it."""
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
                # Danger: an acquire whose answer is lost may have been granted. Taken for one held long ago,
                # it was given back at once by a member behind the first in line, and by the next one again.
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
        """Return the token to act with now, or None: only an owner whose session is surely alive acts."""
        if (
            self.phase is Phase.OWNER
            and self.token is not None
            and session.id == self.lock_session
            and session.is_valid(now_us)
        ):
            return self.token
        return None

    def acquire_answered(self, granted: bool, now_us: int) -> None:
        """Take the answer to an acquire: true, or false (held by another or within its lock-delay)."""
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
        """Take the token counter as the engine has it: its number and ModifyIndex (0 both when absent)."""
        self.busy = False
        if self.phase is Phase.FENCING:
            self.stored_number = stored
            self.counter_index = modify_index

    def counter_written(self, done: bool) -> None:
        """Take the answer to the check-and-set: done, or another wrote first (read it again)."""
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
        """Return the number the check-and-set writes."""
        return next_number(self.stored_number, self.highest_seen)

    def check_answered(self, holder_session: str | None, session: Session) -> None:
        """Whose session holds the lock now: still ours keeps the token; else it follows."""
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
        """Note that a receiver turned an act down: keep its highest number and look at the lock again."""
        if highest is not None:
            self.highest_seen = max(self.highest_seen, highest.number)
        if self.phase is Phase.OWNER:
            self.phase = Phase.CHECKING

    def released(self) -> None:
        """Take the answer to a release (or the session is gone, which releases all)."""
        self.busy = False
        self._lose()

    def request_failed(self) -> None:
        """Note that the step's request failed: nothing is known, so whatever was held is checked again."""
        self.busy = False
        if self.phase in (Phase.OWNER, Phase.FENCING, Phase.ACQUIRING):
            self.phase = Phase.CHECKING

    def _lose(self) -> None:
        if self.token is not None:
            self.highest_seen = max(self.highest_seen, self.token.number)
        self.token = None
        self.lock_session = None
        self.phase = Phase.FOLLOWING
