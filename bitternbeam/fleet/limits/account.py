"""The most that one member may be using of a limit, as the limit's owner accounts for it.

Each extra that was or may have been published is charged until the member confirms a later record (it then
ignores all earlier ones) or until the extra has certainly expired. For a held limit, what was acquired under
an extra stays charged until the member reports its release or the longest hold time has passed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bitternbeam.fleet.limits.need import Need
from bitternbeam.fleet.limits.terms import Limit, LimitTimes, clock_drift_us


def grant_expiry_us(limit: Limit, times: LimitTimes) -> int:
    """Return how long after a need was received the grants that answer it have certainly expired.

    Includes `owner_overlap_us`: an owner that has lost its lock without noticing must not reassign extras
    that it takes for expired while its successor has renewed them.
    """
    return limit.grant_duration_us + 2 * clock_drift_us(limit.grant_duration_us) + times.owner_overlap_us


@dataclass(frozen=True, slots=True)
class OutstandingExtra:
    """An extra that may be in use: the revision that granted it and the time by which it has expired."""

    rev: int
    extra: float
    expires_us: int


@dataclass(slots=True)
class MemberAccount:
    """The owner's state of one member.

    `confirmed_rev` is the latest revision of this owner term that the member reported to have applied.
    """

    boot: int
    seq: int
    last_report_us: int
    last_progress_us: int  # when it last confirmed a later revision, or first reported
    demand: float = 0.0
    held: int = 0
    holdings_known: bool = True
    confirmed_rev: int | None = None
    in_pool: bool = False  # its extra has been added to the pool of a new owner
    outstanding: list[OutstandingExtra] = field(default_factory=list)
    before_restart: list[OutstandingExtra] = field(
        default_factory=list
    )  # of earlier starts; may be granted to the same member again
    forgotten: list[OutstandingExtra] = field(
        default_factory=list
    )  # of starts whose state was lost; charged in addition

    def apply_need(
        self, need: Need, from_this_term: bool, limit: Limit, times: LimitTimes, now_us: int
    ) -> None:
        """Apply a newer need; `from_this_term`: the member has applied a record of this owner term."""
        if need.boot > self.boot:
            self._note_restart(need, limit, times, now_us)
        self.boot, self.seq, self.last_report_us = need.boot, need.seq, now_us
        self.demand, self.held, self.holdings_known = need.demand, need.held, need.holdings_known
        if not from_this_term:
            return
        if self.confirmed_rev is None or need.rev > self.confirmed_rev:
            self.last_progress_us = now_us
        self.confirmed_rev = max(self.confirmed_rev or 0, need.rev)
        expires_us = now_us + grant_expiry_us(limit, times) + limit.max_use_us
        self.outstanding = [OutstandingExtra(need.rev, need.extra, expires_us)] + [
            item for item in self.outstanding if item.rev > need.rev
        ]

    def _note_restart(self, need: Need, limit: Limit, times: LimitTimes, now_us: int) -> None:
        # An earlier owner that misses this one's records charges the same: nothing is reassigned at once.
        charged = self.charge(limit, now_us)
        self.before_restart.append(OutstandingExtra(0, charged, now_us + times.owner_overlap_us))
        if limit.max_use_us and not need.holdings_known:
            self.forgotten.append(
                OutstandingExtra(0, charged, now_us + limit.max_use_us + clock_drift_us(limit.max_use_us))
            )
        self.outstanding, self.confirmed_rev, self.last_progress_us = [], None, now_us

    def note_published(self, rev: int, extra: float, limit: Limit, times: LimitTimes) -> None:
        """Note that a record with this extra, in answer to the newest need, may have been published."""
        expires_us = self.last_report_us + grant_expiry_us(limit, times) + limit.max_use_us
        self.outstanding = [
            item for item in self.outstanding if item.extra > extra or item.expires_us > expires_us
        ]
        self.outstanding.append(OutstandingExtra(rev, extra, expires_us))

    def charge(self, limit: Limit, now_us: int) -> float:
        """Return the most it may use beyond its safe part, including what earlier starts lost track of."""
        charge = self.charge_of_this_start(limit, now_us)
        return (
            charge + sum(item.extra for item in self.forgotten if now_us < item.expires_us)
            if self.forgotten
            else charge
        )

    def charge_of_this_start(self, limit: Limit, now_us: int) -> float:
        """Return the most that the member's present start may use beyond its safe part."""
        # Plain loops: called several times a period for each account.
        largest = 0.0
        for items in (self.outstanding, self.before_restart):
            for item in items:
                if item.extra > largest and now_us < item.expires_us:
                    largest = item.extra
        if self.held > largest and limit.max_use_us:
            may_be_held = now_us < self.last_report_us + limit.max_use_us + clock_drift_us(limit.max_use_us)
            largest = max(largest, self.held - limit.safe_part) if may_be_held else largest
        return largest

    def largest_grant(self, now_us: int) -> float:
        """Return the largest granted extra that may be unexpired."""
        return max((item.extra for item in self.outstanding if now_us < item.expires_us), default=0.0)

    def drop_expired(self, now_us: int) -> None:
        """Drop expired extras."""
        self.outstanding = [item for item in self.outstanding if now_us < item.expires_us]
        if self.before_restart or self.forgotten:
            self.before_restart = [item for item in self.before_restart if now_us < item.expires_us]
            self.forgotten = [item for item in self.forgotten if now_us < item.expires_us]
