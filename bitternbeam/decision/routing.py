"""Which switches a call may be sent to, and in which order."""

import bitternbeam.decision.interface as api
from bitternbeam.decision.load import expected_wait_us, is_throttled
from bitternbeam.decision.slow_start import must_wait
from bitternbeam.decision.state import Call, InstanceState, Switch

WAIT_GROWTH = 2.0  # a wait in hand is old: by its end it may have grown by this
FAILING_ERROR_SHARE = (
    0.5  # above: a last resort, as some tries succeed and cost little, but for a trial an interval
)


def tier_switches(instance: InstanceState, tier: api.Tier | None) -> list[Switch]:
    """Return the switches of a tier; by name they are found without a look at all the others."""
    known = instance.switches
    listed = [known[name] for name in (tier.switches if tier and not tier.cells else known) if name in known]
    found = [one for one in listed if tier is None or tier.contains(one.name, one.cell)]
    instance.active_switches.update((one.name, one) for one in found)
    return found


def candidate_switches(instance: InstanceState, call: Call) -> list[Switch]:
    """Return the switches a call may go to, of its tiers in order; those that fail it come last."""
    tiers = call.allowed_tiers if call.allowed_tiers is not None else (None,)
    found = [one for tier in tiers for one in tier_candidates(instance, call, tier)]
    return sorted(
        found, key=lambda one: len(tiers) > 1 and (one in call.failed_switches or is_failing(instance, one))
    )


def tier_candidates(instance: InstanceState, call: Call, tier: api.Tier | None) -> list[Switch]:
    """Return the named switch while unthrottled, else two by unanswered set-ups, then those that fail."""
    inside = tier_switches(instance, tier)
    for switch in inside:
        if expected_wait_us(instance, switch) > instance.wait_limit_us:
            switch.overloaded = True  # on the spot: a flood fills the line before the interval is over
    usable = [switch for switch in inside if may_send(instance, call, switch)]
    last = [switch for switch in usable if is_failing(instance, switch)]
    # What a sound switch could not make sense of it won't at the next try; a failing one may.
    sound = [switch for switch in usable if not (switch in call.error_switches or switch in last)]
    fresh = [switch for switch in sound if switch not in call.failed_switches] or sound
    named = [switch for switch in fresh if switch.cell == call.cell][:1]
    if named and not is_throttled(named[0]):
        return named
    others = [switch for switch in fresh if switch.cell != call.cell]
    # Danger: drawn alike, small switches get what only large ones have lines for: drawn by free lines.
    lines = {one.name: (one.free_lines or 1.0) * (tier.weight(one.name) if tier else 1.0) for one in others}
    others.sort(key=lambda one: (is_throttled(one), instance.random.expovariate(lines[one.name])))
    return sorted(named + others[: 2 - len(named)], key=lambda switch: len(switch.unanswered)) + last


def is_failing(instance: InstanceState, switch: Switch) -> bool:
    """Tell whether a switch fails what others take, and no trial is due that would show it well again."""
    return (
        switch.error_share > FAILING_ERROR_SHARE
        and instance.now_us - switch.gap_start_us < instance.interval_us
    )


def may_send(instance: InstanceState, call: Call, switch: Switch) -> bool:
    """Guard the rules, and keep off what cannot be in time."""
    now, cells = instance.now_us, call.call_class.cells
    return (
        not (call.pending_switch or call.answered)
        and call.retry_not_before_us <= now < call.deadline_us
        and call.attempts < call.max_attempts
        and switch.state is api.SwitchState.READY
        and (switch.free_lines is None or switch.free_lines > 0)
        and (cells is None or switch.cell in cells)
        and switch.cell != instance.settings.own_cell
        and (not call.transit or switch.cell == call.cell)
        and (not call.may_have_run or call.call_class.effect is api.Effect.REPEATABLE)
        and not must_wait(instance, switch, named=switch.cell == call.cell)
        and now + WAIT_GROWTH * expected_wait_us(instance, switch) < call.aim_end_us
    )
