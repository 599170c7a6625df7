"""What the fleet's limits and verdicts keep, fault by fault, as one table: each fault falls twice.

Once over a limit under two or three times its load, where a quarter of the members is asked for five times as
much as each other one; once around verdicts. Sends are counted at the bookers, verdicts by what each
member's log says.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bitternbeam.lab.called import Called
from bitternbeam.lab.judging import quantile
from bitternbeam.lab.limit_trial import LimitTrial
from bitternbeam.lab.owners import requests_per_process_s
from bitternbeam.lab.timeline import merge
from bitternbeam.lab.trials import laboratory, one_fault
from bitternbeam.lab.verdict_trial import VerdictTrial

SKEW = 5.0
RATE, HELD = 20.0, 4.0  # of the limit, for each member
CALLS = 4.0  # a second and member, around verdicts
PERIOD_MS = 1_000


def skewed(members: int) -> tuple[float, ...]:
    """Return the weights of the members for the callers."""
    return (SKEW,) * max(1, members // 4)


def changed_ms(trial: LimitTrial, lab: Called, after_s: float) -> int:
    """Halve the amount at all members; returns within what time no window had more, itself included."""
    at_us = trial.change(lab, trial.amount / 2)
    time.sleep(after_s)
    return (trial.last_over_us(lab, at_us) - at_us) // 1000


def limits(
    folder: Path,
    *,
    kind: str,
    members: int,
    bookers: int,
    faults: Sequence[str],
    lasts_s: float,
    after_s: float,
) -> dict[str, Any]:
    """Return the figures of each fault, and the worst of all."""
    amount = (RATE if kind == "rate" else HELD) * members
    trial = LimitTrial(kind, amount, skewed(members), PERIOD_MS)
    rows: dict[str, dict[str, Any]] = {}
    with laboratory(trial, folder / "limits", members=members, bookers=bookers) as lab:
        trial.begin(lab)
        requests = requests_per_process_s(lab)
        for fault in faults:
            told = one_fault(trial, lab, fault, lasts_s=lasts_s, after_s=after_s)
            rows[fault] = {
                "over_limit": told["over"],
                "over_limit_sure": told["over_sure"],  # in windows shorter by `ways_ms`
                "ways_ms": told["ways_ms"],
                "over_limit_10s": told["over_long"],
                "bound": told["bound_over"],
                "use_share": told["used_hurt"],
                "use_share_after": told["used_after"],
                "broken": told["broken"],
            }
        lowered_ms = changed_ms(trial, lab, after_s) if kind == "rate" else None
        offset_us = lab.wall_less_monotonic_us
    merge(folder / "limits", offset_us)
    verdicts = VerdictTrial(max(60.0, CALLS * members), period_ms=PERIOD_MS, delay_ms=500)
    whole: list[int] = []
    with laboratory(verdicts, folder / "verdicts", members=members, bookers=max(3, bookers)) as lab:
        verdicts.begin(lab)
        for fault in faults:
            told = verdicts.play(lab, fault)
            row = rows[fault]
            row |= {key: told[key] for key in ("stale_ms_max", "stale_bound_ms", "let_through", "held_on")}
            row["broken"] += told["broken"]
            whole += told["heard_ms"]
        offset_us = lab.wall_less_monotonic_us
    merge(folder / "verdicts", offset_us)
    calm = rows.get("none", {})
    return {
        "trial": trial.name,
        "members": members,
        "bookers": bookers,
        "limit": amount,
        "lowered_ms": lowered_ms,
        "over_limit_max": max(row["over_limit"] for row in rows.values()),
        "bound_max": max(row["bound"] for row in rows.values()),
        "use_share": calm.get("use_share"),
        "stale_ms_max": max(row["stale_ms_max"] for row in rows.values()),
        "stale_ms_p99": quantile(whole, 0.99),
        "stale_bound_ms": max(row["stale_bound_ms"] for row in rows.values()),
        "broken": sum(row["broken"] for row in rows.values()),
        "engine_requests_per_member_s": round(requests, 3),
        "faults": [{"fault": name} | row for name, row in rows.items()],
    }
