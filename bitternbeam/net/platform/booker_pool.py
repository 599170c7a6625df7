"""One booker's connection pool: sends set-ups and handles answers, refusals, releases and load reports."""

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
from bitternbeam.net.platform.unheld_calls import UnheldCause, cut_and_release
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
    """The attempts at one booker, on the connections that are open to it."""

    def __init__(
        self, context: UpstreamContext, endpoint: BookerEndpoint, requests: UpstreamRequests
    ) -> None:
        super().__init__(context, endpoint, requests)
        self.latest_answered_sent_us = 0  # send time of the latest set-up that was answered
        self.probe_sent_us: int | None = None  # send time of the pending probe
        self.last_report: Report | None = None  # the last unsolicited load report
        self.last_report_us = 0  # when it arrived

    @property
    def name(self) -> str:
        """The booker's id."""
        return self.endpoint.booker

    def take_over(self, former: BookerPool, started_us: int) -> None:
        """Take what was made at this server's address since its start, under the former server's name.

        The list is late: until it tells of a new server at the address of one that has gone, connections are
        made and set-ups sent to the new one that are meant for the former. They are this server's. What is
        older was the former's, whose process may still hold its connections.
        """
        for connection in former.connections[:]:
            if connection.opened_us >= started_us:
                former.connections.remove(connection)
                connection.owner = self
                self.connections.append(connection)
        for request in former.requests.sent():
            if request.connection_opened_us >= started_us:
                self.context.counters.add("booker.attempts_taken_over")
                former.requests.move(request, self.requests, self)

    def succeed(self, former: BookerPool) -> None:
        """Send the releases that a retired server at this address can no longer be sent, now and later."""
        former.successor = self
        for uid in former.unsent_releases.take_all():
            self.send_or_keep_release(uid)

    def restart(self, started_us: int) -> None:
        """End what the server's process before its restart was sent, and leave that one's connections."""
        cut_and_release(self, self.requests.sent_before_start(started_us), UnheldCause.RESTARTED)
        for connection in self.connections[:]:
            if connection.leads_to_former_process(started_us):
                self.retire_connection(connection, "restarted")

    def load_reported(self, connection: BookerConnection, report: Report) -> None:
        """Handle an unsolicited load report, from whichever connection it comes.

        The booker sends the same report on up to four connections of its choice, so equal reports within
        `booker_report_repeat_us` count once. Listening on a single connection would miss all reports if the
        booker chose others: the core would go on with an outdated count of free lines.
        """
        now_us = self.context.deadlines.now_us()
        repeated = (
            report == self.last_report
            and now_us - self.last_report_us < self.context.limits.booker_report_repeat_us
        )
        if not self.retired and not repeated:
            self.last_report, self.last_report_us = report, now_us
            self.context.core.report_received(self.endpoint.booker, report)

    def probe(self) -> None:
        """Send a probe, unless one is pending, the booker was removed or no connection is open."""
        if self.probe_sent_us is not None or self.retired or not self.connections:
            return
        sent_us = self.probe_sent_us = self.context.deadlines.now_us()
        self.context.counters.add("booker.probes")
        self.least_loaded().send_probe()
        wait_us = self.context.limits.booker_probe_us
        self.context.deadlines.after(wait_us, lambda: self._probe_timed_out(sent_us))

    def probe_answered(self, report: Report | None) -> None:
        """Handle the answer to a probe; unsolicited, repeated and late answers are only counted."""
        if self.probe_sent_us is None or self.retired:
            self.context.counters.add("booker.probes_unasked")
            return
        elapsed_us, self.probe_sent_us = self.context.deadlines.now_us() - self.probe_sent_us, None
        if report is None:
            self.context.counters.add("booker.probes_without_report")
        else:
            self.context.core.probe_ended(self.name, elapsed_us, report)

    def _probe_timed_out(self, sent_us: int) -> None:
        if self.probe_sent_us != sent_us:
            return
        self.probe_sent_us = None
        self.context.counters.add("booker.probes_lost")
        # The probe may have been lost with its connection. If the booker has sent anything since, the
        # time-out says nothing about its response time.
        if self.heard_us < sent_us and not self.retired:
            self.context.core.probe_ended(self.name, self.context.limits.booker_probe_us, None)

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up, or queue it until a connection is open."""
        if attempt.offer.uid in self.unsent_releases:
            # The booker may still hold an earlier attempt of this call.
            attempt.unsent = True
            self.context.core.attempt_ended(attempt, AttemptEnd(Outcome.NO_CONNECTION))
            return
        request = self.requests.add(attempt, self)
        self.context.inherited_calls.record_sent(attempt.offer.uid)
        if self.connections:
            self.send(request)
            self.open_spare()
        elif self.early_losses <= self.context.limits.booker_early_resets:
            self.connect()

    def cancel(self, request: UpstreamRequest, unanswered: bool = False) -> None:
        """Cancel a set-up, or release a call."""
        self.requests.remove(request)
        if request.attempt.unsent:
            return
        uid, sent_us = request.attempt.offer.uid, request.attempt.decided_us
        connection = request.connection
        if connection is None or not connection.is_open:
            self.send_or_keep_release(uid)
            return
        connection.send_release(uid)
        silent_us = self.context.deadlines.now_us() - self.context.limits.booker_skipped_answer_us
        if unanswered and connection.last_received_us < sent_us < silent_us and not connection.pending:
            # A connection that has gone silent looks idle, so it would be chosen for every new set-up.
            self.retire_connection(connection, "silent")

    def call_accepted(self, connection: BookerConnection, message: Message) -> None:
        """Handle a booker's acceptance of a set-up."""
        uid, body = message_uid(message), message.get("body")
        if not isinstance(body, str):
            connection.half_close("bad_answer")
            return
        request = connection.pending.pop(uid, None)
        if request is None:
            # A duplicate, or it crossed our cancel, which releases the call when it reaches the booker.
            self.context.counters.add("booker.late_answers")
            return
        request.established = True
        self.latest_answered_sent_us = max(self.latest_answered_sent_us, request.attempt.decided_us)
        if not self.context.core.attempt_answered(request.attempt, body):
            self.cancel(request)
        self._retire_overtaken()

    def _retire_overtaken(self) -> None:
        """Retire connections on which an answer was skipped.

        A booker answers set-ups in the order of their arrival. Once a set-up that was sent more than
        `booker_skipped_answer_us` later has been answered, the earlier answer will not come; waiting for it
        would use up the attempt's whole time.
        """
        before_us = self.latest_answered_sent_us - self.context.limits.booker_skipped_answer_us
        for connection in self.connections[:]:
            oldest = next(iter(connection.pending.values()), None)
            if oldest is not None and oldest.attempt.decided_us < before_us:
                self.retire_connection(connection, "overtaken")

    def call_stopped(self, connection: BookerConnection, message: Message) -> None:
        """Handle a refusal of a set-up or the release of a call."""
        cause = message.get("reason")
        if not isinstance(cause, int):
            connection.half_close("bad_answer")
            return
        request = self.requests.get(message_uid(message))
        if request is None or (not request.established and request.connection is not connection):
            if request is None:
                self.context.inherited_calls.release_received(message_uid(message), cause)
            return  # the call belongs to no connection of this pool
        meta: Message = message.get("meta", {})
        if request.established:
            outcome = Outcome.SERVED if cause == CAUSE_NORMAL else Outcome.CUT
        else:
            outcome = UNANSWERED_OUTCOMES.get(cause, Outcome.ERROR)
        note = meta.get("note")
        full = outcome is Outcome.TURNED_AWAY and note == "queue_long"
        no_line = outcome is Outcome.TURNED_AWAY and note == "no_path"
        # A booker that loses lines cuts many calls at once; its message shows that the process is alive.
        cut_by_booker = outcome is Outcome.CUT
        self.requests.finish(
            request,
            AttemptEnd(
                outcome, full, no_line, read_report(meta.get("load")), connection_broken=cut_by_booker
            ),
        )
