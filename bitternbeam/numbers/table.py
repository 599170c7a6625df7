"""A compiled table: all plans of one version in one file, mapped by every process that reads it.

The file is an LMDB environment without locks, written whole and moved into place, so that a reader has the
old one or the new one. A key is plan and prefix, a value the rules of that prefix, the narrowest first. The
head has the version and the digest of all else; a file whose digest is another is damaged.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from datetime import date
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import lmdb
import msgspec
from blake3 import blake3

from bitternbeam.lmdb_files import describe_truncation
from bitternbeam.numbers.plan import Analysis, Plans, follow
from bitternbeam.numbers.rules import Rule
from bitternbeam.numbers.times import ALWAYS, Moment, Times

FORMAT = 1
HEAD = b"\0head"  # no plan's name begins with a zero byte
BATCH = 4096
SPARE = 8  # times the plain size of the records: LMDB's pages are not full


class TableError(Exception):
    """A table that can't be used; the text names the file and says why."""


class KeptRule(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True, gc=False):
    """One rule as the file has it."""

    line: int
    route: str = ""
    call_class: str = ""
    cell: int = -1
    digits: str | None = None
    cause: str = ""
    plan: str = ""
    times: int = -1  # place in the plan's times; -1: always


class KeptTimes(msgspec.Struct, frozen=True, array_like=True):
    """When a rule holds."""

    week: int
    holidays: tuple[str, ...]
    without: tuple[str, ...]
    minutes: str  # in hexadecimal: more bits than msgpack's integers have
    first: date
    last: date


class KeptPlan(msgspec.Struct, frozen=True):
    """What is told once of a plan."""

    zone: str
    lengths: tuple[int, ...]  # of prefixes, the longest first
    calendars: dict[str, tuple[date, ...]]
    times: tuple[KeptTimes, ...]


class Head(msgspec.Struct, frozen=True):
    """What is told once of a table."""

    format: int
    version: str
    begin: str
    rules: int
    digest: str
    plans: dict[str, KeptPlan]


RULES = msgspec.msgpack.Decoder(tuple[KeptRule, ...])
ENCODER = msgspec.msgpack.Encoder()


def key_of(plan: str, prefix: str) -> bytes:
    """Return the key of a prefix's rules."""
    return f"{plan}\0{prefix}".encode()


def records(plans: Plans) -> Iterator[tuple[bytes, bytes]]:
    """Yield each prefix's record in the order of the keys."""
    for name in sorted(plans.plans):
        plan = plans.plans[name]
        kinds = {times: place for place, times in enumerate(times_of(plans, name))}
        for prefix in sorted(plan.by_prefix):
            kept = tuple(
                KeptRule(
                    rule.line, rule.route, rule.call_class, rule.cell, rule.digits, rule.cause, rule.plan,
                    kinds.get(rule.times, -1),
                )
                for rule in plan.by_prefix[prefix]
            )  # fmt: skip
            yield key_of(name, prefix), ENCODER.encode(kept)


def times_of(plans: Plans, name: str) -> list[Times]:
    """Return the different times of a plan's rules."""
    return list(dict.fromkeys(r.times for r in plans.plans[name].source.rules if r.times is not ALWAYS))


def kept_plan(plans: Plans, name: str) -> KeptPlan:
    """Return what is told once of a plan."""
    plan = plans.plans[name]
    times = tuple(
        KeptTimes(
            one.week, tuple(sorted(one.holidays)), tuple(sorted(one.without)), f"{one.minutes:x}",
            one.first, one.last,
        )
        for one in times_of(plans, name)
    )  # fmt: skip
    calendars = {key: tuple(sorted(days)) for key, days in plan.source.calendars.items()}
    return KeptPlan(plan.source.zone.key, plan.lengths, calendars, times)


def write_table(plans: Plans, file: Path) -> Head:
    """Compile plans into a file, in place of what stood there; raises TableError."""
    rows = list(records(plans))
    digest = blake3()
    for key, value in rows:
        digest.update(key + value)
    count = sum(len(plan.source.rules) for plan in plans.plans.values())
    kept = {name: kept_plan(plans, name) for name in plans.plans}
    head = Head(FORMAT, plans.version, plans.begin, count, digest.hexdigest(), kept)
    raw = ENCODER.encode(head)
    size = (sum(len(key) + len(value) for key, value in rows) + len(raw)) * SPARE + (1 << 20)
    new = file.with_name(f"{file.name}.new-{os.getpid()}")
    try:
        with lmdb.open(str(new), map_size=size, subdir=False, lock=False, sync=True) as env:
            with env.begin(write=True) as txn:
                txn.put(HEAD, raw)
                cursor = txn.cursor()
                for start in range(0, len(rows), BATCH):
                    cursor.putmulti(rows[start : start + BATCH])
            env.sync(True)
        os.replace(new, file)
    except (OSError, lmdb.Error) as error:
        new.unlink(missing_ok=True)
        raise TableError(f"table {file}: {getattr(error, 'strerror', None) or error}") from None
    return head


class Table:
    """One table version, mapped; analysed against as Plans are."""

    def __init__(self, file: Path, verify: bool = True) -> None:
        """Map a file; raises TableError for one that is not a whole table of this program."""
        self.file = file
        self.env: Any = None
        try:
            self.env = lmdb.open(str(file), subdir=False, lock=False, readonly=True, readahead=False)
            if short := describe_truncation(self.env, file):
                raise TableError(f"table {file}: cut short: {short}")
            self.txn = self.env.begin(buffers=True)
            raw = self.txn.get(HEAD)
            if raw is None:
                raise TableError(f"table {file}: not a table")
            self.head = msgspec.msgpack.decode(raw, type=Head)
            if self.head.format != FORMAT:
                raise TableError(f"table {file}: format {self.head.format}; this program reads {FORMAT}")
            if verify and self._digest() != self.head.digest:
                raise TableError(f"table {file}: damaged: its digest is another")
            self.zones = {name: ZoneInfo(plan.zone) for name, plan in self.head.plans.items()}
            self.times = {name: list(map(read_times, plan.times)) for name, plan in self.head.plans.items()}
            self.calendars = {
                name: {key: frozenset(days) for key, days in plan.calendars.items()}
                for name, plan in self.head.plans.items()
            }
        except TableError:
            self.close()
            raise
        except Exception as error:  # whatever a damaged page brings about
            self.close()
            raise TableError(f"table {file}: {getattr(error, 'strerror', None) or error}") from None

    def _digest(self) -> str:
        digest = blake3()
        for key, value in self.txn.cursor():
            if bytes(key) != HEAD:
                digest.update(bytes(key) + bytes(value))
        return digest.hexdigest()

    @property
    def version(self) -> str:
        """The version that it was built as."""
        return self.head.version

    def close(self) -> None:
        """Unmap it."""
        if self.env is not None:
            self.env.close()
            self.env = None

    def find(self, plan: str, number: str, call_class: str, cell: int, at_us: int) -> Rule | None:
        """Return the rule that decides, as Plan.find() does."""
        moment = None
        for length in self.head.plans[plan].lengths:
            if length > len(number):
                continue
            prefix = number[:length]
            raw = self.txn.get(key_of(plan, prefix))
            for kept in RULES.decode(raw) if raw is not None else ():
                if kept.call_class not in ("", call_class) or kept.cell not in (-1, cell):
                    continue
                if kept.times >= 0:
                    moment = moment or Moment.at(at_us, self.zones[plan])
                    if not self.times[plan][kept.times].holds(moment, self.calendars[plan]):
                        continue
                return Rule(
                    prefix, kept.route, kept.line, digits=kept.digits, cause=kept.cause, plan=kept.plan
                )
        return None

    def analyse(
        self, number: str, call_class: str = "", cell: int = -1, at_us: int = 0, plan: str = ""
    ) -> Analysis:
        """Decide a number in its normal form, for a call whose set-up came whole at an instant."""
        return follow(
            lambda name, left: self.find(name, left, call_class, cell, at_us), plan or self.head.begin, number
        )


def read_times(kept: KeptTimes) -> Times:
    """Return when a rule holds."""
    return Times(
        kept.week, frozenset(kept.holidays), frozenset(kept.without), int(kept.minutes, 16),
        kept.first, kept.last,
    )  # fmt: skip
