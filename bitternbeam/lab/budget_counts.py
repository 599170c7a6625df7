"""What each tenant holds at each booker, counted from the callers' and the bookers' logs. Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Mapping
from typing import Any

Pair = tuple[str, str]  # tenant, booker
ENDS = ("full", "in_vain", "over")


class Counts:
    """The run so far: after each event at a booker, what is held there by (tenant, booker).

    whose: by a called number. Times are microseconds of the logs.
    """

    def __init__(
        self,
        callers: Iterable[Mapping[str, Any]],
        bookers: Iterable[Mapping[str, Any]],
        whose: Callable[[str], str],
    ) -> None:
        tenants: dict[str, str] = {}
        self.asked: dict[str, list[int]] = {}  # by tenant: when its calls came
        for line in callers:
            if line["uid"] not in tenants:
                name = tenants[line["uid"]] = whose(str(line["number"]))
                self.asked.setdefault(name, []).append(int(line["at_us"]))
        there: dict[tuple[str, str], int] = {}  # by booker and call: since when
        held: dict[Pair, int] = {}
        self.at_us: list[int] = []
        self.held: list[dict[Pair, int]] = []
        self.came: list[tuple[int, str, str]] = []  # when, tenant, booker
        self.took: list[tuple[int, str, str, int]] = []  # when it ended and how, booker, how long it was held
        for line in sorted(bookers, key=lambda one: int(one["at_us"])):
            one, at_us = (line["booker"], line["uid"]), int(line["at_us"])
            pair = (tenants.get(line["uid"], ""), line["booker"])
            if line["event"] == "arrived" and one not in there:
                there[one] = at_us
                self.came.append((at_us, *pair))
                held = held | {pair: held.get(pair, 0) + 1}
            elif line["event"] in ENDS and one in there:
                self.took.append((at_us, line["event"], line["booker"], at_us - there.pop(one)))
                held = held | {pair: held[pair] - 1}
            self.at_us.append(at_us)
            self.held.append(held)

    def now(self, tenant: str = "") -> int:
        """Return what is held at last, of one tenant or all."""
        return sum_of(self.held[-1], tenant) if self.held else 0

    def most(self, from_us: int, to_us: int, *, tenant: str = "", booker: str = "") -> int:
        """Return the most that was held at once in [from, to), what stood before included."""
        first = max(0, bisect_left(self.at_us, from_us) - 1)
        last = bisect_left(self.at_us, to_us)
        return max((sum_of(one, tenant, booker) for one in self.held[first:last]), default=0)

    def mean(self, from_us: int, to_us: int, names: Iterable[str]) -> dict[str, float]:
        """Return how many each tenant held, over a time."""
        area = dict.fromkeys(names, 0.0)
        at = bisect_right(self.at_us, from_us) - 1
        now_us = from_us
        while now_us < to_us:
            until_us = min(to_us, self.at_us[at + 1]) if at + 1 < len(self.at_us) else to_us
            held = self.held[at] if at >= 0 else {}
            for name in area:
                area[name] += sum_of(held, name) * (until_us - now_us)
            now_us, at = until_us, at + 1
        return {name: one / max(1, to_us - from_us) for name, one in area.items()}

    def reached(self, tenant: str, amount: int, from_us: int) -> int | None:
        """Return when a tenant held so much first, from a time on; None: never."""
        first = bisect_left(self.at_us, from_us)
        for at in range(max(0, first - 1), len(self.at_us)):
            if sum_of(self.held[at], tenant) >= amount:
                return max(from_us, self.at_us[at])
        return None

    def wanted(self, tenant: str, amount: int, from_us: int) -> int | None:
        """Return when so many of a tenant's calls had come since a time; None: not yet."""
        times = self.asked.get(tenant, [])
        at = bisect_left(times, from_us) + amount - 1
        return times[at] if at < len(times) else None

    def arrivals(self, from_us: int, to_us: int, tenant: str = "", booker: str = "") -> int:
        """Return how many set-ups came to bookers in a while, of a tenant or at a booker."""
        return sum(
            from_us <= at_us < to_us and tenant in ("", name) and booker in ("", place)
            for at_us, name, place in self.came
        )

    def shorter(self, booker: str, from_us: int, to_us: int, least_us: int) -> int:
        """Return how many calls that stood at a booker ended in a while before they had lasted so long."""
        return sum(
            event == "over" and place == booker and from_us <= at_us < to_us and took_us < least_us
            for at_us, event, place, took_us in self.took
        )


def sum_of(held: Mapping[Pair, int], tenant: str = "", booker: str = "") -> int:
    """Return what is held of a tenant or at a booker."""
    return sum(much for (name, place), much in held.items() if tenant in ("", name) and booker in ("", place))
