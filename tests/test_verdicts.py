"""Verdicts: a total order independent of delivery, expiry, and each kind's failure mode."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.fleet.record import MAX_CLOCK_SKEW_MS, ReadResult
from bitternbeam.fleet.tokens import Token
from bitternbeam.fleet.verdicts.board import VerdictBoard
from bitternbeam.fleet.verdicts.kinds import KINDS
from bitternbeam.fleet.verdicts.verdict import Verdict, parse_verdict, parse_verdicts

WALL = 1_700_000_000_000
VERDICT = Verdict("tenant", "acme", "unpaid", Token(5, "m1"), WALL, 60_000)

verdicts = st.builds(
    Verdict,
    st.just("tenant"),
    st.sampled_from(["acme", "bolt"]),
    st.sampled_from(["unpaid", "floods"]),
    st.builds(Token, st.integers(1, 3), st.sampled_from(["m1", "m2"])),
    st.integers(WALL - 90_000, WALL),
    st.integers(1, 60_000),
    st.integers(0, 2),
    st.booleans(),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(verdicts, min_size=1, max_size=8), st.randoms(use_true_random=False), st.integers(0, 120_000))
def test_members_that_heard_the_same_hold_the_same(heard: list[Verdict], rng: Any, later_ms: int) -> None:
    first, second = VerdictBoard(1_000_000, 0), VerdictBoard(1_000_000, 0)
    for one in heard:
        first.add(one, 0, WALL)
    for one in rng.sample(heard, len(heard)) + heard[:2]:
        second.add(one, 0, WALL)
    second.read_record("tenant", first.record_value("tenant"), 0, WALL)
    for subject in ("acme", "bolt"):
        at_us = later_ms * 1000
        stands = first.active("tenant", subject, at_us)
        assert stands == second.active("tenant", subject, at_us)
        # None outlives its expiry by more than clocks may differ, and the highest in order is the one.
        if stands is not None:
            assert stands.expires_ms + MAX_CLOCK_SKEW_MS > WALL + later_ms
            assert stands.precedence == max(one.precedence for one in heard if one.subject == subject)


@pytest.mark.parametrize(
    ("change", "wall_ms", "result"),
    [
        ({}, WALL, ReadResult.NEW),
        ({"issued_ms": WALL + MAX_CLOCK_SKEW_MS + 1}, WALL, ReadResult.FUTURE),
        ({}, WALL + KINDS["tenant"].max_duration_ms + MAX_CLOCK_SKEW_MS + 1, ReadResult.OLD),
        ({"kind": "nothing"}, WALL, ReadResult.MALFORMED),
        ({"duration_ms": KINDS["tenant"].max_duration_ms + 1}, WALL, ReadResult.MALFORMED),
    ],
)
def test_rejected_verdicts_are_counted(change: dict[str, Any], wall_ms: int, result: ReadResult) -> None:
    board = VerdictBoard(1_000_000, 0)
    assert board.add(replace(VERDICT, **change), 0, wall_ms) is result
    assert board.rejected == ({} if result is ReadResult.NEW else {str(result): 1})


def test_late_verdict_expires_with_the_others() -> None:
    board = VerdictBoard(1_000_000, 0)
    board.add(VERDICT, 0, WALL + 59_000)  # from a restored engine, or after a link failure
    assert board.active("tenant", "acme", 2_900_000) == VERDICT
    assert board.active("tenant", "acme", 3_000_000) is None


def test_lift_overrides_and_owner_with_lower_token_is_refused() -> None:
    board = VerdictBoard(1_000_000, 0)
    board.add(VERDICT, 0, WALL)
    low = replace(VERDICT, token=Token(4, "m2"), is_lift=True)
    assert board.issue(low, 0, WALL) is None and board.highest_token("tenant") == Token(5, "m1")
    lift = board.issue(replace(low, token=Token(6, "m2")), 0, WALL)
    assert lift is not None and board.denial_reason("tenant", "acme", 1) == ""
    assert board.add(VERDICT, 0, WALL) is ReadResult.STALE
    again = board.issue(replace(VERDICT, token=Token(6, "m2")), 0, WALL)
    assert again is not None and board.denial_reason("tenant", "acme", 1) == "unpaid"


def test_each_kind_applies_its_failure_mode_without_records() -> None:
    board = VerdictBoard(1_000_000, 0)
    for name, kind in KINDS.items():
        assert kind.reason and board.denial_reason(name, "x", 0) == (
            "unheard" if kind.failure_mode == "shut" else ""
        )
        board.read_record(name, {"kind": name, "rows": []}, 0, WALL)
        assert board.denial_reason(name, "x", 1_000_000) == ""
        assert bool(board.denial_reason(name, "x", 1_000_001)) is (kind.failure_mode == "shut")


@pytest.mark.parametrize("at", range(7))
@pytest.mark.parametrize("bad", [None, -1, "", [], True, 1.5])
def test_malformed_row_is_rejected(at: int, bad: Any) -> None:
    row = VERDICT.to_row()
    assert parse_verdict("tenant", row) == VERDICT
    row[at] = bad
    read = parse_verdict("tenant", row)
    assert read is None or (at == 6 and bad is True)
    assert parse_verdicts({"kind": "tenant", "rows": [VERDICT.to_row(), row]}) is None or read is not None
