"""Counts of requests by class and outcome, from the start of the process.

Operators' page (Day-to-day service, Numbers): for each class, `ok` the requests served, `shed` those
refused, `errors` those failed; `tries` the attempts written whole to bookers (one number over all
classes); `active` the requests taken and not yet ended, calls that stand included; `pool_size` the
listed bookers; `pool_ejected` those listed that are avoided.
The counts are bumped by the core at the moment of each event, so a read is never older than the read.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

KINDS = ("ok", "shed", "errors", "tries")


@dataclass(slots=True)
class RequestCounts:
    """The counts of one core; classes outside the settings are not counted, so no caller adds a key."""

    classes: tuple[str, ...]
    ok: dict[str, int] = field(init=False)
    shed: dict[str, int] = field(init=False)
    errors: dict[str, int] = field(init=False)
    tries: dict[str, int] = field(init=False)

    def __post_init__(self) -> None:
        for kind in KINDS:
            setattr(self, kind, dict.fromkeys(self.classes, 0))

    def increment(self, kind: str, call_class: str) -> None:
        """Add one to kind ('ok', 'shed', 'errors' or 'tries') of a class; an unknown class is passed over."""
        counts: dict[str, int] = getattr(self, kind)
        if call_class in counts:
            counts[call_class] += 1


def sum_counts(parts: Iterable[RequestCounts]) -> dict[str, dict[str, int]]:
    """Return the counts of several cores added up: {kind: {class: count}}."""
    total: dict[str, dict[str, int]] = {kind: {} for kind in KINDS}
    for figures in parts:
        for kind in KINDS:
            into = total[kind]
            for name, value in getattr(figures, kind).items():
                into[name] = into.get(name, 0) + value
    return total


def snapshot(
    counts: Mapping[str, Mapping[str, int]], active: int, pool_size: int, pool_ejected: int
) -> dict[str, object]:
    """Return the object that `vars` prints, with its keys in the operators' order.

    `tries` is one number over all classes, as the operators' scraper reads it; `tries_by_class` splits it.
    """
    shown: dict[str, object] = {kind: dict(counts.get(kind, {})) for kind in KINDS}
    by_class = dict(counts.get("tries", {}))
    shown.update(tries=sum(by_class.values()), tries_by_class=by_class)
    shown.update(active=active, pool_size=pool_size, pool_ejected=pool_ejected)
    return shown
