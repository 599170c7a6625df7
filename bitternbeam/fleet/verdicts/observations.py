"""What one member saw and reports to the judges: attempts at bookers, demand, versions turned back."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from bitternbeam.fleet.verdicts.verdict import MAX_TEXT_LENGTH

MAX_ROWS = 4_096
MAX_BAD_VERSIONS = 16
SubjectKey = tuple[str, str]  # kind, subject


@dataclass(slots=True)
class AttemptCounts:
    """Attempts at one booker in one period: ended in any way, and of them not answered in time."""

    ended: int = 0
    unanswered: int = 0


class Observations:
    """One member's counts. `demands`: the subjects whose demand is judged."""

    def __init__(self, periods: int, demand_subjects: Collection[SubjectKey], now_us: int) -> None:
        self.periods, self.demand_subjects = periods, frozenset(demand_subjects)
        self.attempts: dict[str, deque[AttemptCounts]] = {}
        self.offers: dict[SubjectKey, int] = {}
        self.bad_versions: dict[str, str] = {}  # content: why it was gone back from
        self.period_started_us = now_us

    def count_offer(self, kind: str, subject: str) -> None:
        """Count an offer, barred or not."""
        if (kind, subject) in self.demand_subjects:
            self.offers[kind, subject] = self.offers.get((kind, subject), 0) + 1

    def count_attempt(self, booker: str, unanswered: bool) -> None:
        """Count an attempt; one that was turned away shows a booker that lives."""
        row = self.attempts.setdefault(booker, deque([AttemptCounts()], self.periods))
        row[-1].ended += 1
        row[-1].unanswered += unanswered

    def note_rollback(self, content: str, cause: str) -> None:
        """Note a version that the probation here turned back."""
        self.bad_versions[content] = cause[:MAX_TEXT_LENGTH] or "rolled back"
        while len(self.bad_versions) > MAX_BAD_VERSIONS:
            del self.bad_versions[next(iter(self.bad_versions))]

    def reset_subject(self, kind: str, subject: str) -> None:
        """Begin anew with a subject on which there is a verdict."""
        if kind == "booker":
            self.attempts.pop(subject, None)
        elif kind == "version":
            self.bad_versions.pop(subject, None)

    def build_report(self, now_us: int) -> dict[str, Any]:
        """Return what goes into this period's report, and begin the next one."""
        took_s = max(1, now_us - self.period_started_us) / 1e6
        bookers = {
            name: [sum(one.ended for one in row), sum(one.unanswered for one in row)]
            for name, row in self.attempts.items()
        }
        demand: dict[str, dict[str, float]] = {}
        for (kind, subject), count in self.offers.items():
            demand.setdefault(kind, {})[subject] = round(count / took_s, 3)
        told = {"bookers": bookers, "demand": demand, "bad": dict(self.bad_versions)}
        self.period_started_us, self.offers = now_us, {}
        for name, row in list(self.attempts.items()):
            row.append(AttemptCounts())
            if not any(one.ended for one in row):
                del self.attempts[name]
        return told


@dataclass(frozen=True, slots=True)
class MemberReport:
    """One member's report as its receiver reads it."""

    bookers: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    demand: Mapping[SubjectKey, float] = field(default_factory=dict)  # a second
    bad_versions: Mapping[str, str] = field(default_factory=dict)


def _count(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 40


def _rate(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e9


def _text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def parse_report(value: Any) -> MemberReport | None:
    """Read a report; None where any of it is of another form."""
    if not isinstance(value, dict):
        return None
    bookers, demand, bad = value.get("bookers"), value.get("demand"), value.get("bad")
    if not (isinstance(bookers, dict) and isinstance(demand, dict) and isinstance(bad, dict)):
        return None
    if not all(isinstance(one, dict) for one in demand.values()):
        return None
    if len(bookers) + len(bad) + sum(len(one) for one in demand.values()) > MAX_ROWS:
        return None
    for row in bookers.values():
        if (
            not isinstance(row, list)
            or len(row) != 2
            or not all(_count(one) for one in row)
            or row[1] > row[0]
        ):
            return None
    if not all(_rate(rate) for one in demand.values() for rate in one.values()):
        return None
    if not all(_text(content) and _text(cause) for content, cause in bad.items()):
        return None
    return MemberReport(
        {name: (row[0], row[1]) for name, row in bookers.items()},
        {(kind, name): float(rate) for kind, one in demand.items() for name, rate in one.items()},
        dict(bad),
    )
