"""Use as a library: plain errors, the README's example, the size limits, the deploy file."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision.choice import Controller
from tests.world import SETTINGS, World

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    "change",
    [
        {"gateways": 0},
        {"max_attempts": 0},
        {"cold_from": 0.0},
        {"release_wait_us": -1},
        {"classes": ()},
        {"classes": (SETTINGS.classes[0], SETTINGS.classes[0])},
        {"classes": (api.CallClass("x", 0, 1, 1.0),)},
        {"tenants": (api.Tenant("t", -1.0),)},
    ],
)
def test_bad_settings_raise(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="settings: "):
        replace(SETTINGS, **change)  # type: ignore[arg-type]


def test_a_clock_that_runs_backwards_raises() -> None:
    world = World()
    with pytest.raises(ValueError, match="backwards"):
        world.controller.handle(world.now_us - 1, api.TimerDue(0))


def test_an_unknown_class_raises() -> None:
    with pytest.raises(ValueError, match="'odd'"):
        World().call(kind="odd")


def test_the_readmes_example_runs_as_printed() -> None:
    blocks = re.findall(
        r"```python\n(.*?)```\s+prints\s+```text\n(.*?)```", (ROOT / "README.md").read_text(), re.S
    )
    assert len(blocks) == 1
    code, printed = blocks[0]
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == printed


def policy() -> list[Path]:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return [ROOT / name for name in deploy["policy"]]


def test_the_module_keeps_its_size_and_every_file_of_it_is_named() -> None:
    lines = [line for path in policy() for line in path.read_text().splitlines() if line.strip()]
    assert len(lines) <= 490
    assert max(map(len, lines)) <= 110
    choice = ROOT / "bitternbeam" / "decision" / "choice.py"
    assert "bitternbeam/decision/interface.py" in choice.read_text().splitlines()[0]
    records = {"__init__.py", "interface.py", "state.py", "handover.py"}
    besides = {choice.with_name(name) for name in records | {"probing.py"}}
    assert sorted(policy()) == sorted(set(choice.parent.glob("*.py")) - besides)


def test_the_core_reads_no_clock_and_does_no_input_or_output() -> None:
    modules = set()
    for path in (*policy(), ROOT / "bitternbeam" / "decision" / "probing.py"):
        modules |= set(re.findall(r"^ *(?:import|from) ([\w.]+)", path.read_text(), re.M))
    outside = {one for one in modules if not one.startswith("bitternbeam.decision")}
    assert outside <= {"__future__", "collections", "collections.abc", "random", "typing"}


def test_the_deploy_file_builds_and_answers_rounds() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for _ in range(2):  # safe to repeat
        subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    rounds = (ROOT / "tests" / "rounds.txt").read_text()
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, input=rounds, capture_output=True, text=True, check=True
    )
    lines = done.stdout.splitlines()
    assert [line for line in lines if line.startswith("READY")] == [f"READY seq={n}" for n in range(1, 5)]
    assert sum(line.startswith("CALL_OUT who=gateway/3 corr=00000000000000a1") for line in lines) == 1
    assert done.stderr == ""


def test_a_controller_is_its_own() -> None:
    first, second = Controller(SETTINGS, 1), Controller(SETTINGS, 1)
    first.handle(5, api.ListEvent(api.ListKind.CACHED, (api.SwitchEntry("s0", 0, api.SwitchState.READY),)))
    assert not second.switches
