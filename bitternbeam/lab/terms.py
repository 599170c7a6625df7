"""The times that a laboratory's fleet is run with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """The lease's times in a laboratory, in milliseconds (a session TTL of Consul's is 10 s at least)."""

    ttl_ms: int = 2_000
    lock_delay_ms: int = 300
    margin_ms: int = 700
    pause_ms: int = 400
    tick_ms: int = 50
    probe_ms: int = 100
    view_age_ms: int = 3_000
    gone_ms: int = 1_000
    recent_ms: int = 60_000
    ramp_step_ms: int = 500

    @property
    def ttl_us(self) -> int:
        """Return the session's TTL."""
        return self.ttl_ms * 1000

    @property
    def takeover_ms(self) -> int:
        """Return the bound on a takeover: TTL, lock-delay and one second."""
        return self.ttl_ms + self.lock_delay_ms + 1_000


MANY = 16  # members


def terms_for(members: int) -> Terms:
    """Return times that one machine can keep which runs so many members.

    At a TTL of 2 s forty that wait for a processor lose their sessions again and again.
    """
    return Terms() if members <= MANY else Terms(ttl_ms=8_000, margin_ms=2_800, pause_ms=1_600)
