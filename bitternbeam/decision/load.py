"""How loaded a core switch is: by what it says of itself, and by the waits that are felt there."""

import bitternbeam.decision.interface as api
from bitternbeam.decision.state import InstanceState, Switch

SECOND_US = 1_000_000
INTERVAL_AIM_SHARE = 2 / 3  # the budget's interval, of the shortest aim
MAX_UTILIZATION, MAX_SHED_SHARE = 0.9, 0.05  # above: more of the processor busy, or more asked to be withheld
WAIT_AIM_SHARE, WAIT_RESEND_SHARE = (
    0.25,
    0.5,
)  # or a longer wait, of the shortest aim, of the gap to a repeated set-up
WAIT_SAMPLE_WEIGHT = 0.5  # weight of a new sample of a switch's wait
WAIT_DRAIN_RATE = 0.5  # of a wait's age is taken off it: others go on sending


def interval_and_wait_limit(settings: api.Settings) -> tuple[int, float]:
    """Return a budget's interval and the wait that is above the set point."""
    aim_us = min(kind.aim_us for kind in settings.classes)
    limit_us = aim_us * WAIT_AIM_SHARE
    # Danger: with a fixed interval, aims four times as short would be over before a budget has moved.
    return max(1, int(aim_us * INTERVAL_AIM_SHARE)), min(
        limit_us, settings.resend_us * WAIT_RESEND_SHARE or limit_us
    )


def is_throttled(switch: Switch) -> bool:
    """Whether it was above the set point in one of the last intervals, this one included."""
    return switch.overloaded or switch.throttled_intervals > 0


def apply_report(instance: InstanceState, switch: Switch, report: api.Report) -> None:
    """Judge a switch's load by what it says of itself."""
    if report.free_lines is not None:
        switch.free_lines, switch.total_lines = report.free_lines, report.total_lines
    if report.wait_ms is not None:
        record_wait(instance, switch, report.wait_ms * 1000)
    elif report.queue_length is not None and report.capacity_per_s:
        record_wait(instance, switch, report.queue_length / report.capacity_per_s * SECOND_US)
    switch.reports_overload = (report.utilization or 0) > MAX_UTILIZATION or (
        report.shed_share or 0
    ) > MAX_SHED_SHARE
    switch.overloaded |= switch.reports_overload
    switch.load_samples += 1
    switch.overload_samples += switch.reports_overload


def record_wait(instance: InstanceState, switch: Switch, wait_us: float) -> None:
    """Note a wait at a switch, told or felt."""
    # A sample's weight grows with the age of the last: few samples each stand for themselves.
    age = (instance.now_us - switch.wait_at_us) / instance.interval_us
    switch.wait_us += max(WAIT_SAMPLE_WEIGHT, min(1.0, age)) * (wait_us - switch.wait_us)
    switch.wait_at_us, switch.wait_observed = instance.now_us, True
    switch.overloaded |= switch.wait_us > instance.wait_limit_us
    switch.load_samples += 1
    switch.overload_samples += switch.wait_us > instance.wait_limit_us


def expected_wait_us(instance: InstanceState, switch: Switch) -> float:
    """Return the likely wait: the last known less what has drained, or the oldest unanswered's age."""
    now = instance.now_us
    # Danger: lost set-ups look like a full line. One overtaken by a later one's answer waits in no line.
    sent_us = next((sent for sent in switch.unanswered.values() if sent >= switch.latest_answered_us), now)
    drained = WAIT_DRAIN_RATE * (now - switch.wait_at_us)
    return max(switch.wait_us - drained, now - sent_us - (switch.min_setup_us or 0), 0)
