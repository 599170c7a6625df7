"""Leases on pieces of work: what one process believes it holds, and when it must stop believing it.

The engine (Consul) grants a session with a TTL and locks under it; it invalidates the session no sooner
than TTL after the last renewal it received (Consul's session documentation: "the TTL is a lower bound").
A renewal that the engine confirmed was received after it was sent, so the process counts the TTL from
the moment it sent it, by its own monotonic clock, and stops a margin earlier for drift. A gap between two
ticks longer than `pause_us` means the process was paused: whatever it held is checked with the engine
again before it acts. Acts still carry a fencing token, since a pause may fall between the check and the
act (tokens.Fence turns those down).

Times are microseconds of a monotonic clock handed in; nothing here reads a clock or does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

DRIFT_PPM = 1_000  # clocks of two processes may run apart by so much (0.1 %)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """The lease's times in microseconds: session TTL, the engine's lock-delay, the own margin, a pause."""

    ttl_us: int = 10_000_000
    lock_delay_us: int = 1_000_000
    margin_us: int = 2_000_000  # stop so long before the TTL counted from the renewal's sending
    pause_us: int = 1_000_000  # a tick later than this after the one before: the process was paused
    tick_us: int = 100_000  # how often the process looks at its leases

    @property
    def renew_every_us(self) -> int:
        """Renew three times a TTL, so that two lost renewals do not lose the lease."""
        return self.ttl_us // 3

    @property
    def retry_us(self) -> int:
        """Wait so long after an acquire that was refused: a part of the lock-delay, 100 ms at least."""
        return max(self.lock_delay_us // 4, 100_000)

    @property
    def settle_us(self) -> int:
        """Hold work for so long before handing it over: two TTLs."""
        return 2 * self.ttl_us

    @property
    def grace_us(self) -> int:
        """Each place in line waits so much longer for a lock that lies free."""
        return max(3 * self.tick_us, 300_000)

    @property
    def safe_us(self) -> int:
        """How long after sending a confirmed renewal the lease is surely still held."""
        return self.ttl_us - self.margin_us - self.ttl_us * DRIFT_PPM // 1_000_000


def find_faults(times: LeaseTimes) -> list[tuple[str, str]]:
    """Each setting that cannot work, as (key, what is wrong); empty when all is well.

    The TTL must leave room for the margin and two renewals; the margin must cover a pause seen late by
    one tick; Consul takes TTLs from 10 s to 86400 s, the stand-in from 1 s (the lab's short runs).
    """
    found = []
    if times.tick_us <= 0 or times.pause_us <= times.tick_us:
        found.append(("pause_ms", "must be longer than one tick"))
    if times.margin_us < times.pause_us + times.tick_us:
        found.append(("margin_ms", "must cover a pause and one tick"))
    if times.ttl_us < 1_000_000 or times.ttl_us > 86_400_000_000:
        found.append(("ttl_ms", "must be between 1 s and 86400 s"))
    elif times.safe_us <= times.renew_every_us:
        found.append(("ttl_ms", "leaves no room for two renewals beside the margin"))
    if times.lock_delay_us < 0 or times.lock_delay_us > 60_000_000:
        found.append(("lock_delay_ms", "must be between 0 and 60 s"))
    return found


class Session:
    """The process's one session with the engine, and until when it surely lasts."""

    def __init__(self, times: LeaseTimes, now_us: int) -> None:
        self.times = times
        self.id: str | None = None
        self.confirmed_us: int | None = None  # sending time of the newest renewal the engine confirmed
        self.last_tick_us = now_us
        self.pause_ended_us: int | None = (
            None  # the end of the last pause seen; cleared by a renewal sent after it
        )
        self.pauses = 0

    def tick(self, now_us: int) -> bool:
        """Note the time; True when a pause was seen since the last tick.

        A session not renewed for a whole TTL by the own clock is dropped: the engine may have let it go.
        """
        paused = now_us - self.last_tick_us > self.times.pause_us
        self.last_tick_us = max(self.last_tick_us, now_us)
        if paused:
            self.pauses += 1
            self.pause_ended_us = now_us
        if self.confirmed_us is not None and now_us >= self.confirmed_us + self.times.ttl_us:
            self.expire()
        return paused

    def is_valid(self, now_us: int) -> bool:
        """Whether the engine surely still holds the session now and no pause is unchecked."""
        if self.id is None or self.confirmed_us is None or self.pause_ended_us is not None:
            return False
        return now_us < self.confirmed_us + self.times.safe_us and now_us - self.last_tick_us <= (
            self.times.pause_us
        )

    def renew_due(self, now_us: int) -> bool:
        """Whether a renewal should be sent now."""
        if self.id is None:
            return False
        return (
            self.pause_ended_us is not None
            or self.confirmed_us is None
            or now_us >= self.confirmed_us + self.times.renew_every_us
        )

    def created(self, session_id: str, sent_us: int) -> None:
        """Note that the engine made the session asked for at `sent_us`."""
        self.id = session_id
        self.confirmed_us = sent_us
        if self.pause_ended_us is not None and sent_us >= self.pause_ended_us:
            self.pause_ended_us = None

    def renewed(self, session_id: str, sent_us: int) -> None:
        """Note a confirmed renewal sent at `sent_us`; a late answer to an older one moves nothing back."""
        if session_id != self.id:
            return
        self.confirmed_us = sent_us if self.confirmed_us is None else max(self.confirmed_us, sent_us)
        if self.pause_ended_us is not None and sent_us >= self.pause_ended_us:
            self.pause_ended_us = None

    def expire(self) -> None:
        """Forget the session: the engine knows it no more (404 on renewal), or its time ran out."""
        self.id = None
        self.confirmed_us = None
