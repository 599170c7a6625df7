"""Counts of requests by class and outcome, from the start of the process.

As documented for operators (Day-to-day service, Numbers), `ok`, `shed` and `errors` count the requests
of a class that were served, refused and failed; `tries` counts attempts written completely to bookers
(one number over all classes); `active` the accepted requests that have not ended, established calls
included; `pool_size` the listed bookers; `pool_ejected` the listed bookers that are avoided.
The core increments each count at the moment of its event, so a read is always current.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

KINDS = ("ok", "shed", "errors", "tries")


@dataclass(slots=True)
class RequestCounts:
    """The counts of one core. Classes outside the settings are not counted, so clients cannot add keys."""

    classes: tuple[str, ...]
    ok: dict[str, int] = field(init=False)
    shed: dict[str, int] = field(init=False)
    errors: dict[str, int] = field(init=False)
    tries: dict[str, int] = field(init=False)

    def __post_init__(self) -> None:
        for kind in KINDS:
            setattr(self, kind, dict.fromkeys(self.classes, 0))

    def increment(self, kind: str, call_class: str) -> None:
        """Add one to kind ('ok', 'shed', 'errors' or 'tries') of a class; unknown classes are ignored."""
        counts: dict[str, int] = getattr(self, kind)
        if call_class in counts:
            counts[call_class] += 1


def sum_counts(parts: Iterable[RequestCounts]) -> dict[str, dict[str, int]]:
    """Return the sums of several cores: {kind: {class: count}}."""
    total: dict[str, dict[str, int]] = {kind: {} for kind in KINDS}
    for counts in parts:
        for kind in KINDS:
            sums = total[kind]
            for name, value in getattr(counts, kind).items():
                sums[name] = sums.get(name, 0) + value
    return total


def snapshot(
    counts: Mapping[str, Mapping[str, int]], active: int, pool_size: int, pool_ejected: int
) -> dict[str, object]:
    """Return the object that `vars` prints, with its keys in the documented order.

    `tries` is one number over all classes, as operators' scrapers expect; `tries_by_class` splits it.
    """
    shown: dict[str, object] = {kind: dict(counts.get(kind, {})) for kind in KINDS}
    by_class = dict(counts.get("tries", {}))
    shown.update(tries=sum(by_class.values()), tries_by_class=by_class)
    shown.update(active=active, pool_size=pool_size, pool_ejected=pool_ejected)
    return shown
