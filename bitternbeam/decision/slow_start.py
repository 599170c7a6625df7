"""Pacing of set-ups to switches that are in slow start or suspect.

All instances together may send a switch in slow start N set-ups in a window of `fall_us`, plus a slack for
random variation. Each instance sends at most one set-up per gap, by its own share of N (estimates.py,
chance.py).
"""

import bitternbeam.decision.interface as api
from bitternbeam.decision.estimates import slow_start_rates
from bitternbeam.decision.state import InstanceState, Switch

RESTART_INTERVALS = 1.0  # a switch that answers again sooner has not restarted
UNKNOWN_SWITCH_SETUPS = 2.0  # per window, all instances together, to a switch with no history
# Share of a window, after each gap, in which calls for other cells may be sent to the switch.
UNNAMED_WINDOW_SHARE = 0.25
MIN_RATE = 1e-9  # set-ups per interval
LOG_SPACING_US = 10_000_000


def begin_slow_start(instance: InstanceState, switch: Switch, since_us: int) -> None:
    """Put a switch that restarted, or may have, into slow start."""
    if switch.slow_start_since_us is None:
        # The load of the old process must not hold the new one back; pacing limits it from here.
        switch.throttled_intervals, switch.wait_us = 0, 0.0
        switch.overloaded, switch.reports_overload = False, False
    switch.slow_start_since_us = since_us


def draw_phase(instance: InstanceState, switch: Switch) -> None:
    """Start a gap at a random phase. Drawing again within a gap would halve it on average."""
    switch.gap_start_us, switch.gap_phase = instance.now_us, instance.random.random()


def must_wait(instance: InstanceState, switch: Switch, named: bool) -> bool:
    """Return whether pacing holds a set-up back; a suspect switch gets one trial at a time."""
    if not switch.paced or (switch.suspect and switch.unanswered):
        return switch.paced
    gap = send_gap_us(instance, switch)
    # When other switches fail, their calls would all turn to this one, so they get only part of each window.
    late = (instance.now_us - switch.gap_start_us) / gap - switch.gap_phase
    return late < 0 or not (named or late % 1 < UNNAMED_WINDOW_SHARE * instance.settings.fall_us / gap)


def send_gap_us(instance: InstanceState, switch: Switch) -> int:
    """Return the mean gap between set-ups, in microseconds. It delays recovery if the suspicion was wrong."""
    settings = instance.settings
    known, most = slow_start_rates(instance, switch)
    # By answers alone, no instance would send anything when all switches start at once.
    unlearned = UNKNOWN_SWITCH_SETUPS / settings.gateways * instance.interval_us / settings.fall_us
    if switch.slow_start_since_us is not None:  # bounded by own calls: `gateways` may be wrong
        unlearned = min(unlearned, most)
    return int(instance.interval_us / max(known, unlearned, MIN_RATE))


def mark_suspect(instance: InstanceState, switch: Switch, outcome: api.Outcome) -> None:
    """Mark a switch as suspect, so that it gets only single trials.

    A silent, a hung and a stopped process look alike, and set-ups sent there time out. A single unlucky
    set-up can put a healthy switch here, too.
    """
    if not switch.suspect:
        # A flapping switch is logged once per period, or it would flood the log.
        switch.suspicion_logged = instance.now_us - switch.suspect_since_us > LOG_SPACING_US
        if switch.suspicion_logged:
            instance.actions.append(
                api.Log(f"switch {switch.name}: {outcome.value}; suspect, sending single trials only")
            )
        if not switch.paced:
            draw_phase(instance, switch)
        switch.suspect, switch.suspect_since_us = True, instance.now_us
    switch.may_be_dead |= outcome is not api.Outcome.NO_ANSWER


def clear_suspect(instance: InstanceState, switch: Switch) -> None:
    """Clear the suspicion; after a longer silence the switch may have restarted and enters slow start.

    A restart that the list didn't announce would otherwise overload it. An answer soon after a lost
    connection costs no slow start.
    """
    switch.suspect = False
    if (
        switch.may_be_dead
        and instance.now_us - switch.suspect_since_us > RESTART_INTERVALS * instance.interval_us
    ):
        begin_slow_start(instance, switch, instance.now_us)
    switch.may_be_dead = False
    if switch.suspicion_logged:
        instance.actions.append(api.Log(f"switch {switch.name}: answers again, no longer suspect"))
