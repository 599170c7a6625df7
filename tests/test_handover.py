"""What an old process learned, taken by the new one: whole and true, or not at all."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

import bitternbeam
import bitternbeam.decision.interface as api
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.handover import StateMismatchError, digest, export_state, import_state
from bitternbeam.wiring.handover import Handover
from tests.loop import parts
from tests.world import MS, SECOND, SETTINGS, World

AGREED = digest(SETTINGS, "1")


def learned() -> World:
    """Return a world whose module has learned what its switches bear, s1 under pressure."""
    world = World()
    world.offer_calls(20, 40)
    world.feed(api.ProbeAnswer("s1", 0, api.Report(utilization=0.99, free_lines=3, total_lines=50)))
    world.offer_calls(2, 40, cell=1)
    return world


def fresh(now_us: int) -> Controller:
    """Return a module of a new process that was told the list."""
    module = Controller(SETTINGS, 9)
    entries = tuple(api.SwitchEntry(f"s{cell}", cell, api.SwitchState.READY) for cell in (0, 1))
    module.handle(now_us, api.ListEvent(api.ListKind.CACHED, entries))
    return module


def test_a_new_module_goes_on_with_what_the_old_one_learned() -> None:
    world = learned()
    raw = json.loads(json.dumps(export_state(world.controller, world.now_us, AGREED)))
    module = fresh(world.now_us + 300 * MS)
    assert import_state(module, raw, world.now_us + 300 * MS, AGREED) == 2
    for name, old in world.controller.switches.items():
        new = module.switches[name]
        for key in (
            "budget",
            "largest_budget",
            "send_rate",
            "wait_us",
            "free_lines",
            "total_lines",
            "throttled_intervals",
            "slow_start_since_us",
            "suspect",
            "gap_start_us",
            "gap_phase",
        ):
            assert getattr(new, key) == getattr(old, key), key
        assert not new.unanswered  # calls are never handed over
    assert module.answered_calls == world.controller.answered_calls > 0
    assert module.answered_by_cell == world.controller.answered_by_cell
    assert module.observed_intervals == world.controller.observed_intervals > 0
    assert module.group_counts == pytest.approx(world.controller.group_counts, abs=1e-4)


def test_a_new_module_refuses_no_more_than_the_old_one_would() -> None:
    # Started from nothing beside a pressed pool, it refused a fifth of what could be sent.
    world = learned()
    raw = export_state(world.controller, world.now_us, AGREED)
    budgets = []
    for state in (raw, None):
        module = fresh(world.now_us)
        if state is not None:
            import_state(module, state, world.now_us, AGREED)
        budgets.append(sum(one.largest_budget for one in module.switches.values()))
    assert budgets[0] > 3 * max(1.0, budgets[1])


def test_one_that_was_replaced_between_the_two_starts_from_nothing() -> None:
    world = learned()
    raw = export_state(world.controller, world.now_us, AGREED)
    module = fresh(world.now_us)
    entry = api.SwitchEntry("s0", 0, api.SwitchState.READY, world.now_us - SECOND)
    module.handle(world.now_us, api.ListEvent(api.ListKind.CHANGES, (entry,)))
    assert import_state(module, raw, world.now_us, AGREED) == 1
    assert module.switches["s0"].largest_budget == 0 and module.switches["s0"].slow_start_since_us is not None
    assert module.switches["s1"].largest_budget > 0


def spoil(key: str, value: Any) -> Callable[[dict[str, Any]], None]:
    return lambda raw: raw.update({key: value})


def spoil_switch(key: str, value: Any) -> Callable[[dict[str, Any]], None]:
    return lambda raw: raw["switches"]["s1"].update({key: value})


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (spoil("format", 1), "another form"),
        (spoil("agreed", "x"), "another program version or other settings"),
        (spoil("at_us", 10**18), "from the future"),
        (spoil("at_us", 1), "s old"),
        (spoil("switches", None), "not whole"),
        (spoil("switches", {"s0": {}}), "not whole"),
        (spoil("answered", "much"), "no number"),
        (spoil("seen", [["none", True, 1]]), "not in the settings"),
        (spoil_switch("budget", -1), "out of range"),
        (spoil_switch("budget", float("nan")), "no number"),
        (spoil_switch("suspect", 1), "a flag is none"),
        (spoil_switch("asked", [["low"]]), "not whole"),
        (lambda raw: raw.pop("stood_in"), "not whole"),
    ],
)
def test_what_does_not_fit_changes_nothing(change: Callable[[dict[str, Any]], None], why: str) -> None:
    world = learned()
    raw = export_state(world.controller, world.now_us, AGREED)
    change(raw)
    module = fresh(world.now_us)
    before = {name: one.largest_budget for name, one in module.switches.items()}
    with pytest.raises(StateMismatchError, match=why):
        import_state(module, raw, world.now_us, AGREED)
    assert {name: one.largest_budget for name, one in module.switches.items()} == before
    assert module.answered_calls == 0


class Side:
    """One process's hand-over, without the process."""

    def __init__(self, folder: Path, name: str = "n1") -> None:
        self.deadlines, self.counters = parts()
        config = type("Config", (), {"name": name, "settings": SETTINGS})
        common: Any = type("Common", (), {})()
        common.config, common.deadlines, common.counters = config, self.deadlines, self.counters
        self.module = fresh(self.deadlines.now_us())
        self.hand = Handover(common, self.module, folder)


def test_a_file_goes_from_one_process_to_the_next(tmp_path: Path) -> None:
    old, new = Side(tmp_path), Side(tmp_path)
    old.module.switches["s0"].largest_budget = 7.5
    old.hand.keep()
    old.hand.stop()
    new.hand.take()
    assert new.module.switches["s0"].largest_budget == 7.5 and new.counters["handover.taken"] == 1
    other = Side(tmp_path, "another")
    other.hand.take()
    assert other.module.switches["s0"].largest_budget == 0  # its own name, its own file


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b"\xff\xfe", b"{}", b"[" * 100_000, b" " * (5 << 20)])
def test_a_file_that_is_none_of_ours_is_one_line_and_a_start_from_nothing(
    tmp_path: Path, content: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    side = Side(tmp_path)
    side.hand.path.write_bytes(content)
    side.hand.take()
    (line,) = [one.getMessage() for one in caplog.records]
    assert line.endswith("starting from nothing") and "\n" not in line
    assert side.module.switches["s0"].largest_budget == 0 and side.counters["handover.refused"] == 1


def test_without_a_folder_nothing_is_left_and_nothing_breaks(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    side = Side(tmp_path / "none")
    side.hand.take()
    side.hand.keep()
    assert not side.hand.writing and len(caplog.records) == 1


def test_the_version_is_the_projects() -> None:
    text = (Path(__file__).parents[1] / "pyproject.toml").read_text()
    assert f'version = "{bitternbeam.__version__}"' in text
