"""How stale a limit can be and how far over it the fleet can be: the formulas of docs/design-limits.md.

Grants never sum to more than the amount in force, in no fault, and what was sent or held under them counts
until it is over. What is over comes from an amount that was lowered and is not yet known or released
everywhere, from members past `most`, from single sends on a safe part under one a second while links fail,
and, of a rate, from sends whose ways to the receivers differ by more than the margin.
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
)  # by so much the ways of sends may differ at no cost
CASES = ("whole", "cut_in", "cut_out", "cut_all", "owner_paused", "engine_back")


@dataclass(frozen=True, slots=True)
class TakeoverTimes:
    """What a change of owners takes: the lock-delay, and the wait of those next in line."""

    ttl_us: int = 10_000_000
    lock_delay_us: int = 1_000_000
    grace_us: int = 300_000
    delay_us: int = 200_000  # of one report or record on its way, links whole


def takeover_us(times: LimitTimes, takeover: TakeoverTimes) -> int:
    """Return within what time a silent owner is replaced and its successor has published."""
    return takeover.ttl_us + takeover.lock_delay_us + takeover.grace_us + times.period_us + takeover.delay_us


def max_staleness_us(limit: Limit, times: LimitTimes, takeover: TakeoverTimes, case: str) -> int:
    """Return for how long a member may go by an amount that was changed, by what is at fault.

    whole: a turn of the owner and the record's way. cut_in (records do not come), cut_out (reports do not
    go), cut_all: what was granted before lapses within `lasts_us`; the member is on its safe part from then
    until it hears again. owner_paused: as long as a change of owners takes. engine_back: that, or a session
    that goes on.
    """
    whole = times.period_us + takeover.delay_us
    if case == "whole":
        return whole
    if case in ("cut_in", "cut_out", "cut_all"):
        return limit.grant_duration_us if case != "cut_out" else whole
    if case in ("owner_paused", "engine_back"):
        return takeover_us(times, takeover)
    raise ValueError(f"no such case {case!r}")


def recovery_us(limit: Limit, times: LimitTimes, takeover: TakeoverTimes, case: str, all_known: bool) -> int:
    """Return within what time after the fault the whole amount is handed out again.

    A member that was cut: its report, the owner's turn, the others' reports where they have to give back, one
    more turn. After a change of owners: until `most` members are known (`all_known`), or the wait is over.
    """
    turns = 2 * times.period_us + 2 * takeover.delay_us
    if case in ("owner_paused", "engine_back", "cut_all"):
        wait = (
            0
            if all_known
            else grant_expiry_us(limit, times) + limit.max_use_us + clock_drift_us(limit.max_use_us)
        )
        return takeover_us(times, takeover) + max(wait, times.period_us) + turns
    return turns


def decrease_delay_us(limit: Limit, times: LimitTimes) -> int:
    """Return for how long after a lowering extras may stand on the old amount, in any fault."""
    return grant_expiry_us(limit, times) + limit.max_use_us + clock_drift_us(limit.max_use_us)


def max_amount_in_force(limit: Limit, earlier_limits: Iterable[Limit]) -> float:
    """Return the largest amount in use: this one's, or of terms lowered lately or not reached."""
    return max([limit.amount, *(one.amount for one in earlier_limits)])


def excess_past_member_limit(limit: Limit, members: int, amount: float) -> float:
    """Return what members past `most` may add: a safe part each, and the extras of hidden ones.

    Danger: a new owner takes `most` known members for all. A fleet past `most` is a fault of the settings.
    """
    if members <= limit.most:
        return 0.0
    return (members - limit.most) * amount * limit.safe / limit.most + amount * (1 - limit.safe)


def excess_of_single_sends(limit: Limit, members: int, amount: float) -> float:
    """Return by how much members with no live grant may pass their safe parts in a second.

    Danger: a part under one a second is used by one send now and then, and those of all may fall together.
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

    Each send stands for STANDS_US by its member's clock, which may run fast: so many such spans as the
    window and the difference of the ways to the receivers, `way_us`, fill hold the amount each; the rest of
    them no more than the spells in it: a quarter of each member's part, rounded up, which a record may have
    changed within. `whole`: every member has heard its grant in time.
    """
    stands_us = SEND_LIFETIME_US - clock_drift_us(SEND_LIFETIME_US)
    spans, rest_us = divmod(window_us + delay_spread_us, stands_us)
    spells = ceil(rest_us / (BURST_SPAN_US - clock_drift_us(BURST_SPAN_US)))
    alone = (
        0.0
        if granted and not limit.uses_safe_part_beside_grant
        else excess_of_single_sends(limit, members, amount)
    )
    more = excess_past_member_limit(limit, members, amount) + alone
    sends = amount * spans + min(amount, spells * (amount / 2 + members)) + more * (spans + (rest_us > 0))
    return sends - amount * window_us / 1e6


def held_excess(limit: Limit, members: int, amount: float) -> float:
    """Return how many beyond the amount may be held at once: none but by members past `most`."""
    return excess_past_member_limit(limit, members, amount)


def current_excess(
    limit: Limit, members: int, earlier_limits: Iterable[Limit] = (), window_us: int = RATE_WINDOW_US
) -> float:
    """Return the present bound: how far over the limit's amount the fleet may be now, in any fault.

    `before`: terms that were in force within `lowered_us`, or that members not reached still go by.
    """
    amount = max_amount_in_force(limit, earlier_limits)
    if limit.kind == "held":
        return amount - limit.amount + held_excess(limit, members, amount)
    return (amount - limit.amount) * window_us / 1e6 + rate_excess(limit, members, window_us, amount)
