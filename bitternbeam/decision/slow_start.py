"""The pace of set-ups to switches that are in slow start, or suspected to be dead, and when it ends.

All gateways together may send a switch in slow start N set-ups in a window of `fall_us`, and a slack for
chance. Each sends at most one in a gap, by its own part of N (estimates.py, chance.py).
"""

import bitternbeam.decision.interface as api
from bitternbeam.decision.estimates import slow_start_rates
from bitternbeam.decision.state import InstanceState, Switch

RESTART_INTERVALS = 1.0  # of an interval: a switch that came back after less did not start anew
UNKNOWN_SWITCH_SETUPS = 2.0  # set-ups a window of all gateways to a switch of which nothing has been learned
UNNAMED_WINDOW_SHARE = (
    0.25  # of a window, after a gap: so long a call that does not name the switch may go there
)
MIN_RATE = 1e-9  # set-ups an interval
LOG_SPACING_US = 10_000_000


def begin_slow_start(instance: InstanceState, switch: Switch, since_us: int) -> None:
    """Note a slow start, or what may be one."""
    if switch.slow_start_since_us is None:
        # Danger: what held its dead processor would hold the new one back; the pace does that from here.
        switch.throttled_intervals, switch.wait_us, switch.overloaded, switch.reports_overload = (
            0,
            0.0,
            False,
            False,
        )
    switch.slow_start_since_us = since_us


def draw_phase(instance: InstanceState, switch: Switch) -> None:
    """Begin a gap at a phase of this gateway's own. Danger: drawn again within a gap, it halves it."""
    switch.gap_start_us, switch.gap_phase = instance.now_us, instance.random.random()


def must_wait(instance: InstanceState, switch: Switch, named: bool) -> bool:
    """Tell whether a set-up must wait its turn; at a suspect switch they go one by one."""
    if not switch.paced or (switch.suspect and switch.unanswered):
        return switch.paced
    gap = send_gap_us(instance, switch)
    # Danger: when others fail, all calls turn to this one at once; those that name it stay as many.
    late = (instance.now_us - switch.gap_start_us) / gap - switch.gap_phase
    return late < 0 or not (named or late % 1 < UNNAMED_WINDOW_SHARE * instance.settings.fall_us / gap)


def send_gap_us(instance: InstanceState, switch: Switch) -> int:
    """Return the mean gap between set-ups since the last. May hurt where a suspect switch was well."""
    settings = instance.settings
    known, most = slow_start_rates(instance, switch)
    # Danger: by answers alone nobody would send where all switches start at once.
    unlearned = UNKNOWN_SWITCH_SETUPS / settings.gateways * instance.interval_us / settings.fall_us
    if switch.slow_start_since_us is not None:  # the number of gateways may be wrong, their calls are not
        unlearned = min(unlearned, most)
    return int(instance.interval_us / max(known, unlearned, MIN_RATE))


def mark_suspect(instance: InstanceState, switch: Switch, outcome: api.Outcome) -> None:
    """Leave a switch that is silent, hung or gone only single trials: the three look alike.

    Danger: what is sent there times out. May hurt where one set-up alone had bad luck.
    """
    if not switch.suspect:
        # One that flaps would flood the staff: it is told of once while it does.
        switch.suspicion_logged = instance.now_us - switch.suspect_since_us > LOG_SPACING_US
        if switch.suspicion_logged:
            instance.actions.append(api.Log(f"switch {switch.name}: {outcome.value}, trials only"))
        if not switch.paced:
            draw_phase(instance, switch)
        switch.suspect, switch.suspect_since_us = True, instance.now_us
    switch.may_be_dead |= outcome is not api.Outcome.NO_ANSWER


def clear_suspect(instance: InstanceState, switch: Switch) -> None:
    """Take a suspect switch back; after a longer silence it may have started anew, so it is cold.

    Danger: a processor that restarted unlisted is pushed over. An answer soon after a cut costs nothing.
    """
    switch.suspect = False
    if (
        switch.may_be_dead
        and instance.now_us - switch.suspect_since_us > RESTART_INTERVALS * instance.interval_us
    ):
        begin_slow_start(instance, switch, instance.now_us)
    switch.may_be_dead = False
    if switch.suspicion_logged:
        instance.actions.append(api.Log(f"switch {switch.name}: answers again"))
