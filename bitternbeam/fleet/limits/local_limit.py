"""One limit at one member: what the member may use now, and the needs that it reports.

The safe part is always available. An extra is valid for `grant_duration_us` from when the member sent the
need that the grant answers, by the member's monotonic clock. Records older than the latest applied one are
ignored. For a rate, `held` counts the sends that have not expired (window.py).
"""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.fleet.limits.grants import Grants
from bitternbeam.fleet.limits.need import Need
from bitternbeam.fleet.limits.terms import Limit, LimitTimes, clock_drift_us, trusted_span_us
from bitternbeam.fleet.limits.window import SendWindow
from bitternbeam.fleet.tokens import Token

NOISE_DEVIATIONS, SMOOTHING_FACTOR = 3.0, 0.2


@dataclass(frozen=True, slots=True)
class RecordPosition:
    """The latest record that a member has applied."""

    token: Token
    rev: int
    owner_term: str


class LocalLimit:
    """One limit at one member.

    `held` is what the member holds at its start (recovered). If None, that is not known, and the safe part is
    unavailable until the longest hold time has passed. The sends of an earlier start are never known.
    """

    def __init__(
        self, limit: Limit, times: LimitTimes, member: str, boot: int, now_us: int, *, held: int | None = None
    ) -> None:
        self.limit, self.times, self.member, self.boot = limit, times, member, boot
        self.window = SendWindow(now_us) if limit.kind == "rate" else None
        unknown = limit.max_use_us > 0 and (held is None or self.window is not None)
        self.holdings_known_us = (
            now_us + limit.max_use_us + clock_drift_us(limit.max_use_us) if unknown else now_us
        )
        self.held = (held or 0) if self.window is None else 0
        self.extra, self.extra_expires_us = 0.0, 0
        self.published_safe_part = limit.safe_part
        self.position: RecordPosition | None = None
        self.need_times_us: dict[int, int] = {}  # by seq: when the need was sent
        self.seq = 0
        self.last_update_us = now_us
        self.requested, self.period_started_us = 0, now_us
        self.peak_held = self.held  # largest `held` since the last need
        self.refused = 0
        self.demand = self.last_requested = 0.0  # demand: see _update_demand
        self.last_record_us: int | None = None

    def set_limit(self, limit: Limit) -> None:
        """Replace the settings of the limit."""
        self.limit = limit

    # Records from the owner.

    def apply_grants(self, token: Token, grants: Grants, now_us: int) -> bool:
        """Apply published grants; False if outdated, or if of another limit or grant duration."""
        position = RecordPosition(token, grants.rev, grants.owner_term)
        applied = self.position
        if grants.limit_name != self.limit.name or grants.grant_duration_us != self.limit.grant_duration_us:
            return False
        if applied is not None and (token.number, grants.rev) <= (applied.token.number, applied.rev):
            return False
        if applied is not None and token.number == applied.token.number and token != applied.token:
            return False
        self._expire_sends(now_us)
        self.position, self.published_safe_part, self.last_record_us = position, grants.safe_part, now_us
        row = grants.rows.get(self.member)
        if row is not None:
            sent_us = self.need_times_us.get(row.seq) if row.boot == self.boot else None
            if sent_us is None:
                self.extra, self.extra_expires_us = 0.0, 0
            else:
                self.extra, self.extra_expires_us = (
                    row.extra,
                    sent_us + trusted_span_us(grants.grant_duration_us),
                )
        return True

    # Use by calls.

    def has_room(self, now_us: int, n: int = 1) -> bool:
        """Return whether n more may be used now."""
        self._expire_sends(now_us)
        usable = self.usable(now_us)
        if self.window is None:
            return self.held + n <= usable + 1e-9
        capacity = self.window.capacity(
            usable, now_us < self.extra_expires_us and not self.limit.uses_safe_part_beside_grant, now_us
        )
        return self.held + n <= capacity and self.window.allows_send(capacity, now_us)

    def acquire(self, n: int = 1) -> None:
        """Use n, at the time of the last `has_room`; `requested` counts both used and refused ones."""
        self.held += n
        if self.window is not None:
            self.window.add(self.last_update_us, n)
        self.peak_held = max(self.peak_held, self.held)
        self.requested += n

    def note_refused(self, n: int = 1) -> None:
        """Count n refused requests."""
        self.refused += n
        self.requested += n

    def try_acquire(self, now_us: int, n: int = 1) -> bool:
        """Use n if there is room, otherwise count them as refused."""
        if self.has_room(now_us, n):
            self.acquire(n)
            return True
        self.note_refused(n)
        return False

    def release(self, n: int = 1) -> None:
        """Release n held ones."""
        self.held = max(0, self.held - n)

    # Needs to the owner.

    def build_need(self, now_us: int) -> Need:
        """Return the need to report; it must be sent at once, as its grant is timed from now."""
        self._expire_sends(now_us)
        period_s = max(1, now_us - self.period_started_us) / 1e6
        requested = self.peak_held + self.refused if self.limit.kind == "held" else self.requested / period_s
        self._update_demand(float(requested))
        self.period_started_us, self.requested, self.refused, self.peak_held = now_us, 0, 0, self.held
        self.seq += 1
        self.need_times_us[self.seq] = now_us
        for seq in [
            seq for seq, at_us in self.need_times_us.items() if now_us - at_us > self.limit.grant_duration_us
        ]:
            del self.need_times_us[seq]
        position = self.position
        applied = (None, 0, "") if position is None else (position.token, position.rev, position.owner_term)
        extra = self.extra if now_us < self.extra_expires_us else 0.0
        settled = now_us >= self.holdings_known_us
        return Need(self.member, self.boot, self.seq, self.demand, self.held, extra, settled, *applied)

    def _update_demand(self, requested: float) -> None:
        """Set the demand to the larger of the last two periods, or smooth it while a rate is steady.

        A change within NOISE_DEVIATIONS of a Poisson count may be noise, and each send that moves between
        members is unused for a period; so such a change moves the demand of a rate only a little.
        """
        steady = abs(requested - self.demand) <= NOISE_DEVIATIONS * max(self.demand, 1.0) ** 0.5
        if self.window is not None and steady:
            self.demand += (requested - self.demand) * SMOOTHING_FACTOR
        else:
            self.demand = max(requested, self.last_requested)
        self.last_requested = requested

    def drop_extra(self, now_us: int) -> None:
        """Stop using the extra, as when the member shuts down; the next need reports it."""
        self._expire_sends(now_us)
        self.extra, self.extra_expires_us = 0.0, 0

    # Usable amounts.

    def usable_safe_part(self, now_us: int) -> float:
        """Return what may be used without a grant: the lower of the published safe part and the settings'."""
        return (
            min(self.published_safe_part, self.limit.safe_part) if now_us >= self.holdings_known_us else 0.0
        )

    def usable(self, now_us: int) -> float:
        """Return what may be used now, per second (rate) or at once (held)."""
        return self.usable_safe_part(now_us) + (self.extra if now_us < self.extra_expires_us else 0.0)

    def _expire_sends(self, now_us: int) -> None:
        """Stop counting sends whose lifetime has passed."""
        if now_us > self.last_update_us:
            self.last_update_us = now_us
            if self.window is not None:
                self.held -= self.window.expire(now_us)
