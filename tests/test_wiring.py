"""What a version changes at work: SIP servers, Consul, the plug-in, allowed switches in the module."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.faults import DocumentError
from bitternbeam.configuration.node import Control, Node, Site
from bitternbeam.configuration.schema import Booker, Consul, Plugin
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.counters import Counters
from bitternbeam.decision import budget
from bitternbeam.net.sip.settings import SipServer, servers_of
from bitternbeam.wiring.configured.followers import PluginFollower, SipFollower
from bitternbeam.wiring.files import read_sip
from bitternbeam.wiring.sip import SipPart
from tests.documents import SETTINGS, snapshot
from tests.loop import until
from tests.test_sip import Stage
from tests.world import MS, SECOND, World

ROOT = Path(__file__).parents[1]
SERVER = '[[sip.server]]\nname = "s"\naddr = "127.0.0.1:1"\ntransport = "udp"\ncell = 0\n'


@pytest.fixture
def stage() -> Iterator[Stage]:
    one = Stage()
    yield one
    one.close()


def brought(**bookers: Booker) -> Snapshot:
    """Return a version with these servers."""
    entries: dict[Any, Any] = {("booker", name): one for name, one in bookers.items()}
    return Snapshot.proven(SETTINGS, Number(0, 1), entries, 0)


@pytest.mark.parametrize(
    ("line", "ms"), [("", 9_000), ("answer_ms = 800", 800), ("answer_ms = 60000", 9_000)]
)
def test_a_sip_caller_waits_no_longer_than_the_longest_deadline(tmp_path: Path, line: str, ms: int) -> None:
    file = tmp_path / "sip.toml"
    file.write_text(f'[sip]\nenabled = true\nlisten = "127.0.0.1:5060"\n{line}\n{SERVER}')
    told = read_sip(file, SETTINGS)
    assert told is not None and told.answer_us == ms * MS and told.call_class == SETTINGS.classes[0].name


def test_calls_stand_on_at_a_server_that_a_version_takes_away(stage: Stage) -> None:
    part = SipPart.__new__(SipPart)
    part.core, part.site = stage.core, stage.site
    both = [Booker(f"{b.at[0]}:{b.at[1]}", n) for n, b in enumerate(stage.bookers)]
    follower = SipFollower(part, brought(s0=both[0], s1=both[1]))
    call = stage.caller.dial("plain-1", ("x-call-class", "high"))
    until(lambda: call.acks and stage.taken("plain-1")[0].acked)
    kept = next(n for n, one in enumerate(stage.bookers) if not one.taken)
    follower(brought(**{f"s{kept}": both[kept]}))
    assert len(stage.core.calls) == 1 and not call.byes
    other = stage.caller.dial("plain-2", ("x-call-class", "high"))
    until(lambda: other.acks)
    assert [one.number for one in stage.bookers[kept].taken.values()] == ["plain-2"]
    stage.caller.hang_up("plain-1")
    until(lambda: stage.taken("plain-1")[0].byed)  # at the server that has gone


class Followed:
    """A SIP part that notes what it is asked."""

    def __init__(self) -> None:
        self.asked: list[Any] = []
        self.site = SimpleNamespace(consul=SimpleNamespace(start=lambda: self.asked.append("start")))

    def follow(self, consul: Any) -> None:
        self.asked.append(consul and consul.service)

    def serve(self, servers: tuple[SipServer, ...]) -> None:
        self.asked.append([one.name for one in servers])


def test_the_list_changes_hands_between_a_version_and_consul() -> None:
    part = Followed()
    first = brought(a=Booker("h:1"))
    follower = SipFollower(part, first)
    follower(first)
    assert part.asked == []
    entries = dict(first.entries)
    entries["consul", ""] = Consul("h:2", "desk")
    follower(Snapshot.proven(SETTINGS, Number(0, 2), entries, 0))
    follower(first)  # the same servers as before Consul
    follower(brought(a=Booker("h:1"), b=Booker("h:3")))
    assert part.asked == ["desk", "start", None, ["a"], ["a", "b"]]
    assert [one.hop.port for one in servers_of(brought(b=Booker("h:3", transport="tcp")))] == [3]


def test_a_plug_in_comes_and_goes_with_its_version_and_a_bad_one_turns_it_down() -> None:
    core = SimpleNamespace(gate=None)
    part = SimpleNamespace(name="platform", core=core)
    common = SimpleNamespace(config=SimpleNamespace(settings=SETTINGS))
    daemon: Any = SimpleNamespace(serving=[part], common=common, counters=Counters())
    follower = PluginFollower(daemon, Site(ROOT / "example/site.toml", Node(), Control(), {}))

    def version(file: str, enabled: bool = True) -> Snapshot:
        return Snapshot.proven(SETTINGS, Number(0, 1), {("plugin", ""): Plugin(enabled, file)}, 0)

    none = snapshot()
    follower.begin(none)
    with pytest.raises(DocumentError) as caught:
        follower.check(none, version("nothing.wat"))
    assert caught.value.faults[0].key == "plugin.file" and core.gate is None
    good = version("plugin.wat")
    follower.check(none, good)
    assert core.gate is None  # checked, not applied
    follower(good)
    gate = core.gate
    assert gate is not None
    follower(good)
    assert core.gate is gate
    follower(none)  # a rollback
    assert core.gate is None


# The module.


def tier(*names: str, **weights: float) -> api.Tier:
    return api.Tier(dict.fromkeys(names, 1.0) | weights)


def test_a_call_goes_to_its_tiers_in_order_whatever_cell_it_names() -> None:
    world = World(switches=4)
    allowed = (tier("s2"), tier("s3"))
    name = world.call(cell=0, allowed=allowed)
    assert world.sent_to() == "s2"
    world.end_attempt(name, api.Outcome.TURNED_AWAY, "s2")
    assert world.sent_to() == "s3"
    world.end_attempt(name, api.Outcome.TURNED_AWAY, "s3", attempt=1)
    assert world.sent_to() == "s2"  # both have failed: within the attempts, the first again
    world.end_attempt(name, api.Outcome.TURNED_AWAY, "s2", attempt=2)
    assert world.sent_to() is None and world.actions_of(api.Refuse)
    world.update_switch("s2", api.SwitchState.DRAINING)
    world.call(cell=2, allowed=allowed)
    assert world.sent_to() == "s3"
    world.call(allowed=())
    assert world.actions_of(api.Refuse)


def test_a_tier_of_cells_leaves_out_what_is_shut() -> None:
    world = World(switches=4)
    only = (api.Tier({}, frozenset({1, 2}), frozenset({"s1"})),)
    for _ in range(5):
        world.call(cell=1, allowed=only)
        assert world.sent_to() == "s2"


def test_weights_share_calls_out_and_attempts_are_bounded_by_the_call() -> None:
    world = World(switches=3)
    seen: Tally[str | None] = Tally()
    for _ in range(400):
        name = world.call(cell=9, allowed=(tier(s0=9.0, s1=1.0, s2=1.0),))
        switch = world.sent_to()
        seen[switch] += 1
        world.complete_call(name, switch or "", 40 * MS)
        world.advance(5 * MS)
    assert seen["s0"] > seen["s1"] + seen["s2"]
    name = world.call(cell=0, max_attempts=1)
    world.end_attempt(name, api.Outcome.TURNED_AWAY, world.sent_to() or "")
    assert world.actions_of(api.Refuse)


def test_of_many_switches_those_in_use_are_stepped_each_interval_and_the_others_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(switches=300)
    world.advance(3 * SECOND)
    switches = world.controller.switches.values()
    assert all(one.largest_budget > 0 for one in switches)  # in slices, but all of them
    stepped: list[str] = []
    step = budget.step_budget

    def noted(gateway: Any, switch: Any, shares: Any) -> None:
        stepped.append(switch.name)
        step(gateway, switch, shares)

    monkeypatch.setattr(budget, "step", noted)
    for _ in range(20):
        world.complete_call(world.call(cell=7, allowed=(tier("s7"),)), "s7", 40 * MS)
        world.advance(200 * MS)
    assert set(stepped) == {"s7"} and len(stepped) >= 3
