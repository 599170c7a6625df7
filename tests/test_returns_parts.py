"""Return storms: records, sketches and settings, each by itself."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.fleet.returns.settings import ReturnSettings, faults
from bitternbeam.fleet.returns.sketches import Distinct, Dues, Strikes, merged
from bitternbeam.fleet.returns.slots import place, spread
from bitternbeam.fleet.returns.window import PACED, Epoch, ReturnReport, epoch_of, report_of
from tests.reconnect_sketches import seen
from tests.returns_world import WALL_MS

BASE = ReturnSettings("returns", 250.0)
HOUR_MS = 3_600_000.0


@given(st.recursive(st.none() | st.integers() | st.floats() | st.text(), st.lists), st.integers(0, 20))
@settings(derandomize=True, deadline=None)
def test_what_is_no_record_or_report_is_not_taken(junk: object, at: int) -> None:
    plans = (spread(0, WALL_MS, (5.0, 7.0), per_ms=0.1, most_ms=HOUR_MS),)
    epoch = Epoch("e", WALL_MS, WALL_MS, 5.0, 1, PACED, ("a", "b"), plans, WALL_MS, (5.0, 7.0))
    report = ReturnReport(1, "e", let_in=(1, 2), seen=(seen(9), seen(0)), late=seen(3), late_turned=(1, 0))
    for one, read in ((epoch, epoch_of), (report, report_of)):
        value = json.loads(json.dumps(one.value()))
        whole = read(value)
        assert whole is not None and whole.value() == value
        value[sorted(value)[at % len(value)]] = junk
        read(value)
    assert epoch_of({**epoch.value(), "plans": []}) is None
    assert report_of({**report.value(), "seen": ["x" * 50]}) is None


def test_sketches_count_whom_they_saw_and_forget_no_strike() -> None:
    whole, half = seen(5_000), seen(2_500)
    assert abs(whole.count() - 5_000) < 500 and abs(seen(40).count() - 40) < 4
    assert merged([half, whole, Distinct()]).count() == whole.count()
    strikes, dues = Strikes(), Dues()
    for number in range(4_000):
        for _ in range(number % 4):
            strikes.add(place("e", str(number)).mix)
        dues.told(place("e", str(number)).mix, 1_000 * (number % 9))
    counts = [strikes.count(place("e", str(number)).mix) - number % 4 for number in range(4_000)]
    assert min(counts) == 0 and sum(counts) < 80
    assert all(dues.due_ms(place("e", str(number)).mix) >= 1_000 * (number % 9) for number in range(4_000))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("window_ms", 0), ("budget_per_s", 0.0), ("budget_per_s", -1.0), ("identity", "name"), ("limit", ""),
        ("classes", ("a", "a")), ("fresh_ms", 1_000), ("grace_ms", 100), ("fill", 1.5), ("strikes", 1),
        ("skew_ms", -1),
    ],
)  # fmt: skip
def test_settings_that_cannot_work_are_named(key: str, value: object) -> None:
    assert not faults(BASE)
    assert key in [name for name, _what in faults(replace(BASE, **{key: value}))]  # type: ignore[arg-type]
