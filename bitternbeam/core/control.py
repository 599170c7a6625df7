"""The life cycle of calls: the decision module decides; the core executes and enforces the rules.

Whatever the module decides, a call gets one final answer before its client leaves, has one attempt
in flight at a time, is not sent to a booker that is listed as draining or gone, and is not sent
again while a release whose effect is uncertain may still be in progress.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from bitternbeam.core.admission import Rejected, admit
from bitternbeam.core.calls import Attempt, AttemptEnd, CallState, Offer
from bitternbeam.core.ports import Clock, DecisionModule, Frontend
from bitternbeam.core.sending import limit_reason, rejection_reason, staleness_reason
from bitternbeam.core.table import NEVER_RAN, Call, CallTable
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits

log = logging.getLogger(__name__)


class CallControl(CallTable):
    """Handles the calls, attempts and deadlines of one group of bookers."""

    def __init__(
        self, module: DecisionModule, settings: api.Settings, clock: Clock, limits: Limits, counters: Counters
    ) -> None:
        super().__init__(module, settings, clock, limits, counters)
        self.classes = {kind.name for kind in settings.classes}
        self.longest_us = max(kind.deadline_us for kind in settings.classes)

    @property
    def has_booker_list(self) -> bool:
        """Return whether a list of bookers was received, possibly from the configuration alone."""
        return self.listing.received

    @property
    def states(self) -> dict[str, api.SwitchState]:
        """Return the states of the bookers listed."""
        return self.listing.states

    @property
    def cells(self) -> dict[str, int]:
        """Return the cells of the bookers listed."""
        return self.listing.cells

    # Called by frontends.

    def offer(self, front: Frontend, offer: Offer) -> int:
        """Accept a call and return its handle, 0 if refused. The answer may be sent before this returns."""
        self.counters.add("calls.offered")
        if offer.uid in self.by_uid or offer.call_class not in self.classes:
            # The booker could not tell two calls with one id apart.
            self.counters.add("calls.unusable")
            self.metrics.increment("errors", offer.call_class)
            front.send_failure(offer.ref, late=False)
            return 0
        if self.calls.full:
            self._reject(front, offer, Rejected("calls.over_the_limit", self.settings.max_stay_away_us, None))
            return 0
        now_us = self.clock.now_us()
        admission = admit(
            offer,
            now_us,
            self.listing,
            max_retry_after_us=self.settings.max_stay_away_us,
            gate=self.admission_filter,
            policies=self.plan_provider,
            bounds=self.limiter,
        )
        if isinstance(admission, Rejected):
            self._reject(front, offer, admission)
            return 0
        plan = admission.plan
        allowed_us = offer.left_us if plan.answer_in_us is None else min(offer.left_us, plan.answer_in_us)
        end_us = offer.received_us + allowed_us - self.limits.answer_margin_us
        call = Call(offer, front, plan, admission.admission_filter, end_us)
        call.handle = self.calls.put(call)
        self.by_uid[offer.uid] = call
        call.deadline = self.clock.call_at(end_us, lambda: self._deadline_passed(call))
        call.release_wait_until_us = self.held_ids.get(offer.uid, 0)
        if now_us < call.release_wait_until_us:
            # An earlier attempt with this id may still be held by a booker, as its release is uncertain;
            # another attempt now could make two at once.
            self.counters.add("calls.held_as_repeats")
            self.clock.call_at(call.release_wait_until_us, lambda: self._submit(call, admission.allowed))
        else:
            self._submit(call, admission.allowed)
        return call.handle

    def _submit(self, call: Call, allowed: tuple[api.Tier, ...] | None) -> None:
        """Pass a call to the decision module if it has no final answer yet."""
        if call.state is not CallState.PENDING:
            return
        offer = call.offer
        left_us = call.answer_by_us + self.limits.answer_margin_us - self.clock.now_us()
        self.event_queue.process(
            api.NewCall(
                call=offer.uid,
                call_class=offer.call_class,
                cell=offer.cell,
                left_us=max(0, left_us),
                number=offer.number,
                redial=offer.redial,
                again=offer.again,
                allowed=allowed,
                max_attempts=call.plan.max_attempts,
            )
        )

    def _reject(self, front: Frontend, offer: Offer, admission: Rejected) -> None:
        """Refuse an offer before it becomes a call."""
        self.counters.add(admission.counter)
        self.metrics.increment("shed", offer.call_class)
        front.send_refusal(offer.ref, admission.retry_after_us)
        if self.plan_provider and admission.plan is not None:
            self.plan_provider.final_answer_sent(admission.plan, False)
            self.plan_provider.call_ended(admission.plan)

    def withdraw(self, handle: int) -> None:
        """Withdraw a call whose client gave up; no answer is sent."""
        call = self.calls.get(handle)
        if call is None or call.state is not CallState.PENDING:
            return
        self.counters.add("calls.withdrawn")
        self.leave_pending(call, CallState.ENDED)
        self.event_queue.process(api.Withdrawn(call.offer.uid))
        self.cancel_attempt(call, api.Outcome.CALLED_OFF)
        self.remove_if_finished(call)

    def release(self, handle: int) -> None:
        """End an established call at the client's request."""
        call = self.calls.get(handle)
        if call is None or call.state is not CallState.ESTABLISHED or call.current_attempt is None:
            return
        self.counters.add("calls.released_by_caller")
        self.hang_up(call)

    # Called by backends.

    def attempt_answered(self, attempt: Attempt, body: object) -> bool:
        """Accept an answer; False if nobody waits for it, so that the backend must release it."""
        call = self.calls.get(attempt.call_handle)
        if (
            call is None
            or call.current_attempt is not attempt
            or call.state is not CallState.PENDING
            or attempt.cancel_outcome
        ):
            return False
        if attempt.deadline:
            attempt.deadline.cancel()
        self.leave_pending(call, CallState.ESTABLISHED)
        self.trace("stands", call)
        self.counters.add("answers.served")
        self.metrics.increment("ok", call.offer.call_class)
        if self.plan_provider:
            self.plan_provider.final_answer_sent(call.plan, True, attempt.booker)
        if self.limiter:
            self.limiter.attempt_answered(attempt.booker, self.clock.now_us())
        call.front.send_answer(call.offer.ref, body)
        took_us = self.clock.now_us() - attempt.decided_us
        self.event_queue.process(api.AttemptAnswered(call.offer.uid, attempt.number, attempt.booker, took_us))
        return True

    def may_write(self, attempt: Attempt) -> bool:
        """Check an attempt again just before it is written; False: the backend ends it as NOT_SENT.

        An attempt may wait long for a connection, and the rules and the client's presence were checked when
        it was decided. The traffic limiter counted it then and counts it until its end.
        """
        call = self.calls.get(attempt.call_handle)
        why = staleness_reason(call, attempt, self.clock.now_us(), self.listing)
        if not why and call is not None and not call.front.is_client_waiting(call.offer.ref):
            why = "client_left"
            self.withdraw(attempt.call_handle)
        if why:
            self.counters.add(f"sends.stale.{why}")
        return not why

    def attempt_written(self, attempt: Attempt) -> None:
        """Count an attempt whose set-up was handed completely to the booker's connection."""
        attempt.unsent = False
        self.metrics.increment("tries", attempt.offer.call_class)

    def attempt_progressed(self, attempt: Attempt) -> None:
        """Pass on that a booker is working on the attempt."""
        call = self.calls.get(attempt.call_handle)
        if call is not None and call.current_attempt is attempt and call.state is CallState.PENDING:
            call.front.send_progress(call.offer.ref)

    def attempt_ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Record the end of an attempt, before or after its answer."""
        call = self.calls.get(attempt.call_handle)
        if call is None or call.current_attempt is not attempt:
            return
        if attempt.cancel_outcome:
            end = AttemptEnd(attempt.cancel_outcome, report=end.report)
        standing = call.state is CallState.ESTABLISHED
        if standing:
            self.counters.add(f"calls.over.{end.outcome.name.lower()}")
            call.state = CallState.ENDED
            call.front.send_release(call.offer.ref, end.outcome)
        self.close_attempt(call, attempt, end)
        self.remove_if_finished(call)

    def report_received(self, booker: str, report: api.Report) -> None:
        """Record a load report that a booker sent unasked."""
        self.event_queue.process(api.ProbeAnswer(booker, 0, report))

    def probe_ended(self, booker: str, took_us: int, report: api.Report | None) -> None:
        """Record the answer to a probe; None if none came within took_us."""
        self.event_queue.process(api.ProbeAnswer(booker, took_us, report))

    # Called by directories.

    def update_bookers(self, kind: api.ListKind, entries: Iterable[api.SwitchEntry]) -> None:
        """Apply changes to the list of bookers."""
        entries = tuple(entries)
        self.listing.update(kind, entries)
        self.event_queue.process(api.ListEvent(kind, entries))

    # Actions of the decision module.

    def execute_action(self, action: api.Action) -> None:
        """Carry out an action of the decision module."""
        if isinstance(action, api.SetTimer):
            ref = action.ref
            self.clock.call_at(action.at_us, lambda: self.event_queue.process(api.TimerDue(ref)))
        elif isinstance(action, api.Log):
            log.info("%s", action.text)
        elif isinstance(action, api.Probe):
            # A probe costs the booker work: only if the settings allow it and the booker is ready.
            ready = self.states.get(action.switch) is api.SwitchState.READY
            if ready and self.settings.may_probe:
                self.back.probe(action.switch)
        elif isinstance(action, (api.Send, api.Refuse, api.Fail, api.Cancel)):
            call = self.by_uid.get(action.call)
            if call is None or call.state is not CallState.PENDING:
                self.counters.add("module.too_late")
                if isinstance(action, api.Send):  # the module counts it as in flight
                    self._report_not_sent(action.call, -1, action.switch, finished=True)
            elif isinstance(action, api.Send):
                self._send(call, action)
            elif isinstance(action, api.Cancel):
                self.cancel_attempt(call, api.Outcome.CALLED_OFF)
            else:
                self.send_final_answer(call, action)

    def _send(self, call: Call, action: api.Send) -> None:
        """Send an attempt if the rules and the limiter allow it."""
        now_us, uid, switch = self.clock.now_us(), call.offer.uid, action.switch
        why = rejection_reason(call, switch, now_us, self.listing, self.settings)
        if not why and not self.is_repeatable(call):
            why = "may_have_run"
        if not why:
            why, final = limit_reason(call, switch, now_us, self.limiter)
            if final:
                self.counters.add(f"sends.barred.{why}")
                self.send_final_answer(call, api.Refuse(uid) if call.outcome in NEVER_RAN else api.Fail(uid))
                self._report_not_sent(uid, call.attempts, switch, finished=True)
                return
        number = call.attempts
        call.attempts += 1
        if why:
            self.counters.add(f"sends.barred.{why}")
            if self.plan_provider:
                self.plan_provider.send_rejected(call.plan, why)
            if call.current_attempt is None:  # otherwise the outcome of that attempt follows
                self._report_not_sent(uid, number, switch, finished=False)
            return
        left_us = min(action.timeout_us or call.answer_by_us - now_us, call.answer_by_us - now_us)
        started_us = self.listing.started_us(switch)
        attempt = Attempt(call.handle, number, switch, call.offer, left_us, now_us, started_us)
        call.current_attempt, call.booker = attempt, switch
        attempt.deadline = self.clock.call_at(now_us + left_us, lambda: self._attempt_timed_out(attempt))
        call.sent_attempts += 1
        self.counters.add("sends")
        self.trace("sent", call)
        self.back.set_up(attempt)

    def _report_not_sent(self, uid: str, number: int, switch: str, finished: bool) -> None:
        """Report an attempt that was not sent, or the module would count it as in flight for ever."""
        self.event_queue.enqueue(api.AttemptEnded(uid, number, switch, api.Outcome.NOT_SENT, 0, finished))

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        call = self.calls.get(attempt.call_handle)
        if call is not None and call.current_attempt is attempt and call.state is CallState.PENDING:
            self.cancel_attempt(call, api.Outcome.NO_ANSWER)
            self.remove_if_finished(call)

    def _deadline_passed(self, call: Call) -> None:
        """Fail a call that the decision module did not answer in time."""
        if call.state is CallState.PENDING:
            self.counters.add("calls.time_up")
            self.send_final_answer(call, api.Fail(call.offer.uid), late=True)
            self.event_queue.process(api.Withdrawn(call.offer.uid))  # the module may still hold it
