"""The call table: the state of each call, its one final answer and the end of its attempts."""

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

NEVER_RAN = (api.Outcome.TURNED_AWAY, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT)
IN_DOUBT = (api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF)


@dataclass(slots=True, eq=False)
class Call:
    """A call, kept until it is answered and has no attempt in flight."""

    offer: Offer
    front: Frontend
    plan: Plan
    admission_filter: AdmissionFilter | None  # the filter that admitted it and is told of its end
    answer_by_us: int  # time of the latest final answer
    handle: int = 0
    state: CallState = CallState.PENDING
    attempts: int = 0
    sent_attempts: int = 0  # attempts handed to the backend
    current_attempt: Attempt | None = None  # in flight, or established
    booker: str = ""  # of the last attempt
    outcome: api.Outcome = api.Outcome.NOT_SENT  # of the last attempt
    may_have_run: bool = False  # an attempt that has ended is not proved never to have run
    release_wait_until_us: int = 0  # no new attempt before then
    deadline: Deadline | None = None


class CallTable(ABC):
    """The calls of one group of bookers and the transitions that end them."""

    back: Backend

    def __init__(
        self, module: DecisionModule, settings: api.Settings, clock: Clock, limits: Limits, counters: Counters
    ) -> None:
        self.module = module
        self.settings = settings
        self.clock = clock
        self.limits = limits
        self.counters = counters
        self.effects = {kind.name: kind.effect for kind in settings.classes}
        self.metrics = RequestCounts(tuple(kind.name for kind in settings.classes))
        self.calls: SlotTable[Call] = SlotTable(limits.calls)
        self.by_uid: dict[str, Call] = {}
        self.held_ids: dict[str, int] = {}  # ended calls whose release is uncertain: id to end of wait
        self.listing = Listing()
        self.admission_filter: AdmissionFilter | None = None
        self.plan_provider: PlanProvider | None = None
        self.limiter: TrafficLimiter | None = None
        self.event_queue = EventQueue(
            module, clock, counters, self.execute_action, self.handle_decision_failure
        )
        self.on_idle: Callable[[], None] | None = None

    def attach(self, back: Backend) -> None:
        """Set the backend, whose constructor needs the core."""
        self.back = back

    @property
    def active(self) -> int:
        """Return the number of calls that are waiting for their answer or established."""
        return len(self.calls)

    @abstractmethod
    def execute_action(self, action: api.Action) -> None:
        """Carry out an action of the decision module."""

    def handle_decision_failure(self, event: api.Event) -> None:
        """Refuse a call whose decision raised an exception."""
        if isinstance(event, api.NewCall) and (call := self.by_uid.get(event.call)):
            self.send_final_answer(call, api.Refuse(event.call))

    def send_final_answer(self, call: Call, action: api.Refuse | api.Fail, late: bool = False) -> None:
        """Send the final answer; an attempt still in flight is cancelled first.

        A refusal promises that repeating the call is harmless; where that is not so, it becomes a failure.
        """
        if call.state is not CallState.PENDING:
            return
        if isinstance(action, api.Refuse) and not self.is_repeatable(call):
            self.counters.add("answers.failed_as_may_have_run")
            action = api.Fail(call.offer.uid)
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

    def is_repeatable(self, call: Call) -> bool:
        """Return whether another set-up does no harm: none has run yet, or the class may run twice."""
        if self.effects[call.offer.call_class] is api.Effect.REPEATABLE:
            return True
        attempt = call.current_attempt
        in_flight = attempt is not None and not attempt.unsent
        return not (in_flight or call.may_have_run)

    def trace(self, what: str, call: Call) -> None:
        """Log a step of a call at debug level; structured logs show the fields."""
        if log.isEnabledFor(logging.DEBUG):
            fields = {"call": call.offer.uid, "booker": call.booker, "version": call.plan.version}
            log.debug("%s", what, extra=fields)

    def leave_pending(self, call: Call, state: CallState) -> None:
        """Leave the state PENDING, which happens once in a call."""
        call.state = state
        if call.deadline:
            call.deadline.cancel()

    def when_idle(self, idle: Callable[[], None]) -> None:
        """Call idle once no call is left; established calls are not cut short."""
        self.on_idle = idle
        self.check_idle()

    def hang_up_all(self, leave_standing: bool = False) -> None:
        """Answer pending calls, and release established ones on both sides, unless leave_standing.

        Pending calls are refused, but for those that may have run and may not run twice, which fail.
        """
        for call in self.calls.values():
            if call.state is CallState.PENDING:
                self.send_final_answer(call, api.Refuse(call.offer.uid))
                self.event_queue.process(
                    api.Withdrawn(call.offer.uid)
                )  # the module may hold it until a release
            elif call.state is CallState.ESTABLISHED and not leave_standing:
                call.front.send_release(call.offer.ref, api.Outcome.CUT)
                self.hang_up(call)

    def check_idle(self) -> None:
        """Call the idle callback once if no call is left."""
        if self.on_idle and not self.calls:
            idle, self.on_idle = self.on_idle, None
            idle()

    def cancel_attempt(self, call: Call, outcome: api.Outcome) -> None:
        """Cancel the attempt in flight, if there is one."""
        attempt = call.current_attempt
        if attempt is None or attempt.cancel_outcome:
            return
        if attempt.unsent:  # it cannot have reached the booker
            outcome = api.Outcome.NO_CONNECTION if outcome is api.Outcome.NO_ANSWER else api.Outcome.NOT_SENT
        attempt.cancel_outcome = outcome
        if self.back.cancel_attempt(attempt):
            self.close_attempt(call, attempt, AttemptEnd(outcome))

    def hang_up(self, call: Call) -> None:
        """Release an established call."""
        if (attempt := call.current_attempt) is not None:
            call.state = CallState.ENDED
            self.back.release(attempt)
            self.close_attempt(call, attempt, AttemptEnd(api.Outcome.SERVED))
            self.remove_if_finished(call)

    def close_attempt(self, call: Call, attempt: Attempt, end: AttemptEnd) -> None:
        """Record the end of an attempt and report it to the decision module."""
        now_us = self.clock.now_us()
        call.current_attempt, call.outcome = None, end.outcome
        call.may_have_run |= end.outcome not in NEVER_RAN
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
            self._after_release(call, now_us, lambda: ended(attempt.booker, call.offer))
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

    def _after_release(self, call: Call, now_us: int, tell: Callable[[], None]) -> None:
        """Call tell at once, or after an uncertain release, until which the booker may hold the attempt."""
        if now_us < call.release_wait_until_us:
            self.clock.call_at(call.release_wait_until_us, tell)
        else:
            tell()

    def remove_if_finished(self, call: Call) -> None:
        """Remove a call once it is answered and has no attempt in flight."""
        if call.state is CallState.ENDED and call.current_attempt is None and self.calls.pop(call.handle):
            self.by_uid.pop(call.offer.uid, None)
            self._hold_id(call.offer.uid, call.release_wait_until_us)
            if self.on_idle:
                self.clock.call_at(self.clock.now_us(), self.check_idle)
            if self.plan_provider:
                self.plan_provider.call_ended(call.plan)
            if self.limiter:
                over = self.limiter.call_ended
                self._after_release(call, self.clock.now_us(), lambda: over(call.offer))
            if call.admission_filter is not None:
                took_us = self.clock.now_us() - call.offer.received_us
                call.admission_filter.call_ended(call.offer.call_class, call.outcome, call.attempts, took_us)

    def _hold_id(self, uid: str, until_us: int) -> None:
        """Remember an id until an uncertain release must have been carried out."""
        if self.clock.now_us() < until_us:
            self.held_ids[uid] = until_us
            self.clock.call_at(until_us, lambda: self._release_id(uid))

    def _release_id(self, uid: str) -> None:
        if self.held_ids.get(uid, 0) <= self.clock.now_us():
            self.held_ids.pop(uid, None)
