"""The project's two site files differ as intended, and a kit's files can be copied beside them."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

SITES_FOLDER = Path(__file__).parent.parent / "deploy" / "sites"
LAY_FILES = SITES_FOLDER / "lay_files.py"
REQUIRED_FILES = ("real.json", "wire.json", "unlock.txt")

Site = dict[str, Any]


@pytest.fixture(scope="module")
def sites() -> dict[str, Site]:
    return {path.stem: tomllib.loads(path.read_text("utf-8")) for path in sorted(SITES_FOLDER.glob("*.toml"))}


@pytest.fixture
def kit_folder(tmp_path: Path) -> Path:
    folder = tmp_path / "kit"
    folder.mkdir()
    for name in REQUIRED_FILES:
        (folder / name).write_text(f"text of {name}\n", "utf-8")
    return folder


@pytest.fixture
def destination(tmp_path: Path) -> Path:
    folder = tmp_path / "beside"
    folder.mkdir()
    return folder


def lay_files(source: Path, destination: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(LAY_FILES), "--from", str(source), "--to", str(destination)]
    return subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)


def names_of(folder: Path) -> set[str]:
    return {path.name for path in folder.iterdir()}


def test_two_sites_are_named_after_their_files(sites: dict[str, Site]) -> None:
    assert len(sites) == 2
    assert all(site["name"] == stem for stem, site in sites.items())


def test_the_numbers_of_classes_are_two_and_five(sites: dict[str, Site]) -> None:
    assert sorted(len(site["class"]) for site in sites.values()) == [2, 5]


def test_no_class_zone_or_server_kind_is_in_both_sites(sites: dict[str, Site]) -> None:
    names = [
        {*site["net"]["zones"], *(entry["name"] for entry in [*site["class"], *site["tier"][0]["kind"]])}
        for site in sites.values()
    ]
    assert names[0].isdisjoint(names[1])
    assert len({len(site["net"]["zones"]) for site in sites.values()}) == 2


def test_each_site_has_a_deadline_under_one_second_and_one_over_nine(sites: dict[str, Site]) -> None:
    for site in sites.values():
        deadlines_ms = [entry["deadline_ms"] for entry in site["class"]]
        assert min(deadlines_ms) < 1000
        assert max(deadlines_ms) > 9000


def test_each_class_has_its_line_of_the_family_and_an_aim_within_its_deadline(sites: dict[str, Site]) -> None:
    for site in sites.values():
        assert len(site["fam"]["class"]) == len(site["class"])
        assert len({entry["name"] for entry in site["class"]}) == len(site["class"])
        assert all(0 < entry["aim_ms"] <= entry["deadline_ms"] for entry in site["class"])


def test_one_site_allows_probes_and_the_other_does_not(sites: dict[str, Site]) -> None:
    assert sorted(site["allow"]["probes"] for site in sites.values()) == [False, True]


def test_a_site_has_tenants_whose_shares_add_up_to_one(sites: dict[str, Site]) -> None:
    shares = [[tenant["share"] for tenant in site["tenant"]] for site in sites.values() if "tenant" in site]
    assert shares
    assert all(len(each) > 1 and sum(each) == pytest.approx(1) for each in shares)


@pytest.mark.parametrize(
    ("table", "key"),
    [
        ("rules", "fall_multiple"),
        ("rules", "fall_ms"),
        ("allow", "max_attempts"),
        ("fam", "release_ms"),
        ("prices", "waste"),
        ("prices", "late_fail"),
    ],
)
def test_rules_limits_and_costs_differ(sites: dict[str, Site], table: str, key: str) -> None:
    first, second = (site[table][key] for site in sites.values())
    assert first != second


@pytest.mark.parametrize("key", ["cold_from", "cold_s"])
def test_the_ranges_of_slow_start_do_not_overlap(sites: dict[str, Site], key: str) -> None:
    low, high = sorted(site["tier"][0]["kind"][0][key] for site in sites.values())
    assert low[1] < high[0]


def test_lay_files_copies_what_the_bench_reads(kit_folder: Path, destination: Path) -> None:
    result = lay_files(kit_folder, destination)
    assert (result.returncode, result.stderr) == (0, "")
    assert result.stdout.split() == list(REQUIRED_FILES)
    assert names_of(destination) == set(REQUIRED_FILES)
    for name in REQUIRED_FILES:
        assert (destination / name).read_bytes() == (kit_folder / name).read_bytes()


def test_lay_files_replaces_copies_of_read_only_files(kit_folder: Path, destination: Path) -> None:
    for name in REQUIRED_FILES:
        (kit_folder / name).chmod(0o444)
    assert lay_files(kit_folder, destination).returncode == 0
    assert all((destination / name).stat().st_mode & 0o200 for name in REQUIRED_FILES)
    (destination / "wire.json").write_text("older", "utf-8")
    assert lay_files(kit_folder, destination).returncode == 0
    assert (destination / "wire.json").read_text("utf-8") == "text of wire.json\n"


def test_lay_files_takes_the_design_along_where_there_is_one(kit_folder: Path, destination: Path) -> None:
    (kit_folder / "design.json").write_text("{}", "utf-8")
    assert lay_files(kit_folder, destination).returncode == 0
    assert names_of(destination) == {*REQUIRED_FILES, "design.json"}


@pytest.mark.parametrize("missing", REQUIRED_FILES)
def test_lay_files_refuses_a_missing_file_with_one_line(
    kit_folder: Path, destination: Path, missing: str
) -> None:
    (kit_folder / missing).unlink()
    result = lay_files(kit_folder, destination)
    assert result.returncode == 1
    assert result.stderr == f"lay_files: {kit_folder / missing}: no such file\n"
    assert names_of(destination) == set()


def test_lay_files_refuses_a_missing_destination_with_one_line(kit_folder: Path, tmp_path: Path) -> None:
    result = lay_files(kit_folder, tmp_path / "nowhere")
    assert result.returncode == 1
    assert result.stderr.startswith("lay_files: ")
    assert result.stderr.count("\n") == 1


@pytest.mark.parametrize("name", [*REQUIRED_FILES, "design.json"])
def test_copied_files_are_ignored_by_git(name: str) -> None:
    lines = (SITES_FOLDER.parent.parent / ".gitignore").read_text("utf-8").split("\n")
    assert f"/deploy/sites/{name}" in lines
