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
    with laboratory(TRIAL, folder, members=4, bookers=3) as running_lab:
        TRIAL.begin(running_lab)
        yield running_lab
    logs = "".join(path.read_text() for path in folder.glob("ctl-*.log.jsonl"))
    assert "Traceback" not in logs and "Unhandled" not in logs


@pytest.mark.parametrize("fault", ["owner_killed", "cut_half_there", "engine_back"])
def test_verdict_holds_during_a_fault_and_expires(lab: Called, fault: str) -> None:
    result = TRIAL.play(lab, fault)
    assert not result["broken"], result
