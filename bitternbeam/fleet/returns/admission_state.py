"""What one member knows of a return epoch: the records, what it counted, what it reports."""

from __future__ import annotations

from dataclasses import replace

from bitternbeam.fleet.retries import Chance
from bitternbeam.fleet.returns.outcome import Budget
from bitternbeam.fleet.returns.planner import EpochPlanner
from bitternbeam.fleet.returns.settings import ReturnSettings
from bitternbeam.fleet.returns.sketches import Distinct, Dues, Strikes
from bitternbeam.fleet.returns.slots import Place
from bitternbeam.fleet.returns.window import PACED, Epoch, ReturnReport

QUIET_PERIODS = 10  # without an epoch, clients are counted anew after each
SMOOTH = 0.3
ASK_PERIODS = 3  # a member that starts asks for an epoch for so long
ALONE_MS = 3_000  # longest wait told alone: the fleet may lead again at any time, with more budget


class AdmissionState:
    """The pacing of one member; `now_us` is monotonic, `wall_ms` Unix time."""

    def __init__(
        self, settings: ReturnSettings, name: str, budget: Budget, *, random: Chance, wall_ms: int
    ) -> None:
        self.settings, self.name, self.budget, self.random = settings, name, budget, random
        self.alone_settings = replace(settings, horizon_ms=min(settings.horizon_ms, ALONE_MS))
        self.began_ms = wall_ms
        self.ranks = max(1, len(settings.classes))
        self.told: Epoch | None = None  # as the fleet's record says
        self.told_us = 0
        self.alone = False
        self.own: EpochPlanner | None = None  # since nobody led, until the fleet's record leads
        self.own_seen_ms = 0
        self.kept: list[Epoch] = []  # epochs that no longer lead, whose promises stand
        self.strikes, self.dues = Strikes(), Dues()
        self.striking = ""  # the epoch that strikes are counted in
        self.purse = 0
        self.queue_us = 0  # when the next return at its slot finds room
        self.counts = dict.fromkeys(("at_slot", "late", "last", "first", "early", "queued", "struck"), 0)
        self.due: float = 0.0  # clients whose turn to come in it was, in the period before
        self._count_anew(wall_ms)
        self._period_anew()

    def _count_anew(self, wall_ms: int) -> None:
        self.since_ms = wall_ms
        self.seen = [Distinct() for _ in range(self.ranks)]
        self.let_in = [0] * self.ranks
        self.heeded = 0
        self._late_anew("", -1)

    def _late_anew(self, epoch: str, number: int) -> None:
        self.late_of = (epoch, number)
        self.late, self.late_let_in = Distinct(), 0

    def _period_anew(self) -> None:
        self.offered_now = self.turned_now = self.due_now = 0
        self.late_turned = [0] * self.ranks

    # From the fleet.

    def epoch(self, epoch: Epoch, now_us: int) -> None:
        """Take what the fleet's record says, each time that it is shown anew."""
        old = self.told
        if old is not None and (old.id != epoch.id or epoch.phase != old.phase):
            self._keep(old)
        self.told, self.told_us = epoch, now_us

    def _keep(self, epoch: Epoch) -> None:
        if epoch.plans:
            self.kept = [*self.kept[-1:], epoch]

    def tick(self, now_us: int, wall_ms: int, alone: bool) -> None:
        """Do what time brings; `alone`: no good word from the engine for so long that nobody leads."""
        self.kept = [one for one in self.kept if wall_ms < one.promised_ms + self.settings.grace_ms]
        self.alone, led = alone, self.told is not None and self.told.live(wall_ms)
        if self.own is not None and (led or not (alone or self.own.live(wall_ms))):
            if self.own.epoch is not None:
                self._keep(self.own.epoch)
            self.own = None
        if alone and not led:
            if self.own is None:
                self.own, self.own_seen_ms = EpochPlanner(self.alone_settings, f"alone-{self.name}"), 0
            if wall_ms - self.own_seen_ms >= self.settings.period_ms:
                self.own_seen_ms = wall_ms
                self.own.see({self.name: self.report(wall_ms)}, self.budget.rate(now_us), wall_ms)
                self.own.plan(wall_ms)
        if self.leading(wall_ms) is None:
            self.purse = 0
            if wall_ms - self.since_ms >= QUIET_PERIODS * self.settings.period_ms:
                self._count_anew(wall_ms)

    def leading(self, wall_ms: int) -> Epoch | None:
        """Return the epoch that leads now: the fleet's, or this member's own while it is alone."""
        if self.told is not None and self.told.live(wall_ms):
            return self.told
        return self.own.epoch if self.own is not None and self.own.live(wall_ms) else None

    def _step_ms(self, epoch: Epoch) -> int:
        """Return the longest wait that is told under an epoch."""
        return (self.settings if epoch is self.told else self.alone_settings).step_ms

    def report(self, wall_ms: int) -> ReturnReport:
        """Return what was counted, and begin the next period."""
        epoch = self.leading(wall_ms)
        asks = wall_ms - self.began_ms < ASK_PERIODS * self.settings.period_ms
        asks = asks or (self.own is not None and not self.alone)
        found = ReturnReport(
            self.since_ms, epoch.id if epoch else "", asks, self.offered_now, self.turned_now, self.heeded,
            tuple(self.let_in), tuple(Distinct(one.registers) for one in self.seen), self.late_of[1],
            Distinct(self.late.registers), self.late_let_in, tuple(self.late_turned),
        )  # fmt: skip
        # Smoothed while slots are spread evenly: a single period counts few clients.
        steady = epoch is not None and epoch.phase == PACED
        self.due = self.due + SMOOTH * (self.due_now - self.due) if steady else self.due_now
        self._period_anew()
        return found

    def _late_turned(self, where: Place, rank: int) -> None:
        self.late.add(where.mix)
        self.late_turned[rank] += 1

    def status(self, wall_ms: int) -> dict[str, object]:
        """Return what an operator is shown."""
        epoch = self.leading(wall_ms)
        shown: dict[str, object] = dict(self.counts)
        if epoch is not None:
            alone = epoch is not self.told
            shown.update(
                epoch=epoch.id, phase=epoch.phase, revision=epoch.revision, budget=epoch.budget, alone=alone,
                backlog=round(epoch.backlog), window_ms=epoch.window_ms, ends_ms=epoch.ends_ms,
            )  # fmt: skip
        return shown
