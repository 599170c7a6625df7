"""Admission of an offer: the limits of its plan, the plugin's filter and the fleet's limiters."""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.core.calls import NO_PLAN, Offer, Plan
from bitternbeam.core.listing import Listing
from bitternbeam.core.ports import AdmissionFilter, PlanProvider, TrafficLimiter
from bitternbeam.decision.interface import Tier


@dataclass(slots=True)
class Admitted:
    """An admitted offer."""

    plan: Plan
    admission_filter: AdmissionFilter | None
    allowed: tuple[Tier, ...] | None  # without the bookers exhausted at this time


@dataclass(slots=True)
class Rejected:
    """An offer refused at admission; its client may retry after retry_after_us."""

    counter: str  # name of the counter to increment
    retry_after_us: int
    plan: Plan | None  # None: no plan was pinned


def admit(
    offer: Offer,
    now_us: int,
    listing: Listing,
    *,
    max_retry_after_us: int,
    gate: AdmissionFilter | None,
    policies: PlanProvider | None,
    bounds: TrafficLimiter | None,
) -> Admitted | Rejected:
    """Ask the plan provider, the filter and the limiter in turn, cheapest first; the first refusal counts."""
    plan = policies.pin_plan(now_us, offer) if policies else NO_PLAN
    if isinstance(plan, int):
        return Rejected("calls.over_their_limits", min(plan, max_retry_after_us), None)
    delay_us = gate.check_call(offer.call_class, offer.cell, offer.left_us, offer.redial) if gate else None
    if delay_us is not None:
        return Rejected("calls.refused_by_plugin", delay_us, plan)
    if bounds is None:
        return Admitted(plan, gate, plan.allowed)
    delay_us = bounds.admit(offer, now_us)
    if delay_us is not None:
        return Rejected("calls.throttled", min(delay_us, max_retry_after_us), plan)
    exhausted = bounds.exhausted_bookers(offer, now_us)
    if exhausted and not listing.has_available(plan, exhausted):
        bounds.call_ended(offer)
        return Rejected("calls.over_all_shares", 0, plan)
    return Admitted(
        plan, gate, listing.exclude_bookers(plan.allowed, exhausted) if exhausted else plan.allowed
    )
