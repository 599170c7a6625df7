"""When a rule holds: days, hours, validity and holidays in a plan's own zone, and when that changes next.

Everything is decided from one instant: the one at which a call's set-up came whole. Local time comes from the
IANA data, so an hour that daylight saving skips never comes, and one that it repeats holds both times.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import UTC, date, datetime, time, timedelta
from zoneinfo import ZoneInfo

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
DAY_MINUTES = 24 * 60
ALL_DAY = (1 << DAY_MINUTES) - 1  # a bit a minute
ALL_WEEK = 0b1111111
ONE_DAY = timedelta(days=1)
ENUMERATED = 400  # days of a validity that are looked at one by one

Calendars = Mapping[str, frozenset[date]]


class TimesError(ValueError):
    """A field that says no time; the message says why."""


@dataclass(frozen=True, slots=True)
class Moment:
    """An instant as a plan's clocks show it."""

    day: date
    minute: int

    @classmethod
    def at(cls, at_us: int, zone: ZoneInfo) -> Moment:
        """Return the local day and minute of an instant in Unix microseconds."""
        local = datetime.fromtimestamp(at_us // 1_000_000, zone)
        return cls(local.date(), local.hour * 60 + local.minute)


@dataclass(frozen=True, slots=True)
class Times:
    """The times at which a rule holds; the usual ones are always."""

    week: int = ALL_WEEK  # a bit a weekday, from Monday
    holidays: frozenset[str] = frozenset()  # calendars whose days count as well
    without: frozenset[str] = frozenset()  # calendars whose days do not
    minutes: int = ALL_DAY
    first: date = date.min
    last: date = date.max

    def on(self, day: date, calendars: Calendars) -> bool:
        """Tell whether it holds at some time of a day."""
        if not self.first <= day <= self.last or any(day in calendars[name] for name in self.without):
            return False
        return bool(self.week >> day.weekday() & 1) or any(day in calendars[name] for name in self.holidays)

    def holds(self, moment: Moment, calendars: Calendars) -> bool:
        """Tell whether it holds at a moment."""
        return bool(self.minutes >> moment.minute & 1) and self.on(moment.day, calendars)

    def meets(self, other: Times, calendars: Calendars) -> bool:
        """Tell whether both may hold at once."""
        if not self.minutes & other.minutes:
            return False
        return any(
            self.on(day, calendars) and other.on(day, calendars) for day in days_of(self, other, calendars)
        )

    def within(self, other: Times, calendars: Calendars) -> bool:
        """Tell whether it holds only when another does."""
        return not self.minutes & ~other.minutes and all(
            other.on(day, calendars) for day in days_of(self, self, calendars) if self.on(day, calendars)
        )

    def edges(self) -> Iterator[int]:
        """Yield the minutes of the day at which it begins or ends to hold."""
        changes = self.minutes ^ (self.minutes << 1 & ALL_DAY | self.minutes >> (DAY_MINUTES - 1))
        while changes:
            low = changes & -changes
            yield low.bit_length() - 1
            changes ^= low


ALWAYS = Times()


def days_of(one: Times, other: Times, calendars: Calendars) -> Iterable[date]:
    """Return days that stand for all on which both are valid: short spans whole, others by their kinds."""
    first, last = max(one.first, other.first), min(one.last, other.last)
    if first > last:
        return ()
    named = {day for days in calendars.values() for day in days if first <= day <= last}
    if first == date.min:
        # A week that no calendar names stands for all ordinary days.
        begin = max([day for days in calendars.values() for day in days], default=date(2000, 1, 1)) + ONE_DAY
        first = min(begin, last - 7 * ONE_DAY) if last != date.max else begin
    span = min((last - first).days, ENUMERATED) if last != date.max else 2 * len(DAYS)
    return {first + ONE_DAY * place for place in range(span + 1)} | named


def read_days(text: str, calendars: Iterable[str]) -> tuple[int, frozenset[str], frozenset[str]]:
    """Read `mon-fri,sun,NAME` or `mon-fri,!NAME` (a calendar); returns week, holidays and those left out."""
    week, known = 0, set(calendars)
    holidays, without = set(), set()
    for part in text.split(","):
        first, dash, last = part.partition("-")
        if part.startswith("!") and part[1:] in known:
            without.add(part[1:])
        elif part in known:
            holidays.add(part)
        elif first in DAYS and (not dash or last in DAYS):
            place, end = DAYS.index(first), DAYS.index(last or first)
            while True:
                week |= 1 << place
                if place == end:
                    break
                place = (place + 1) % len(DAYS)
        else:
            raise TimesError(f"days: {part!r} is no day, as mon or mon-fri, nor a calendar")
    if without and not week and not holidays:
        week = ALL_WEEK
    return week, frozenset(holidays), frozenset(without)


def read_minute(text: str) -> int:
    """Read 08:00; 24:00 is the end of the day."""
    hour, colon, minute = text.partition(":")
    if not (colon and hour.isdecimal() and minute.isdecimal() and len(minute) == 2):
        raise TimesError(f"hours: {text!r} is no time, as 08:00")
    value = int(hour) * 60 + int(minute)
    if value > DAY_MINUTES or int(minute) > 59:
        raise TimesError(f"hours: {text!r} is no time of a day")
    return value


def read_hours(text: str) -> int:
    """Read `08:00-12:00,13:00-18:00`: each holds from its first minute up to, not including, its last.

    One that ends before it begins, as 22:00-06:00, holds late and early on each of its days.
    """
    minutes = 0
    for part in text.split(","):
        begin, dash, end = part.partition("-")
        if not dash:
            raise TimesError(f"hours: {part!r} is no span, as 08:00-18:00")
        first, last = read_minute(begin), read_minute(end)
        if first == last:
            raise TimesError(f"hours: {part!r} holds never")
        spans = [(first, last)] if first < last else [(first, DAY_MINUTES), (0, last)]
        for start, stop in spans:
            minutes |= (1 << stop) - (1 << start)
    return minutes


def read_date(text: str) -> date:
    """Read 2026-12-24."""
    try:
        return date.fromisoformat(text)
    except ValueError:
        raise TimesError(f"{text!r} is no date, as 2026-12-24") from None


def read_validity(text: str) -> tuple[date, date]:
    """Read `2026-12-24/2026-12-27`, both days included; either may be left out."""
    first, slash, last = text.partition("/")
    if not slash:
        first, last = text, text
    span = read_date(first) if first else date.min, read_date(last) if last else date.max
    if span[0] > span[1]:
        raise TimesError(f"valid: {text!r} ends before it begins")
    return span


def instant(day: date, minute: int, zone: ZoneInfo, fold: int = 0) -> int:
    """Return the Unix second of a local time."""
    local = datetime.combine(day + ONE_DAY * (minute // DAY_MINUTES), time(), zone)
    local = local.replace(hour=minute % DAY_MINUTES // 60, minute=minute % 60, fold=fold)
    return int(local.timestamp())


def shift_between(first_s: int, last_s: int, zone: ZoneInfo) -> int | None:
    """Return the second at which the zone's offset changes between two instants, if it does."""

    def offset(at_s: int) -> timedelta | None:
        return datetime.fromtimestamp(at_s, UTC).astimezone(zone).utcoffset()

    before = offset(first_s)
    if before == offset(last_s):
        return None
    while last_s - first_s > 1:
        middle = (first_s + last_s) // 2
        first_s, last_s = (middle, last_s) if offset(middle) == before else (first_s, middle)
    return last_s


def next_change(at_us: int, all_times: Iterable[Times], zone: ZoneInfo) -> int:
    """Return the next instant, in Unix microseconds, at which any of the times may begin or end to hold.

    It is at most a day ahead: every local midnight is one, as days and validities change there.
    """
    edges = sorted({0, *(edge for one in all_times for edge in one.edges())})
    now_s = at_us // 1_000_000
    today = datetime.fromtimestamp(now_s, zone).date()
    begin, end = instant(today, 0, zone), instant(today + ONE_DAY, 0, zone)
    found = [
        instant(day, edge, zone, fold)
        for day in (today, today + ONE_DAY)
        for edge in (edges if day == today else (0,))
        for fold in (0, 1)
    ]
    shift = shift_between(begin, end, zone)
    if shift is not None:
        found.append(shift)
    return min(second for second in found if second > now_s) * 1_000_000
