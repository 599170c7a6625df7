"""Detectors: the owner of a kind decides on verdicts from the members' reports of a period.

booker: outlier ejection. Enough of the members that sent to it report that it does not answer. A refusal is
no failure, as the booker is busy but alive. A maximum share of ejected bookers protects the others from
overload.
tenant, caller: its demand on the whole fleet exceeded a multiple of its limit for some time.
version: a member rolled it back during probation.

A subject detected again soon after a verdict (within that verdict's duration after its end) is barred twice
as long, as in route flap damping and fleet.membership, up to its kind's longest duration. The last duration
is read from the board, so a new owner continues the doubling.
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
    """A detector's result; it becomes a verdict under the owner's token."""

    subject: str
    cause: str
    duration_ms: int


def next_duration_ms(
    settings: VerdictSettings, board: VerdictBoard, kind: str, subject: str, now_us: int
) -> int:
    """Return a new verdict's duration: twice that of the last one if that ended recently."""
    first_ms = settings.first_duration_ms(kind)
    held = board.entries.get((kind, subject))
    if held is None or held[0].is_lift or now_us - held[1] > held[0].duration_ms * 1000:
        return first_ms
    return min(KINDS[kind].max_duration_ms, max(first_ms, 2 * held[0].duration_ms))


class BookerDetector:
    """Detects bookers that do not answer."""

    kind = "booker"

    def __init__(self, settings: VerdictSettings) -> None:
        self.settings = settings

    def detect(
        self,
        reports: Mapping[str, MemberReport],
        board: VerdictBoard,
        known_bookers: Iterable[str],
        now_us: int,
    ) -> list[Detection]:
        """Return the bookers to eject now; `known_bookers` are those that the fleet has."""
        settings = self.settings
        reported = {name for report in reports.values() for name in report.bookers}
        bookers = {*known_bookers, *reported, *board.active_by_subject(self.kind, now_us)}
        allowed = int(settings.eject_share * len(bookers)) - len(board.active_by_subject(self.kind, now_us))
        failing_bookers = []
        for name in sorted(reported):
            rows = [report.bookers[name] for report in reports.values() if name in report.bookers]
            opinions = [row for row in rows if row[0] >= settings.least]
            failing_members = sum(unanswered >= settings.fail_share * ended for ended, unanswered in opinions)
            has_quorum = failing_members >= max(settings.members_least, settings.quorum * len(opinions))
            if has_quorum and board.active(self.kind, name, now_us) is None:
                failing_bookers.append(
                    (failing_members / len(opinions), name, failing_members, len(opinions))
                )
        failing_bookers.sort(reverse=True)
        return [
            Detection(
                name,
                f"{failing_members} of {members} members get no answer in time",
                next_duration_ms(settings, board, self.kind, name, now_us),
            )
            for _share, name, failing_members, members in failing_bookers[: max(0, allowed)]
        ]


class DemandDetector:
    """Detects tenants, or callers, whose demand stays above a multiple of their limit."""

    def __init__(self, settings: VerdictSettings, kind: str, limits: Mapping[SubjectKey, float]) -> None:
        self.settings, self.kind = settings, kind
        self.over_since_us: dict[str, int] = {}
        self.set_limits(limits)

    def set_limits(self, limits: Mapping[SubjectKey, float]) -> None:
        """Replace the limits, per second."""
        self.limits = {
            name: amount for (limit_kind, name), amount in limits.items() if limit_kind == self.kind
        }

    def detect(
        self, reports: Mapping[str, MemberReport], board: VerdictBoard, now_us: int
    ) -> list[Detection]:
        """Return the subjects to bar now."""
        settings, detections = self.settings, []
        for name, amount in self.limits.items():
            demand = sum(report.demand.get((self.kind, name), 0.0) for report in reports.values())
            is_over = (
                demand >= settings.over_factor * amount and board.active(self.kind, name, now_us) is None
            )
            if not is_over:
                self.over_since_us.pop(name, None)
                continue
            since_us = self.over_since_us.setdefault(name, now_us)
            if now_us - since_us >= settings.over_ms * 1000:
                cause = f"asks for {demand:.1f} a second, its limit is {amount:g}"
                duration_ms = next_duration_ms(settings, board, self.kind, name, now_us)
                detections.append(Detection(name, cause, duration_ms))
        return detections


class VersionDetector:
    """Detects versions that a member rolled back during probation."""

    kind = "version"

    def __init__(self, settings: VerdictSettings) -> None:
        self.settings = settings

    def detect(
        self, reports: Mapping[str, MemberReport], board: VerdictBoard, now_us: int
    ) -> list[Detection]:
        """Return the contents of the bad versions."""
        reported = {
            content: cause for report in reports.values() for content, cause in report.bad_versions.items()
        }
        return [
            Detection(content, cause, next_duration_ms(self.settings, board, self.kind, content, now_us))
            for content, cause in sorted(reported.items())
            if board.active(self.kind, content, now_us) is None
        ]
