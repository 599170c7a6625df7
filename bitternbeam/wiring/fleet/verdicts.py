"""The fleet's verdicts on a member: what it saw out in its report, verdicts in by record, heeded at calls."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.fleet import Fleet
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.configuration.verdicts import judged_limits
from bitternbeam.configuration.versions import Versions, content_of
from bitternbeam.core.calls import Offer
from bitternbeam.core.limiters import UnlimitedTraffic
from bitternbeam.fleet.verdicts.board import VerdictBoard
from bitternbeam.fleet.verdicts.bound import max_staleness_ms
from bitternbeam.fleet.verdicts.detectors import BookerDetector, DemandDetector, Detection, VersionDetector
from bitternbeam.fleet.verdicts.observations import MemberReport, Observations, SubjectKey, parse_report
from bitternbeam.fleet.verdicts.settings import VerdictSettings
from bitternbeam.fleet.verdicts.verdict import parse_verdict
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.limit_bounds import AWAY_MOST_US, OVER_SHARE
from bitternbeam.wiring.fleet.verdict_work import VerdictWork

log = logging.getLogger(__name__)

KEPT_MOST = 64  # verdicts of a kind that a member's report carries


class VerdictBounds(UnlimitedTraffic):
    """What the cores ask: whose call is turned away at once, which bookers get nothing new."""

    def __init__(
        self,
        bench: Bench,
        board: VerdictBoard,
        seen: Observations,
        terms: VerdictSettings,
        tenant_of: Callable[[Offer], str],
    ) -> None:
        self.bench, self.board, self.seen, self.terms, self.tenant_of = bench, board, seen, terms, tenant_of
        self.callers = [kind for kind in ("tenant", "caller") if kind in terms.kinds]
        self.ejected: frozenset[str] = frozenset()  # or were, a while ago

    def barred(self, kind: str, subject: str) -> None:
        """Take a new verdict; that it is over is seen at each call."""
        self.seen.reset_subject(kind, subject)
        if kind == "booker":
            self.ejected = frozenset(name for of, name in self.board.entries if of == kind)

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Turn a barred tenant's or caller's call away until the verdict's end."""
        away_us = 0
        for kind in self.callers:
            subject = offer.client if kind == "caller" else self.tenant_of(offer)
            self.seen.count_offer(kind, subject)
            away_us = max(away_us, self.board.remaining_us(kind, subject, now_us))
        if not away_us:
            return None
        self.bench.counters.add("fleet.verdicts.refused")
        return min(AWAY_MOST_US, away_us)

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the ejected bookers."""
        return frozenset(one for one in self.ejected if self.board.remaining_us("booker", one, now_us))

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Let nothing new go to an ejected booker."""
        return (
            OVER_SHARE if booker in self.ejected and booker in self.exhausted_bookers(offer, now_us) else ""
        )

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Note a booker that answers."""
        self.seen.count_attempt(booker, unanswered=False)

    def attempt_refused(self, booker: str) -> None:
        """Note a booker that answers."""
        self.seen.count_attempt(booker, unanswered=False)

    def attempt_timed_out(self, booker: str) -> None:
        """Note a booker that did not answer in time."""
        self.seen.count_attempt(booker, unanswered=True)


class VerdictsExtension(Extension):
    """All verdicts of one member.

    `limits`: the amount a second of each tenant and caller that is judged; `bookers`: those that are known.
    """

    name = "verdicts"

    def __init__(
        self,
        bench: Bench,
        terms: VerdictSettings,
        limits: Mapping[SubjectKey, float],
        bookers: Collection[str],
        *,
        tenant_of: Callable[[Offer], str],
        versions: Versions | None = None,
    ) -> None:
        self.bench, self.terms, self.bookers, self.versions = bench, terms, bookers, versions
        if versions is not None and "version" in terms.kinds:
            versions.condemned = self.condemned
        now = bench.deadlines.now_us()
        self.board = VerdictBoard(bench.fleet.view_age_ms * 1000, now)
        self.seen = Observations(terms.booker_periods, limits, now)
        self.bounds: VerdictBounds = VerdictBounds(bench, self.board, self.seen, terms, tenant_of)
        self.kept = {kind: VerdictWork(bench, kind, self.board, self.bounds.barred) for kind in terms.kinds}
        self.works: Sequence[VerdictWork] = list(self.kept.values())
        self.again: Callable[[], None] = lambda: None  # offers the file's document
        self.held_back = False
        self.booker_judge, self.version_judge = BookerDetector(terms), VersionDetector(terms)
        self.demand_judges: dict[str, DemandDetector] = {
            kind: DemandDetector(terms, kind, limits) for kind in ("tenant", "caller") if kind in terms.kinds
        }

    def tick(self, now_us: int) -> None:
        """Have a version offered again that was held back while nothing was heard."""
        if self.held_back and self.board.is_informed("version", now_us):
            self.held_back = False
            try:
                self.again()
            except DocumentError as error:
                # Danger: a file that was spoilt meanwhile must not cost the member its tick.
                log.error("fleet: what was held back can't be offered: %s", error)

    def reload(self, fleet: Fleet) -> None:
        """Judge by changed amounts."""
        amounts = judged_limits(fleet.limit)
        for judge in self.demand_judges.values():
            judge.set_limits(amounts)

    def reports(self, now_us: int) -> dict[str, Any]:
        """Return what was seen here, and what is held here that the records lack."""
        if self.versions is not None:
            for content, cause in self.versions.bad.items():
                if self.board.active("version", content, now_us) is None:
                    self.seen.note_rollback(content, cause)
        kept = {name: rows[:KEPT_MOST] for name, work in self.kept.items() if (rows := work.kept(now_us))}
        return self.seen.build_report(now_us) | {"kept": kept}

    def heard(self, parts: Mapping[str, dict[str, Any]], now_us: int) -> None:
        """Hand the members' reports to the kinds that are judged here."""
        reports: dict[str, MemberReport] = {}
        for member, part in parts.items():
            report = parse_report(part)
            if report is None:
                self.bench.counters.add("fleet.reports_malformed")
                continue
            reports[member] = report
            kept = part.get("kept")
            for kind, rows in kept.items() if isinstance(kept, dict) else ():
                if kind in self.kept and isinstance(rows, list):
                    found = [parse_verdict(kind, row) for row in rows[:KEPT_MOST]]
                    self.kept[kind].known([one for one in found if one is not None], now_us)
        for kind, work in self.kept.items():
            if work.claim.token is not None:
                work.judge = lambda kind=kind: self._judge(kind, reports)

    def _judge(self, kind: str, reports: Mapping[str, MemberReport]) -> list[Detection]:
        now = self.bench.deadlines.now_us()
        if kind == "booker":
            return self.booker_judge.detect(reports, self.board, self.bookers, now)
        if kind == "version":
            return self.version_judge.detect(reports, self.board, now)
        return self.demand_judges[kind].detect(reports, self.board, now)

    def check(self, _old: Snapshot, new: Snapshot) -> None:
        """Refuse a version that is judged bad, or, while nothing is heard of it, any that was not good here.

        Danger: barred by silence too, an operator could not go back while the engine is away.
        """
        if "version" not in self.kept:
            return
        content = content_of(new)
        why = self.board.denial_reason("version", content, self.bench.deadlines.now_us())
        past = self.versions.past if self.versions is not None else ()
        if why == "unheard":
            why = "" if any(one.content == content for one in past) else "the fleet's verdicts are not heard"
            self.held_back |= bool(why)
        if why:
            raise DocumentError([Fault("", f"no version for this fleet now: {why}")])

    def condemned(self, content: str) -> str:
        """Return why a version that is on probation here may not go on: another member's turned it back."""
        verdict = self.board.active("version", content, self.bench.deadlines.now_us())
        return f"the fleet's verdict: {verdict.cause}" if verdict is not None else ""

    def status(self) -> dict[str, Any]:
        """Return what is in force, whether each kind is heard, and how stale a verdict may be."""
        now = self.bench.deadlines.now_us()
        fleet = self.bench.fleet
        return {
            "in_force": self.board.status(now),
            "heard": {kind: self.board.is_informed(kind, now) for kind in self.kept},
            "stale_most_ms": max_staleness_ms(fleet.period_ms),
            "refused": dict(self.board.rejected),
        }
