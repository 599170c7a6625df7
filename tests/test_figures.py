"""The operators' figures: counts added up over cores, and the bookers that are avoided."""

from __future__ import annotations

import pytest

from bitternbeam.decision.interface import SwitchState
from bitternbeam.decision.state import Switch
from bitternbeam.metrics.counts import RequestCounts, snapshot, sum_counts
from bitternbeam.metrics.pool import count_ejected


def test_counts_add_up_over_cores_and_pass_over_unknown_classes() -> None:
    one, two = RequestCounts(("voice", "data")), RequestCounts(("voice",))
    events = [(one, "ok", "voice"), (one, "ok", "voice"), (two, "ok", "voice"), (one, "shed", "data")]
    events += [(two, "errors", "fax"), (two, "tries", "voice")]
    for figures, kind, name in events:
        figures.increment(kind, name)
    total = sum_counts([one, two])
    assert total["ok"] == {"voice": 3, "data": 0}
    assert total["shed"] == {"voice": 0, "data": 1}
    assert total["errors"] == {"voice": 0, "data": 0}  # no caller adds a key
    assert total["tries"] == {"voice": 1, "data": 0}
    shown = snapshot(total, active=2, pool_size=3, pool_ejected=1)
    keys = ["ok", "shed", "errors", "tries", "tries_by_class", "active", "pool_size", "pool_ejected"]
    assert list(shown) == keys
    assert shown["tries"] == 1 and shown["tries_by_class"] == {"voice": 1, "data": 0}


@pytest.mark.parametrize(
    ("state", "suspect", "errors", "known", "counted"),
    [
        (SwitchState.READY, False, 0.0, True, 0),
        (SwitchState.DRAINING, False, 0.0, True, 1),
        (SwitchState.READY, True, 0.0, True, 1),
        (SwitchState.READY, False, 0.9, True, 1),
        (SwitchState.READY, False, 0.4, True, 0),
        (SwitchState.READY, False, 0.0, False, 0),
        (SwitchState.DRAINING, False, 0.0, False, 1),
    ],
)
def test_a_booker_is_ejected_while_draining_suspect_or_failing(
    state: SwitchState, suspect: bool, errors: float, known: bool, counted: int
) -> None:
    switch = Switch("s0", 0, suspect=suspect, error_share=errors)
    switches = {"s0": switch} if known else {}
    sound = {"s1": Switch("s1", 0)}
    assert count_ejected(switches | sound, {"s0": state, "s1": SwitchState.READY}) == counted
