"""Each switch's budget of set-ups per interval and its quotas (LC-Logic, Nadjm-Tehrani et al. 2002)."""

from bitternbeam.decision.load import expected_wait_us
from bitternbeam.decision.state import Group, InstanceState, Switch

STEP_SHARE = 0.1  # of a switch's largest budget so far
MIN_FLEET_STEP = 8.0  # set-ups per interval to one switch, summed over all instances
THROTTLE_INTERVALS = 3  # a switch stays throttled this long after an overload
RESTARTED_INTERVALS = 8.0  # weighted count of intervals; an instance that observed fewer has restarted
# Shares of an interval's load samples that show overload: above the first the budget steps down, up to
# the second it steps up.
STEP_DOWN_SHARE, STEP_UP_SHARE = 0.5, 0.2
COUNT_KEPT = 0.8  # exponential smoothing of demand and send rate, per interval
SLICE_SWITCHES, SLICE_GAP_US = 32, 2_000  # budgets are stepped in slices, with a gap between them


def inherit_budget(heir: Switch, cell: list[Switch]) -> None:
    """Give a switch the largest budget, rate and demand learned for the switches of its cell.

    A budget that starts at 0 takes dozens of intervals to grow; frequently replaced switches would never
    reach theirs.
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
    """Step the budgets of the next slice of switches; returns whether more are left.

    Slices keep thousands of switches from blocking the event loop.
    """
    for switch in instance.pending_steps[:SLICE_SWITCHES]:
        since_us = switch.slow_start_since_us
        if since_us is not None and instance.now_us - since_us > instance.settings.warm_after_us:
            # Throttled when slow start ends; otherwise all calls refused so far would arrive at once.
            switch.slow_start_since_us, switch.throttled_intervals = None, THROTTLE_INTERVALS
            # A restarted instance has no learned budget, and one grown from 0 takes dozens of intervals.
            if instance.observed_intervals < RESTARTED_INTERVALS:
                switch.send_rate = switch.budget = max(switch.send_rate, instance.even_demand)
        step_budget(instance, switch, instance.group_shares)
    del instance.pending_steps[:SLICE_SWITCHES]
    return bool(instance.pending_steps)


def step_budget(instance: InstanceState, switch: Switch, shares: dict[Group, float]) -> None:
    """Step one switch's budget, divide it into quotas by group and pool the unused quota."""
    move = max(min(1.0, MIN_FLEET_STEP / instance.settings.gateways), STEP_SHARE * switch.largest_budget)
    # With few calls use the smoothed rate plus its standard deviation; alone it would lag behind a rise.
    usual = max(
        switch.sent, switch.send_rate + (switch.send_rate * (1 - COUNT_KEPT) / (1 + COUNT_KEPT)) ** 0.5
    )
    if not switch.throttled_intervals:
        switch.budget = max(switch.budget, usual)  # follows what is sent while unthrottled
    # Uses the share of samples: among many noisy ones some nearly always show overload.
    part = switch.overload_samples / max(1, switch.load_samples)
    if expected_wait_us(instance, switch) > instance.wait_limit_us or part > STEP_DOWN_SHARE:
        switch.overloaded = True
        switch.budget -= move * switch.wait_observed
    elif part <= STEP_UP_SHARE:
        switch.budget += move * switch.wait_observed
    # Between the two shares the queue is already draining, and a further step down would empty it. Without
    # an observed wait the budget doesn't move, or it would climb at a full switch; it stays above 0, as
    # nothing more would be observed there.
    switch.budget = max(move, min(switch.budget, usual + move))
    # If the throttle lapsed while calls are refused, the redials of all instances would arrive at once.
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
        # Up to one set-up of credit is carried over, so that small allowances add up.
        switch.credit[group] = min(max(switch.credit[group], 0.0), 1.0) + allowance
        switch.demand[group] *= COUNT_KEPT
    switch.send_rate *= COUNT_KEPT
    switch.overloaded = switch.refused = switch.wait_observed = False
    switch.load_samples = switch.overload_samples = switch.sent = 0
