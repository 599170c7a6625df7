"""Rules on sending an attempt, which hold whatever the decision module decides."""

from __future__ import annotations

from bitternbeam.core.calls import Attempt, CallState
from bitternbeam.core.listing import Listing
from bitternbeam.core.ports import TrafficLimiter
from bitternbeam.core.table import Call
from bitternbeam.decision.interface import Settings

OVER_SHARE = "over_share"  # the limiter's only reason after which another booker may be tried


def rejection_reason(call: Call, booker: str, now_us: int, listing: Listing, settings: Settings) -> str:
    """Return why an attempt may not be sent; '' if it may."""
    plan = call.plan
    most = settings.max_attempts if plan.max_attempts is None else plan.max_attempts
    return (
        "one_out" if call.current_attempt
        else "release_awaited" if now_us < call.release_wait_until_us
        else "not_listed" if not listing.is_ready(booker)
        else "not_allowed" if not listing.allows(plan, booker)
        else "too_many" if call.attempts >= most
        else "too_late" if now_us >= call.answer_by_us
        else ""
    )  # fmt: skip


def staleness_reason(call: Call | None, attempt: Attempt, now_us: int, listing: Listing) -> str:
    """Return why an attempt that waited for a connection may no longer be written; '' if it may.

    Since the decision, its server may have begun to drain, been removed or restarted (slow start limits the
    rate after a restart, of which the decision did not know), or its deadline may have passed.
    """
    if (
        call is None
        or call.current_attempt is not attempt
        or call.state is not CallState.PENDING
        or attempt.cancel_outcome
    ):
        return "over"
    booker, end_us = attempt.booker, min(call.answer_by_us, attempt.decided_us + attempt.timeout_us)
    return (
        "not_listed" if not listing.is_ready(booker)
        else "not_allowed" if not listing.allows(call.plan, booker)
        else "restarted" if listing.started_us(booker) != attempt.server_started_us
        else "too_late" if now_us >= end_us
        else ""
    )  # fmt: skip


def limit_reason(call: Call, booker: str, now_us: int, bounds: TrafficLimiter | None) -> tuple[str, bool]:
    """Return why the limiter refuses an attempt ('' if it does not) and whether that ends the call.

    A spent retry budget ends the call: the client is answered at once.
    """
    why = bounds.try_send(booker, call.sent_attempts > 0, call.offer, now_us) if bounds is not None else ""
    return why, bool(why) and why != OVER_SHARE
