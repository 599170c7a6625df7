"""Ways to hold a million prefixes, side by side: python -m benchmarks.numbers [--prefixes N].

Each way runs in a process of its own: build, store, load, then look-ups of random numbers, of which nine in
ten have a prefix in the table. Load is from the file to the first answer; memory is what the process gained
by it: private pages, and all that are resident.
"""

from __future__ import annotations

import json
import pickle
import subprocess
import sys
import tempfile
import time
from bisect import bisect_right
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import click

ROOT = Path(__file__).parents[1]
LOOKUPS = 200_000
SPREAD = {4: 0.01, 5: 0.04, 6: 0.15, 7: 0.3, 8: 0.3, 9: 0.2}  # of lengths, as numbering plans have them


def prefixes(count: int) -> list[str]:
    """Draw prefixes of a national plan."""
    random = Random(1)
    found: set[str] = set()
    lengths = random.choices(list(SPREAD), list(SPREAD.values()), k=2 * count)
    for length in lengths:
        if len(found) == count:
            break
        found.add("36" + "".join(random.choices("0123456789", k=length)))
    return sorted(found)


def numbers(table: list[str]) -> list[str]:
    """Draw numbers to look up."""
    random = Random(2)
    return [
        random.choice(table) + f"{random.randrange(1000):03d}" if random.random() < 0.9 else f"44{n:09d}"
        for n in range(LOOKUPS)
    ]


Find = Callable[[str], Any]


def by_dict(table: list[str] | None, file: Path) -> Find:
    """Hold a dict of prefixes, tried from the longest length down: the simplest way."""
    if table is not None:
        file.write_bytes(pickle.dumps({prefix: place % 500 for place, prefix in enumerate(table)}))
    held: dict[str, int] = pickle.loads(file.read_bytes())
    lengths = sorted({len(prefix) for prefix in held}, reverse=True)

    def find(number: str) -> Any:
        for length in lengths:
            route = held.get(number[:length])
            if route is not None:
                return route
        return None

    return find


def by_bisection(table: list[str] | None, file: Path) -> Find:
    """Hold a sorted list; the longest prefix is found by stepping down from where the number would stand."""
    if table is not None:
        file.write_bytes(pickle.dumps(table))
    held: list[str] = pickle.loads(file.read_bytes())

    def find(number: str) -> Any:
        key = number
        while key:
            place = bisect_right(held, key) - 1
            if place < 0:
                return None
            other = held[place]
            if number.startswith(other):
                return place % 500
            shared = 0
            while shared < min(len(other), len(key)) and other[shared] == key[shared]:
                shared += 1
            key = key[:shared]
        return None

    return find


def by_marisa(table: list[str] | None, file: Path) -> Find:
    """Hold a static trie in a file that is mapped."""
    import marisa_trie  # noqa: PLC0415 - measured alone

    if table is not None:
        rows = ((prefix, (place % 500,)) for place, prefix in enumerate(table))
        marisa_trie.RecordTrie("<H", rows).save(str(file))
    held = marisa_trie.RecordTrie("<H").mmap(str(file))

    def find(number: str) -> Any:
        found = held.prefixes(number)
        return held[found[-1]][0][0] if found else None

    return find


def by_lmdb(table: list[str] | None, file: Path) -> Find:
    """Hold a key a prefix in LMDB, tried from the longest length down in one read transaction."""
    import lmdb  # noqa: PLC0415 - measured alone

    env = lmdb.open(str(file), map_size=1 << 30, subdir=False, readahead=False)
    if table is not None:
        with env.begin(write=True) as txn:
            rows = [(prefix.encode(), (place % 500).to_bytes(2, "big")) for place, prefix in enumerate(table)]
            txn.cursor().putmulti(rows, append=True)
    reading = env.begin(buffers=True)

    def find(number: str) -> Any:
        key = number.encode()
        for length in range(min(len(key), 11), 5, -1):
            route = reading.get(key[:length])
            if route is not None:
                return int.from_bytes(route, "big")
        return None

    return find


def by_table(table: list[str] | None, file: Path) -> Find:
    """Hold what was built in the end: bitternbeam/numbers/table.py, from its source text on."""
    from bitternbeam.numbers.plan import build  # noqa: PLC0415 - measured alone
    from bitternbeam.numbers.rules import read_source  # noqa: PLC0415 - likewise
    from bitternbeam.numbers.table import Table, write_table  # noqa: PLC0415 - likewise

    if table is not None:
        lines = (f"{prefix} r{place % 500}" for place, prefix in enumerate(table))
        write_table(build([read_source("main", lines)], "1"), file)
    held = Table(file, verify=False)

    def find(number: str) -> Any:
        route = held.analyse(number).route
        return int(route[1:]) if route else None

    return find


WAYS = {"table": by_table, "dict": by_dict, "bisection": by_bisection, "marisa": by_marisa, "lmdb": by_lmdb}


def memory() -> tuple[float, float]:
    """Return private and resident MB of this process."""
    told = dict(line.split(":") for line in Path("/proc/self/smaps_rollup").read_text().splitlines()[1:])
    private = int(told["Private_Dirty"].split()[0]) + int(told["Private_Clean"].split()[0])
    return private / 1000, int(told["Rss"].split()[0]) / 1000


def measure(way: str, folder: Path, step: str, count: int) -> dict[str, float]:
    """Build, or load and look up."""
    file = folder / way
    if step == "build":
        table = prefixes(count)
        began = time.perf_counter()
        WAYS[way](table, file)
        return {
            "build_s": round(time.perf_counter() - began, 2),
            "file_mb": round(file.stat().st_size / 1e6, 1),
        }
    wanted = numbers(json.loads((folder / "sample").read_text()))
    before = memory()
    began = time.perf_counter()
    find = WAYS[way](None, file)
    find(wanted[0])
    load_s = time.perf_counter() - began
    times = []
    began = time.perf_counter()
    for number in wanted:
        find(number)
    took = time.perf_counter() - began
    for number in wanted[:20_000]:
        one = time.perf_counter_ns()
        find(number)
        times.append(time.perf_counter_ns() - one)
    after = memory()
    return {
        "load_s": round(load_s, 3),
        "private_mb": round(after[0] - before[0], 1),
        "resident_mb": round(after[1] - before[1], 1),
        "lookups_per_s": round(LOOKUPS / took),
        "p99_us": round(sorted(times)[len(times) * 99 // 100] / 1000, 1),
        "sum": sum(find(number) or 0 for number in wanted),  # the same for every way
    }


@click.command()
@click.option("--prefixes", "count", default=1_000_000, show_default=True)
@click.option("--step", default="", hidden=True)
@click.option("--way", default="", hidden=True)
@click.option("--folder", default="", hidden=True)
def main(count: int, step: str, way: str, folder: str) -> None:
    """Measure each way and print JSON."""
    if step:
        click.echo(json.dumps(measure(way, Path(folder), step, count)))
        return
    with tempfile.TemporaryDirectory() as name:
        (Path(name) / "sample").write_text(json.dumps(Random(3).sample(prefixes(count), min(count, 50_000))))
        result: dict[str, dict[str, float]] = {}
        for one in WAYS:
            result[one] = {}
            for part in ("build", "load"):
                code = [sys.executable, "-m", "benchmarks.numbers", "--prefixes", str(count), "--step", part]
                code += ["--way", one, "--folder", name]
                done = subprocess.run(code, cwd=ROOT, capture_output=True, text=True, check=True)
                result[one] |= json.loads(done.stdout)
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
