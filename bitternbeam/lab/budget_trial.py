"""Tenants' budgets on trial: what each tenant holds at each booker is counted from the bookers' log."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from bitternbeam.commands.asking import NoAnswerError, ask
from bitternbeam.fleet.budgets.slices import Meter, whole
from bitternbeam.fleet.budgets.solve import sharing
from bitternbeam.fleet.budgets.terms import Budget, Kind, Part, Tenant
from bitternbeam.lab.budget_counts import Counts
from bitternbeam.lab.budget_stories import Story, stories
from bitternbeam.lab.budget_world import (
    BOASTER,
    HOLD_MS,
    LINES,
    NEWCOMER,
    PERIOD_MS,
    SLEEPER,
    TENANTS,
    budget_tables,
    tenant_table,
    whose,
)
from bitternbeam.lab.called import Called
from bitternbeam.lab.faults import FAULTS, Script
from bitternbeam.lab.fleet import Laboratory
from bitternbeam.lab.judging import holdings
from bitternbeam.lab.loads import S
from bitternbeam.lab.processes import wait_for
from bitternbeam.lab.terms import Terms
from bitternbeam.lab.trials import Phase, Settings

FREE_S = HOLD_MS / 1000 + PERIOD_MS / 1000  # a tenant that sleeps has nothing left after
HUNGRY = {"north": 3.0, "south": 5.0, "west": 4.0, "rest": 5.0}  # times what they want else
PROMISED, HANDED_OVER = 3, 5  # periods within which a guarantee is met


class BudgetTrial:
    """Four tenants that together want more than the bookers have; lines and calls grow with the members.

    short: without the time in which all are hungry.
    """

    name = "budgets"
    work = "budgets"

    def __init__(self, *, short: bool = False) -> None:
        self.short = short
        self.figures: dict[str, Any] = {"over_budget_max": 0, "guarantee_periods_max": 0.0, "late": []}
        self.bookers: list[str] = []
        self.times = 1
        self.hurt_us = self.woke_us = 0
        self.stories: dict[str, Story] = {}

    def settings(self, members: int, bookers: int) -> Settings:
        """Return the tenants and budgets; grants outlive a change of owners."""
        terms = Terms()
        self.bookers = [f"b{number}" for number in range(bookers)]
        self.times = max(1, members // 8)
        self.stories = stories(self.bookers, self.times)
        toml = budget_tables(self.bookers, self.times)
        toml += "".join(tenant_table(name, self.bookers, self.times) for name in TENANTS)
        fleet = {
            "bounds": False,
            "period_ms": PERIOD_MS,
            "budget_members": members,
            "budget_lasts_ms": terms.ttl_ms + terms.lock_delay_ms + 8 * PERIOD_MS,
            "budget_hold_most_ms": 2 * HOLD_MS,
        }
        return Settings(
            fleet=fleet,
            toml=toml,
            resized={f"budget_members = {members}\n": f"budget_members = {2 * members}\n"},
            booker_words=("--hold-ms", str(HOLD_MS)),
            terms=terms,
        )

    def offer(self, lab: Laboratory, **times: float) -> None:
        """Offer each tenant's calls, some of them so many times as much."""
        assert isinstance(lab, Called)
        names = [*TENANTS, *([NEWCOMER.name] if NEWCOMER.name in times else [])]
        rows = [NEWCOMER if name == NEWCOMER.name else TENANTS[name] for name in names]
        wants = {one.calls: one.wants * self.times * times.get(one.name, 1.0) for one in rows}
        told = ",".join(f"{number}={much}" for number, much in wants.items() if much)
        lab.order(lab.callers, f"mix {told}")
        lab.call(sum(wants.values()) * 1000 / HOLD_MS)

    def counts(self, lab: Called) -> Counts:
        """Read the logs as they stand."""
        return Counts(lab.lines(lab.caller_log), lab.lines(lab.booker_log), whose)

    def over(self, counts: Counts, from_us: int, to_us: int) -> int:
        """Return by how much a budget or a ceiling was passed at most."""
        worst = 0
        for booker in self.bookers:
            most = counts.most(from_us, to_us, booker=booker)
            worst = max(worst, most - LINES * self.times)
        for name, row in TENANTS.items():
            if row.ceiling:
                worst = max(worst, counts.most(from_us, to_us, tenant=name) - row.ceiling * self.times)
        return worst

    def begin(self, lab: Called) -> None:
        """Let one tenant sleep, wake up to a full house, then another boast; note the figures."""
        self.offer(lab, **{SLEEPER: 0.0})
        full = LINES * self.times * len(self.bookers)
        wait_for(lambda: self.counts(lab).now() >= 0.45 * full, 90, "the lines are used")
        time.sleep(2)
        self.woke_us = lab.now_us()
        self.offer(lab, **{SLEEPER: 2.0})
        time.sleep(3)
        self._guarantee(lab, "none", self.woke_us, lab.now_us())
        self.offer(lab, **{BOASTER: 10.0})
        time.sleep(3)
        from_us = lab.now_us()
        time.sleep(4)
        means = self.counts(lab).mean(from_us, lab.now_us(), TENANTS)
        self.figures["boasted_held"] = {name: round(one, 1) for name, one in means.items()}
        if not self.short:
            self._hungry(lab)
        self.figures["over_budget_max"] = max(self.over(self.counts(lab), 0, lab.now_us()), 0)
        self._times(lab)
        self.offer(lab)

    def _hungry(self, lab: Called) -> None:
        """Let all want far more than there is, and note how near their parts are to the fair ones."""
        self.offer(lab, **HUNGRY)
        time.sleep(4)
        from_us = lab.now_us()
        time.sleep(5)
        means = self.counts(lab).mean(from_us, lab.now_us(), TENANTS)
        self.figures["hungry_held"] = {name: round(one, 1) for name, one in means.items()}
        fair = self._fair()
        parts = [means[name] / fair[name] for name in TENANTS]
        jain = sum(parts) ** 2 / (len(parts) * sum(one * one for one in parts) or 1)
        self.figures["jain_weighted"] = round(jain, 4)

    def _fair(self) -> dict[str, float]:
        """Return what each tenant should hold when all want more than they get."""
        edge = ("b0", self.bookers[-1])
        tenants = [
            Tenant(
                name, row.weight, Part(row.guarantee * self.times, row.ceiling * self.times),
                bookers=() if row.everywhere else edge,
            )
            for name, row in TENANTS.items()
        ]  # fmt: skip
        budgets = [Budget(one, 0, LINES * self.times) for one in self.bookers]
        own = whole(sharing(Kind.LINES, tenants, budgets, Meter())).by_name()
        return {name: float(much) for name, much in own.items()}

    def _times(self, lab: Called) -> None:
        """Note how long the owner's decisions took, as its status tells."""
        for name in sorted(lab.running()):
            try:
                (told,) = ask(lab.folder / f"{name}.sock", {"ask": "status"})
            except (NoAnswerError, ValueError):
                continue
            found = told.get("fleet", {}).get("budgets", {})
            if took := sorted(found.get("solve_ms", [])):
                self.figures["solve_ms_p99"] = took[(99 * len(took) - 1) // 100]
                turns = sorted(found["turn_ms"])
                self.figures["turn_ms_p99"] = turns[(99 * len(turns) - 1) // 100]
                self.figures["slice_most_ms"] = found["slice_most_ms"]

    def script(self, fault: str) -> Script:
        """Return a fault during which a tenant sleeps, and wakes as it is over; or a story of a version's."""
        story = self.stories.get(fault)

        @contextmanager
        def played(lab: Laboratory, work: str) -> Iterator[None]:
            self.offer(lab, **(story.offers if story else {SLEEPER: 0.0}))
            time.sleep(1.0 if story else FREE_S)
            with (story.script if story else FAULTS[fault])(lab, work):
                self.hurt_us = lab.now_us()
                yield
            self.woke_us = lab.now_us()
            # Danger: a line that no call comes to is not held; wanting little more than its guarantee, spread
            # over the members a line or two each, it would hold all of them at once by luck alone.
            self.offer(lab, **({} if story else {SLEEPER: HUNGRY[SLEEPER]}))

        return played

    def judge(self, lab: Called, phase: Phase) -> dict[str, Any]:
        """Return by how much a budget was passed, how soon a guarantee was met, and what tenants held."""
        counts = self.counts(lab)
        over = self.over(counts, phase.hurt_us, phase.over_us)
        self.figures["over_budget_max"] = max(self.figures["over_budget_max"], over)
        after = counts.mean(phase.over_us - 3 * S, phase.over_us, TENANTS)
        held = {name: round(one, 1) for name, one in after.items()}
        told: dict[str, Any] = {"over": over, "held_after": held}
        story: Story | None = self.stories.get(phase.fault)
        if story is None:
            told["guarantee_periods"] = self._guarantee(lab, phase.fault, self.woke_us, phase.over_us)
            return told | {"broken": int(over > 0)}
        wrong = story.wrong(counts, self.hurt_us, self.woke_us)
        return told | {"wrong": wrong, "broken": int(over > 0 or bool(wrong))}

    def _guarantee(self, lab: Called, fault: str, woke_us: int, over_us: int) -> float:
        """Return within how many periods of wanting it the tenant that woke held its guarantee.

        Counted from when so many of its calls had come, and after a change of owners from when the new one
        had the lock. One that was not met counts as met at the end.
        """
        counts, need = self.counts(lab), TENANTS[SLEEPER].guarantee * self.times
        wanted_us = counts.wanted(SLEEPER, need, woke_us) or over_us
        mine = [one for one in holdings(lab.lines(lab.engine_log)) if one.work == self.work]
        since_us = mine[-1].from_us if mine else woke_us
        handed_over = since_us > self.hurt_us > 0
        from_us = max(wanted_us, since_us)
        reached_us = counts.reached(SLEEPER, need, woke_us)
        took = max(0, (over_us if reached_us is None else reached_us) - from_us) / PERIOD_MS / 1000
        self.figures["guarantee_periods_max"] = round(max(self.figures["guarantee_periods_max"], took), 1)
        if took > (HANDED_OVER if handed_over else PROMISED):
            self.figures["late"].append(fault)
        return round(took, 1)
