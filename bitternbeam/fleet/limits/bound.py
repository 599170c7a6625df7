"""Upper bounds on how outdated a limit can be and how far the fleet can exceed it (docs/design-limits.md).

Under any fault, grants never sum to more than the amount in force, and sends and holds under them are charged
until they end. The fleet can exceed a limit only through an amount that was lowered and is not yet known or
released everywhere, through more than `most` members, through single sends on a safe part below one a second
while links fail, and, for a rate, through network delays that differ by more than the margin.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from bitternbeam.fleet.limits.account import grant_expiry_us
from bitternbeam.fleet.limits.terms import (
    BURST_SPAN_US,
    RATE_WINDOW_US,
    SEND_LIFETIME_US,
    SEND_MARGIN_US,
    Limit,
    LimitTimes,
    clock_drift_us,
)

TOLERATED_DELAY_SPREAD_US = SEND_MARGIN_US - clock_drift_us(
    SEND_LIFETIME_US
)  # network delays may differ by this much without excess
CASES = ("whole", "cut_in", "cut_out", "cut_all", "owner_paused", "engine_back")


@dataclass(frozen=True, slots=True)
class TakeoverTimes:
    """Times that a change of owners depends on: session TTL, lock delay and the candidates' grace time."""

    ttl_us: int = 10_000_000
    lock_delay_us: int = 1_000_000
    grace_us: int = 300_000
    delay_us: int = 200_000  # delivery of one report or record on working links


def takeover_us(times: LimitTimes, takeover: TakeoverTimes) -> int:
    """Return the longest time until a silent owner is replaced and its successor has published."""
    return takeover.ttl_us + takeover.lock_delay_us + takeover.grace_us + times.period_us + takeover.delay_us


def max_staleness_us(limit: Limit, times: LimitTimes, takeover: TakeoverTimes, case: str) -> int:
    """Return how long a member may keep using an amount that was changed, by fault case.

    whole: no fault; one period of the owner and the delivery of the record. cut_in (records are lost),
    cut_out (reports are lost), cut_all: earlier grants expire within `grant_duration_us`; from then on the
    member has its safe part until it receives a record again. owner_paused, engine_back (the engine went back
    to an earlier state): at most a change of owners. Raises ValueError for any other case.
    """
    fault_free_us = times.period_us + takeover.delay_us
    if case == "whole":
        return fault_free_us
    if case in ("cut_in", "cut_out", "cut_all"):
        return limit.grant_duration_us if case != "cut_out" else fault_free_us
    if case in ("owner_paused", "engine_back"):
        return takeover_us(times, takeover)
    raise ValueError(f"no such case {case!r}")


def recovery_us(limit: Limit, times: LimitTimes, takeover: TakeoverTimes, case: str, all_known: bool) -> int:
    """Return the longest time after the end of a fault until the full amount is granted again.

    For a member that was cut off: its report, one period of the owner, the reports of members that must give
    something back, one more period. After a change of owners: also until `most` members have reported
    (`all_known`) or all earlier grants have expired.
    """
    turns_us = 2 * times.period_us + 2 * takeover.delay_us
    if case in ("owner_paused", "engine_back", "cut_all"):
        wait_us = (
            0
            if all_known
            else grant_expiry_us(limit, times) + limit.max_use_us + clock_drift_us(limit.max_use_us)
        )
        return takeover_us(times, takeover) + max(wait_us, times.period_us) + turns_us
    return turns_us


def decrease_delay_us(limit: Limit, times: LimitTimes) -> int:
    """Return how long after a decrease extras of the old amount may be in use, under any fault."""
    return grant_expiry_us(limit, times) + limit.max_use_us + clock_drift_us(limit.max_use_us)


def max_amount_in_force(limit: Limit, earlier_limits: Iterable[Limit]) -> float:
    """Return the largest amount that may be in use: of this limit or of `earlier_limits`."""
    return max([limit.amount, *(earlier.amount for earlier in earlier_limits)])


def excess_past_member_limit(limit: Limit, members: int, amount: float) -> float:
    """Return what members beyond `most` may add: a safe part each, and the extras of unknown members.

    A new owner that knows `most` members assumes that there are no others, so a fleet with more of them is
    misconfigured.
    """
    if members <= limit.most:
        return 0.0
    return (members - limit.most) * amount * limit.safe / limit.most + amount * (1 - limit.safe)


def excess_of_single_sends(limit: Limit, members: int, amount: float) -> float:
    """Return by how much members with no unexpired grant may exceed their safe parts in a second.

    A safe part below one a second is used by an occasional send, and the sends of all members may coincide.
    """
    part = amount * limit.safe / limit.most
    return members * (1 - part) if 0 < part < 1 else 0.0


def rate_excess(
    limit: Limit,
    members: int,
    window_us: int,
    amount: float,
    *,
    granted: bool = False,
    delay_spread_us: int = TOLERATED_DELAY_SPREAD_US,
) -> float:
    """Return how many sends beyond `amount * window` the fleet may make in any window of a rate.

    Each send counts for SEND_LIFETIME_US by its member's clock, which may run fast. The window, extended by
    `delay_spread_us` (the difference of network delays), holds the amount once per full lifetime in it. The
    remainder holds at most its burst spans: a quarter of each member's part, rounded up, which a record may
    change within the span. `granted`: every member has received its grant in time.
    """
    lifetime_us = SEND_LIFETIME_US - clock_drift_us(SEND_LIFETIME_US)
    spans, rest_us = divmod(window_us + delay_spread_us, lifetime_us)
    bursts = ceil(rest_us / (BURST_SPAN_US - clock_drift_us(BURST_SPAN_US)))
    single_sends = (
        0.0
        if granted and not limit.uses_safe_part_beside_grant
        else excess_of_single_sends(limit, members, amount)
    )
    additional = excess_past_member_limit(limit, members, amount) + single_sends
    sends = (
        amount * spans + min(amount, bursts * (amount / 2 + members)) + additional * (spans + (rest_us > 0))
    )
    return sends - amount * window_us / 1e6


def held_excess(limit: Limit, members: int, amount: float) -> float:
    """Return how many beyond the amount may be held at once: only those of members beyond `most`."""
    return excess_past_member_limit(limit, members, amount)


def current_excess(
    limit: Limit, members: int, earlier_limits: Iterable[Limit] = (), window_us: int = RATE_WINDOW_US
) -> float:
    """Return by how much the fleet may exceed the limit's amount now, under any fault.

    `earlier_limits`: settings replaced within `decrease_delay_us`, or still used by members not yet reached.
    """
    amount = max_amount_in_force(limit, earlier_limits)
    if limit.kind == "held":
        return amount - limit.amount + held_excess(limit, members, amount)
    return (amount - limit.amount) * window_us / 1e6 + rate_excess(limit, members, window_us, amount)
