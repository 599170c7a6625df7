"""One step of a switch's budget and the division of its quotas."""

from __future__ import annotations

import pytest

from bitternbeam.decision.budget import step_budget
from bitternbeam.decision.state import Switch
from tests.world import World

LOW, HIGH = ("low", True), ("high", True)
HALF = {LOW: 0.5, HIGH: 0.5}


def stepped(switch: Switch, shares: dict[tuple[str, bool], float] | None = None) -> Switch:
    step_budget(World().controller, switch, shares or HALF)
    return switch


def test_spare_quota_goes_to_the_class_in_excess() -> None:
    switch = Switch("s", 0, budget=9.0, throttled_intervals=3, send_rate=12, wait_observed=True)
    switch.demand.update({LOW: 9, HIGH: 2})
    stepped(switch)  # budget 10: quotas 5 and 5, spare 3, all to the class in excess
    assert switch.budget == 10
    assert switch.credit == {LOW: 8.0, HIGH: 5.0}


def test_spare_quota_is_split_in_proportion_to_the_excess() -> None:
    third = ("third", True)
    switch = Switch("s", 0, budget=11.0, throttled_intervals=3, send_rate=12, wait_observed=True)
    switch.demand.update({LOW: 6, HIGH: 9, third: 0})
    stepped(switch, {LOW: 0.25, HIGH: 0.25, third: 0.5})  # quotas 3, 3, 6; excess 3 and 6; spare 6
    assert switch.credit == {LOW: 5.0, HIGH: 7.0, third: 6.0}


def test_a_class_never_gets_less_than_its_quota_when_all_are_in_excess() -> None:
    switch = Switch("s", 0, budget=7.0, throttled_intervals=3, send_rate=12, wait_observed=True)
    switch.demand.update({LOW: 20, HIGH: 20})
    stepped(switch)
    assert switch.credit == {LOW: 4.0, HIGH: 4.0}


@pytest.mark.parametrize(("largest", "step"), [(5.0, 1.0), (40.0, 4.0)])
def test_the_step_is_a_tenth_of_the_largest_budget_and_at_least_one(largest: float, step: float) -> None:
    switch = Switch(
        "s", 0, budget=5.0, largest_budget=largest, throttled_intervals=3, send_rate=50, wait_observed=True
    )
    assert stepped(switch).budget == 5.0 + step


def test_the_budget_steps_down_while_a_report_puts_the_switch_above() -> None:
    switch = Switch(
        "s",
        0,
        budget=5.0,
        throttled_intervals=3,
        send_rate=50,
        load_samples=3,
        overload_samples=2,
        wait_observed=True,
    )
    assert stepped(switch).budget == 4.0


def test_the_budget_holds_when_the_line_has_drained_by_the_end() -> None:
    switch = Switch(
        "s",
        0,
        budget=5.0,
        throttled_intervals=3,
        send_rate=50,
        overloaded=True,
        load_samples=3,
        overload_samples=1,
        wait_observed=True,
    )
    assert stepped(switch).budget == 5.0
    assert switch.throttled_intervals == 3


def test_one_sample_above_among_many_does_not_hold_the_budget_down() -> None:
    # With fifty samples an interval one is above nearly always: the budget would never rise again.
    switch = Switch(
        "s",
        0,
        budget=5.0,
        throttled_intervals=3,
        send_rate=50,
        overloaded=True,
        load_samples=50,
        overload_samples=4,
        wait_observed=True,
    )
    assert stepped(switch).budget == 6.0


def test_the_budget_is_capped_one_step_above_what_was_sent() -> None:
    switch = Switch("s", 0, budget=9.0, throttled_intervals=3, send_rate=3, wait_observed=True)
    assert 4.0 < stepped(switch).budget < 5.0  # a step, and what chance may hide of three


def test_without_news_no_budget_steps_and_no_throttle_lapses() -> None:
    switch = stepped(Switch("s", 0, budget=5.0, throttled_intervals=2, send_rate=50))
    assert (switch.budget, switch.throttled_intervals) == (5.0, 2)


def test_a_budget_keeps_one_step_so_that_news_can_come() -> None:
    switch = Switch(
        "s",
        0,
        budget=1.0,
        throttled_intervals=3,
        send_rate=50,
        load_samples=1,
        overload_samples=1,
        wait_observed=True,
    )
    assert stepped(switch).budget == 1.0


def test_the_least_step_is_shared_by_the_gateways() -> None:
    world = World(gateways=200)
    switch = Switch("s", 0, budget=0.3, throttled_intervals=3, send_rate=50, wait_observed=True)
    step_budget(world.controller, switch, HALF)
    assert switch.budget == pytest.approx(0.34)


def test_the_throttle_does_not_lapse_while_it_still_refuses() -> None:
    switch = Switch("s", 0, budget=5.0, throttled_intervals=1, send_rate=9, refused=True, wait_observed=True)
    assert stepped(switch).throttled_intervals == 3
    switch.wait_observed = True
    assert stepped(switch).throttled_intervals == 2


def test_a_budget_rises_a_step_over_what_was_sent_last() -> None:
    # The smoothed count alone trailed a rising budget and held it to a fifth of its step.
    one = Switch(
        "s0",
        0,
        budget=10.0,
        largest_budget=20.0,
        send_rate=4.0,
        throttled_intervals=3,
        wait_observed=True,
        load_samples=4,
        sent=10,
    )
    assert stepped(one).budget == 12.0
