"""The settings of a fleet-wide limit and the times of its grants.

A limit is hard. The share `safe` of `amount` is reserved as safe parts, one for each of `most` members: a
member may always use its safe part, connected or not. The owner shares out the rest as extras that expire.
Kinds: "rate" (`amount` in any second) and "held" (`amount` at once, until released).
Settings are in milliseconds, everything else in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bitternbeam.fleet.lease import DRIFT_PPM

KINDS = ("rate", "held")
SCOPES = ("bookers", "classes", "tenants", "callers")
MAX_AMOUNT = 1e9
MAX_NAME_LENGTH = 64
RATE_WINDOW_US = 1_000_000  # a rate holds in every window of this length, at the receivers
SEND_MARGIN_US = 10_000  # added to a send's lifetime, for clock drift and unequal network delays
SEND_LIFETIME_US = RATE_WINDOW_US + SEND_MARGIN_US
BURST_SPAN_US = 100_000  # within it a member sends at most a quarter of its part, rounded up


@dataclass(frozen=True, slots=True)
class Limit:
    """One `[[fleet.limit]]` table; an empty scope matches every call."""

    name: str
    kind: str
    amount: float
    safe: float = 0.05
    most: int = 64
    lasts_ms: int = 20_000
    hold_most_ms: int = 3_600_000  # held: the longest that one unit may be held
    bookers: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()

    @property
    def safe_part(self) -> float:
        """Return what one member may use without an unexpired grant."""
        return self.amount * self.safe / self.most

    @property
    def total_extras(self) -> float:
        """Return what the owner shares out beyond the safe parts."""
        return self.amount - self.safe_part * self.most

    @property
    def uses_safe_part_beside_grant(self) -> bool:
        """Return whether safe parts below one are used beside a grant too, as they are most of the amount."""
        return self.safe > 0.5

    @property
    def grant_duration_us(self) -> int:
        """Return how long a grant is valid."""
        return self.lasts_ms * 1000

    @property
    def max_use_us(self) -> int:
        """Return the longest that one use counts: a hold, or for a rate the lifetime of a send."""
        return self.hold_most_ms * 1000 if self.kind == "held" else SEND_LIFETIME_US

    def applies_to(self, booker: str, call_class: str, tenant: str, client: str) -> bool:
        """Return whether the limit applies to such a call."""
        return all(
            not scope or value in scope
            for scope, value in (
                (self.bookers, booker), (self.classes, call_class),
                (self.tenants, tenant), (self.callers, client),
            )
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class LimitTimes:
    """The reporting period, and the longest that an owner acts after it lost its lock (the TTL)."""

    period_us: int = 1_000_000
    owner_overlap_us: int = 10_000_000


def clock_drift_us(span_us: int) -> int:
    """Return by how much two clocks may drift apart over a span."""
    return span_us * DRIFT_PPM // 1_000_000 + 1


def trusted_span_us(span_us: int) -> int:
    """Return how long a member trusts a grant of that span by its own clock."""
    return span_us - clock_drift_us(span_us)


def check_limits(
    limits: Sequence[Limit], period_ms: int = 1000, ttl_ms: int = 10_000
) -> list[tuple[int, str, str]]:
    """Return the faults as (index of the table, key, message); empty if the limits are valid."""
    found: list[tuple[int, str, str]] = []
    names: set[str] = set()
    for index, limit in enumerate(limits):

        def fault(bad: bool, key: str, what: str, at: int = index) -> None:
            if bad:
                found.append((at, key, what))

        is_valid_name = 0 < len(limit.name) <= MAX_NAME_LENGTH and not set(limit.name) & set("/,@ \t\n")
        fault(not is_valid_name, "name", "must be 1 to 64 characters without blanks, commas, / or @")
        fault(limit.name in names, "name", f"limit {limit.name!r} is defined twice")
        names.add(limit.name)
        fault(limit.kind not in KINDS, "kind", "must be rate or held")
        fault(not 0 < limit.amount <= MAX_AMOUNT, "amount", "must be above 0 and at most 1e9")
        fault(not 0 <= limit.safe <= 1, "safe", "must be between 0 and 1")
        fault(not 1 <= limit.most <= 10_000, "most", "must be between 1 and 10000 members")
        fault(
            limit.lasts_ms <= 4 * period_ms,
            "lasts_ms",
            "must be above four periods, or a lost report could end a grant",
        )
        fault(limit.lasts_ms > 3_600_000, "lasts_ms", "must be at most an hour")
        held = limit.kind == "held"
        fault(not held and 0 < limit.amount < 1, "amount", "of a rate must be at least 1 a second")
        fault(held and limit.hold_most_ms <= 0, "hold_most_ms", "must be above 0 for a held limit")
        whole = limit.amount == int(limit.amount) if 0 < limit.amount <= MAX_AMOUNT else True
        fault(held and not whole, "amount", "of a held limit must be a whole number")
        for key in SCOPES:
            scope = getattr(limit, key)
            fault(len(set(scope)) != len(scope), key, "contains a duplicate")
            fault("" in scope, key, "contains an empty name")
    return found
