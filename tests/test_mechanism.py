"""The pool throttle and the route, driven through events."""

from __future__ import annotations

from dataclasses import replace

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision.load import throttled
from tests.world import MS, SECOND, SETTINGS, World

LOW = ("low", True)


def test_a_refusal_says_when_to_come_back_within_what_callers_heed() -> None:
    for most_us, told_us in ((2 * SECOND, 400 * MS), (100 * MS, 100 * MS), (0, 0)):
        world = World(switches=0, max_stay_away_us=most_us)
        world.call()
        assert world.got(api.Refuse)[0].stay_away_us == told_us


def test_a_gateway_with_a_third_of_a_call_an_interval_gets_its_part_through() -> None:
    world = World(switches=1, gateways=250)
    switch = world.controller.switches["s0"]
    sent = 0
    for _ in range(100):
        switch.pressed, switch.budget, switch.rate = 3, 0.2, 0.3
        world.call()
        if world.sent():
            sent += 1
            world.serve(f"c{world.count}", "s0", 40 * MS)
        world.wait(3 * SECOND)
    assert 30 <= sent <= 90  # of a hundred calls in 300 intervals, with an allowance of 60 and steps up


def test_probes_of_a_large_fleet_add_up_to_a_bounded_rate() -> None:
    world = World(switches=1, gateways=250, may_probe=True)
    probes = sum(isinstance(action, api.Probe) for action in world.wait(500 * SECOND))
    assert probes * 250 / 500 == pytest.approx(8, rel=0.5)


def test_nothing_is_refused_while_unthrottled_and_the_named_switch_is_taken() -> None:
    world = World()
    for _ in range(50):
        world.call(cell=1)
        assert world.sent() == "s1"


def test_a_throttled_switch_refuses_before_sending_and_the_throttle_lapses() -> None:
    world = World(switches=1)
    assert world.traffic(5, 10) == 0
    assert world.traffic(3, 10, took_us=350 * MS) > 0
    world.traffic(12, 10)  # below the set point again: the budget climbs, then the memory runs out
    assert world.traffic(3, 10) == 0


def test_the_worthier_class_keeps_its_quota_under_pressure() -> None:
    world = World(switches=1)
    switch = world.controller.switches["s0"]
    switch.pressed, switch.budget, switch.rate = 3, 4.0, 5.0
    refused = {"low": 0, "high": 0}
    for n in range(100):
        kind = "high" if n % 4 == 0 else "low"
        world.call(kind=kind)
        refused[kind] += len(world.got(api.Refuse))
        if world.sent():
            world.stands(f"c{world.count}")
        switch.says_high = switch.budget > 4
        world.wait(SECOND // 12)
    assert refused["high"] / 25 < refused["low"] / 75 / 2


def test_a_throttled_route_takes_the_switch_with_fewer_unanswered() -> None:
    world = World()
    world.controller.switches["s0"].pressed = 3
    world.controller.switches["s0"].credit[LOW] = 9
    world.call(cell=0)
    first = world.sent()
    world.call(cell=0)
    assert {first, world.sent()} == {"s0", "s1"}


@pytest.mark.parametrize(
    "report",
    [
        api.Report(busy=0.95),
        api.Report(hold_back=0.3),
        api.Report(wait_ms=900.0),
        api.Report(waiting=30.0, can_take=20.0),
    ],
)
def test_each_kind_of_report_can_put_a_switch_above_the_set_point(report: api.Report) -> None:
    world = World(may_probe=True)
    world.feed(api.ProbeAnswer("s0", 20 * MS, report))
    assert throttled(world.controller.switches["s0"])
    assert not throttled(world.controller.switches["s1"])


def test_an_unanswered_probe_is_a_wait() -> None:
    world = World(may_probe=True)
    world.feed(api.ProbeAnswer("s0", 900 * MS, None))
    assert throttled(world.controller.switches["s0"])


def test_probes_go_only_where_allowed() -> None:
    assert any(isinstance(a, api.Probe) for a in World(may_probe=True).wait(2 * SECOND))
    assert not any(isinstance(a, api.Probe) for a in World().wait(2 * SECOND))


def test_identical_events_give_identical_actions() -> None:
    def run() -> list[object]:
        world = World(switches=3)
        return [world.traffic(5, 20, took_us=300 * MS), world.wait(SECOND)]

    assert run() == run()


def test_traffic_beyond_a_tenants_share_is_told_by_the_mix() -> None:
    world = World(tenants=(api.Tenant("a", 5.0), api.Tenant("b", 5.0)))
    for n in range(400):
        world.call(tenant="a" if n % 4 else "b")
        world.ends(f"c{world.count}", api.Outcome.SERVED, world.sent() or "s0", finished=True)
    seen = world.controller.seen
    assert seen["low", False] == pytest.approx(100, rel=0.2)  # a asks 300 of 400, its half is 200


@pytest.mark.parametrize("scale", [1, 4])
def test_the_interval_scales_with_the_aims(scale: int) -> None:
    # With a fixed second, aims four times as short were over before a budget had moved.
    kinds = [replace(kind, aim_us=kind.aim_us // scale) for kind in SETTINGS.classes]
    world = World(classes=tuple(kinds))
    world.wait(3 * SECOND // scale)
    ticks = [at for at, ref in world.timers if ref == 0]
    assert len(ticks) == 1 and 0 < ticks[0] - world.now <= SECOND // scale
    assert world.controller.interval_us == SECOND // scale


def test_a_switch_inherits_the_budget_of_the_one_whose_place_it_takes() -> None:
    # From nothing a budget took dozens of intervals; bookers replaced every few seconds never got there.
    world = World(switches=1)
    old = world.controller.switches["s0"]
    old.budget, old.largest, old.rate, old.pressed = 20.0, 25.0, 18.0, 3
    world.feed(api.ListEvent(api.ListKind.CHANGES, (api.SwitchEntry("n0", 0, api.SwitchState.READY),)))
    other = api.SwitchEntry("n1", 1, api.SwitchState.READY)
    world.feed(api.ListEvent(api.ListKind.CHANGES, (other,)))
    heir = world.controller.switches["n0"]
    assert (heir.budget, heir.largest, heir.rate) == (20.0, 25.0, 18.0)
    assert world.controller.switches["n1"].budget == 0  # another cell's
    old.rate, heir.rate = 19.0, 1.0
    world.tell("s0", api.SwitchState.DRAINING)  # what went there comes to the heir from here
    assert heir.rate == 19.0


@pytest.mark.parametrize("elsewhere", [True, False], ids=["fails here", "fails everywhere"])
def test_a_switch_that_fails_what_others_take_is_the_last_resort(elsewhere: bool) -> None:
    # It answers at once, looks idle and drew more calls; a caller's nonsense, which fails everywhere,
    # must not be held against it, nor be tried again where it failed.
    world = World()
    first = 0
    for _ in range(20):
        name = world.call(0)
        tries = 0
        while switch := world.sent():
            first += switch == "s0" and not tries
            if switch == "s1" and elsewhere:
                world.serve(name, switch, 40 * MS)
                break
            world.ends(name, api.Outcome.ERROR, switch, attempt=tries)
            tries += 1
        assert elsewhere or tries == 2
    assert first == (4 if elsewhere else 20)
    if not elsewhere:
        return
    full = world.controller.switches["s1"]
    full.pressed = 3  # with no credit left
    name = world.call(0)
    for tries in range(SETTINGS.max_attempts):
        assert world.sent() == "s0"
        world.ends(name, api.Outcome.ERROR, "s0", attempt=tries)
    assert world.got(api.Refuse)
    full.pressed = 0
    for _ in range(4):  # a trial an interval, and it answers again
        world.wait(SECOND + MS)
        name = world.call(0)
        assert world.sent() == "s0"
        world.serve(name, "s0", 40 * MS)
    world.call(0)
    assert world.sent() == "s0"
