"""Plans as calls are analysed against them: found sound when they are built, and immutable."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property

from bitternbeam.configuration.faults import MOST_FAULTS, DocumentError, Fault
from bitternbeam.numbers.rules import Rule, Source
from bitternbeam.numbers.times import ALWAYS, Moment, next_change

MOST_JUMPS = 16  # from plan to plan: more than any that has no loop can need at its number of plans


@dataclass(frozen=True, slots=True)
class Analysis:
    """What became of a number."""

    number: str  # as it goes on, its digits rewritten
    route: str = ""  # "" where nothing matches, or where it is forbidden
    prefix: str = ""  # of the rule that decided
    plan: str = ""  # whose rule it was
    cause: str = ""  # of a number that is forbidden
    lines: tuple[tuple[str, int], ...] = ()  # plan and line of each rule on the way


@dataclass(frozen=True, eq=False)
class Plan:
    """One plan: its rules by prefix, the narrowest first."""

    source: Source
    by_prefix: dict[str, tuple[Rule, ...]]

    @cached_property
    def lengths(self) -> tuple[int, ...]:
        """Lengths of prefixes, the longest first."""
        return tuple(sorted({len(prefix) for prefix in self.by_prefix}, reverse=True))

    @cached_property
    def timed(self) -> bool:
        """Whether any rule depends on the time: else no local time is worked out."""
        return any(rule.times is not ALWAYS for rule in self.source.rules)

    def next_change(self, at_us: int) -> int | None:
        """Return when any rule may begin or end to hold, in Unix microseconds; None: never."""
        if not self.timed:
            return None
        return next_change(at_us, (rule.times for rule in self.source.rules), self.source.zone)

    def find(self, number: str, call_class: str, cell: int, at_us: int) -> Rule | None:
        """Return the rule that decides: of the longest prefix that has one that holds, the narrowest."""
        moment = None
        for length in self.lengths:
            if length > len(number):
                continue
            for rule in self.by_prefix.get(number[:length], ()):
                if not rule.matches(call_class, cell):
                    continue
                if rule.times is not ALWAYS:
                    moment = moment or Moment.at(at_us, self.source.zone)
                    if not rule.times.holds(moment, self.source.calendars):
                        continue
                return rule
        return None


@dataclass(frozen=True, slots=True)
class Plans:
    """All plans of one table version; the first is where every number begins but those of private plans."""

    plans: dict[str, Plan]
    begin: str
    version: str = ""

    def analyse(
        self, number: str, call_class: str = "", cell: int = -1, at_us: int = 0, plan: str = ""
    ) -> Analysis:
        """Decide a number in its normal form, for a call whose set-up came whole at an instant."""
        return follow(
            lambda name, left: self.plans[name].find(left, call_class, cell, at_us),
            plan or self.begin,
            number,
        )


def follow(find: Callable[[str, str], Rule | None], name: str, number: str) -> Analysis:
    """Go from plan to plan until a rule decides; `find` tells the rule of a plan and a number."""
    way: list[tuple[str, int]] = []
    prefix = ""
    for _ in range(MOST_JUMPS):
        rule = find(name, number)
        if rule is None:
            return Analysis(number, plan=name, lines=tuple(way))
        way.append((name, rule.line))
        prefix = rule.prefix
        if rule.digits is not None:
            number = rule.digits + number[len(prefix) :]
        if not rule.plan:
            return Analysis(number, rule.route, prefix, name, rule.cause, tuple(way))
        name = rule.plan
    return Analysis(number, prefix=prefix, plan=name, cause="too many plans", lines=tuple(way))


def build(sources: Iterable[Source], version: str = "", files: dict[str, str] | None = None) -> Plans:
    """Build plans; raises DocumentError with every rule that can't be told from another, and every loop."""
    made = {source.name: source for source in sources}
    files = files or {}
    faults: list[Fault] = []
    plans: dict[str, Plan] = {}
    for name, source in made.items():
        grouped: dict[str, list[Rule]] = defaultdict(list)
        for rule in source.rules:
            grouped[rule.prefix].append(rule)
            if rule.plan and rule.plan not in made:
                faults.append(
                    Fault("", f"plan {rule.plan!r}: no such plan", files.get(name, name), rule.line)
                )
        for rules in grouped.values():
            if len(rules) > 1:
                faults += clashes(rules, source, files.get(name, name))
            if len(faults) >= MOST_FAULTS:
                break
        plans[name] = Plan(source, {prefix: ordered(rules, source) for prefix, rules in grouped.items()})
    faults += loops(made, files)
    if faults:
        raise DocumentError(faults)
    return Plans(plans, next(iter(made)), version)


def clashes(rules: list[Rule], source: Source, file: str) -> Iterator[Fault]:
    """Yield the pairs of one prefix that may both hold with neither the narrower."""
    for place, one in enumerate(rules):
        for other in rules[:place]:
            calendars = source.calendars
            if (
                one.meets(other, calendars)
                and not one.narrower(other, calendars)
                and not other.narrower(one, calendars)
            ):
                what = f"may hold at once with line {other.line}, and neither is the narrower"
                yield Fault("", f"{one.prefix or 'default'}: {what}", file, one.line)


def ordered(rules: list[Rule], source: Source) -> tuple[Rule, ...]:
    """Return rules of one prefix so that each comes before all that it is narrower than."""
    if len(rules) == 1:
        return tuple(rules)
    counts = {
        id(one): sum(one.narrower(other, source.calendars) for other in rules if other is not one)
        for one in rules
    }
    return tuple(sorted(rules, key=lambda one: (-counts[id(one)], one.line)))


def loops(sources: dict[str, Source], files: dict[str, str]) -> Iterator[Fault]:
    """Yield the jumps that lead back to a plan that a number may have come from."""
    jumps = {
        name: [rule for rule in source.rules if rule.plan in sources] for name, source in sources.items()
    }
    done: set[str] = set()

    def walk(name: str, way: tuple[str, ...]) -> Iterator[Fault]:
        for rule in jumps[name]:
            if rule.plan in way:
                round_trip = " -> ".join((*way[way.index(rule.plan) :], rule.plan))
                yield Fault("", f"plan {rule.plan}: a loop: {round_trip}", files.get(name, name), rule.line)
            elif rule.plan not in done:
                yield from walk(rule.plan, (*way, rule.plan))
        done.add(name)

    for name in sources:
        if name not in done:
            yield from walk(name, (name,))
