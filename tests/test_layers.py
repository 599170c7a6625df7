"""Imports form no cycles, and the core and the decision module use no network code."""

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


def test_imports_have_no_cycles() -> None:
    left = {name: {one for one in used if one.startswith("bitternbeam.")} for name, used in imports().items()}
    while free := [name for name, used in left.items() if not used & (left.keys() - {name})]:
        for name in free:
            del left[name]
    assert not left


def test_core_and_decision_module_import_no_network_code() -> None:
    for name, used in imports().items():
        if name.startswith(
            ("bitternbeam.core", "bitternbeam.decision", "bitternbeam.tables", "bitternbeam.metrics")
        ):
            assert not [one for one in used if one.startswith(("twisted", "zope", "bitternbeam.net"))], name


def test_fleet_decisions_import_no_other_package_and_no_io() -> None:
    # Leases, tokens and owners are decided from arguments alone: no I/O, no clock, no other package.
    for name, used in imports().items():
        if name.startswith("bitternbeam.fleet"):
            outside = {
                one
                for one in used
                if one.startswith("bitternbeam.") and not one.startswith("bitternbeam.fleet")
            }
            assert not outside, name
            assert not used & {"twisted", "time", "random", "socket", "asyncio"}, name


def test_the_program_contains_no_name_of_a_deployment() -> None:
    # Classes, sites and zones come from the settings; a name in the code would fit one deployment only.
    named = re.compile(r"budapest|debrecen|szeged|gy[oő]r|hungar|fogpont|patient|slot-|profile-view", re.I)
    for path in ROOT.rglob("*.py"):
        assert not named.findall(path.read_text()), path


def test_every_limit_is_documented() -> None:
    # A fixed time without a documented reason may fit only the deployment for which it was chosen.
    page = (ROOT.parent / "docs/constants.md").read_text()
    assert not [name for name in Limits.__slots__ if f"`{name}`" not in page]
