"""A configuration that cannot be used: one line that names the key, at the start and on a reload."""

from __future__ import annotations

import copy
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bitternbeam.config import Config, ConfigError, read_config
from tests.loop import until
from tests.test_board import Board, boards, event
from tests.test_daemon import configuration, start

__all__ = ["boards"]
ROOT = Path(__file__).parents[1]
MISSING = object()
EXAMPLE = json.loads((ROOT / "example/config.json").read_text())
EXAMPLE["settings"]["tenants"] = [{"name": "t0", "quota_per_s": 4.5}, {"name": "t1", "quota_per_s": 1}]


def changed(where: str, value: object) -> dict[str, Any]:
    """Return the example with one value, named by its path, replaced or taken out."""
    raw: dict[str, Any] = copy.deepcopy(EXAMPLE)
    steps = [int(step) if step.isdecimal() else step for step in where.split(".")]
    holder: Any = raw
    for step in steps[:-1]:
        holder = holder[step]
    if value is MISSING:
        del holder[steps[-1]]
    else:
        holder[steps[-1]] = value
    return raw


def read(text: str, folder: Path) -> Config:
    path = folder / "config.json"
    path.write_text(text)
    return read_config({"GW_CONFIG": str(path)})


BAD = [
    ("settings", MISSING, "settings: missing"),
    ("settings", [], "'settings' has the wrong form: not an object"),
    ("settings", "{}", "'settings' has the wrong form: not an object"),
    ("known", MISSING, "known: missing"),
    ("known", [], "'known' has the wrong form: not an object"),
    ("known.rev", -1, "'known.rev' must be at least 0, not -1"),
    ("known.rev", "3", "'known.rev' has the wrong form: \"3\" is not a number"),
    ("known.notices", {}, "'known.notices' has the wrong form: {} is not an array"),
    ("board", MISSING, "board: missing"),
    ("board", 7070, "board: 7070 is not host:port"),
    ("listen", 5060, "'listen' has the wrong form: 5060 is not a string"),
    ("listen", "127.0.0.1:70000", "listen: '127.0.0.1:70000' is not host:port"),
    ("name", 3, "'name' has the wrong form: 3 is not a string"),
    ("seed", "xyz", "seed: 'xyz' is not a hexadecimal number"),
    ("limits", 5, "'limits' has the wrong form: not an object"),
    ("limits.sockets", 0, "'limits.sockets' must be above 0, not 0"),
    ("limits.sockets", "many", "'limits.sockets' has the wrong form: \"many\" is not a number"),
    ("settings.balancers", 0, "settings: 'balancers' must be above 0, not 0"),
    ("settings.balancers", 2.5, "settings: 'balancers' has the wrong form: 2.5 is not a whole number"),
    ("settings.balancers", True, "settings: 'balancers' has the wrong form: true is not a number"),
    ("settings.over_share_worth", 1.5, "settings: 'over_share_worth' must be at most 1"),
    ("settings.over_share_worth", -0.1, "settings: 'over_share_worth' must be at least 0, not -0.1"),
    ("settings.registry_mode", 1, "settings: 'registry_mode' has the wrong form: 1 is not a string"),
    ("settings.domain", MISSING, "settings: 'domain' is missing"),
    ("settings.domain.here", -2, "settings: 'domain.here' must be at least -1, not -2"),
    ("settings.domain.shape", MISSING, "settings: 'domain.shape' is missing"),
    ("settings.domain.class_cells", [[0]], "settings: 'domain.class_cells' must hold one array"),
    ("settings.domain.class_cells.1", ["x"], "settings: 'domain.class_cells[1]' has the wrong form"),
    ("settings.domain.clear_wait_us", -1, "settings: 'domain.clear_wait_us' must be at least 0, not -1"),
    ("settings.domain.resend_us", "x", "settings: 'domain.resend_us' has the wrong form"),
    ("settings.domain.says_wait", 1, "settings: 'domain.says_wait' has the wrong form: 1 is not true or"),
    ("settings.limits", MISSING, "settings: 'limits' is missing"),
    ("settings.limits.max_attempts", MISSING, "settings: 'limits.max_attempts' is missing"),
    ("settings.limits.max_attempts", 0, "settings: 'limits.max_attempts' must be above 0, not 0"),
    ("settings.limits.max_open", -5, "'settings.limits.max_open' must be above 0, not -5"),
    ("settings.limits.max_open", None, "'settings.limits.max_open' has the wrong form: null is not a num"),
    ("settings.limits.may_probe", "no", "settings: 'limits.may_probe' has the wrong form"),
    ("settings.limits.max_retry_after_us", -1, "settings: 'limits.max_retry_after_us' must be at least 0"),
    ("settings.safety.cold_from", 0, "settings: 'safety.cold_from' must be above 0, not 0"),
    ("settings.safety.cold_from", 1.1, "settings: 'safety.cold_from' must be at most 1"),
    ("settings.safety.fall_us", 0, "settings: 'safety.fall_us' must be above 0, not 0"),
    ("settings.safety.fall_multiple", -2, "settings: 'safety.fall_multiple' must be above 0, not -2"),
    ("settings.safety.warm_after_us", -1, "settings: 'safety.warm_after_us' must be at least 0, not -1"),
    ("settings.safety.warm_after_us", 1e30, "settings: 'safety.warm_after_us' must be at most 1e+15"),
    ("settings.request_classes", [], "settings: 'request_classes' must hold at least one class"),
    ("settings.request_classes", {}, "settings: 'request_classes' has the wrong form"),
    ("settings.request_classes.0", 1, "settings: 'request_classes[0]' has the wrong form: not an object"),
    ("settings.request_classes.1.name", "slot-lookup", "'request_classes[1].name': 'slot-lookup' is there"),
    ("settings.request_classes.0.name", "", "settings: 'request_classes[0].name' must not be empty"),
    ("settings.request_classes.2.aim_us", 0, "settings: 'request_classes[2].aim_us' must be above 0, not 0"),
    ("settings.request_classes.0.hard_limit_us", 0, "'request_classes[0].hard_limit_us' must be above 0"),
    ("settings.request_classes.0.hard_limit_us", MISSING, "'request_classes[0].hard_limit_us' is missing"),
    ("settings.request_classes.0.worth", -1, "settings: 'request_classes[0].worth' must be at least 0"),
    ("settings.request_classes.0.late_value", 1.01, "'request_classes[0].late_value' must be at most 1"),
    ("settings.request_classes.0.idempotency", "twice", "'request_classes[0].idempotency' must be one of"),
    ("settings.tenants.0.quota_per_s", -1, "settings: 'tenants[0].quota_per_s' must be at least 0, not -1"),
    ("settings.tenants.1.name", "t0", "settings: 'tenants[1].name': 't0' is there twice"),
    ("admin", "nowhere", "admin: 'nowhere' is not host:port"),
]


@pytest.mark.parametrize(("where", "value", "said"), BAD)
def test_each_fault_is_one_line_that_names_its_key(
    where: str, value: object, said: str, tmp_path: Path
) -> None:
    with pytest.raises(ConfigError) as caught:
        read(json.dumps(changed(where, value)), tmp_path)
    assert said in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("", "not JSON"),
        ("[1]", "not an object"),
        ("{", "not JSON"),
        ("[" * 100_000, "not JSON: nested too deeply"),
        (json.dumps(changed("settings.safety.fall_us", float("nan"))), "not JSON: NaN is not a number"),
        (json.dumps(changed("settings.safety.fall_us", float("inf"))), "not JSON: Infinity is not"),
        (
            json.dumps(changed("settings.safety.fall_us", 7)).replace('"fall_us": 7', '"fall_us": 1e999'),
            "'safety.fall_us' has the wrong form: \"inf\" is not a number",
        ),
    ],
)
def test_what_is_no_json_is_one_line(text: str, said: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError) as caught:
        read(text, tmp_path)
    assert said in str(caught.value) and "\n" not in str(caught.value)


def test_bytes_that_are_no_text_are_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(b"\xff\xfe{}")
    with pytest.raises(ConfigError, match="not JSON"):
        read_config({"GW_CONFIG": str(path)})


def leaves(value: object, path: str = "") -> Iterator[str]:
    """Name every value of the example, the objects and arrays too."""
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for name, inner in pairs:
        where = f"{path}.{name}" if path else str(name)
        yield where
        yield from leaves(inner, where)


def test_no_value_anywhere_raises_anything_else(tmp_path: Path) -> None:
    odd: list[object] = [MISSING, None, True, "x", "", "5", -1, 0, 10**400, 0.5, [], [None], {}, {"a": 1}]
    refused = 0
    for where in leaves(EXAMPLE):
        for value in odd:
            try:
                read(json.dumps(changed(where, value)), tmp_path)
            except ConfigError as error:
                refused += 1
                assert "\n" not in str(error)
    assert refused > 100


def test_the_example_is_read(tmp_path: Path) -> None:
    config = read(json.dumps(EXAMPLE), tmp_path)
    assert [one.name for one in config.settings.tenants] == ["t0", "t1"]
    assert config.settings.classes[0].cells == (0, 1) and config.limits.client_connections == 512


@pytest.mark.parametrize(
    ("where", "value"),
    [
        ("settings.safety.fall_us", 0),
        ("settings.request_classes.1.name", "slot-lookup"),
        ("settings.limits.max_open", "x"),
        ("known.rev", None),
    ],
)
def test_a_start_ends_with_one_line_and_a_status(where: str, value: object, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed(where, value)))
    with pytest.raises(ConfigError) as caught:
        read_config({"GW_CONFIG": str(path)})
    done = subprocess.run(
        [sys.executable, "-B", "-m", "bitternbeam"],
        cwd=ROOT,
        env=os.environ | {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:0"},
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert done.returncode == 2 and done.stderr.decode() == f"bitternbeam: {caught.value}\n"


def test_a_reload_with_a_bad_figure_keeps_the_old_configuration(boards: list[Board], tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    raw = configuration(event(3, "up", full=True))
    path.write_text(json.dumps(raw | {"board": boards[0].address}))
    daemon = start(path)
    assert daemon.stderr
    try:
        boards[0].requested()
        while b"listens" not in daemon.stderr.readline():
            pass
        bad = copy.deepcopy(raw) | {"board": boards[1].address}
        bad["settings"]["safety"]["fall_us"] = 0
        path.write_text(json.dumps(bad))
        daemon.send_signal(signal.SIGHUP)
        line = daemon.stderr.readline()
        assert line.endswith(
            b"SIGHUP: settings: 'safety.fall_us' must be above 0, not 0; the old configuration stands\n"
        )
        path.write_text(json.dumps(raw | {"board": boards[1].address}))
        daemon.send_signal(signal.SIGHUP)
        until(lambda: boards[1].peers)
        assert len(boards[0].peers) == len(boards[1].peers) == 1  # the bad one moved nothing
        daemon.send_signal(signal.SIGTERM)
        _, said = daemon.communicate(timeout=30)
    finally:
        daemon.kill()
        daemon.communicate()
    assert daemon.returncode == 0 and b"Traceback" not in said
