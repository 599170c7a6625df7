"""Each switch's budget of set-ups an interval and its quotas, the paper's LC-Logic."""

from bitternbeam.decision.load import expected_wait_us
from bitternbeam.decision.state import Group, InstanceState, Switch

STEP_SHARE = 0.1  # of the largest budget so far
MIN_FLEET_STEP = 8.0  # an interval to one switch, of all gateways together: the least step
THROTTLE_INTERVALS = 3  # intervals for which a switch stays throttled
RESTARTED_INTERVALS = 8.0  # intervals, with those that fade: a gateway that saw fewer restarted
STEP_DOWN_SHARE, STEP_UP_SHARE = (
    0.5,
    0.2,
)  # of an interval's samples above: more step it down, at most so many up
COUNT_KEPT = 0.8  # of the smoothed set-ups an interval, asked and sent
SLICE_SWITCHES, SLICE_GAP_US = (
    32,
    2_000,
)  # switches that are stepped at a time, and what lies between two times


def inherit_budget(heir: Switch, cell: list[Switch]) -> None:
    """Give a switch that takes others' place in their cell the budget that was found for them.

    Danger: from nothing a budget takes dozens of intervals, and by then the next one takes its place.
    """
    for old in cell:
        if old is not heir:
            heir.largest_budget, heir.budget = (
                max(heir.largest_budget, old.largest_budget),
                max(heir.budget, old.budget),
            )
            heir.send_rate = max(heir.send_rate, old.send_rate)
            for group, asked in old.demand.items():
                heir.demand[group] = max(heir.demand[group], asked)


def step_next_slice(instance: InstanceState) -> bool:
    """Step a slice of the switches that are due; among thousands, others are left for a later turn."""
    for switch in instance.pending_steps[:SLICE_SWITCHES]:
        since_us = switch.slow_start_since_us
        if since_us is not None and instance.now_us - since_us > instance.settings.warm_after_us:
            # Throttled from here, or its first warm second takes all that was refused so far.
            switch.slow_start_since_us, switch.throttled_intervals = None, THROTTLE_INTERVALS
            if (
                instance.observed_intervals < RESTARTED_INTERVALS
            ):  # restarted: danger: from nothing the budget takes dozens of intervals
                switch.send_rate = switch.budget = max(switch.send_rate, instance.even_demand)
        step_budget(instance, switch, instance.group_shares)
    del instance.pending_steps[:SLICE_SWITCHES]
    return bool(instance.pending_steps)


def step_budget(instance: InstanceState, switch: Switch, shares: dict[Group, float]) -> None:
    """Move one switch's budget a step and pool its spare quota."""
    move = max(min(1.0, MIN_FLEET_STEP / instance.settings.gateways), STEP_SHARE * switch.largest_budget)
    # Few calls: a smoothed count, and what chance hides of it, stand in. Danger: alone it trails a rise.
    usual = max(
        switch.sent, switch.send_rate + (switch.send_rate * (1 - COUNT_KEPT) / (1 + COUNT_KEPT)) ** 0.5
    )
    if not switch.throttled_intervals:
        switch.budget = max(switch.budget, usual)  # what was sent while unthrottled
    # Danger: of many noisy samples one is above nearly always, and no budget would rise: their part counts.
    part = switch.overload_samples / max(1, switch.load_samples)
    if expected_wait_us(instance, switch) > instance.wait_limit_us or part > STEP_DOWN_SHARE:
        switch.overloaded = True
        switch.budget -= move * switch.wait_observed
    elif part <= STEP_UP_SHARE:
        switch.budget += move * switch.wait_observed
    # Else it was above and is not by now: a further step would empty a line that drains. Danger: with
    # no news a full switch's budgets climb. So only news steps, and never to nothing, which brings none.
    switch.budget = max(move, min(switch.budget, usual + move))
    # Danger: if the throttle lapses while calls are refused, all gateways' redialled ones arrive at once.
    kept = switch.overloaded or (switch.throttled_intervals and switch.refused)
    switch.throttled_intervals = (
        THROTTLE_INTERVALS if kept else max(0, switch.throttled_intervals - switch.wait_observed)
    )
    switch.largest_budget = max(switch.largest_budget, switch.budget)
    quotas = {group: share * switch.budget for group, share in shares.items()}
    spare = sum(max(0.0, quota - switch.demand[group]) for group, quota in quotas.items())
    excess = {group: max(0.0, switch.demand[group] - quota) for group, quota in quotas.items()}
    over = sum(excess.values())
    for group, quota in quotas.items():
        allowance = quota + (spare * excess[group] / over if over else 0.0)
        # Up to one set-up is carried on, so that small allowances add up.
        switch.credit[group] = min(max(switch.credit[group], 0.0), 1.0) + allowance
        switch.demand[group] *= COUNT_KEPT
    switch.send_rate *= COUNT_KEPT
    switch.overloaded = switch.refused = switch.wait_observed = False
    switch.load_samples = switch.overload_samples = switch.sent = 0
