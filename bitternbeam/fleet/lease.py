"""Leases on pieces of work: whether this process holds one, and when it must stop acting on it.

The engine (Consul) grants a session with a TTL and locks under it. It invalidates the session no sooner
than TTL after the last renewal it received (Consul's session documentation: "the TTL is a lower bound").
A confirmed renewal was received after it was sent, so the process counts the TTL from the sending time on
its own monotonic clock, and stops a margin earlier to allow for drift. A gap between two ticks longer than
`pause_us` means that the process was paused: it checks its locks with the engine before it acts again.
Actions still carry a fencing token, as a pause may fall between the check and the action (tokens.Fence
rejects those).

Times are microseconds of a monotonic clock, passed in; nothing here reads a clock or does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

DRIFT_PPM = 1_000  # largest drift between the clocks of two processes (0.1 %)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lease settings in microseconds."""

    ttl_us: int = 10_000_000
    lock_delay_us: int = 1_000_000
    margin_us: int = 2_000_000  # stop this long before the TTL, counted from the sending of the renewal, ends
    pause_us: int = 1_000_000  # a longer gap between two ticks means that the process was paused
    tick_us: int = 100_000  # interval of lease checks

    @property
    def renew_every_us(self) -> int:
        """Renewal interval: a third of the TTL, so that two lost renewals do not lose the lease."""
        return self.ttl_us // 3

    @property
    def retry_us(self) -> int:
        """Delay after a refused acquire: a quarter of the lock-delay, at least 100 ms."""
        return max(self.lock_delay_us // 4, 100_000)

    @property
    def settle_us(self) -> int:
        """Shortest time for which work is held before it is handed over: two TTLs."""
        return 2 * self.ttl_us

    @property
    def grace_us(self) -> int:
        """Additional wait for a free lock per position in the order of candidates."""
        return max(3 * self.tick_us, 300_000)

    @property
    def safe_us(self) -> int:
        """How long after sending a confirmed renewal the lease is certainly still held."""
        return self.ttl_us - self.margin_us - self.ttl_us * DRIFT_PPM // 1_000_000


def find_faults(times: LeaseTimes) -> list[tuple[str, str]]:
    """Return the invalid settings as (key, message) pairs; empty if all are valid.

    The TTL must leave room for the margin and two renewals; the margin must cover a pause that is detected
    one tick late; Consul accepts TTLs from 10 s to 86400 s, the stand-in server from 1 s (for short tests).
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
    """The process's only session with the engine, and until when it is certainly valid."""

    def __init__(self, times: LeaseTimes, now_us: int) -> None:
        self.times = times
        self.id: str | None = None
        self.confirmed_us: int | None = None  # sending time of the latest confirmed renewal
        self.last_tick_us = now_us
        self.pause_ended_us: int | None = None  # end of the last pause; cleared by a renewal sent after it
        self.pauses = 0

    def tick(self, now_us: int) -> bool:
        """Record the time; return True if the process was paused since the last tick.

        A session not renewed for a whole TTL is dropped, as the engine may have invalidated it.
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
        """Return whether the session is certainly valid and no pause is left unchecked."""
        if self.id is None or self.confirmed_us is None or self.pause_ended_us is not None:
            return False
        return now_us < self.confirmed_us + self.times.safe_us and now_us - self.last_tick_us <= (
            self.times.pause_us
        )

    def renew_due(self, now_us: int) -> bool:
        """Return whether a renewal should be sent now."""
        if self.id is None:
            return False
        return (
            self.pause_ended_us is not None
            or self.confirmed_us is None
            or now_us >= self.confirmed_us + self.times.renew_every_us
        )

    def created(self, session_id: str, sent_us: int) -> None:
        """Record the session that the engine created on the request sent at `sent_us`."""
        self.id = session_id
        self.confirmed_us = sent_us
        if self.pause_ended_us is not None and sent_us >= self.pause_ended_us:
            self.pause_ended_us = None

    def renewed(self, session_id: str, sent_us: int) -> None:
        """Record a confirmed renewal sent at `sent_us`; answers that arrive out of order change nothing."""
        if session_id != self.id:
            return
        self.confirmed_us = sent_us if self.confirmed_us is None else max(self.confirmed_us, sent_us)
        if self.pause_ended_us is not None and sent_us >= self.pause_ended_us:
            self.pause_ended_us = None

    def expire(self) -> None:
        """Drop the session: the engine no longer knows it (404 on renewal), or its TTL has passed."""
        self.id = None
        self.confirmed_us = None
