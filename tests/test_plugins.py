"""Plug-ins: what they may say, what they can't do, and what a bad one costs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from bitternbeam.config import ConfigError
from bitternbeam.core.calls import Attempt, Offer
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import ListKind, Outcome, SwitchEntry, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.plugins.settings import PluginSettings
from bitternbeam.plugins.wasm import WasmGate
from bitternbeam.wiring.files import read_plugin
from tests.loop import parts
from tests.world import SETTINGS

ROOT = Path(__file__).parents[1]
CLASSES = [kind.name for kind in SETTINGS.classes]
HEAD = "(param i32 i32 i32 i32)"
OBSERVE = f'(func (export "ended") {HEAD})'


def gate(tmp_path: Path, body: str, **limits: int) -> tuple[WasmGate, Counters]:
    path, counters = tmp_path / "one.wat", Counters()
    path.write_text(f"(module {body})")
    return WasmGate(PluginSettings(path, **limits), CLASSES, 2_000_000, counters), counters


def answering(code: str, more: str = "") -> str:
    return f'{more} (func (export "offered") {HEAD} (result i32) {code}) {OBSERVE}'


@pytest.mark.parametrize(
    ("code", "away_us"),
    [("i32.const -1", None), ("i32.const 0", 0), ("i32.const 700", 700_000), ("i32.const 60000", 2_000_000)],
)
def test_it_passes_a_call_or_names_a_time_within_the_settings(
    tmp_path: Path, code: str, away_us: int | None
) -> None:
    one, counters = gate(tmp_path, answering(code))
    assert one.check_call("low", 0, 1_000_000, False) == away_us and counters["plugin.offered"] == 1


def test_it_sees_the_figures_of_calls_and_of_their_ends(tmp_path: Path) -> None:
    keep = '(global $at (mut i32) (i32.const 7)) (func (export "ended") (param i32 i32 i32 i32)'
    keep += " (global.set $at (i32.add (i32.mul (local.get 1) (i32.const 100)) (local.get 3))))"
    tell = f'(func (export "offered") {HEAD} (result i32) (if (result i32) (local.get 3)'
    tell += (
        " (then (global.get $at)) (else (i32.add (i32.mul (local.get 0) (i32.const 100)) (local.get 1)))))"
    )
    one, _ = gate(tmp_path, keep + tell)
    assert one.check_call("high", 3, 1_000_000, False) == 103_000
    one.call_ended("low", Outcome.CUT, 2, 44_000)
    assert one.check_call("low", 0, 1_000_000, True) == 544_000


@pytest.mark.parametrize(
    ("code", "more"),
    [
        ("unreachable", ""),
        ("(loop br 0) i32.const 0", ""),  # it never returns: the fuel runs out
        ("(i32.load (i32.const 70000))", "(memory 1)"),  # outside its memory
        ("(i32.div_s (i32.const 1) (i32.const 0))", ""),
    ],
)
def test_one_that_traps_or_runs_out_is_disabled_and_the_call_goes_on(
    tmp_path: Path, code: str, more: str
) -> None:
    # A plug-in that hangs would stop every call; one asked again after a trap could refuse them all.
    one, counters = gate(tmp_path, answering(code, more))
    assert [one.check_call("low", 0, 1_000_000, False) for _ in range(3)] == [None] * 3
    one.call_ended("low", Outcome.SERVED, 1, 5)
    assert counters == {"plugin.disabled": 1}


def test_its_memory_does_not_grow_past_the_limit(tmp_path: Path) -> None:
    grow = answering("(memory.grow (i32.const 64))", "(memory 1)")
    assert (
        gate(tmp_path, grow, memory_bytes=128 * 1024)[0].check_call("low", 0, 1, False) is None
    )  # -1: it failed
    with pytest.raises(ConfigError, match=r"plugin\.file"):
        gate(tmp_path, answering("i32.const 0", "(memory 64)"), memory_bytes=128 * 1024)


@pytest.mark.parametrize(
    "body",
    [
        "(nonsense",
        OBSERVE,
        f'(func (export "offered") {HEAD}) {OBSERVE}',
        '(import "a" "b" (func)) ' + answering("i32.const 0"),
        answering("i32.const 0", "(func $s unreachable) (start $s)"),
    ],
)
def test_one_that_can_not_be_used_is_a_bad_configuration(tmp_path: Path, body: str) -> None:
    with pytest.raises(ConfigError, match=r"^plugin\.file: .*one\.wat"):
        gate(tmp_path, body)


class Front:
    """Notes answers."""

    def __init__(self) -> None:
        self.said: list[tuple[object, ...]] = []

    def __getattr__(self, name: str) -> object:
        return lambda *more, **named: self.said.append((name, *more))


class Back:
    """Takes set-ups and says nothing."""

    def set_up(self, attempt: Attempt) -> None:
        pass

    def probe(self, booker: str) -> None:
        raise AssertionError(booker)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return True

    def release(self, attempt: Attempt) -> None:
        pass


def test_the_example_refuses_before_the_first_set_up_and_the_answer_is_one() -> None:
    settings = read_plugin(ROOT / "deploy/plugins.toml", SETTINGS)
    assert settings is None  # off on the platform
    deadlines, counters = parts()
    core = CallControl(Controller(SETTINGS, 1), SETTINGS, deadlines, Limits(), counters)
    front = Front()
    core.attach(Back())
    core.update_bookers(ListKind.CACHED, [SwitchEntry("s0", 0, SwitchState.READY)])
    core.admission_filter = WasmGate(
        PluginSettings(ROOT / "example/plugin.wat"), CLASSES, 2_000_000, counters
    )
    now_us = deadlines.now_us()
    for number in range(6):
        offer = Offer(f"c{number}", "low", 0, 3_000_000, now_us, f"n{number}", "", ref=number, redial=True)
        core.offer(front, offer)  # type: ignore[arg-type]
    assert front.said == [("refused", 2, 1_000_000), ("refused", 5, 1_000_000)]
    assert counters["sends"] == 4 and counters["calls.refused_by_plugin"] == 2


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[plugin]\nenabled = 1\n", "plugin.enabled"),
        ("[plugin]\nenabled = true\n", "plugin.file"),
        ('[plugin]\nenabled = true\nfile = "a.wat"\nfuel = 0\n', "plugin.fuel"),
        ('[plugin]\nenabled = true\nfile = "a.wat"\nmemory_kb = "x"\n', "plugin.memory_kb"),
        ("[plugin]\nfule = 3\n", "plugin.fule"),
        ("plugin = 3\n", "plugin"),
        ("[plugin", ""),
    ],
)
def test_a_bad_file_names_its_key(tmp_path: Path, text: str, key: str) -> None:
    (tmp_path / "plugins.toml").write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_plugin(tmp_path / "plugins.toml", SETTINGS)
    assert str(caught.value).startswith(f"{key}:" if key else str(tmp_path)) and "\n" not in str(caught.value)


def test_the_runtime_is_loaded_only_when_a_plug_in_is_configured() -> None:
    code = "import sys, bitternbeam.wiring.run; sys.exit('wasmtime' in sys.modules)"
    assert subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, check=False).returncode == 0
