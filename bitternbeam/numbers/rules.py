"""Rules of a plan in their source form, a line each, and everything that is wrong with a source at once."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import date
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from bitternbeam.configuration.faults import MOST_FAULTS, DocumentError, Fault
from bitternbeam.numbers.times import (
    ALWAYS,
    Calendars,
    Times,
    TimesError,
    read_date,
    read_days,
    read_hours,
    read_validity,
)

PREFIX = re.compile(r"\+?[0-9*#]{1,32}$")
NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}$")
FIELDS = ("days", "hours", "valid", "class", "cell", "digits", "cause", "plan")


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule: what it matches, when, and what becomes of the call."""

    prefix: str  # "" is the default
    route: str  # "" for one that forbids or jumps
    line: int
    times: Times = ALWAYS
    call_class: str = ""  # any
    cell: int = -1  # any
    digits: str | None = None  # in place of the prefix
    cause: str = ""  # of a call that is forbidden
    plan: str = ""  # that goes on with the number

    def matches(self, call_class: str, cell: int) -> bool:
        """Tell whether it is for calls of a class and a first-choice cell."""
        return self.call_class in ("", call_class) and self.cell in (-1, cell)

    def meets(self, other: Rule, calendars: Calendars) -> bool:
        """Tell whether both may hold for one call."""
        return (
            (not self.call_class or not other.call_class or self.call_class == other.call_class)
            and (self.cell < 0 or other.cell < 0 or self.cell == other.cell)
            and self.times.meets(other.times, calendars)
        )

    def narrower(self, other: Rule, calendars: Calendars) -> bool:
        """Tell whether it holds only where another does, and not everywhere there."""
        inside = (
            other.call_class in ("", self.call_class)
            and other.cell in (-1, self.cell)
            and self.times.within(other.times, calendars)
        )
        back = (
            self.call_class in ("", other.call_class)
            and self.cell in (-1, other.cell)
            and other.times.within(self.times, calendars)
        )
        return inside and not back


@dataclass(slots=True)
class Source:
    """One plan's rules as they were read."""

    name: str
    zone: ZoneInfo = field(default_factory=lambda: ZoneInfo("UTC"))  # given, if a rule holds at times only
    calendars: dict[str, frozenset[date]] = field(default_factory=dict)
    rules: list[Rule] = field(default_factory=list)


class LineError(ValueError):
    """A line that can't be used; the message says why."""


def read_source(name: str, lines: Iterable[str], file: str = "") -> Source:
    """Read a plan; raises DocumentError with a fault for every line that is wrong."""
    source = Source(name)
    faults: list[Fault] = []
    zoned = False
    for place, text in enumerate(lines, 1):
        words = text.partition("#")[0].split()
        if not words:
            continue
        try:
            if words[0] == "zone":
                zoned = True
                source.zone = read_zone(words[1:])
            elif words[0] == "calendar":
                read_calendar(source, words[1:])
            else:
                source.rules.append(read_rule(words, place, source.calendars))
        except (LineError, TimesError) as error:
            faults.append(Fault("", str(error), file, place))
            if len(faults) >= MOST_FAULTS:
                break
    timed = next((rule for rule in source.rules if rule.times is not ALWAYS), None)
    if timed is not None and not zoned:
        # Danger: days and hours in a zone that nobody named would be wrong by hours, unseen.
        why = "days=, hours= and valid= are local times: a line `zone NAME` has to say where"
        faults.append(Fault("", why, file, timed.line))
    if faults:
        raise DocumentError(faults)
    return source


def read_zone(words: list[str]) -> ZoneInfo:
    """Read `zone NAME`, a name of the IANA data."""
    if len(words) != 1:
        raise LineError("zone: one name of the IANA data is wanted")
    try:
        return ZoneInfo(words[0])
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise LineError(f"zone: {words[0]!r} is not in the IANA data") from None


def read_calendar(source: Source, words: list[str]) -> None:
    """Read `calendar NAME 2026-12-25 2026-12-26`; further lines of a name add to it."""
    if len(words) < 2 or not NAME.match(words[0]):
        raise LineError("calendar: a name and at least one date are wanted")
    if any(rule.times.holidays | rule.times.without for rule in source.rules):
        raise LineError(f"calendar {words[0]}: stands after a rule that uses a calendar")
    days = frozenset(map(read_date, words[1:]))
    source.calendars[words[0]] = source.calendars.get(words[0], frozenset()) | days


def read_rule(words: list[str], line: int, calendars: Calendars) -> Rule:
    """Read `PREFIX ROUTE FIELD=VALUE...`; a rule that forbids or jumps has `-` for its route."""
    prefix = "" if words[0] == "default" else words[0]
    if prefix and not PREFIX.match(prefix):
        raise LineError(f"{prefix!r} is neither a prefix nor 'default'")
    if len(words) < 2 or "=" in words[1] or not NAME.match(words[1]):
        raise LineError("a route is wanted after the prefix, or - with cause= or plan=")
    fields: dict[str, str] = {}
    for word in words[2:]:
        name, equals, value = word.partition("=")
        if not equals or not value or name not in FIELDS:
            raise LineError(f"{word!r} is no field; known are {', '.join(FIELDS)}")
        if name in fields:
            raise LineError(f"{name} stands twice")
        fields[name] = value
    route = "" if words[1] == "-" else words[1]
    ways = [bool(route), "cause" in fields, "plan" in fields]
    if sum(ways) != 1:
        raise LineError("a rule has one of a route, cause= and plan=")
    if "cause" in fields and "digits" in fields:
        raise LineError("digits= means nothing for a call that is forbidden")
    digits = fields.get("digits")
    if digits is not None and digits != "-" and not PREFIX.match(digits):
        raise LineError(f"digits: {digits!r} are no digits")
    cell = fields.get("cell", "-1")
    if "cell" in fields and not cell.isdecimal():
        raise LineError(f"cell: {cell!r} is no number")
    return Rule(
        prefix, route, line, times_of(fields, calendars), fields.get("class", ""), int(cell),
        "" if digits == "-" else digits, fields.get("cause", ""), fields.get("plan", ""),
    )  # fmt: skip


def times_of(fields: dict[str, str], calendars: Calendars) -> Times:
    """Return when a rule holds."""
    made: dict[str, object] = {}
    if "days" in fields:
        week, holidays, without = read_days(fields["days"], calendars)
        made |= {"week": week, "holidays": holidays, "without": without}
    if "hours" in fields:
        made["minutes"] = read_hours(fields["hours"])
    if "valid" in fields:
        made["first"], made["last"] = read_validity(fields["valid"])
    return Times(**made) if made else ALWAYS  # type: ignore[arg-type]
