"""What each member may have at the worst, of all pairs at once: the owner's ledger of its grants.

Counts as fleet.limits.account does for one limit. But all pairs of a member share one report, its number, the
record that it stands by and the times, so these stand once in its ledger, and what a record grants it is one
entry. With an account for each (member, tenant, booker) a period of 40 members took half a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bitternbeam.fleet.budgets.granted import PairTerms, Report
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.limits.account import grant_expiry_us
from bitternbeam.fleet.limits.terms import LimitTimes, clock_drift_us

Extras = Mapping[Pair, float]  # above 0
ENTRIES = 6  # of one member; more are counted together


@dataclass(frozen=True, slots=True)
class Waits:
    """How long what, in microseconds: a grant; till it surely is over; what was taken; an owner unheard."""

    lasts_us: int
    gone_us: int  # after the need that it answers: the grant, and what was taken under it
    lingers_us: int
    overlap_us: int

    @classmethod
    def of(cls, pairs: PairTerms, times: LimitTimes) -> Waits:
        """Return those of the pairs' limits."""
        limit = pairs.limit(("", ""))
        linger = limit.max_use_us
        return cls(
            limit.grant_duration_us,
            grant_expiry_us(limit, times) + linger,
            linger + clock_drift_us(linger),
            times.owner_overlap_us,
        )


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """What a revision grants a member, and when that surely is in use no more."""

    rev: int
    gone_us: int
    extras: Extras


def larger(entries: Iterable[Extras]) -> dict[Pair, float]:
    """Return the largest of each pair."""
    most: dict[Pair, float] = {}
    for extras in entries:
        if not most:
            most = dict(extras)
            continue
        for pair, extra in extras.items():
            if extra > most.get(pair, 0.0):
                most[pair] = extra
    return most


class MemberLedger:
    """One member, as the owner knows it. `stands`: the revision of this reign that it said it stands by."""

    def __init__(self, waits: Waits, boot: int, now_us: int) -> None:
        self.waits, self.boot, self.seq = waits, boot, -1
        self.heard_us = self.moved_us = now_us  # moved: when it last stood by a later revision
        self.settled = True
        self.stands: int | None = None
        self.counted = False  # its part of the pool that a new owner found is noted
        self.held: Extras = {}
        self.entries: list[LedgerEntry] = []  # oldest first
        self.before: list[LedgerEntry] = []  # of earlier starts; may be handed to itself
        self.lost: list[LedgerEntry] = []  # of starts that lost their memory: beside what it has now

    def forgot(self) -> None:
        """Ask it again where it stands."""
        self.stands, self.counted = None, False

    def heard(self, report: Report, mine: bool, now_us: int) -> None:
        """Take a newer report; `mine`: it stands by a record of this reign."""
        head = report.head
        if head.boot > self.boot:
            self._restarted(head.holdings_known, now_us)
        self.boot, self.seq, self.heard_us, self.settled = head.boot, head.seq, now_us, head.holdings_known
        self.held = {pair: held for pair, (held, _extra) in report.has.items() if held}
        if not mine:
            return
        if self.stands is None or head.rev > self.stands:
            self.moved_us = now_us
        self.stands = max(self.stands or 0, head.rev)
        extras = {pair: extra for pair, (_held, extra) in report.has.items() if extra > 0}
        now = LedgerEntry(head.rev, now_us + self.waits.gone_us, extras)
        self.entries = [now, *(one for one in self.entries if one.rev > head.rev)]

    def _restarted(self, settled: bool, now_us: int) -> None:
        # An older owner, cut off from this one's records, counts alike: so nothing is handed on at once.
        had = self.charge(now_us)
        self.before.append(LedgerEntry(0, now_us + self.waits.overlap_us, had))
        if not settled:
            self.lost.append(LedgerEntry(0, now_us + self.waits.lingers_us, had))
        self.entries, self.stands, self.moved_us = [], None, now_us

    def published(self, rev: int, extras: Extras, now_us: int) -> None:
        """Note that a record may show these; it answers the newest report."""
        self.entries = [one for one in self.entries if now_us < one.gone_us]
        self.before = [one for one in self.before if now_us < one.gone_us]
        self.lost = [one for one in self.lost if now_us < one.gone_us]
        if extras:
            self.entries.append(LedgerEntry(rev, self.heard_us + self.waits.gone_us, extras))
        if len(self.entries) > ENTRIES:
            # Danger: counted together they must last as long, and stand for as late a record, as the later.
            first, second = self.entries[1:3]
            both = larger((first.extras, second.extras))
            gone_us = max(first.gone_us, second.gone_us)
            self.entries[1:3] = [LedgerEntry(max(first.rev, second.rev), gone_us, both)]

    def there(self, now_us: int) -> bool:
        """Whether it hears and is heard."""
        lasts_us = self.waits.lasts_us
        return now_us - self.moved_us <= lasts_us and now_us - self.heard_us <= lasts_us

    def granted(self, now_us: int) -> dict[Pair, float]:
        """Return the largest extras that were granted to it and may live."""
        return larger(one.extras for one in self.entries if now_us < one.gone_us)

    def own(self, now_us: int) -> dict[Pair, float]:
        """Return what this start of it may have, at the worst."""
        found = larger(one.extras for one in (*self.entries, *self.before) if now_us < one.gone_us)
        if now_us < self.heard_us + self.waits.lingers_us:
            for pair, held in self.held.items():
                if held > found.get(pair, 0.0):
                    found[pair] = held
        return found

    def forgotten(self, now_us: int) -> dict[Pair, float]:
        """Return what its earlier starts may hold, beside that."""
        found: dict[Pair, float] = {}
        for one in self.lost:
            if now_us < one.gone_us:
                for pair, extra in one.extras.items():
                    found[pair] = found.get(pair, 0.0) + extra
        return found

    def charge(self, now_us: int) -> dict[Pair, float]:
        """Return what it may have, at the worst, and what earlier starts forgot."""
        found = self.own(now_us)
        for pair, extra in self.forgotten(now_us).items():
            found[pair] = found.get(pair, 0.0) + extra
        return found
