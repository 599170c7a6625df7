"""Who judges, and by what: the owner of a kind, by what the members reported in a period.

booker: enough of the members that sent to it say that it does not answer. Being turned away by one is no
failure: it is busy and alive. Never so many are ejected at once that the rest could not bear the load.
tenant, caller: its demand on the whole fleet was past its limit by a factor for so long.
version: a member's probation turned it back.

One judged again within the time of its last verdict after that is over gets twice as long (route flap
damping's doubling, as in fleet.membership), up to its kind's longest. That is read off the board, so a new
owner goes on with it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bitternbeam.fleet.verdicts.board import VerdictBoard
from bitternbeam.fleet.verdicts.kinds import KINDS
from bitternbeam.fleet.verdicts.observations import MemberReport, SubjectKey
from bitternbeam.fleet.verdicts.settings import VerdictSettings


@dataclass(frozen=True, slots=True)
class Detection:
    """What a judge says; it becomes a verdict under its owner's token."""

    subject: str
    cause: str
    duration_ms: int


def next_duration_ms(
    terms: VerdictSettings, board: VerdictBoard, kind: str, subject: str, now_us: int
) -> int:
    """Return for how long a new verdict lasts: twice the last one's where that ended a short while ago."""
    first_ms = terms.first_duration_ms(kind)
    had = board.entries.get((kind, subject))
    if had is None or had[0].is_lift or now_us - had[1] > had[0].duration_ms * 1000:
        return first_ms
    return min(KINDS[kind].max_duration_ms, max(first_ms, 2 * had[0].duration_ms))


class BookerDetector:
    """Ejects bookers that do not answer."""

    kind = "booker"

    def __init__(self, terms: VerdictSettings) -> None:
        self.terms = terms

    def detect(
        self,
        reports: Mapping[str, MemberReport],
        board: VerdictBoard,
        known_bookers: Iterable[str],
        now_us: int,
    ) -> list[Detection]:
        """Return whom to eject now; `known` are the bookers that the fleet has."""
        terms = self.terms
        told = {name for one in reports.values() for name in one.bookers}
        bookers = {*known_bookers, *told, *board.active_by_subject(self.kind, now_us)}
        room = int(terms.eject_share * len(bookers)) - len(board.active_by_subject(self.kind, now_us))
        bad = []
        for name in sorted(told):
            rows = [one.bookers[name] for one in reports.values() if name in one.bookers]
            sure = [row for row in rows if row[0] >= terms.least]
            failing = sum(late >= terms.fail_share * ended for ended, late in sure)
            enough = failing >= max(terms.members_least, terms.quorum * len(sure))
            if enough and board.active(self.kind, name, now_us) is None:
                bad.append((failing / len(sure), name, failing, len(sure)))
        bad.sort(reverse=True)
        return [
            Detection(
                name,
                f"{failing} of {of} members get no answer in time",
                next_duration_ms(terms, board, self.kind, name, now_us),
            )
            for _share, name, failing, of in bad[: max(0, room)]
        ]


class DemandDetector:
    """Bars tenants, or callers, that ask for a multiple of their limit for long."""

    def __init__(self, terms: VerdictSettings, kind: str, limits: Mapping[SubjectKey, float]) -> None:
        self.terms, self.kind = terms, kind
        self.over_since_us: dict[str, int] = {}
        self.set_limits(limits)

    def set_limits(self, limits: Mapping[SubjectKey, float]) -> None:
        """Take the limits as they are now."""
        self.limits = {name: amount for (of, name), amount in limits.items() if of == self.kind}

    def detect(
        self, reports: Mapping[str, MemberReport], board: VerdictBoard, now_us: int
    ) -> list[Detection]:
        """Return whom to bar now."""
        terms, found = self.terms, []
        for name, amount in self.limits.items():
            wants = sum(one.demand.get((self.kind, name), 0.0) for one in reports.values())
            over = wants >= terms.over_factor * amount and board.active(self.kind, name, now_us) is None
            if not over:
                self.over_since_us.pop(name, None)
                continue
            since_us = self.over_since_us.setdefault(name, now_us)
            if now_us - since_us >= terms.over_ms * 1000:
                cause = f"asks for {wants:.1f} a second, its limit is {amount:g}"
                lasts = next_duration_ms(terms, board, self.kind, name, now_us)
                found.append(Detection(name, cause, lasts))
        return found


class VersionDetector:
    """Marks versions that a member's probation turned back."""

    kind = "version"

    def __init__(self, terms: VerdictSettings) -> None:
        self.terms = terms

    def detect(
        self, reports: Mapping[str, MemberReport], board: VerdictBoard, now_us: int
    ) -> list[Detection]:
        """Return which contents are bad."""
        told = {content: cause for one in reports.values() for content, cause in one.bad_versions.items()}
        return [
            Detection(content, cause, next_duration_ms(self.terms, board, self.kind, content, now_us))
            for content, cause in sorted(told.items())
            if board.active(self.kind, content, now_us) is None
        ]
