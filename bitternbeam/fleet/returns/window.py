"""The record of an admission window, and the members' reports on it.

An admission window covers one reconnect surge. While `opening`, clients are admitted as the budget allows and
are counted. Once the backlog is known it is `paced`: each client has a slot. It is `over` when it is closed,
and for any reader once `ends_ms` has passed. In the record its keys are those of `to_record`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.returns.sketches import HyperLogLog, parse_sketch
from bitternbeam.fleet.returns.slots import MAX_KNOTS, Knot, SlotPlan

OPENING, PACED, CLOSED = "opening", "paced", "over"
PHASES = (OPENING, PACED, CLOSED)
MAX_PLANS = 2  # the current wave and the next one
MAX_CLASSES = 16  # classes, by priority
MAX_VALUE = 1e15  # upper bound of every time and count


@dataclass(frozen=True, slots=True)
class AdmissionWindow:
    """One admission window; times are Unix ms, counts are by class, the highest priority first."""

    id: str
    started_ms: int
    ends_ms: int
    budget_per_s: float  # reconnects per second, all members together
    revision: int = 0  # of the plans; increases with each change
    phase: str = OPENING
    classes: tuple[str, ...] = ()
    plans: tuple[SlotPlan, ...] = ()  # in chronological order
    committed_until_ms: int = 0  # slots up to here may have been announced and are never moved
    counted_clients: tuple[float, ...] = ()  # when the plans were last made
    admitted_before_plan: float = 0.0  # clients admitted before the first plan began
    absent_clients: float = 0.0  # clients that were counted and no longer come

    @property
    def backlog(self) -> float:
        """Return the number of clients that the plans cover."""
        return sum(sum(plan.clients) for plan in self.plans)

    @property
    def slot_span_ms(self) -> int:
        """Return the time between the first and the last slot, in ms."""
        if not self.plans:
            return 0
        first = min(curve[0][1] for curve in self.plans[0].curves)
        return int(max(plan.ends_ms for plan in self.plans) - first)

    def is_open(self, wall_ms: int) -> bool:
        """Tell whether the window is in force."""
        return self.phase != CLOSED and wall_ms < self.ends_ms

    def to_record(self) -> dict[str, Any]:
        """Return the value of its record."""
        plans = [
            {
                "number": plan.number,
                "clients": [round(one, 1) for one in plan.clients],
                "curves": [[[q, round(t, 3)] for q, t in curve] for curve in plan.curves],
            }
            for plan in self.plans
        ]
        return {
            "id": self.id, "began_ms": self.started_ms, "ends_ms": self.ends_ms, "budget": self.budget_per_s,
            "backlog": round(self.backlog), "window_ms": self.slot_span_ms, "revision": self.revision,
            "phase": self.phase, "urgency": list(self.classes), "plans": plans,
            "promised_ms": self.committed_until_ms, "seen": [round(one, 1) for one in self.counted_clients],
            "taken": round(self.admitted_before_plan, 1), "missing": round(self.absent_clients, 1),
        }  # fmt: skip


def _number(value: Any) -> bool:
    return type(value) in (int, float) and math.isfinite(value) and 0 <= value < MAX_VALUE


def _numbers(value: Any, most: int) -> tuple[float, ...] | None:
    if not isinstance(value, list) or len(value) > most or not all(_number(one) for one in value):
        return None
    return tuple(float(one) for one in value)


def _curve(value: Any) -> tuple[Knot, ...] | None:
    """Parse a curve: quantiles and times must not decrease, and the last quantile must be 1."""
    if not isinstance(value, list) or not 2 <= len(value) <= MAX_KNOTS:
        return None
    knots: list[Knot] = []
    for row in value:
        knot = _numbers(row, 2)
        if knot is None or len(knot) != 2:
            return None
        if knots and (knot[0] < knots[-1][0] or knot[1] < knots[-1][1]):
            return None
        knots.append((knot[0], knot[1]))
    return tuple(knots) if knots[-1][0] == 1 else None


def _plan(value: Any) -> SlotPlan | None:
    if not isinstance(value, dict) or type(value.get("number")) is not int or value["number"] < 0:
        return None
    clients, rows = _numbers(value.get("clients"), MAX_CLASSES), value.get("curves")
    if not clients or not isinstance(rows, list) or len(rows) != len(clients):
        return None
    curves = [_curve(row) for row in rows]
    if any(curve is None for curve in curves):
        return None
    return SlotPlan(value["number"], clients, tuple(curve for curve in curves if curve is not None))


def parse_window(value: Any) -> AdmissionWindow | None:
    """Parse the value of a record; None if it is malformed."""
    if not isinstance(value, dict):
        return None
    name, phase, urgency, rows = (value.get(key) for key in ("id", "phase", "urgency", "plans"))
    times = [value.get(key) for key in ("began_ms", "ends_ms", "promised_ms", "revision")]
    if not isinstance(name, str) or not 0 < len(name) <= 256 or phase not in PHASES:
        return None
    if not all(type(one) is int and 0 <= one < MAX_VALUE for one in times):
        return None
    if not all(_number(value.get(key)) for key in ("budget", "taken", "missing")):
        return None
    seen = _numbers(value.get("seen"), MAX_CLASSES)
    if not isinstance(urgency, list) or not all(isinstance(one, str) for one in urgency) or seen is None:
        return None
    if not isinstance(rows, list) or len(rows) > MAX_PLANS or (phase == PACED and not rows):
        return None
    plans = [_plan(row) for row in rows]
    if any(plan is None or len(plan.clients) != len(seen) for plan in plans):
        return None
    return AdmissionWindow(
        name, value["began_ms"], value["ends_ms"], float(value["budget"]), value["revision"], str(phase),
        tuple(urgency), tuple(plan for plan in plans if plan is not None), value["promised_ms"], seen,
        float(value["taken"]), float(value["missing"]),
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class ReconnectReport:
    """The counts of one member, since `since_ms` unless stated otherwise."""

    since_ms: int
    window_id: str = ""  # the window that the member follows; empty: none
    requests_window: bool = False  # the member has just started, so its clients will reconnect
    offered: int = 0  # in the last period
    refused: int = 0  # in the last period, as the budget was used up
    admitted_at_slot: int = 0  # clients admitted at their slots
    admitted: tuple[int, ...] = ()  # by class
    clients: tuple[HyperLogLog, ...] = ()  # by class
    plan_number: int = -1  # number of the plan that the late counts refer to
    late_clients: HyperLogLog | None = None  # clients refused after their slots
    late_admitted: int = 0  # clients admitted after their slots under that plan
    late_refused: tuple[int, ...] = ()  # in the last period, by class

    def to_record(self) -> dict[str, Any]:
        """Return its stored form."""
        return {
            "since_ms": self.since_ms, "epoch": self.window_id, "asks": self.requests_window,
            "offered": self.offered,
            "turned": self.refused, "heeded": self.admitted_at_slot, "let_in": list(self.admitted),
            "seen": [one.encode() for one in self.clients], "plan": self.plan_number,
            "late": self.late_clients.encode() if self.late_clients else "",
            "late_let_in": self.late_admitted,
            "late_turned": list(self.late_refused),
        }  # fmt: skip


def _counts(value: Any) -> tuple[int, ...] | None:
    if not isinstance(value, list) or len(value) > MAX_CLASSES:
        return None
    if not all(type(one) is int and 0 <= one < MAX_VALUE for one in value):
        return None
    return tuple(value)


def parse_report(value: Any) -> ReconnectReport | None:
    """Parse a report; None if it is malformed."""
    if not isinstance(value, dict):
        return None
    whole = [value.get(key) for key in ("since_ms", "offered", "turned", "heeded", "late_let_in")]
    if not all(type(one) is int and 0 <= one < MAX_VALUE for one in whole):
        return None
    let_in, late_turned = _counts(value.get("let_in")), _counts(value.get("late_turned"))
    texts, late = value.get("seen"), parse_sketch(value.get("late"))
    window, asks, plan = value.get("epoch"), value.get("asks"), value.get("plan")
    if let_in is None or late_turned is None or late is None or not isinstance(texts, list):
        return None
    if (
        len(texts) > MAX_CLASSES
        or not isinstance(window, str)
        or not isinstance(asks, bool)
        or type(plan) is not int
    ):
        return None
    seen = [parse_sketch(text) for text in texts]
    if any(one is None for one in seen):
        return None
    since, offered, turned, heeded, late_let_in = whole
    return ReconnectReport(
        int(since or 0), window, asks, int(offered or 0), int(turned or 0), int(heeded or 0), let_in,
        tuple(one for one in seen if one is not None), plan, late, int(late_let_in or 0), late_turned,
    )  # fmt: skip
