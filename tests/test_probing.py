"""Which switches are asked for a report: ready ones, by the whole fleet about so many times a second."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

import bitternbeam.decision.interface as api
from bitternbeam.decision.load import interval_and_wait_limit
from bitternbeam.decision.probing import PROBES_PER_S, Probing
from bitternbeam.decision.state import Switch
from tests.world import SETTINGS

READY = [Switch(f"s{n}", n) for n in range(1000)]
AWAY = [Switch("d", 0, api.SwitchState.DRAINING), Switch("g", 0, api.SwitchState.GONE)]


@pytest.mark.parametrize("gateways", [1, 4, 16, 80])
def test_all_gateways_together_probe_a_switch_so_often(gateways: int) -> None:
    settings = replace(SETTINGS, may_probe=True, gateways=gateways)
    found = [Probing(settings, Random(seed)).switches_to_probe([*AWAY, *READY]) for seed in range(gateways)]
    assert all(names == sorted(names, key=lambda name: int(name[1:])) for names in found)  # none is away
    assert sum(map(len, found)) / len(READY) == pytest.approx(min(PROBES_PER_S, gateways), rel=0.1)


@pytest.mark.parametrize("aim_us", [350_000, 750_000, 1_500_000])
def test_short_aims_bring_no_more_probes_a_second(aim_us: int) -> None:
    classes = tuple(replace(kind, aim_us=aim_us) for kind in SETTINGS.classes)
    settings = replace(SETTINGS, may_probe=True, gateways=40, classes=classes)
    intervals_a_second = 1_000_000 / interval_and_wait_limit(settings)[0]
    found = [Probing(settings, Random(seed)).switches_to_probe(READY) for seed in range(40)]
    probes = sum(map(len, found)) / len(READY) * intervals_a_second
    assert probes == pytest.approx(PROBES_PER_S, rel=0.1)


def test_where_none_may_be_sent_nothing_is_drawn() -> None:
    random = Random(1)
    before = random.getstate()
    assert Probing(replace(SETTINGS, may_probe=False), random).switches_to_probe(READY) == []
    assert random.getstate() == before
