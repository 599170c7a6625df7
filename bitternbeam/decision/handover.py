"""What a controller has learned of its switches, written out by an old process and taken by the new one.

A module that starts from nothing finds its budgets in dozens of intervals: through an upgrade it refuses what
the old one could have sent, and sends where the old one had learned not to. Only what was learned is handed
over, never calls: budgets, rates, waits, coldness and suspicion of each switch, and the mix of traffic.

Times are the microseconds of the clock that both processes share (Unix time). Whatever does not fit is
refused as a whole: half a state is worse than none.
"""

from __future__ import annotations

import hashlib
import math
from typing import Any

from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import Settings
from bitternbeam.decision.state import Group, Switch

FORMAT = 3
MAX_AGE_US = 5_000_000  # what was written longer ago is no longer true
MAX_CLOCK_SKEW_US = 100_000

NUMBER_KEYS = ("budget", "largest", "rate", "wait_us", "errors", "phase")  # numbers, 0 or more
TIME_KEYS = ("started_us", "wait_at_us", "suspect_since_us", "paced_us")
OPTIONAL_KEYS = ("cold_since_us", "base_us", "free", "size")  # numbers or None
RATE_KEYS = ("answered", "arrived", "weight")  # of the gateway
FLAG_KEYS = ("suspect", "may_be_dead", "says_high")

# Attributes of Switch, by their stored keys where these differ.
ATTRIBUTES = {
    "largest": "largest_budget",
    "rate": "send_rate",
    "errors": "error_share",
    "phase": "gap_phase",
    "paced_us": "gap_start_us",
    "cold_since_us": "slow_start_since_us",
    "base_us": "min_setup_us",
    "free": "free_lines",
    "size": "total_lines",
    "says_high": "reports_overload",
    "asked": "demand",
    "pressed": "throttled_intervals",
}


def digest(settings: Settings, program: str) -> str:
    """Return what both processes must agree on: the settings and the program's version."""
    return hashlib.blake2b(f"{program}\n{settings!r}".encode(), digest_size=16).hexdigest()


def _groups(counts: dict[Group, float]) -> list[list[Any]]:
    return [[name, within, round(count, 4)] for (name, within), count in counts.items() if count]


def export_state(controller: Controller, now_us: int, agreed: str) -> dict[str, Any]:
    """Return what a module has learned, as JSON carries it."""
    switches = {}
    for switch in controller.switches.values():
        row = {
            key: getattr(switch, ATTRIBUTES.get(key, key))
            for key in (*NUMBER_KEYS, *TIME_KEYS, *OPTIONAL_KEYS, *FLAG_KEYS, "cell", "pressed")
        }
        switches[switch.name] = row | {"asked": _groups(switch.demand)}
    return {
        "format": FORMAT,
        "agreed": agreed,
        "at_us": now_us,
        "answered": controller.answered_calls,
        "arrived": controller.arrived_calls,
        "weight": controller.observed_intervals,
        "stood_in": [[cell, count] for cell, count in controller.answered_by_cell.items()],
        "seen": _groups(controller.group_counts),
        "switches": switches,
    }


class StateMismatchError(ValueError):
    """A state that can't be taken; the text says why, on one line."""


def _number(value: Any, least: float = 0.0) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise StateMismatchError("a figure is no number")
    if value < least:
        raise StateMismatchError("a figure is out of range")
    return value


def _read_groups(rows: Any, kinds: Any) -> dict[Group, float]:
    found = {}
    for name, within, count in rows:
        if name not in kinds or not isinstance(within, bool):
            raise StateMismatchError("a class is not in the settings")
        found[(name, within)] = float(_number(count))
    return found


def _read_switch(raw: dict[str, Any], into: Switch, kinds: Any) -> dict[str, Any]:
    """Read one switch's row; returns what to set, {} where it is not the same process any more."""
    if raw["cell"] != into.cell or raw["started_us"] != into.started_us:
        return {}  # replaced between the two: what was learned is of another one
    found: dict[str, Any] = {key: float(_number(raw[key])) for key in NUMBER_KEYS}
    found |= {key: int(_number(raw[key], -math.inf)) for key in TIME_KEYS}
    found |= {key: None if raw[key] is None else _number(raw[key], -math.inf) for key in OPTIONAL_KEYS}
    for key in FLAG_KEYS:
        if not isinstance(raw[key], bool):
            raise StateMismatchError("a flag is none")
        found[key] = raw[key]
    found["pressed"] = int(_number(raw["pressed"]))
    found["asked"] = _read_groups(raw["asked"], kinds)
    return found


def import_state(module: Controller, raw: Any, now_us: int, agreed: str) -> int:
    """Let a module go on from a state; returns of how many switches. A MisfitError changes nothing."""
    try:
        if raw["format"] != FORMAT:
            raise StateMismatchError("it is of another form")
        if raw["agreed"] != agreed:
            raise StateMismatchError("it is of another program version or other settings")
        at_us = int(_number(raw["at_us"]))
        if at_us > now_us + MAX_CLOCK_SKEW_US:
            raise StateMismatchError("it is from the future")
        if now_us - at_us > MAX_AGE_US:
            raise StateMismatchError(f"it is {(now_us - at_us) / 1e6:.1f} s old")
        rates = {key: float(_number(raw[key])) for key in RATE_KEYS}
        stood_in = {int(cell): int(_number(count)) for cell, count in raw["stood_in"]}
        seen = _read_groups(raw["seen"], module.classes_by_name)
        rows = {
            one.name: _read_switch(raw["switches"][one.name], one, module.classes_by_name)
            for one in module.switches.values()
            if one.name in raw["switches"]
        }
    except StateMismatchError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StateMismatchError(f"it is not whole ({type(error).__name__})") from None
    # Danger: what was seen without the time it was seen in would count as one interval's calls.
    module.answered_calls, module.arrived_calls, module.observed_intervals = (rates[key] for key in RATE_KEYS)
    module.answered_by_cell = {**module.answered_by_cell, **stood_in}
    module.group_counts.update(seen)
    restored = 0
    for name, row in rows.items():
        switch = module.switches[name]
        for key, value in row.items():
            if key == "asked":
                switch.demand.update(value)
            else:
                setattr(switch, ATTRIBUTES.get(key, key), value)
        if row:
            restored += 1
            module.active_switches[name] = switch
    return restored
