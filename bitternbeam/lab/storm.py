"""The laboratory of clients that all come back at once.

Beside the returns goes an even stream of other calls; the bookers serve a tenth more than both together. The
members' clocks differ. What is played in it, and how it is judged: storms.py.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from bitternbeam.fleet.limits.bound import rate_excess
from bitternbeam.fleet.limits.grants import parse_grants
from bitternbeam.fleet.limits.records import work_name
from bitternbeam.fleet.limits.terms import Limit
from bitternbeam.fleet.returns.admission import MAX_BUCKET_FACTOR, MIN_BUCKET_TOKENS
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.window import PACED, AdmissionWindow, parse_window
from bitternbeam.lab.called import Called
from bitternbeam.lab.loads import WAYS_US, S
from bitternbeam.lab.processes import LabError
from bitternbeam.lab.terms import Terms

PERIOD_MS = 500
BACK = "back"  # class of the returns
AWAY_MS = 30_000
BOOKERS = 4
SAFE = 0.2  # of the budget
WINDOW_US = 3 * S  # over which the hard bound is judged
EVEN = 0.05  # of an even share: members' parts differ by less, but for whole sends
APART_MS = 200  # between the members' clocks
PACINGS = {"returns": "told", "none": "told", "jitter": "jitter", "bucket": "least"}  # and what clients do


class Storm(Called):
    """A fleet that clients come back to; `pacing`: what meets them, all but "returns" to compare with."""

    back_class = BACK

    def __init__(self, folder: Path, *, members: int, budget: float, other: float, pacing: str) -> None:
        terms = Terms()
        self.budget, self.other, self.how = budget, other, PACINGS[pacing]
        # Just long enough to outlive a change of owners.
        lasts_ms = terms.ttl_ms + terms.lock_delay_ms + 4 * PERIOD_MS
        # A plain token bucket: all of it handed out as safe parts, evenly and for good.
        self.limit = Limit(BACK, "rate", budget, 1.0 if pacing == "bucket" else SAFE, members, lasts_ms)
        toml = (
            f'[[fleet.limit]]\nname = "{BACK}"\nkind = "rate"\namount = {budget}\nsafe = {self.limit.safe}\n'
            f"most = {members}\nlasts_ms = {lasts_ms}\n"
        )
        if pacing == "returns":
            toml += f'[fleet.returns]\nlimit = "{BACK}"\nidentity = "number"\nclasses = ["{BACK}"]\n'
        elif pacing == "bucket":
            toml += f'classes = ["{BACK}"]\n'
        super().__init__(
            folder, processes=members, bookers=BOOKERS, rate=1.1 * (budget + other) / BOOKERS, terms=terms,
            fleet={"bounds": False, "period_ms": PERIOD_MS},
            toml=toml if pacing in ("returns", "bucket") else "",
        )  # fmt: skip
        self.paces = pacing == "returns"
        self.apart_ms = APART_MS
        self.resized = {f"most = {members}": f"most = {2 * members}"}
        self.settings = ReconnectSettings(cap_ms=AWAY_MS, period_ms=PERIOD_MS)
        self.records: list[tuple[int, AdmissionWindow]] = []  # as they came, each with when it was seen

    def platform(self) -> dict[str, Any]:
        """Return settings with a class for returns too, and with waits that callers heed."""
        found = super().platform()
        settings = found["settings"]
        (kind,) = settings["request_classes"]
        settings["request_classes"] = [kind, kind | {"name": BACK}]
        domain = settings["domain"]
        settings["domain"] |= {key: domain[key] * 2 for key in ("class_cells", "holding_us", "widths")}
        settings["limits"] |= {"retry_after": True, "max_retry_after_us": AWAY_MS * 1000}
        return found

    def enter(self) -> None:
        """Begin the other calls."""
        super().enter()
        self.call(self.other)

    def returns(self, number: int, heed: float, within_ms: int = 1_000) -> None:
        """Let clients come back."""
        self.order(self.callers, f"clients {number} {heed} {within_ms} {self.how}")

    def look(self) -> AdmissionWindow | None:
        """Return the epoch that the engine holds now, and keep it for the judge."""
        try:
            epoch = parse_window(self.record("returns"))
        except (LabError, OSError, ValueError, KeyError, TypeError):
            return None  # the engine is at fault just now
        if epoch is not None and (not self.records or self.records[-1][1] != epoch):
            self.records.append((self.now_us(), epoch))
        return epoch

    def paced(self) -> bool:
        """Whether slots are told."""
        epoch = self.look()
        return epoch is not None and epoch.phase == PACED and epoch.is_open(int(time.time() * 1000))

    def even(self) -> bool:
        """Whether every member has as much of the budget as any other: nothing is left of a fault before."""
        try:
            grants = parse_grants(self.record(work_name(self.limit.name)))
        except (LabError, OSError, ValueError, KeyError, TypeError):
            return False
        if grants is None or not grants.rows.keys() >= set(self.names):
            return False
        extras = [grants.rows[name].extra for name in self.names]
        # Danger: parts are whole sends, so that even ones differ by one; it waited for ever.
        return max(extras) - min(extras) <= 1 + EVEN * self.budget / len(self.names)

    def watch(self, seconds: float) -> None:
        """Let time go by, with an eye on the epoch."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.look()
            time.sleep(0.2)

    def may_window(self, safe: float = 1.0) -> float:
        """Return the most returns in any such window: the limit's bound, and what members keep ready.

        `safe`: the share of the budget that members have left, as when they are all cut off.
        """
        part = safe * self.budget
        members = len(self.names)
        over = rate_excess(self.limit, members, WINDOW_US, part, delay_spread_us=WAYS_US)
        purses = MAX_BUCKET_FACTOR * (part * self.settings.purse_ms / 1000 + members * MIN_BUCKET_TOKENS)
        return part * WINDOW_US / S + over + purses
