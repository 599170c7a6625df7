"""One member's side of a return epoch: who is let in now, and how long the others stay away.

In order: clients at their slots; those whose slot has gone by; and those that heed no waits, from what the
others leave over. So much of the member's part of the budget as `purse_ms` brings is kept ready for the
first ones: at their slots they come evenly over the fleet, but not over a member. All of it is taken from
the budget before it is spent: never more goes in than the member's grant allows.

Before a slot nobody is let in, whatever is left over: to come early must bring nothing.
"""

from __future__ import annotations

from bitternbeam.fleet.returns.admission_state import AdmissionState
from bitternbeam.fleet.returns.outcome import ADMIT, Admit, RetryAfter
from bitternbeam.fleet.returns.sketches import RetryDeadlines, ViolationCounter
from bitternbeam.fleet.returns.slots import (
    ClientHash,
    check_in_wait_ms,
    hash_client,
    hash_in_window,
    is_check_in,
)
from bitternbeam.fleet.returns.window import OPENING, AdmissionWindow

MIN_BUCKET_TOKENS = 3  # returns
MAX_BUCKET_FACTOR = 2  # times what it is filled to, after a member's part fell
LATE_RESERVED_SHARE = 0.3  # of the purse, kept from those that are late
NONCOMPLIANT_RESERVED_SHARE = 0.6  # of the purse, kept from those that heed nothing
QUEUE_GRACE_SHARE = 0.8  # of the grace: the longest wait told at a slot when the member's part is used up
EARLY, AT_SLOT, LATE = "ahead", "at_slot", "late"


class ReconnectAdmission(AdmissionState):
    """The pacing of one member; `now_us` is monotonic, `wall_ms` Unix time."""

    def decide(self, client: str, rank: int, now_us: int, wall_ms: int) -> Admit | RetryAfter:
        """Decide on a call of a client that may be coming back, at once."""
        rank = min(rank, self.class_count - 1)
        self.offered_count += 1
        self.clients[rank].add(hash_client(client))
        epoch = self.active_window(wall_ms)
        if epoch is None or epoch.phase == OPENING:
            return self._decide_without_slots(client, rank, epoch is not None, now_us, wall_ms)
        where = hash_in_window(epoch.id, client)
        if self.violations_window_id != epoch.id:
            self.violations_window_id, self.violations, self.retry_deadlines = (
                epoch.id,
                ViolationCounter(),
                RetryDeadlines(),
            )
        number = epoch.plans[0].number
        if self.late_plan != (epoch.id, number):
            self._reset_late(epoch.id, number)
        slot_ms, when, passed = self._slot(epoch, where, rank, wall_ms)
        heedless = self.violations.count(where.sketch_hash) >= self.settings.strikes
        if when is EARLY and not passed and self._has_committed_slot(client, rank, wall_ms):
            when = AT_SLOT
        if when is EARLY:
            self._count_violation(epoch, where, wall_ms, now_us)
            if not passed:
                self.counts["early"] += 1
                wait_us = self._wait_us(epoch, where, slot_ms, wall_ms)
                self.retry_deadlines.extend(where.sketch_hash, wall_ms + wait_us // 1000 - epoch.started_ms)
                return RetryAfter(wait_us)
        return self._admit_or_queue(
            epoch, where, rank, when=when, slot_ms=slot_ms, heedless=heedless, now_us=now_us, wall_ms=wall_ms
        )

    def _slot(
        self, epoch: AdmissionWindow, where: ClientHash, rank: int, wall_ms: int
    ) -> tuple[int, str, bool]:
        """Return a client's slot, where now lies to it, and whether one of an earlier plan has passed."""
        slot_ms, passed = 0, False
        for plan in epoch.plans:
            slot_ms = plan.slot_ms(rank, where)
            if wall_ms < slot_ms - self.settings.skew_ms:
                return slot_ms, EARLY, passed
            if wall_ms <= slot_ms + self.settings.grace_ms:
                return slot_ms, AT_SLOT, passed
            passed = True
        return slot_ms, LATE, True

    def _has_committed_slot(self, client: str, rank: int, wall_ms: int) -> bool:
        """Tell whether an epoch that no longer leads promised the client a slot for now."""
        for one in self.superseded:
            slot_ms, when, _passed = self._slot(one, hash_in_window(one.id, client), rank, wall_ms)
            if when is AT_SLOT and slot_ms <= one.committed_until_ms:
                return True
        return False

    def _count_violation(self, epoch: AdmissionWindow, where: ClientHash, wall_ms: int, now_us: int) -> None:
        """Count a client that was told here to stay away and came neither at its slot nor at its turn."""
        settings, step_ms = self.settings, self._max_wait_ms(epoch)
        fresh = self.own_planner is not None or now_us - self.fleet_window_us <= settings.fresh_ms * 1000
        after_ms = min(settings.grace_ms // 2, step_ms // 5)
        if (
            self.retry_deadlines.deadline_ms(where.sketch_hash)
            <= wall_ms + settings.skew_ms - epoch.started_ms
        ):
            return
        if fresh and step_ms and not is_check_in(where.phase, wall_ms, step_ms, settings.skew_ms, after_ms):
            self.violations.add(where.sketch_hash)
            self.counts["struck"] += 1

    def _wait_us(self, epoch: AdmissionWindow, where: ClientHash, slot_ms: int, wall_ms: int) -> int:
        """Return the wait, in microseconds: to the slot, or to a turn while that is too far off."""
        ahead_ms, step_ms = slot_ms - wall_ms, self._max_wait_ms(epoch)
        if step_ms == 0:
            return 0
        if ahead_ms > step_ms:
            return check_in_wait_ms(where.phase, wall_ms, step_ms) * 1000
        if slot_ms > epoch.committed_until_ms:  # nobody leads, so that the slot may have been moved meanwhile
            return min(ahead_ms * 1000, self._jittered_wait_us())
        return max(1, ahead_ms) * 1000

    def _jittered_wait_us(self) -> int:
        """Return a wait, in microseconds, for a client whose slot is not known or has passed."""
        most_ms = min(self.settings.first_ms, self.settings.cap_ms)
        return int(most_ms * 1000 * (0.3 + 0.7 * self.random.random()))

    def _admit_or_queue(
        self, epoch: AdmissionWindow, where: ClientHash, rank: int, *, when: str, slot_ms: int,
        heedless: bool, now_us: int,
        wall_ms: int,
    ) -> Admit | RetryAfter:  # fmt: skip
        """Let in a client whose time has come, if this member's part bears it."""
        self.due_count += 1
        most = self._fill_bucket(now_us)
        keep = NONCOMPLIANT_RESERVED_SHARE if heedless else 0.0 if when is AT_SLOT else LATE_RESERVED_SHARE
        if self.tokens >= min(most, 1 + keep * most):
            self.tokens -= 1
            self.admitted[rank] += 1
            self.admitted_at_slot += when is AT_SLOT and not heedless
            self.late_admitted += when is not AT_SLOT
            self.counts["last" if heedless else "at_slot" if when is AT_SLOT else "late"] += 1
            return ADMIT
        self.refused_count += 1
        if when is EARLY:  # in the next wave; there it has its slot
            self._count_late_refusal(where, rank)
            return RetryAfter(self._wait_us(epoch, where, slot_ms, wall_ms))
        if when is AT_SLOT and not heedless:
            self.counts["queued"] += 1
            most_us = int(QUEUE_GRACE_SHARE * self.settings.grace_ms * 1000)
            each_us = int(1e6 / max(self.budget.member_rate(now_us), 1e-3))
            ahead_us = max(0, self.queue_end_us - now_us) + each_us
            # Danger: whom it has no room for does not make it longer. Counted on at a safe part, it was still
            # full when the part had grown: those at their slots were sent away, and budget was left.
            if ahead_us <= most_us:
                self.queue_end_us = now_us + ahead_us
                return RetryAfter(ahead_us)
            after_ms = epoch.plans[-1].slot_ms(rank, where)
            if slot_ms < after_ms <= epoch.committed_until_ms:
                return RetryAfter(self._wait_us(epoch, where, after_ms, wall_ms))
            return RetryAfter(most_us)
        if when is LATE:
            self._count_late_refusal(where, rank)
        return RetryAfter(self._jittered_wait_us())

    def _fill_bucket(self, now_us: int) -> int:
        """Take from the budget what the purse holds at the most; returns that."""
        most = max(MIN_BUCKET_TOKENS, int(self.budget.member_rate(now_us) * self.settings.purse_ms / 1000))
        # What was put by under a larger part is not kept, or all members' purses had no common bound. Twice
        # as much: parts go up and down a little each period, and what is thrown away nobody may use.
        self.tokens = min(self.tokens, MAX_BUCKET_FACTOR * most)
        while self.tokens < most and self.budget.try_take(now_us):
            self.tokens += 1
        return most

    def _decide_without_slots(
        self, client: str, rank: int, opening: bool, now_us: int, wall_ms: int
    ) -> Admit | RetryAfter:  # fmt: skip
        """Let in whom the budget bears while no slots are known: the promised first, then the urgent."""
        self.due_count += 1
        if opening:
            most = self._fill_bucket(now_us)
            first = self._has_committed_slot(client, rank, wall_ms) if self.superseded else rank == 0
            ready = self.tokens >= min(most, 1 + (0 if first else LATE_RESERVED_SHARE * most))
            self.tokens -= ready
        else:
            ready = self.budget.try_take(now_us)
        if ready:
            self.admitted[rank] += 1
            self.counts["first"] += 1
            return ADMIT
        self.refused_count += 1
        return RetryAfter(self._jittered_wait_us())
