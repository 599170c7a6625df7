"""Whether an offer becomes a call: its version's limits, the plugin's gate, the fleet's bounds."""

from __future__ import annotations

from dataclasses import dataclass

from bitternbeam.core.calls import NO_PLAN, Offer, Plan
from bitternbeam.core.listing import Listing
from bitternbeam.core.ports import AdmissionFilter, PlanProvider, TrafficLimiter
from bitternbeam.decision.interface import Tier


@dataclass(slots=True)
class Admitted:
    """An offer that becomes a call."""

    plan: Plan
    admission_filter: AdmissionFilter | None
    allowed: tuple[Tier, ...] | None  # less the bookers that are dry now


@dataclass(slots=True)
class Rejected:
    """An offer that is refused before it becomes a call; the caller stays away for so long."""

    counter: str  # the counter
    retry_after_us: int
    plan: Plan | None  # None: nothing is pinned for it


def admit(
    offer: Offer,
    now_us: int,
    listing: Listing,
    *,
    most_away_us: int,
    gate: AdmissionFilter | None,
    policies: PlanProvider | None,
    bounds: TrafficLimiter | None,
) -> Admitted | Rejected:
    """Ask everyone who may refuse an offer, in the order of what it costs."""
    plan = policies.pin_plan(now_us, offer) if policies else NO_PLAN
    if isinstance(plan, int):
        return Rejected("calls.over_their_limits", min(plan, most_away_us), None)
    away_us = gate.check_call(offer.call_class, offer.cell, offer.left_us, offer.redial) if gate else None
    if away_us is not None:
        return Rejected("calls.refused_by_plugin", away_us, plan)
    if bounds is None:
        return Admitted(plan, gate, plan.allowed)
    away_us = bounds.admit(offer, now_us)
    if away_us is not None:
        return Rejected("calls.throttled", min(away_us, most_away_us), plan)
    dry = bounds.exhausted_bookers(offer, now_us)
    if dry and not listing.has_available(plan, dry):
        bounds.call_ended(offer)
        return Rejected("calls.over_all_shares", 0, plan)
    return Admitted(plan, gate, listing.exclude_bookers(plan.allowed, dry) if dry else plan.allowed)
