"""Limits of a small fleet of real members under faults: sends are counted in windows at the bookers."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from functools import partial
from pathlib import Path

import pytest

from bitternbeam.commands.checking import check_file
from bitternbeam.lab.called import Called
from bitternbeam.lab.limit_trial import LimitTrial
from bitternbeam.lab.loads import S
from bitternbeam.lab.processes import wait_for
from bitternbeam.lab.trials import laboratory, side_by_side

Runs = list[tuple[LimitTrial, Called]]


def limit_in_use(trial: LimitTrial, lab: Called) -> bool:
    """Tell whether much of the limit was used in the last two seconds."""
    return trial.used(lab, lab.now_us() - 2 * S, lab.now_us()) >= 0.6


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Runs]:
    """Two fleets side by side, one under a rate and one under a number held: the faults are the same."""
    trials = [LimitTrial("rate"), LimitTrial("held", 40.0)]
    folders = [tmp_path_factory.mktemp(trial.name) for trial in trials]
    with ExitStack() as running:
        found = []
        for trial, folder in zip(trials, folders, strict=True):
            found.append((trial, running.enter_context(laboratory(trial, folder, members=4, bookers=2))))
            trial.begin(found[-1][1])
        yield found
    logs = "".join(path.read_text() for folder in folders for path in folder.glob("ctl-*.log.jsonl"))
    assert "Traceback" not in logs and "Unhandled" not in logs


@pytest.mark.parametrize("fault", ["owner_killed_after_write", "cut_half_there", "engine_back"])
def test_limits_hold_during_a_fault(runs: Runs, fault: str) -> None:
    for result in side_by_side(runs, fault, lasts_s=3, after_s=5):
        assert not result["broken"], result
        # Wide, as the machine may be busy: it must be far above the safe parts, which are a fifth.
        assert result["used_after"] >= 0.5, result


def test_member_with_another_fleet_size_breaks_no_limit(runs: Runs) -> None:
    for result in side_by_side(runs, "member_resized", lasts_s=3, after_s=3):
        assert not result["broken"], result


def amount_kept_recently(trial: LimitTrial, lab: Called) -> bool:
    """Tell whether the amount that holds now was kept for four seconds, in each window of a rate too."""
    since_us = lab.now_us() - 4 * S
    over = trial.kind == "rate" and trial.last_over_us(lab, since_us) != since_us
    return not over and trial.used(lab, since_us, lab.now_us()) <= 1.2


def test_changed_amount_is_applied_by_all_and_can_be_reverted(runs: Runs) -> None:
    before = [trial.amount for trial, _lab in runs]
    for trial, lab in runs:
        trial.change(lab, trial.amount / 4)
    for trial, lab in runs:
        # What is held is released first; then it has to be so for a while, however busy the machine.
        wait_for(partial(amount_kept_recently, trial, lab), 60, "the new amount is applied")
    for (trial, lab), amount in zip(runs, before, strict=True):
        trial.change(lab, amount)
    for trial, lab in runs:
        wait_for(partial(limit_in_use, trial, lab), 60, "the limit is used again")


BAD = """[fleet]
engine = "127.0.0.1:8500"
name = "m1"
[[fleet.limit]]
name = "lines"
kind = "held"
amount = %s
"""


@pytest.mark.parametrize(
    ("amount", "message"),
    [
        ("1.5", "{}:7: fleet.limit[0].amount: of a held limit must be a whole number"),
        ("-1", "{}:7: fleet.limit[0].amount: -1: Expected `float` > 0.0"),
        ("3\nlasts_ms = 100", "{}:8: fleet.limit[0].lasts_ms: must be above four periods"),
        ("3\nlasts = 100", "{}:8: fleet.limit[0].lasts: unknown key"),
    ],
)
def test_invalid_limit_is_reported_with_line_and_key(tmp_path: Path, amount: str, message: str) -> None:
    path = tmp_path / "node.toml"
    path.write_text(BAD % amount)
    (fault,) = check_file(path, None)
    assert str(fault).startswith(message.format(path))
