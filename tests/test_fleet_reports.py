"""Reading the members' reports: in slices, each independent of the others."""

from __future__ import annotations

import base64
import json
from typing import Any

from twisted.internet.defer import succeed

from bitternbeam.configuration.fleet import Fleet
from bitternbeam.counters import Counters
from bitternbeam.net.coordination import Reply
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.extension import Extension
from bitternbeam.wiring.fleet.reports import SLICE, Reports

NOW_US = 10_000_000_000


class Leading(Extension):
    """An extension that leads and records the reports it receives."""

    name = "budgets"

    def __init__(self) -> None:
        self.parts: dict[str, Any] = {}

    def leads(self) -> bool:
        return True

    def heard(self, parts: Any, now_us: int) -> None:
        self.parts = parts


def entry(name: str, text: str) -> dict[str, Any]:
    value = base64.b64encode(text.encode()).decode()
    return {"Key": f"bitternbeam/fleet-report/{name}", "Value": value, "ModifyIndex": 7}


def test_reports_are_read_in_slices_and_a_bad_one_affects_no_other() -> None:
    part = {"at_ms": NOW_US // 1000, "budgets": {"filling": "x" * (SLICE // 3)}}
    body = [entry(f"m{one}", json.dumps(part)) for one in range(20)]
    body[5] = entry("m5", "{")
    body[6]["Value"] = 3
    body[7] = entry("m7", json.dumps(part | {"at_ms": 1}))
    later: list[Any] = []
    clock = {"now_us": lambda _s: NOW_US, "after": lambda _s, _w, due: later.append(due)}
    deadlines: Any = type("Later", (), clock)()
    api: Any = type("Api", (), {"kv_watch": lambda _s, *_a, **_k: succeed(Reply(200, 7, body))})()
    counters, leading = Counters(), Leading()
    bench = Bench(None, deadlines, counters, Fleet(name="m1"), None, api, None)  # type: ignore[arg-type]
    reports = Reports(bench, [leading])
    reports.middle -= 1
    reports.tick(NOW_US)
    rounds = 1
    while later:
        assert reports.reading and not leading.parts
        later.pop()()
        rounds += 1
    assert rounds >= 5 and not reports.reading
    assert leading.parts.keys() == {f"m{one}" for one in range(20)} - {"m5", "m6", "m7"}
    assert counters["fleet.reports_malformed"] == 2
