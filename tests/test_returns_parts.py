"""Reconnect admission: records, sketches and settings."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.fleet.returns.settings import ReconnectSettings, faults
from bitternbeam.fleet.returns.sketches import HyperLogLog, RetryDeadlines, ViolationCounter, merge_sketches
from bitternbeam.fleet.returns.slots import hash_in_window, plan_slots
from bitternbeam.fleet.returns.window import (
    PACED,
    AdmissionWindow,
    ReconnectReport,
    parse_report,
    parse_window,
)
from tests.reconnect_sketches import sketch_of
from tests.returns_world import WALL_MS

BASE = ReconnectSettings("returns", 250.0)
HOUR_MS = 3_600_000.0


@given(st.recursive(st.none() | st.integers() | st.floats() | st.text(), st.lists), st.integers(0, 20))
@settings(derandomize=True, deadline=None)
def test_what_is_no_record_or_report_is_not_taken(junk: object, at: int) -> None:
    plans = (plan_slots(0, WALL_MS, (5.0, 7.0), per_ms=0.1, most_ms=HOUR_MS),)
    epoch = AdmissionWindow("e", WALL_MS, WALL_MS, 5.0, 1, PACED, ("a", "b"), plans, WALL_MS, (5.0, 7.0))
    report = ReconnectReport(
        1,
        "e",
        admitted=(1, 2),
        clients=(sketch_of(9), sketch_of(0)),
        late_clients=sketch_of(3),
        late_refused=(1, 0),
    )
    for one, read in ((epoch, parse_window), (report, parse_report)):
        value = json.loads(json.dumps(one.to_record()))
        whole = read(value)
        assert whole is not None and whole.to_record() == value
        value[sorted(value)[at % len(value)]] = junk
        read(value)
    assert parse_window({**epoch.to_record(), "plans": []}) is None
    assert parse_report({**report.to_record(), "seen": ["x" * 50]}) is None


def test_sketches_estimate_clients_and_never_undercount_violations() -> None:
    full, half = sketch_of(5_000), sketch_of(2_500)
    assert abs(full.count() - 5_000) < 500 and abs(sketch_of(40).count() - 40) < 4
    assert merge_sketches([half, full, HyperLogLog()]).count() == full.count()
    strikes, dues = ViolationCounter(), RetryDeadlines()
    for number in range(4_000):
        for _ in range(number % 4):
            strikes.add(hash_in_window("e", str(number)).sketch_hash)
        dues.extend(hash_in_window("e", str(number)).sketch_hash, 1_000 * (number % 9))
    counts = [
        strikes.count(hash_in_window("e", str(number)).sketch_hash) - number % 4 for number in range(4_000)
    ]
    assert min(counts) == 0 and sum(counts) < 80
    assert all(
        dues.deadline_ms(hash_in_window("e", str(number)).sketch_hash) >= 1_000 * (number % 9)
        for number in range(4_000)
    )


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("window_ms", 0), ("budget_per_s", 0.0), ("budget_per_s", -1.0), ("identity", "name"), ("limit", ""),
        ("classes", ("a", "a")), ("fresh_ms", 1_000), ("grace_ms", 100), ("fill", 1.5), ("strikes", 1),
        ("skew_ms", -1),
    ],
)  # fmt: skip
def test_invalid_settings_are_reported_by_key(key: str, value: object) -> None:
    assert not faults(BASE)
    assert key in [name for name, _what in faults(replace(BASE, **{key: value}))]  # type: ignore[arg-type]
