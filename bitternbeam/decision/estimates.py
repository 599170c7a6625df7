"""Estimates of the capacity of a switch in slow start, from an instance's own counts.

No instance is told a switch's capacity. Each knows how many of its calls were answered; the sum over all
instances is what all switches served, however many instances there are, and a cell's share of the answers is
its share of the capacity. This holds for means only: the instances' peak rates add up to more than was ever
served at once.
"""

from bitternbeam.decision.chance import planned_share
from bitternbeam.decision.state import InstanceState, Switch

COUNT_DECAY = 0.9  # factor for a count from one interval to the next
OVERRUN_PROBABILITY = 0.01  # that random variation exceeds the bound in one slow start
ARRIVED_SHARE = 0.5  # of the calls that arrived, at most: refused clients call again


def mean_per_interval(instance: InstanceState, counted: float) -> float:
    """Return the mean per interval of a decayed count; the current interval counts as a whole one."""
    return counted / (instance.observed_intervals * COUNT_DECAY + 1)


def cell_share(instance: InstanceState, cell: int) -> float:
    """Return a cell's share of the capacity of all switches.

    Without answers each cell has an equal share; otherwise a restarted instance would leave cells unused.
    """
    stood, cells = instance.answered_by_cell, len(instance.class_cells) or len(instance.switches)
    return (stood.get(cell, 0) + 1) / (sum(stood.values()) + max(1, cells))


def capacity_share(instance: InstanceState, switch: Switch) -> float:
    """Return the mean share of its capacity that a paced switch had since the last send."""
    settings = instance.settings
    if switch.slow_start_since_us is None or switch.suspect:
        return settings.cold_from
    middle_us = (instance.now_us + switch.gap_start_us) / 2 - switch.slow_start_since_us
    age = min(1.0, max(0.0, middle_us / (settings.warm_after_us or 1)))
    return settings.cold_from + (1 - settings.cold_from) * age


def slow_start_rates(instance: InstanceState, switch: Switch) -> tuple[float, float]:
    """Return this instance's share of a switch's set-ups per interval: by answers and by arrivals."""
    settings = instance.settings
    part = planned_share(settings.warm_after_us / settings.fall_us, OVERRUN_PROBABILITY)
    part *= settings.fall_multiple * capacity_share(instance, switch) * cell_share(instance, switch.cell)
    return part * mean_per_interval(
        instance, instance.answered_calls
    ), part * ARRIVED_SHARE * mean_per_interval(instance, instance.arrived_calls)
