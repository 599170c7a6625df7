"""A limit of the fleet as the settings tell it, and the times that its grants go by.

A limit is hard. Of `amount`, the share `safe` is kept back as safe parts, one for each of `most` members:
what a member may always use, heard or not. The rest is handed out by the limit's owner as extras that lapse.
Kinds: "rate" (`amount` in any second) and "held" (`amount` at once; what is taken returns only with its
release).
Settings are in milliseconds, the rest in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bitternbeam.fleet.lease import DRIFT_PPM

KINDS = ("rate", "held")
SCOPES = ("bookers", "classes", "tenants", "callers")
MAX_AMOUNT = 1e9
MAX_NAME_LENGTH = 64
RATE_WINDOW_US = 1_000_000  # a rate is kept in any window of so long, at the receivers
SEND_MARGIN_US = 10_000  # a send stands longer by this: for clocks, and ways that take unlike times
SEND_LIFETIME_US = RATE_WINDOW_US + SEND_MARGIN_US
BURST_SPAN_US = 100_000  # in so long a member sends no more than a quarter of its part, rounded up


@dataclass(frozen=True, slots=True)
class Limit:
    """One `[[fleet.limit]]` table; an empty scope is met by every call."""

    name: str
    kind: str
    amount: float
    safe: float = 0.05
    most: int = 64
    lasts_ms: int = 20_000
    hold_most_ms: int = 3_600_000  # held: no taking lasts longer
    bookers: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()

    @property
    def safe_part(self) -> float:
        """Return what one member may use with no live grant."""
        return self.amount * self.safe / self.most

    @property
    def total_extras(self) -> float:
        """Return what is handed out beyond the safe parts."""
        return self.amount - self.safe_part * self.most

    @property
    def uses_safe_part_beside_grant(self) -> bool:
        """Whether safe parts under one are used with a grant heard too: there is little else to use."""
        return self.safe > 0.5

    @property
    def grant_duration_us(self) -> int:
        """Return how long a grant lives."""
        return self.lasts_ms * 1000

    @property
    def max_use_us(self) -> int:
        """Return how long something taken under a grant that has lapsed may stay; a send of a rate stands."""
        return self.hold_most_ms * 1000 if self.kind == "held" else SEND_LIFETIME_US

    def applies_to(self, booker: str, call_class: str, tenant: str, client: str) -> bool:
        """Whether the limit is on such a call."""
        return all(
            not scope or told in scope
            for scope, told in (
                (self.bookers, booker), (self.classes, call_class),
                (self.tenants, tenant), (self.callers, client),
            )
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class LimitTimes:
    """The fleet's times: between two turns; the longest an owner acts after losing its lock (TTL)."""

    period_us: int = 1_000_000
    owner_overlap_us: int = 10_000_000


def clock_drift_us(span_us: int) -> int:
    """Return by how much two clocks may differ over a span."""
    return span_us * DRIFT_PPM // 1_000_000 + 1


def trusted_span_us(span_us: int) -> int:
    """Return for how long a member trusts a grant of that span, by its own clock."""
    return span_us - clock_drift_us(span_us)


def check_limits(
    limits: Sequence[Limit], period_ms: int = 1000, ttl_ms: int = 10_000
) -> list[tuple[int, str, str]]:
    """Return what cannot work as (index of the table, key, what is wrong); empty when all is well."""
    found: list[tuple[int, str, str]] = []
    names: set[str] = set()
    for index, one in enumerate(limits):

        def fault(bad: bool, key: str, what: str, at: int = index) -> None:
            if bad:
                found.append((at, key, what))

        plain = 0 < len(one.name) <= MAX_NAME_LENGTH and not set(one.name) & set("/,@ \t\n")
        fault(not plain, "name", "must be 1 to 64 characters with no blank, comma, / or @")
        fault(one.name in names, "name", f"limit {one.name!r} stands there twice")
        names.add(one.name)
        fault(one.kind not in KINDS, "kind", "must be rate or held")
        fault(not 0 < one.amount <= MAX_AMOUNT, "amount", "must be above 0 and at most 1e9")
        fault(not 0 <= one.safe <= 1, "safe", "must be between 0 and 1")
        fault(not 1 <= one.most <= 10_000, "most", "must be between 1 and 10000 members")
        fault(
            one.lasts_ms <= 4 * period_ms,
            "lasts_ms",
            "must be above four periods, or each lost report ends it",
        )
        fault(one.lasts_ms > 3_600_000, "lasts_ms", "must be at most an hour")
        held = one.kind == "held"
        fault(not held and 0 < one.amount < 1, "amount", "of a rate must be at least 1 a second")
        fault(held and one.hold_most_ms <= 0, "hold_most_ms", "a held limit needs the longest holding")
        whole = one.amount == int(one.amount) if 0 < one.amount <= MAX_AMOUNT else True
        fault(held and not whole, "amount", "of a held limit must be a whole number")
        for key in SCOPES:
            scope = getattr(one, key)
            fault(len(set(scope)) != len(scope), key, "names one twice")
            fault("" in scope, key, "holds an empty name")
    return found
