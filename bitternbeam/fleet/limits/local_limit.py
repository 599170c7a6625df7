"""One limit at one member: what it may use now, and what it says that it needs.

The safe part is always its own; an extra lives for `lasts_us` from when it sent the need that the grant
answers, by its own monotonic clock. It stands by the newest record that it has seen and takes none before
it. Of a rate, `held` are its sends that stand (window.py).
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
    """The record that a member stands by."""

    token: Token
    rev: int
    owner_term: str


class LocalLimit:
    """One limit at one member.

    `held` is what it surely holds as it starts (recovered); None: it does not know, and takes nothing on its
    safe part until the longest holding has passed. What an earlier start sent of a rate is never known.
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
        self.need_times_us: dict[int, int] = {}  # seq -> when it was sent
        self.seq = 0
        self.last_update_us = now_us
        self.requested, self.period_started_us = 0, now_us
        self.peak_held = self.held  # the most held at once, since the last need
        self.refused = 0
        self.demand = self.last_requested = 0.0  # the larger of the last two periods'; the last one's
        self.last_record_us: int | None = None

    def set_limit(self, limit: Limit) -> None:
        """Take new terms of the same limit."""
        self.limit = limit

    # From the record.

    def apply_grants(self, token: Token, grants: Grants, now_us: int) -> bool:
        """Take a published state; False if it stands by a later one, or the terms are not its own."""
        place = RecordPosition(token, grants.rev, grants.owner_term)
        mine = self.position
        if grants.limit_name != self.limit.name or grants.grant_duration_us != self.limit.grant_duration_us:
            return False
        if mine is not None and (token.number, grants.rev) <= (mine.token.number, mine.rev):
            return False
        if mine is not None and token.number == mine.token.number and token != mine.token:
            return False
        self._expire_sends(now_us)
        self.position, self.published_safe_part, self.last_record_us = place, grants.safe_part, now_us
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

    # From the core.

    def has_room(self, now_us: int, n: int = 1) -> bool:
        """Whether n more may be used now."""
        self._expire_sends(now_us)
        part = self.usable(now_us)
        if self.window is None:
            return self.held + n <= part + 1e-9
        most = self.window.capacity(
            part, now_us < self.extra_expires_us and not self.limit.uses_safe_part_beside_grant, now_us
        )
        return self.held + n <= most and self.window.allows_send(most, now_us)

    def acquire(self, n: int = 1) -> None:
        """Use n, at the time at which they were found free; asked is what is used or turned away."""
        self.held += n
        if self.window is not None:
            self.window.add(self.last_update_us, n)
        self.peak_held = max(self.peak_held, self.held)
        self.requested += n

    def note_refused(self, n: int = 1) -> None:
        """Note that n were turned away here."""
        self.refused += n
        self.requested += n

    def try_acquire(self, now_us: int, n: int = 1) -> bool:
        """Use n if they may be used."""
        if self.has_room(now_us, n):
            self.acquire(n)
            return True
        self.note_refused(n)
        return False

    def release(self, n: int = 1) -> None:
        """Give n back."""
        self.held = max(0, self.held - n)

    # To the owner.

    def build_need(self, now_us: int) -> Need:
        """Return what to report now; it has to be sent at once."""
        self._expire_sends(now_us)
        took_s = max(1, now_us - self.period_started_us) / 1e6
        asked = self.peak_held + self.refused if self.limit.kind == "held" else self.requested / took_s
        self._update_demand(float(asked))
        self.period_started_us, self.requested, self.refused, self.peak_held = now_us, 0, 0, self.held
        self.seq += 1
        self.need_times_us[self.seq] = now_us
        for seq in [
            one for one, at_us in self.need_times_us.items() if now_us - at_us > self.limit.grant_duration_us
        ]:
            del self.need_times_us[seq]
        place = self.position
        told = (None, 0, "") if place is None else (place.token, place.rev, place.owner_term)
        extra = self.extra if now_us < self.extra_expires_us else 0.0
        settled = now_us >= self.holdings_known_us
        return Need(self.member, self.boot, self.seq, self.demand, self.held, extra, settled, *told)

    def _update_demand(self, asked: float) -> None:
        """Note what a period asked for: the larger of two periods, or where a rate did not change, its mean.

        A rate's calls come by chance, and each send that is moved about is idle for a period: what may be
        chance (NOISE deviations of a Poisson count) moves the demand only a little.
        """
        steady = abs(asked - self.demand) <= NOISE_DEVIATIONS * max(self.demand, 1.0) ** 0.5
        if self.window is not None and steady:
            self.demand += (asked - self.demand) * SMOOTHING_FACTOR
        else:
            self.demand = max(asked, self.last_requested)
        self.last_requested = asked

    def drop_extra(self, now_us: int) -> None:
        """Keep no extra (the member ends, or is barred): the next need says so."""
        self._expire_sends(now_us)
        self.extra, self.extra_expires_us = 0.0, 0

    # What it may.

    def usable_safe_part(self, now_us: int) -> float:
        """Return what it may use with no grant: the lower of what was published last and its own terms."""
        return (
            min(self.published_safe_part, self.limit.safe_part) if now_us >= self.holdings_known_us else 0.0
        )

    def usable(self, now_us: int) -> float:
        """Return what it may use now, a second or at once."""
        return self.usable_safe_part(now_us) + (self.extra if now_us < self.extra_expires_us else 0.0)

    def _expire_sends(self, now_us: int) -> None:
        """Let sends stand no more whose second is over."""
        if now_us > self.last_update_us:
            self.last_update_us = now_us
            if self.window is not None:
                self.held -= self.window.expire(now_us)
