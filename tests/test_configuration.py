"""Documents, their faults, snapshots and deltas."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.configuration.compiling import compile_version
from bitternbeam.configuration.delta import Changes, Number, difference, undo
from bitternbeam.configuration.faults import DocumentError
from bitternbeam.configuration.lines import placed
from bitternbeam.configuration.node import read_site
from bitternbeam.configuration.reading import MODULUS, line_of, read_line, read_toml, weigh
from bitternbeam.configuration.schema import Booker, ClassLimits, Group, Key, Route
from bitternbeam.configuration.snapshot import Snapshot
from tests.documents import FIRST, SETTINGS, entries, listed, snapshot

EMPTY = Snapshot.empty(SETTINGS, Number(0, 0))


def faults_of(text: str, number: Number = Number(0, 2)) -> list[tuple[int, str, str]]:  # noqa: B008
    """Return the faults of a document as (line, key, what)."""
    with pytest.raises(DocumentError) as caught:
        compile_version(EMPTY, dict(entries(text)), number, listed)
    return [(one.line, one.key, one.what) for one in placed(caught.value.faults, text, "f.toml")]


def test_every_fault_is_told_at_once_with_its_line_and_key() -> None:
    text = (
        '[group.city]\nbookers = ["s0"]\nwieghts = 3\n[route.a]\ngroups = []\ncell = "x"\n'
        "[class.low]\nrate = nan\n[wrong]\n[sip]\nenabled = true\nserver = [{ name = 's1' }]\n"
    )
    found = faults_of(text)
    assert [(line, key) for line, key, _ in found] == [
        (3, "group.city.wieghts"), (5, "route.a.groups"), (6, "route.a.cell"), (8, "class.low.rate"),
        (9, "wrong"), (12, "sip.server[0]"),
    ]  # fmt: skip
    assert "known are bookers" in found[0][2] and "'x'" in found[2][2] and "finite" in found[3][2]


@pytest.mark.parametrize(
    ("text", "key", "what"),
    [
        ('[group.a]\nbookers = ["s9"]', "group.a.bookers[0]", "no such booker"),
        ("[group.a]", "group.a.bookers", "needs members"),
        ('[group.a]\nbookers = ["s0"]\nweights = { s1 = 2.0 }', "group.a.weights.s1", "no member"),
        ('[group.a]\nbookers = ["s0"]\nclosed = { s0 = ["x"] }', "group.a.closed.s0[0]", "not a class"),
        ('[route.a]\ngroups = ["b"]', "route.a.groups[0]", "no such group"),
        (
            '[group.a]\ncells = [1]\n[route.a]\ngroups = ["a"]\n[route.b]\ngroups = ["a"]',
            "route.b",
            "route.a",
        ),
        ("[class.x]\nattempts = 1", "class.x", "not a class"),
        ("[class.low]\nattempts = 4", "class.low.attempts", "looser"),
        ("[class.low]\nanswer_ms = 9001", "class.low.answer_ms", "looser"),
        ("[callers.x]\nrate = 1.0", "callers.x", "IP address"),
        ('[booker.x]\naddr = "h:70000"', "booker.x.addr", "host:port"),
        ("[plugin]\nenabled = true", "plugin.file", "missing"),
        ('[sip]\nenabled = true\nlisten = "h:1"', "sip.server", "at least one"),
    ],
)
def test_what_the_schema_cannot_see_is_found(text: str, key: str, what: str) -> None:
    (found,) = faults_of(text)
    assert found[1] == key and what in found[2] and found[0] > 0


@pytest.mark.parametrize("text", ["a = ", "[group.a]\ncells = [1]\ncells = [2]", "x = " + "[" * 5000])
def test_what_is_no_toml_is_one_fault(text: str) -> None:
    with pytest.raises(DocumentError) as caught:
        read_toml(text)
    assert len(caught.value.faults) == 1 and "not TOML" in caught.value.faults[0].what


@pytest.mark.parametrize(
    "line",
    [
        b'["route","a",{"groups":["x"],"groups":["y"]}]',  # which one is meant?
        b'["route","a",{"groups":["x"],"cell":NaN}]',
        b'["route","",{"groups":["x"]}]',
        b'["sip","x",null]',
        b'["nothing","x",null]',
        b'["route","a",' + b"[" * 100_000,
        b'["route","\xff",null]',
        b'["group","a",{"bookers":[' + b",".join([b'"x"'] * 80_000) + b"]}]",
    ],
)
def test_a_bad_line_of_the_stream_is_a_fault_and_no_crash(line: bytes) -> None:
    with pytest.raises(DocumentError):
        read_line(line)


def test_a_line_comes_back_as_it_was() -> None:
    for key, entry in entries(FIRST).items():
        assert read_line(line_of(key, entry)) == (key, entry)
    assert read_line(b'["route","a",null]') == (("route", "a"), None)


def test_a_files_own_sections_are_read_beside_its_document(tmp_path: Path) -> None:
    path = tmp_path / "n.toml"
    path.write_text('[node]\nstore_mb = 0\n[control]\nkey = "k"\n[route.x]\n')
    with pytest.raises(DocumentError) as caught:
        read_site(path)
    assert [(one.line, one.key) for one in caught.value.faults] == [
        (2, "node.store_mb"), (4, "control.key"), (5, "route.x.groups")
    ]  # fmt: skip
    path.write_text(FIRST)
    assert read_site(path).entries == entries(FIRST)


def test_the_narrowest_route_decides_and_groups_come_in_order() -> None:
    built = snapshot()
    tiers = built.candidates("low", 0, "+3612")
    assert tiers and [dict(tier.switches) for tier in tiers] == [{"s0": 2.0, "s1": 1.0}, {}]
    assert tiers[1].contains("x", 2) and not tiers[1].contains("x", 1)
    closed = built.candidates("high", 0, "+3612")
    assert closed and dict(closed[0].switches) == {"s0": 2.0} and not closed[0].contains("s1", 0)
    gyor = built.candidates("high", 0, "+36961")
    assert gyor and len(gyor) == 1 and gyor[0].cells == {2}
    assert built.candidates("low", 0, "+36961") == tiers  # that route is another class's
    assert EMPTY.candidates("low", 0, "+3612") is None  # no route: anywhere


def test_limits_are_never_looser_than_the_settings() -> None:
    built = snapshot("[class.low]\nattempts = 2\nanswer_ms = 1500\n")
    assert (built.bounds("low").attempts, built.bounds("low").answer_us) == (2, 1_500_000)
    assert (built.bounds("high").attempts, built.bounds("high").answer_us) == (3, 9_000_000)


def test_what_others_name_is_not_taken_away() -> None:
    base = snapshot('[booker.x]\naddr = "h:1"\n[group.a]\nbookers = ["x"]\n[route.r]\ngroups = ["a"]\n')
    for key in (("booker", "x"), ("group", "a")):
        with pytest.raises(DocumentError) as caught:
            compile_version(base, {key: None}, Number(0, 2), listed)
        assert "names it" in caught.value.faults[0].what
    everything: Changes = dict.fromkeys(base.entries)
    assert not compile_version(base, everything, Number(0, 2), listed).entries
    named = compile_version(base, {("booker", "x"): None}, Number(0, 2), lambda _name: True)
    assert ("booker", "x") not in named.entries  # a directory lists it now


NAMES = st.sampled_from("abcd")
ENTRIES: dict[str, st.SearchStrategy[Any]] = {
    "booker": st.builds(Booker, addr=st.sampled_from(["h:1", "h:2"]), cell=st.integers(0, 2)),
    "group": st.builds(Group, bookers=st.sets(NAMES, max_size=2).map(lambda s: tuple(sorted(s)))),
    "route": st.builds(
        Route,
        groups=st.tuples(NAMES),
        call_class=st.sampled_from(["", "low"]),
        prefix=st.sampled_from(["", "+3"]),
    ),
    "class": st.builds(ClassLimits, attempts=st.integers(1, 3)),
}


@st.composite
def changes(draw: st.DrawFn) -> Changes:
    """Draw a few changes to a few entries."""
    made: Changes = {}
    for _ in range(draw(st.integers(1, 6))):
        section = draw(st.sampled_from(sorted(ENTRIES)))
        name = draw(st.sampled_from(["low", "high"]) if section == "class" else NAMES)
        made[section, name] = draw(st.none() | ENTRIES[section])
    return made


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(changes(), max_size=12))
def test_a_chain_of_deltas_is_the_version_compiled_whole(steps: list[Changes]) -> None:
    # Indexes kept by deltas that drift from the entries would route calls by what is no longer there.
    now = EMPTY
    for place, step in enumerate(steps):
        number = Number(1, place + 1)
        old = now
        back: Changes = {}
        try:
            now = compile_version(now, dict(step), number, listed)
        except DocumentError:
            assert now is old
            continue
        whole = compile_version(EMPTY, dict(now.entries), number, listed)
        for name in ("entries", "routes", "lengths", "users", "content"):
            assert getattr(now, name) == getattr(whole, name), name
        assert now.content == sum(weigh(key, one) for key, one in now.entries.items()) % MODULUS
        for _ in undo(old.entries, step, back):
            pass
        assert compile_version(now, back, number, lambda _name: True).entries == old.entries
        found: Changes = {}
        for _ in difference(old.entries, dict(now.entries), found):
            pass
        assert {key: one for key, one in step.items() if old.entries.get(key) != one} == found


def test_a_delta_shares_what_it_does_not_change() -> None:
    many = "".join(f'[route.r{n}]\ngroups = ["a"]\nprefix = "{n}"\n' for n in range(500))
    base = snapshot("[group.a]\ncells = [1]\n" + many)
    key: Key = ("route", "r7")
    other = compile_version(base, {key: Route(("a",), prefix="7777")}, Number(0, 2), listed)
    same = sum(other.entries[one] is entry for one, entry in base.entries.items())
    assert same == len(base.entries) - 1 and base.entries[key] is not other.entries[key]
