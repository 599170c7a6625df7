"""What a gateway can tell of a switch in slow start by its own counts: estimates, no choices.

Nobody is told a switch's capacity. Each gateway knows what it had answered; over all gateways that adds up to
what all switches did, however many gateways there are, and a cell's part of the answers is its part of that.
This holds for means alone: the sum of each gateway's highest rate is more than all ever did at once.
"""

from bitternbeam.decision.chance import planned_share
from bitternbeam.decision.state import InstanceState, Switch

COUNT_DECAY = 0.9  # what is kept of a count from one interval to the next
OVERRUN_PROBABILITY = 0.01  # that chance alone passes the bound in one slow start
ARRIVED_SHARE = 0.5  # of the calls that came, at most: callers whose calls are refused come again


def mean_per_interval(instance: InstanceState, counted: float) -> float:
    """Return the mean an interval of a count that fades; the interval in hand counts as a whole one."""
    return counted / (instance.observed_intervals * COUNT_DECAY + 1)


def cell_share(instance: InstanceState, cell: int) -> float:
    """Return a cell's part of what all switches can do.

    Before there are answers each has an even part, or a gateway that restarted would leave a cell idle.
    """
    stood, cells = instance.answered_by_cell, len(instance.class_cells) or len(instance.switches)
    return (stood.get(cell, 0) + 1) / (sum(stood.values()) + max(1, cells))


def capacity_share(instance: InstanceState, switch: Switch) -> float:
    """Return the part of its capacity that a paced switch had on average since its last send."""
    settings = instance.settings
    if switch.slow_start_since_us is None or switch.suspect:
        return settings.cold_from
    middle_us = (instance.now_us + switch.gap_start_us) / 2 - switch.slow_start_since_us
    age = min(1.0, max(0.0, middle_us / (settings.warm_after_us or 1)))
    return settings.cold_from + (1 - settings.cold_from) * age


def slow_start_rates(instance: InstanceState, switch: Switch) -> tuple[float, float]:
    """Return this gateway's part of a switch's budget, set-ups an interval: by its answers, by its calls."""
    settings = instance.settings
    part = planned_share(settings.warm_after_us / settings.fall_us, OVERRUN_PROBABILITY)
    part *= settings.fall_multiple * capacity_share(instance, switch) * cell_share(instance, switch.cell)
    return part * mean_per_interval(
        instance, instance.answered_calls
    ), part * ARRIVED_SHARE * mean_per_interval(instance, instance.arrived_calls)
