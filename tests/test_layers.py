"""Imports go one way, and the core and the module know no wire."""

from __future__ import annotations

import re
from pathlib import Path

from bitternbeam.limits import Limits

ROOT = Path(__file__).parent.parent / "bitternbeam"


def imports() -> dict[str, set[str]]:
    found = {}
    for path in ROOT.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__")
        text = path.read_text()
        found[name] = set(re.findall(r"^ *(?:from|import) ([\w.]+)", text, re.M))
    return found


def test_no_module_imports_in_a_circle() -> None:
    left = {name: {one for one in used if one.startswith("bitternbeam.")} for name, used in imports().items()}
    while free := [name for name, used in left.items() if not used & (left.keys() - {name})]:
        for name in free:
            del left[name]
    assert not left


def test_core_and_module_know_no_wire() -> None:
    for name, used in imports().items():
        if name.startswith(
            ("bitternbeam.core", "bitternbeam.decision", "bitternbeam.tables", "bitternbeam.metrics")
        ):
            assert not [one for one in used if one.startswith(("twisted", "zope", "bitternbeam.net"))], name


def test_the_fleets_decisions_know_nobody() -> None:
    # Leases, tokens and owners are decided from what they are told: no wire, no clock, no other part.
    for name, used in imports().items():
        if name.startswith("bitternbeam.fleet"):
            outside = {
                one
                for one in used
                if one.startswith("bitternbeam.") and not one.startswith("bitternbeam.fleet")
            }
            assert not outside, name
            assert not used & {"twisted", "time", "random", "socket", "asyncio"}, name


def test_no_name_of_a_deployment_stands_in_the_program() -> None:
    # Classes, sites and zones come from the settings; a name in the code would be one deployment's.
    named = re.compile(r"budapest|debrecen|szeged|gy[oő]r|hungar|fogpont|patient|slot-|profile-view", re.I)
    for path in ROOT.rglob("*.py"):
        assert not named.findall(path.read_text()), path


def test_every_limit_is_accounted_for() -> None:
    # A fixed time that nobody argued for fits the one deployment that it was chosen on.
    page = (ROOT.parent / "docs/constants.md").read_text()
    assert not [name for name in Limits.__slots__ if f"`{name}`" not in page]
