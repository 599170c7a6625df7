"""The pool throttle and the route, driven through events."""

from __future__ import annotations

from dataclasses import replace

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision.load import is_throttled
from tests.world import MS, SECOND, SETTINGS, World

LOW = ("low", True)


def test_a_refusal_says_when_to_come_back_within_what_callers_heed() -> None:
    for most_us, told_us in ((2 * SECOND, 400 * MS), (100 * MS, 100 * MS), (0, 0)):
        world = World(switches=0, max_stay_away_us=most_us)
        world.call()
        assert world.actions_of(api.Refuse)[0].retry_after_us == told_us


def test_a_gateway_with_a_third_of_a_call_an_interval_gets_its_part_through() -> None:
    world = World(switches=1, gateways=250)
    switch = world.controller.switches["s0"]
    sent = 0
    for _ in range(100):
        switch.throttled_intervals, switch.budget, switch.send_rate = 3, 0.2, 0.3
        world.call()
        if world.sent_to():
            sent += 1
            world.complete_call(f"c{world.call_count}", "s0", 40 * MS)
        world.advance(3 * SECOND)
    assert 30 <= sent <= 90  # of a hundred calls in 300 intervals, with an allowance of 60 and steps up


def test_probes_of_a_large_fleet_add_up_to_a_bounded_rate() -> None:
    world = World(switches=1, gateways=250, may_probe=True)
    probes = sum(isinstance(action, api.Probe) for action in world.advance(500 * SECOND))
    assert probes * 250 / 500 == pytest.approx(8, rel=0.5)


def test_nothing_is_refused_while_unthrottled_and_the_named_switch_is_taken() -> None:
    world = World()
    for _ in range(50):
        world.call(cell=1)
        assert world.sent_to() == "s1"


def test_a_throttled_switch_refuses_before_sending_and_the_throttle_lapses() -> None:
    world = World(switches=1)
    assert world.offer_calls(5, 10) == 0
    assert world.offer_calls(3, 10, took_us=350 * MS) > 0
    world.offer_calls(12, 10)  # below the set point again: the budget climbs, then the memory runs out
    assert world.offer_calls(3, 10) == 0


def test_the_worthier_class_keeps_its_quota_under_pressure() -> None:
    world = World(switches=1)
    switch = world.controller.switches["s0"]
    switch.throttled_intervals, switch.budget, switch.send_rate = 3, 4.0, 5.0
    refused = {"low": 0, "high": 0}
    for n in range(100):
        kind = "high" if n % 4 == 0 else "low"
        world.call(kind=kind)
        refused[kind] += len(world.actions_of(api.Refuse))
        if world.sent_to():
            world.answer_attempt(f"c{world.call_count}")
        switch.reports_overload = switch.budget > 4
        world.advance(SECOND // 12)
    assert refused["high"] / 25 < refused["low"] / 75 / 2


def test_a_throttled_route_takes_the_switch_with_fewer_unanswered() -> None:
    world = World()
    world.controller.switches["s0"].throttled_intervals = 3
    world.controller.switches["s0"].credit[LOW] = 9
    world.call(cell=0)
    first = world.sent_to()
    world.call(cell=0)
    assert {first, world.sent_to()} == {"s0", "s1"}


@pytest.mark.parametrize(
    "report",
    [
        api.Report(utilization=0.95),
        api.Report(shed_share=0.3),
        api.Report(wait_ms=900.0),
        api.Report(queue_length=30.0, capacity_per_s=20.0),
    ],
)
def test_each_kind_of_report_can_put_a_switch_above_the_set_point(report: api.Report) -> None:
    world = World(may_probe=True)
    world.feed(api.ProbeAnswer("s0", 20 * MS, report))
    assert is_throttled(world.controller.switches["s0"])
    assert not is_throttled(world.controller.switches["s1"])


def test_an_unanswered_probe_is_a_wait() -> None:
    world = World(may_probe=True)
    world.feed(api.ProbeAnswer("s0", 900 * MS, None))
    assert is_throttled(world.controller.switches["s0"])


def test_probes_go_only_where_allowed() -> None:
    assert any(isinstance(a, api.Probe) for a in World(may_probe=True).advance(2 * SECOND))
    assert not any(isinstance(a, api.Probe) for a in World().advance(2 * SECOND))


def test_identical_events_give_identical_actions() -> None:
    def run() -> list[object]:
        world = World(switches=3)
        return [world.offer_calls(5, 20, took_us=300 * MS), world.advance(SECOND)]

    assert run() == run()


def test_traffic_beyond_a_tenants_share_is_told_by_the_mix() -> None:
    world = World(tenants=(api.Tenant("a", 5.0), api.Tenant("b", 5.0)))
    for n in range(400):
        world.call(tenant="a" if n % 4 else "b")
        world.end_attempt(f"c{world.call_count}", api.Outcome.SERVED, world.sent_to() or "s0", finished=True)
    seen = world.controller.group_counts
    assert seen["low", False] == pytest.approx(100, rel=0.2)  # a asks 300 of 400, its half is 200


@pytest.mark.parametrize("scale", [1, 4])
def test_the_interval_scales_with_the_aims(scale: int) -> None:
    # With a fixed second, aims four times as short were over before a budget had moved.
    kinds = [replace(kind, aim_us=kind.aim_us // scale) for kind in SETTINGS.classes]
    world = World(classes=tuple(kinds))
    world.advance(3 * SECOND // scale)
    ticks = [at for at, ref in world.timers if ref == 0]
    assert len(ticks) == 1 and 0 < ticks[0] - world.now_us <= SECOND // scale
    assert world.controller.interval_us == SECOND // scale


def test_a_switch_inherits_the_budget_of_the_one_whose_place_it_takes() -> None:
    # From nothing a budget took dozens of intervals; bookers replaced every few seconds never got there.
    world = World(switches=1)
    old = world.controller.switches["s0"]
    old.budget, old.largest_budget, old.send_rate, old.throttled_intervals = 20.0, 25.0, 18.0, 3
    world.feed(api.ListEvent(api.ListKind.CHANGES, (api.SwitchEntry("n0", 0, api.SwitchState.READY),)))
    other = api.SwitchEntry("n1", 1, api.SwitchState.READY)
    world.feed(api.ListEvent(api.ListKind.CHANGES, (other,)))
    heir = world.controller.switches["n0"]
    assert (heir.budget, heir.largest_budget, heir.send_rate) == (20.0, 25.0, 18.0)
    assert world.controller.switches["n1"].budget == 0  # another cell's
    old.send_rate, heir.send_rate = 19.0, 1.0
    world.update_switch("s0", api.SwitchState.DRAINING)  # what went there comes to the heir from here
    assert heir.send_rate == 19.0


@pytest.mark.parametrize("elsewhere", [True, False], ids=["fails here", "fails everywhere"])
def test_a_switch_that_fails_what_others_take_is_the_last_resort(elsewhere: bool) -> None:
    # It answers at once, looks idle and drew more calls; a caller's nonsense, which fails everywhere,
    # must not be held against it, nor be tried again where it failed.
    world = World()
    first = 0
    for _ in range(20):
        name = world.call(0)
        tries = 0
        while switch := world.sent_to():
            first += switch == "s0" and not tries
            if switch == "s1" and elsewhere:
                world.complete_call(name, switch, 40 * MS)
                break
            world.end_attempt(name, api.Outcome.ERROR, switch, attempt=tries)
            tries += 1
        assert elsewhere or tries == 2
    assert first == (4 if elsewhere else 20)
    if not elsewhere:
        return
    full = world.controller.switches["s1"]
    full.throttled_intervals = 3  # with no credit left
    name = world.call(0)
    for tries in range(SETTINGS.max_attempts):
        assert world.sent_to() == "s0"
        world.end_attempt(name, api.Outcome.ERROR, "s0", attempt=tries)
    assert world.actions_of(api.Refuse)
    full.throttled_intervals = 0
    for _ in range(4):  # a trial an interval, and it answers again
        world.advance(SECOND + MS)
        name = world.call(0)
        assert world.sent_to() == "s0"
        world.complete_call(name, "s0", 40 * MS)
    world.call(0)
    assert world.sent_to() == "s0"
