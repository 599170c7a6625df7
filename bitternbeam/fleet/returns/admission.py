"""A member's admission decisions: who is admitted now, and when the others are told to retry.

Priority: clients at their slots, then late clients, then non-compliant clients, which ignore the waits they
are told. A token bucket of `purse_ms` of the member's rate is kept for clients at their slots, as these are
spread evenly over the fleet but not over each member. Tokens are taken from the budget before they are spent,
so a member never admits more than its grant allows.

Nobody is admitted before its slot, even if budget is left: arriving early must bring no advantage.
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

MIN_BUCKET_TOKENS = 3  # lower bound of the bucket size
MAX_BUCKET_FACTOR = 2  # times the bucket size: kept after a member's rate fell
LATE_RESERVED_SHARE = 0.3  # of the bucket, not available to late clients
NONCOMPLIANT_RESERVED_SHARE = 0.6  # of the bucket, not available to non-compliant clients
QUEUE_GRACE_SHARE = 0.8  # of grace_ms: the longest wait of a client queued at its slot
EARLY, AT_SLOT, LATE = "ahead", "at_slot", "late"


class ReconnectAdmission(AdmissionState):
    """Decides on each reconnect at one member; `now_us` is monotonic, `wall_ms` Unix time."""

    def decide(self, client: str, rank: int, now_us: int, wall_ms: int) -> Admit | RetryAfter:
        """Decide on a call of a client that may be reconnecting."""
        rank = min(rank, self.class_count - 1)
        self.offered_count += 1
        self.clients[rank].add(hash_client(client))
        window = self.active_window(wall_ms)
        if window is None or window.phase == OPENING:
            return self._decide_without_slots(client, rank, window is not None, now_us, wall_ms)
        where = hash_in_window(window.id, client)
        if self.violations_window_id != window.id:
            self.violations_window_id, self.violations, self.retry_deadlines = (
                window.id,
                ViolationCounter(),
                RetryDeadlines(),
            )
        number = window.plans[0].number
        if self.late_plan != (window.id, number):
            self._reset_late(window.id, number)
        slot_ms, when, passed = self._slot(window, where, rank, wall_ms)
        noncompliant = self.violations.count(where.sketch_hash) >= self.settings.strikes
        if when is EARLY and not passed and self._has_committed_slot(client, rank, wall_ms):
            when = AT_SLOT
        if when is EARLY:
            self._count_violation(window, where, wall_ms, now_us)
            if not passed:
                self.counts["early"] += 1
                wait_us = self._wait_us(window, where, slot_ms, wall_ms)
                self.retry_deadlines.extend(where.sketch_hash, wall_ms + wait_us // 1000 - window.started_ms)
                return RetryAfter(wait_us)
        return self._admit_or_queue(
            window,
            where,
            rank,
            when=when,
            slot_ms=slot_ms,
            noncompliant=noncompliant,
            now_us=now_us,
            wall_ms=wall_ms,
        )

    def _slot(
        self, window: AdmissionWindow, where: ClientHash, rank: int, wall_ms: int
    ) -> tuple[int, str, bool]:
        """Return a client's slot, whether now is before, at or after it, and if an earlier one has passed."""
        slot_ms, passed = 0, False
        for plan in window.plans:
            slot_ms = plan.slot_ms(rank, where)
            if wall_ms < slot_ms - self.settings.skew_ms:
                return slot_ms, EARLY, passed
            if wall_ms <= slot_ms + self.settings.grace_ms:
                return slot_ms, AT_SLOT, passed
            passed = True
        return slot_ms, LATE, True

    def _has_committed_slot(self, client: str, rank: int, wall_ms: int) -> bool:
        """Tell whether a superseded window announced a slot to the client that is due now."""
        for one in self.superseded:
            slot_ms, when, _passed = self._slot(one, hash_in_window(one.id, client), rank, wall_ms)
            if when is AT_SLOT and slot_ms <= one.committed_until_ms:
                return True
        return False

    def _count_violation(self, window: AdmissionWindow, where: ClientHash, wall_ms: int, now_us: int) -> None:
        """Count a violation: a client came before the time it was told here, and not at a check-in."""
        settings, step_ms = self.settings, self._max_wait_ms(window)
        fresh = self.own_planner is not None or now_us - self.fleet_window_us <= settings.fresh_ms * 1000
        after_ms = min(settings.grace_ms // 2, step_ms // 5)
        if (
            self.retry_deadlines.deadline_ms(where.sketch_hash)
            <= wall_ms + settings.skew_ms - window.started_ms
        ):
            return
        if fresh and step_ms and not is_check_in(where.phase, wall_ms, step_ms, settings.skew_ms, after_ms):
            self.violations.add(where.sketch_hash)
            self.counts["struck"] += 1

    def _wait_us(self, window: AdmissionWindow, where: ClientHash, slot_ms: int, wall_ms: int) -> int:
        """Return the wait, in microseconds: to the slot, or to a check-in if the slot is too far off."""
        ahead_ms, step_ms = slot_ms - wall_ms, self._max_wait_ms(window)
        if step_ms == 0:
            return 0
        if ahead_ms > step_ms:
            return check_in_wait_ms(where.phase, wall_ms, step_ms) * 1000
        if slot_ms > window.committed_until_ms:  # without an owner the slot may move
            return min(ahead_ms * 1000, self._jittered_wait_us())
        return max(1, ahead_ms) * 1000

    def _jittered_wait_us(self) -> int:
        """Return a jittered wait, in microseconds, for a client whose slot is unknown or has passed."""
        most_ms = min(self.settings.first_ms, self.settings.cap_ms)
        return int(most_ms * 1000 * (0.3 + 0.7 * self.random.random()))

    def _admit_or_queue(
        self, window: AdmissionWindow, where: ClientHash, rank: int, *, when: str, slot_ms: int,
        noncompliant: bool, now_us: int,
        wall_ms: int,
    ) -> Admit | RetryAfter:  # fmt: skip
        """Admit a client that is due if the token bucket allows, else queue or refuse it."""
        self.due_count += 1
        most = self._fill_bucket(now_us)
        keep = (
            NONCOMPLIANT_RESERVED_SHARE if noncompliant else 0.0 if when is AT_SLOT else LATE_RESERVED_SHARE
        )
        if self.tokens >= min(most, 1 + keep * most):
            self.tokens -= 1
            self.admitted[rank] += 1
            self.admitted_at_slot += when is AT_SLOT and not noncompliant
            self.late_admitted += when is not AT_SLOT
            self.counts["last" if noncompliant else "at_slot" if when is AT_SLOT else "late"] += 1
            return ADMIT
        self.refused_count += 1
        if when is EARLY:  # it has a slot in the next wave
            self._count_late_refusal(where, rank)
            return RetryAfter(self._wait_us(window, where, slot_ms, wall_ms))
        if when is AT_SLOT and not noncompliant:
            self.counts["queued"] += 1
            most_us = int(QUEUE_GRACE_SHARE * self.settings.grace_ms * 1000)
            each_us = int(1e6 / max(self.budget.member_rate(now_us), 1e-3))
            ahead_us = max(0, self.queue_end_us - now_us) + each_us
            # A client that does not fit must not lengthen the queue: built up at the safe rate, it would
            # still be full after the rate has grown, and refuse clients while budget is left.
            if ahead_us <= most_us:
                self.queue_end_us = now_us + ahead_us
                return RetryAfter(ahead_us)
            after_ms = window.plans[-1].slot_ms(rank, where)
            if slot_ms < after_ms <= window.committed_until_ms:
                return RetryAfter(self._wait_us(window, where, after_ms, wall_ms))
            return RetryAfter(most_us)
        if when is LATE:
            self._count_late_refusal(where, rank)
        return RetryAfter(self._jittered_wait_us())

    def _fill_bucket(self, now_us: int) -> int:
        """Fill the token bucket from the budget; return the bucket's size."""
        most = max(MIN_BUCKET_TOKENS, int(self.budget.member_rate(now_us) * self.settings.purse_ms / 1000))
        # Tokens saved at a higher rate are dropped, so that all members' buckets have a common bound. Twice
        # the size is kept, as rates vary a little each period and dropped tokens are lost to everybody.
        self.tokens = min(self.tokens, MAX_BUCKET_FACTOR * most)
        while self.tokens < most and self.budget.try_take(now_us):
            self.tokens += 1
        return most

    def _decide_without_slots(
        self, client: str, rank: int, opening: bool, now_us: int, wall_ms: int
    ) -> Admit | RetryAfter:  # fmt: skip
        """Decide while no slots are known: clients with an announced slot first, then the highest class."""
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
