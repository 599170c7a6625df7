"""What one member may have of a limit at the worst, as the limit's owner counts it.

Each extra that was published, or could have been, counts until the member says that it stands by a later
record (then it takes none before that one any more), or until it has surely lapsed. Of a held limit, what
was taken under it counts on until the member says that it is back, or the longest holding has passed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bitternbeam.fleet.limits.need import Need
from bitternbeam.fleet.limits.terms import Limit, LimitTimes, clock_drift_us


def grant_expiry_us(limit: Limit, times: LimitTimes) -> int:
    """Return how long after a need was seen nothing that answers it can matter any more.

    Danger: without `overlap_us` an owner that lost its lock unheard could hand on what it takes for lapsed,
    while its successor has prolonged it.
    """
    return limit.grant_duration_us + 2 * clock_drift_us(limit.grant_duration_us) + times.owner_overlap_us


@dataclass(frozen=True, slots=True)
class OutstandingExtra:
    """An extra that may be in use: under which revision, and when it surely is no more."""

    rev: int
    extra: float
    expires_us: int


@dataclass(slots=True)
class MemberAccount:
    """One member, as the owner knows it. `stands` is the revision of this reign that it said it stands by."""

    boot: int
    seq: int
    last_report_us: int
    last_progress_us: int  # when it last stood by a later revision, or was first heard
    demand: float = 0.0
    held: int = 0
    holdings_known: bool = True
    confirmed_rev: int | None = None
    in_pool: bool = False  # its part of the pool that a new owner found is noted
    outstanding: list[OutstandingExtra] = field(default_factory=list)
    before_restart: list[OutstandingExtra] = field(
        default_factory=list
    )  # of earlier starts; may be handed to itself
    forgotten: list[OutstandingExtra] = field(
        default_factory=list
    )  # of starts that lost their memory: beside what it has now

    def apply_need(
        self, need: Need, from_this_term: bool, limit: Limit, times: LimitTimes, now_us: int
    ) -> None:
        """Take a newer need; `mine`: it stands by a record of this reign."""
        if need.boot > self.boot:
            self._note_restart(need, limit, times, now_us)
        self.boot, self.seq, self.last_report_us = need.boot, need.seq, now_us
        self.demand, self.held, self.holdings_known = need.demand, need.held, need.holdings_known
        if not from_this_term:
            return
        if self.confirmed_rev is None or need.rev > self.confirmed_rev:
            self.last_progress_us = now_us
        self.confirmed_rev = max(self.confirmed_rev or 0, need.rev)
        gone_us = now_us + grant_expiry_us(limit, times) + limit.max_use_us
        self.outstanding = [OutstandingExtra(need.rev, need.extra, gone_us)] + [
            one for one in self.outstanding if one.rev > need.rev
        ]

    def _note_restart(self, need: Need, limit: Limit, times: LimitTimes, now_us: int) -> None:
        # An older owner, cut off from this one's records, counts alike: so nothing is handed on at once.
        had = self.charge(limit, now_us)
        self.before_restart.append(OutstandingExtra(0, had, now_us + times.owner_overlap_us))
        if limit.max_use_us and not need.holdings_known:
            self.forgotten.append(
                OutstandingExtra(0, had, now_us + limit.max_use_us + clock_drift_us(limit.max_use_us))
            )
        self.outstanding, self.confirmed_rev, self.last_progress_us = [], None, now_us

    def note_published(self, rev: int, extra: float, limit: Limit, times: LimitTimes) -> None:
        """Note that a record may show this extra; it answers the newest need."""
        gone_us = self.last_report_us + grant_expiry_us(limit, times) + limit.max_use_us
        self.outstanding = [one for one in self.outstanding if one.extra > extra or one.expires_us > gone_us]
        self.outstanding.append(OutstandingExtra(rev, extra, gone_us))

    def charge(self, limit: Limit, now_us: int) -> float:
        """Return what it may have beyond its safe part, at the worst, and what earlier starts forgot."""
        mine = self.charge_of_this_start(limit, now_us)
        return (
            mine + sum(one.extra for one in self.forgotten if now_us < one.expires_us)
            if self.forgotten
            else mine
        )

    def charge_of_this_start(self, limit: Limit, now_us: int) -> float:
        """Return what this start of it may have beyond its safe part, at the worst."""
        # Asked for each account several times a period: plain loops.
        most = 0.0
        for outs in (self.outstanding, self.before_restart):
            for one in outs:
                if one.extra > most and now_us < one.expires_us:
                    most = one.extra
        if self.held > most and limit.max_use_us:
            lingers = now_us < self.last_report_us + limit.max_use_us + clock_drift_us(limit.max_use_us)
            most = max(most, self.held - limit.safe_part) if lingers else most
        return most

    def largest_grant(self, now_us: int) -> float:
        """Return the largest extra that was granted to it and may live."""
        return max((one.extra for one in self.outstanding if now_us < one.expires_us), default=0.0)

    def drop_expired(self, now_us: int) -> None:
        """Drop what is over."""
        self.outstanding = [one for one in self.outstanding if now_us < one.expires_us]
        if self.before_restart or self.forgotten:
            self.before_restart = [one for one in self.before_restart if now_us < one.expires_us]
            self.forgotten = [one for one in self.forgotten if now_us < one.expires_us]
