"""What one member reports to the detectors: attempts at bookers, demand, rolled-back versions."""

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
    """Attempts at one booker in one period: all that ended, and those not answered in time."""

    ended: int = 0
    unanswered: int = 0


class Observations:
    """One member's counts; demand is counted for `demand_subjects` only."""

    def __init__(self, periods: int, demand_subjects: Collection[SubjectKey], now_us: int) -> None:
        self.periods, self.demand_subjects = periods, frozenset(demand_subjects)
        self.attempts: dict[str, deque[AttemptCounts]] = {}
        self.offers: dict[SubjectKey, int] = {}
        self.bad_versions: dict[str, str] = {}  # by content: why it was rolled back
        self.period_started_us = now_us

    def count_offer(self, kind: str, subject: str) -> None:
        """Count an offered call, barred or not."""
        if (kind, subject) in self.demand_subjects:
            self.offers[kind, subject] = self.offers.get((kind, subject), 0) + 1

    def count_attempt(self, booker: str, unanswered: bool) -> None:
        """Count an ended attempt; a refused one counts as answered, as the booker is alive."""
        periods = self.attempts.setdefault(booker, deque([AttemptCounts()], self.periods))
        periods[-1].ended += 1
        periods[-1].unanswered += unanswered

    def note_rollback(self, content: str, cause: str) -> None:
        """Note a version that was rolled back during probation here."""
        self.bad_versions[content] = cause[:MAX_TEXT_LENGTH] or "rolled back"
        while len(self.bad_versions) > MAX_BAD_VERSIONS:
            del self.bad_versions[next(iter(self.bad_versions))]

    def reset_subject(self, kind: str, subject: str) -> None:
        """Discard the observations of a subject on which a verdict was issued."""
        if kind == "booker":
            self.attempts.pop(subject, None)
        elif kind == "version":
            self.bad_versions.pop(subject, None)

    def build_report(self, now_us: int) -> dict[str, Any]:
        """Return this period's part of the report, and start the next period."""
        period_s = max(1, now_us - self.period_started_us) / 1e6
        bookers = {
            name: [sum(counts.ended for counts in periods), sum(counts.unanswered for counts in periods)]
            for name, periods in self.attempts.items()
        }
        demand: dict[str, dict[str, float]] = {}
        for (kind, subject), count in self.offers.items():
            demand.setdefault(kind, {})[subject] = round(count / period_s, 3)
        report = {"bookers": bookers, "demand": demand, "bad": dict(self.bad_versions)}
        self.period_started_us, self.offers = now_us, {}
        for name, periods in list(self.attempts.items()):
            periods.append(AttemptCounts())
            if not any(counts.ended for counts in periods):
                del self.attempts[name]
        return report


@dataclass(frozen=True, slots=True)
class MemberReport:
    """One member's report as parsed by its receiver."""

    bookers: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    demand: Mapping[SubjectKey, float] = field(default_factory=dict)  # per second
    bad_versions: Mapping[str, str] = field(default_factory=dict)


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 40


def _is_rate(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e9


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def parse_report(value: Any) -> MemberReport | None:
    """Parse a report; None if any of it is malformed."""
    if not isinstance(value, dict):
        return None
    bookers, demand, bad_versions = value.get("bookers"), value.get("demand"), value.get("bad")
    if not (isinstance(bookers, dict) and isinstance(demand, dict) and isinstance(bad_versions, dict)):
        return None
    if not all(isinstance(rates, dict) for rates in demand.values()):
        return None
    if len(bookers) + len(bad_versions) + sum(len(rates) for rates in demand.values()) > MAX_ROWS:
        return None
    for row in bookers.values():
        if (
            not isinstance(row, list)
            or len(row) != 2
            or not all(_is_count(count) for count in row)
            or row[1] > row[0]
        ):
            return None
    if not all(_is_rate(rate) for rates in demand.values() for rate in rates.values()):
        return None
    if not all(_is_text(content) and _is_text(cause) for content, cause in bad_versions.items()):
        return None
    return MemberReport(
        {name: (row[0], row[1]) for name, row in bookers.items()},
        {(kind, name): float(rate) for kind, rates in demand.items() for name, rate in rates.items()},
        dict(bad_versions),
    )
