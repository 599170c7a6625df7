"""Verdicts of a small fleet of real members under faults, checked at the bookers and the callers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bitternbeam.lab.called import Called
from bitternbeam.lab.trials import laboratory
from bitternbeam.lab.verdict_trial import VerdictTrial

TRIAL = VerdictTrial()


@pytest.fixture(scope="module")
def lab(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Called]:
    folder = tmp_path_factory.mktemp("verdicts")
    with laboratory(TRIAL, folder, members=4, bookers=3) as one:
        TRIAL.begin(one)
        yield one
    said = "".join(path.read_text() for path in folder.glob("ctl-*.log.jsonl"))
    assert "Traceback" not in said and "Unhandled" not in said


@pytest.mark.parametrize("fault", ["owner_killed", "cut_half_there", "engine_back"])
def test_a_verdict_holds_through_and_ends_after(lab: Called, fault: str) -> None:
    told = TRIAL.play(lab, fault)
    assert not told["broken"], told
