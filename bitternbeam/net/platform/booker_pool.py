"""What is open to one booker: set-ups, answers, refusals and releases on its connections."""

from __future__ import annotations

from bitternbeam.core.calls import Attempt, AttemptEnd
from bitternbeam.decision.interface import Outcome, Report
from bitternbeam.net.platform.booker_connection import BookerConnection, UpstreamRequest
from bitternbeam.net.platform.connection_pool import BookerEndpoint, ConnectionPool
from bitternbeam.net.platform.json_lines import (
    CAUSE_BUSY,
    CAUSE_ERROR,
    CAUSE_EXPIRED,
    CAUSE_FAILURE,
    CAUSE_NORMAL,
    CAUSE_REFUSED,
    Message,
    message_uid,
)
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests
from bitternbeam.net.reports import read_report

UNANSWERED_OUTCOMES = {
    CAUSE_REFUSED: Outcome.TURNED_AWAY,
    CAUSE_BUSY: Outcome.ERROR,
    CAUSE_ERROR: Outcome.ERROR,
    CAUSE_EXPIRED: Outcome.NOT_SENT,
    CAUSE_FAILURE: Outcome.CUT,
}


class BookerPool(ConnectionPool):
    """One booker's attempts, on the connections that are open to it."""

    def __init__(self, surroundings: UpstreamContext, place: BookerEndpoint, legs: UpstreamRequests) -> None:
        super().__init__(surroundings, place, legs)
        self.latest_answered_sent_us = 0  # when the latest of the set-ups it answered was sent
        self.probe_sent_us: int | None = None  # when the probe that is out was sent
        self.last_report: Report | None = None  # the state of its lines, as told last
        self.last_report_us = 0  # when that was

    @property
    def name(self) -> str:
        """The booker's id."""
        return self.endpoint.booker

    def load_reported(self, connection: BookerConnection, report: Report) -> None:
        """Take the state of the booker's lines; on up to four connections at once it is one report.

        Danger: which connections those are is the booker's choice. Heard on one of ours alone, it was not
        heard at all once that was none of them: the lines told last were used up, and the booker never asked.
        """
        now_us = self.context.deadlines.now_us()
        told = (
            report == self.last_report
            and now_us - self.last_report_us < self.context.limits.booker_report_repeat_us
        )
        if not self.retired and not told:
            self.last_report, self.last_report_us = report, now_us
            self.context.core.report_received(self.endpoint.booker, report)

    def probe(self) -> None:
        """Ask for a report, one at a time; where no connection is open there is nobody to ask."""
        if self.probe_sent_us is not None or self.retired or not self.connections:
            return
        asked_us = self.probe_sent_us = self.context.deadlines.now_us()
        self.context.counters.add("booker.probes")
        self.least_loaded().send_probe()
        wait_us = self.context.limits.booker_probe_us
        self.context.deadlines.after(wait_us, lambda: self._probe_timed_out(asked_us))

    def probe_answered(self, report: Report | None) -> None:
        """Take the answer to a probe; what comes unasked, twice or late answers no probe that is out."""
        if self.probe_sent_us is None or self.retired:
            self.context.counters.add("booker.probes_unasked")
            return
        took_us, self.probe_sent_us = self.context.deadlines.now_us() - self.probe_sent_us, None
        if report is None:
            self.context.counters.add("booker.probes_without_report")
        else:
            self.context.core.probe_ended(self.name, took_us, report)

    def _probe_timed_out(self, asked_us: int) -> None:
        if self.probe_sent_us != asked_us:
            return
        self.probe_sent_us = None
        self.context.counters.add("booker.probes_lost")
        # Danger: a probe is lost with its connection too; that of a booker which is heard tells no wait.
        if self.last_received_us < asked_us and not self.retired:
            self.context.core.probe_ended(self.name, self.context.limits.booker_probe_us, None)

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up, or let it wait for the connection that is being made."""
        leg = self.requests.add(attempt, self)
        self.context.inherited_calls.record_sent(attempt.offer.uid)
        if self.connections:
            self.send(leg)
            self.open_spare()
        elif self.early_losses <= self.context.limits.booker_early_resets:
            self.connect()

    def cancel(self, leg: UpstreamRequest, unanswered: bool = False) -> None:
        """Give a set-up up, or release a call."""
        self.requests.remove(leg)
        connection = leg.connection or (self.least_loaded() if leg.established and self.connections else None)
        if connection is None or not connection.is_open:
            return
        uid, sent_us = leg.attempt.offer.uid, leg.attempt.decided_us
        connection.send({"kind": "stop", "uid": uid, "meta": {}, "reason": CAUSE_NORMAL})
        silent_us = self.context.deadlines.now_us() - self.context.limits.booker_skipped_answer_us
        if unanswered and connection.last_received_us < sent_us < silent_us and not connection.pending:
            # Danger: one that went silent looks idle, and would take set-up after set-up.
            self.retire_connection(connection, "silent")

    def call_accepted(self, connection: BookerConnection, message: Message) -> None:
        """Take an answer."""
        uid, body = message_uid(message), message.get("body")
        if not isinstance(body, str):
            connection.half_close("bad_answer")
            return
        leg = connection.pending.pop(uid, None)
        if leg is None:
            # A second one, or it crossed our giving up, which releases the call as it arrives.
            self.context.counters.add("booker.late_answers")
            return
        leg.established = True
        self.latest_answered_sent_us = max(self.latest_answered_sent_us, leg.attempt.decided_us)
        if not self.context.core.attempt_answered(leg.attempt, body):
            self.cancel(leg)
        self._retire_overtaken()

    def _retire_overtaken(self) -> None:
        """Set connections aside that were passed over.

        A booker has one line: it answers in the order in which set-ups came. Danger: the answer to one
        that a much later one has overtaken will not come, and waiting for it costs its whole time.
        """
        before_us = self.latest_answered_sent_us - self.context.limits.booker_skipped_answer_us
        for connection in self.connections[:]:
            oldest = next(iter(connection.pending.values()), None)
            if oldest is not None and oldest.attempt.decided_us < before_us:
                self.retire_connection(connection, "overtaken")

    def call_stopped(self, connection: BookerConnection, message: Message) -> None:
        """Take a refusal or a release."""
        cause = message.get("reason")
        if not isinstance(cause, int):
            connection.half_close("bad_answer")
            return
        leg = self.requests.get(message_uid(message))
        if leg is None or (not leg.established and leg.connection is not connection):
            if leg is None:
                self.context.inherited_calls.release_received(message_uid(message), cause)
            return  # it ends a call that is none of this pool's
        meta: Message = message.get("meta", {})
        if leg.established:
            outcome = Outcome.SERVED if cause == CAUSE_NORMAL else Outcome.CUT
        else:
            outcome = UNANSWERED_OUTCOMES.get(cause, Outcome.ERROR)
        note = meta.get("note")
        full = outcome is Outcome.TURNED_AWAY and note == "queue_long"
        no_line = outcome is Outcome.TURNED_AWAY and note == "no_path"
        # Danger: when lines are lost a booker cuts many calls at once, and that it says so shows it is alive.
        told_cut = outcome is Outcome.CUT
        self.requests.finish(
            leg, AttemptEnd(outcome, full, no_line, read_report(meta.get("load")), connection_broken=told_cut)
        )
