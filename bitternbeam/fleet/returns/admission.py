"""One member's side of a return epoch: who is let in now, and how long the others stay away.

In order: clients at their slots; those whose slot has gone by; and those that heed no waits, from what the
others leave over. So much of the member's part of the budget as `purse_ms` brings is kept ready for the
first ones: at their slots they come evenly over the fleet, but not over a member. All of it is taken from
the budget before it is spent: never more goes in than the member's grant allows.

Before a slot nobody is let in, whatever is left over: to come early must bring nothing.
"""

from __future__ import annotations

from bitternbeam.fleet.returns.admission_state import AdmissionState
from bitternbeam.fleet.returns.outcome import ADMIT, Admit, Wait
from bitternbeam.fleet.returns.sketches import Dues, Strikes
from bitternbeam.fleet.returns.slots import Place, at_turn, client_mix, place, turn_wait
from bitternbeam.fleet.returns.window import OPENING, Epoch

PURSE_LEAST = 3  # returns
PURSE_MOST = 2  # times what it is filled to, after a member's part fell
LATE_KEEP = 0.3  # of the purse, kept from those that are late
LAST_KEEP = 0.6  # of the purse, kept from those that heed nothing
QUEUED = 0.8  # of the grace: the longest wait told at a slot when the member's part is used up
AHEAD, AT_SLOT, LATE = "ahead", "at_slot", "late"


class Returns(AdmissionState):
    """The pacing of one member; `now_us` is monotonic, `wall_ms` Unix time."""

    def offered(self, client: str, rank: int, now_us: int, wall_ms: int) -> Admit | Wait:
        """Decide on a call of a client that may be coming back, at once."""
        rank = min(rank, self.ranks - 1)
        self.offered_now += 1
        self.seen[rank].add(client_mix(client))
        epoch = self.leading(wall_ms)
        if epoch is None or epoch.phase == OPENING:
            return self._first_come(client, rank, epoch is not None, now_us, wall_ms)
        where = place(epoch.id, client)
        if self.striking != epoch.id:
            self.striking, self.strikes, self.dues = epoch.id, Strikes(), Dues()
        number = epoch.plans[0].number
        if self.late_of != (epoch.id, number):
            self._late_anew(epoch.id, number)
        slot_ms, when, passed = self._slot(epoch, where, rank, wall_ms)
        heedless = self.strikes.count(where.mix) >= self.settings.strikes
        if when is AHEAD and not passed and self._promised(client, rank, wall_ms):
            when = AT_SLOT
        if when is AHEAD:
            self._ahead(epoch, where, wall_ms, now_us)
            if not passed:
                self.counts["early"] += 1
                wait_us = self._until(epoch, where, slot_ms, wall_ms)
                self.dues.told(where.mix, wall_ms + wait_us // 1000 - epoch.began_ms)
                return Wait(wait_us)
        return self._in_turn(
            epoch, where, rank, when=when, slot_ms=slot_ms, heedless=heedless, now_us=now_us, wall_ms=wall_ms
        )

    def _slot(self, epoch: Epoch, where: Place, rank: int, wall_ms: int) -> tuple[int, str, bool]:
        """Return a client's slot, where now lies to it, and whether one of an earlier plan has passed."""
        slot_ms, passed = 0, False
        for plan in epoch.plans:
            slot_ms = plan.slot_ms(rank, where)
            if wall_ms < slot_ms - self.settings.skew_ms:
                return slot_ms, AHEAD, passed
            if wall_ms <= slot_ms + self.settings.grace_ms:
                return slot_ms, AT_SLOT, passed
            passed = True
        return slot_ms, LATE, True

    def _promised(self, client: str, rank: int, wall_ms: int) -> bool:
        """Tell whether an epoch that no longer leads promised the client a slot for now."""
        for one in self.kept:
            slot_ms, when, _passed = self._slot(one, place(one.id, client), rank, wall_ms)
            if when is AT_SLOT and slot_ms <= one.promised_ms:
                return True
        return False

    def _ahead(self, epoch: Epoch, where: Place, wall_ms: int, now_us: int) -> None:
        """Count a client that was told here to stay away and came neither at its slot nor at its turn."""
        settings, step_ms = self.settings, self._step_ms(epoch)
        fresh = self.own is not None or now_us - self.told_us <= settings.fresh_ms * 1000
        after_ms = min(settings.grace_ms // 2, step_ms // 5)
        if self.dues.due_ms(where.mix) <= wall_ms + settings.skew_ms - epoch.began_ms:
            return
        if fresh and step_ms and not at_turn(where.phase, wall_ms, step_ms, settings.skew_ms, after_ms):
            self.strikes.add(where.mix)
            self.counts["struck"] += 1

    def _until(self, epoch: Epoch, where: Place, slot_ms: int, wall_ms: int) -> int:
        """Return the wait, in microseconds: to the slot, or to a turn while that is too far off."""
        ahead_ms, step_ms = slot_ms - wall_ms, self._step_ms(epoch)
        if step_ms == 0:
            return 0
        if ahead_ms > step_ms:
            return turn_wait(where.phase, wall_ms, step_ms) * 1000
        if slot_ms > epoch.promised_ms:  # nobody leads, so that the slot may have been moved meanwhile
            return min(ahead_ms * 1000, self._soon())
        return max(1, ahead_ms) * 1000

    def _soon(self) -> int:
        """Return a wait, in microseconds, for a client whose slot is not known or has passed."""
        most_ms = min(self.settings.first_ms, self.settings.cap_ms)
        return int(most_ms * 1000 * (0.3 + 0.7 * self.random.random()))

    def _in_turn(
        self, epoch: Epoch, where: Place, rank: int, *, when: str, slot_ms: int, heedless: bool, now_us: int,
        wall_ms: int,
    ) -> Admit | Wait:  # fmt: skip
        """Let in a client whose time has come, if this member's part bears it."""
        self.due_now += 1
        most = self._fill(now_us)
        keep = LAST_KEEP if heedless else 0.0 if when is AT_SLOT else LATE_KEEP
        if self.purse >= min(most, 1 + keep * most):
            self.purse -= 1
            self.let_in[rank] += 1
            self.heeded += when is AT_SLOT and not heedless
            self.late_let_in += when is not AT_SLOT
            self.counts["last" if heedless else "at_slot" if when is AT_SLOT else "late"] += 1
            return ADMIT
        self.turned_now += 1
        if when is AHEAD:  # in the next wave; there it has its slot
            self._late_turned(where, rank)
            return Wait(self._until(epoch, where, slot_ms, wall_ms))
        if when is AT_SLOT and not heedless:
            self.counts["queued"] += 1
            most_us = int(QUEUED * self.settings.grace_ms * 1000)
            each_us = int(1e6 / max(self.budget.rate(now_us), 1e-3))
            ahead_us = max(0, self.queue_us - now_us) + each_us
            # Danger: whom it has no room for does not make it longer. Counted on at a safe part, it was still
            # full when the part had grown: those at their slots were sent away, and budget was left.
            if ahead_us <= most_us:
                self.queue_us = now_us + ahead_us
                return Wait(ahead_us)
            after_ms = epoch.plans[-1].slot_ms(rank, where)
            if slot_ms < after_ms <= epoch.promised_ms:
                return Wait(self._until(epoch, where, after_ms, wall_ms))
            return Wait(most_us)
        if when is LATE:
            self._late_turned(where, rank)
        return Wait(self._soon())

    def _fill(self, now_us: int) -> int:
        """Take from the budget what the purse holds at the most; returns that."""
        most = max(PURSE_LEAST, int(self.budget.rate(now_us) * self.settings.purse_ms / 1000))
        # What was put by under a larger part is not kept, or all members' purses had no common bound. Twice
        # as much: parts go up and down a little each period, and what is thrown away nobody may use.
        self.purse = min(self.purse, PURSE_MOST * most)
        while self.purse < most and self.budget.may(now_us):
            self.purse += 1
        return most

    def _first_come(
        self, client: str, rank: int, opening: bool, now_us: int, wall_ms: int
    ) -> Admit | Wait:  # fmt: skip
        """Let in whom the budget bears while no slots are known: the promised first, then the urgent."""
        self.due_now += 1
        if opening:
            most = self._fill(now_us)
            first = self._promised(client, rank, wall_ms) if self.kept else rank == 0
            ready = self.purse >= min(most, 1 + (0 if first else LATE_KEEP * most))
            self.purse -= ready
        else:
            ready = self.budget.may(now_us)
        if ready:
            self.let_in[rank] += 1
            self.counts["first"] += 1
            return ADMIT
        self.turned_now += 1
        return Wait(self._soon())
