"""The table of calls: what is kept of each, its one final answer, and the end of its attempts."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from bitternbeam.core.calls import Attempt, AttemptEnd, CallState, Offer, Plan
from bitternbeam.core.event_queue import EventQueue
from bitternbeam.core.listing import Listing
from bitternbeam.core.ports import (
    AdmissionFilter,
    Backend,
    Clock,
    DecisionModule,
    Frontend,
    PlanProvider,
    TrafficLimiter,
)
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from bitternbeam.metrics.counts import RequestCounts
from bitternbeam.tables.deadlines import Deadline
from bitternbeam.tables.slots import SlotTable

log = logging.getLogger(__name__)

IN_DOUBT = (api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF)


@dataclass(slots=True, eq=False)
class Call:
    """A call that the core keeps until nothing is owed and nothing is out."""

    offer: Offer
    front: Frontend
    plan: Plan
    admission_filter: AdmissionFilter | None  # that passed it, and hears of its end
    answer_by_us: int  # its final answer is given by then
    handle: int = 0
    state: CallState = CallState.PENDING
    attempts: int = 0
    sent_attempts: int = 0  # of its attempts, those that went out
    current_attempt: Attempt | None = None  # sent and not answered, or standing
    booker: str = ""  # of its last attempt
    outcome: api.Outcome = api.Outcome.NOT_SENT  # likewise
    release_wait_until_us: int = 0  # a release is awaited until then
    deadline: Deadline | None = None


class CallTable(ABC):
    """The calls of one group of bookers, and how they come to their end."""

    back: Backend

    def __init__(
        self, module: DecisionModule, settings: api.Settings, clock: Clock, limits: Limits, counters: Counters
    ) -> None:
        self.module = module
        self.settings = settings
        self.clock = clock
        self.limits = limits
        self.counters = counters
        self.metrics = RequestCounts(tuple(kind.name for kind in settings.classes))
        self.calls: SlotTable[Call] = SlotTable(limits.calls)
        self.by_uid: dict[str, Call] = {}
        self.held_ids: dict[
            str, int
        ] = {}  # ids of calls that are over, while a release of theirs is in doubt
        self.listing = Listing()
        self.admission_filter: AdmissionFilter | None = None
        self.plan_provider: PlanProvider | None = None
        self.limiter: TrafficLimiter | None = None
        self.event_queue = EventQueue(
            module, clock, counters, self.execute_action, self.handle_decision_failure
        )
        self.on_idle: Callable[[], None] | None = None

    def attach(self, back: Backend) -> None:
        """Name the back; it needs the core first."""
        self.back = back

    @property
    def active(self) -> int:
        """Return the calls taken that have not ended: waiting for their answer, or standing."""
        return len(self.calls)

    @abstractmethod
    def execute_action(self, action: api.Action) -> None:
        """Carry out what the module wants."""

    def handle_decision_failure(self, event: api.Event) -> None:
        """Refuse a call on which the decision failed."""
        if isinstance(event, api.NewCall) and (call := self.by_uid.get(event.call)):
            self.send_final_answer(call, api.Refuse(event.call))

    def send_final_answer(self, call: Call, action: api.Refuse | api.Fail, late: bool = False) -> None:
        """Give the final answer; an attempt that is still out is given up first."""
        if call.state is not CallState.PENDING:
            return
        self.leave_pending(call, CallState.ENDED)
        self.trace("refused" if isinstance(action, api.Refuse) else "failed", call)
        self.cancel_attempt(call, api.Outcome.CALLED_OFF)
        if self.plan_provider:
            cell = self.listing.cell_of(call.booker)
            self.plan_provider.final_answer_sent(call.plan, False, call.booker, cell, call.outcome)
        if isinstance(action, api.Refuse):
            self.counters.add("answers.refused")
            self.metrics.increment("shed", call.offer.call_class)
            call.front.send_refusal(call.offer.ref, action.retry_after_us)
        else:
            self.counters.add("answers.failed")
            self.metrics.increment("errors", call.offer.call_class)
            call.front.send_failure(call.offer.ref, late)
        self.remove_if_finished(call)

    def trace(self, what: str, call: Call) -> None:
        """Tell what happens to a call, where that is wanted: structured logs show the fields."""
        if log.isEnabledFor(logging.DEBUG):
            fields = {"call": call.offer.uid, "booker": call.booker, "version": call.plan.version}
            log.debug("%s", what, extra=fields)

    def leave_pending(self, call: Call, state: CallState) -> None:
        """Leave PENDING, which a call does once."""
        call.state = state
        if call.deadline:
            call.deadline.cancel()

    def when_idle(self, idle: Callable[[], None]) -> None:
        """Call idle once no call is left; those that stand are given the time to come to their end."""
        self.on_idle = idle
        self.check_idle()

    def hang_up_all(self, leave_standing: bool = False) -> None:
        """Answer what is owed and release what stands, towards both sides, unless that goes on without us."""
        for call in self.calls.values():
            if call.state is CallState.PENDING:
                self.send_final_answer(call, api.Refuse(call.offer.uid))
                self.event_queue.process(
                    api.Withdrawn(call.offer.uid)
                )  # it may wait in the module for a release
            elif call.state is CallState.ESTABLISHED and not leave_standing:
                call.front.send_release(call.offer.ref, api.Outcome.CUT)
                self.hang_up(call)

    def check_idle(self) -> None:
        """Tell that no call is left, once, to whoever waits for that."""
        if self.on_idle and not self.calls:
            idle, self.on_idle = self.on_idle, None
            idle()

    def cancel_attempt(self, call: Call, outcome: api.Outcome) -> None:
        """Give up the attempt that is out, if there is one."""
        attempt = call.current_attempt
        if attempt is None or attempt.cancel_outcome:
            return
        if attempt.unsent:  # no release of it can be in doubt
            outcome = api.Outcome.NO_CONNECTION if outcome is api.Outcome.NO_ANSWER else api.Outcome.NOT_SENT
        attempt.cancel_outcome = outcome
        if self.back.cancel_attempt(attempt):
            self.close_attempt(call, attempt, AttemptEnd(outcome))

    def hang_up(self, call: Call) -> None:
        """Release a call that stands."""
        if (attempt := call.current_attempt) is not None:
            call.state = CallState.ENDED
            self.back.release(attempt)
            self.close_attempt(call, attempt, AttemptEnd(api.Outcome.SERVED))
            self.remove_if_finished(call)

    def close_attempt(self, call: Call, attempt: Attempt, end: AttemptEnd) -> None:
        """Note the end of an attempt and tell the module."""
        now_us = self.clock.now_us()
        call.current_attempt, call.outcome = None, end.outcome
        if attempt.deadline:
            attempt.deadline.cancel()
        self.counters.add(f"outcomes.{end.outcome.name.lower()}")
        if self.limiter and end.outcome in (api.Outcome.TURNED_AWAY, api.Outcome.ERROR):
            self.limiter.attempt_refused(attempt.booker)
        elif self.limiter and end.outcome is api.Outcome.NO_ANSWER:
            self.limiter.attempt_timed_out(attempt.booker)
        if end.outcome in IN_DOUBT:
            call.release_wait_until_us = now_us + self.settings.release_wait_us
        if self.limiter:
            ended = self.limiter.attempt_ended
            self._once_released(call, now_us, lambda: ended(attempt.booker, call.offer))
        self.event_queue.process(
            api.AttemptEnded(
                call=call.offer.uid,
                attempt=attempt.number,
                switch=attempt.booker,
                outcome=end.outcome,
                took_us=now_us - attempt.decided_us,
                finished=call.state is CallState.ENDED,
                processor_full=end.processor_full,
                no_line=end.no_line,
                connection_fault=end.connection_broken,
                report=end.report,
            )
        )

    def _once_released(self, call: Call, now_us: int, tell: Callable[[], None]) -> None:
        """Tell at once, or when a release that is in doubt has had its time: the booker may hold it yet."""
        if now_us < call.release_wait_until_us:
            self.clock.call_at(call.release_wait_until_us, tell)
        else:
            tell()

    def remove_if_finished(self, call: Call) -> None:
        """Keep a call no more, once nothing is owed and nothing is out."""
        if call.state is CallState.ENDED and call.current_attempt is None and self.calls.pop(call.handle):
            self.by_uid.pop(call.offer.uid, None)
            self._hold(call.offer.uid, call.release_wait_until_us)
            if self.on_idle:
                self.clock.call_at(self.clock.now_us(), self.check_idle)
            if self.plan_provider:
                self.plan_provider.call_ended(call.plan)
            if self.limiter:
                over = self.limiter.call_ended
                self._once_released(call, self.clock.now_us(), lambda: over(call.offer))
            if call.admission_filter is not None:
                took_us = self.clock.now_us() - call.offer.received_us
                call.admission_filter.call_ended(call.offer.call_class, call.outcome, call.attempts, took_us)

    def _hold(self, uid: str, until_us: int) -> None:
        """Remember an id until the release that is in doubt has had its time."""
        if self.clock.now_us() < until_us:
            self.held_ids[uid] = until_us
            self.clock.call_at(until_us, lambda: self._let_go(uid))

    def _let_go(self, uid: str) -> None:
        if self.held_ids.get(uid, 0) <= self.clock.now_us():
            self.held_ids.pop(uid, None)
