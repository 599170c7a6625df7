"""The attempts at one booker, from the set-up to its end."""

from __future__ import annotations

from bitternbeam.core.calls import Attempt, AttemptEnd
from bitternbeam.decision.interface import Outcome
from bitternbeam.net.platform.booker_connection import BookerConnection, ConnectionOwner, UpstreamRequest
from bitternbeam.net.platform.upstream_context import UpstreamContext


class UpstreamRequests:
    """The attempts at one booker; beside the others' in what the back looks them up in."""

    def __init__(self, surroundings: UpstreamContext, all_by_uid: dict[str, UpstreamRequest]) -> None:
        self.context = surroundings
        self.all_by_uid = all_by_uid
        self.by_uid: dict[str, UpstreamRequest] = {}

    def add(self, attempt: Attempt, holder: ConnectionOwner) -> UpstreamRequest:
        """Take an attempt up; it waits for a connection."""
        attempt.unsent = True
        leg = self.by_uid[attempt.offer.uid] = self.all_by_uid[attempt.offer.uid] = UpstreamRequest(
            attempt, holder
        )
        return leg

    def get(self, uid: str) -> UpstreamRequest | None:
        """Return the attempt of a call, if it is at this booker."""
        return self.by_uid.get(uid)

    def all(self) -> list[UpstreamRequest]:
        """Return all of them, as they are now."""
        return list(self.by_uid.values())

    def waiting(self) -> list[UpstreamRequest]:
        """Return those that wait for a connection."""
        return [leg for leg in self.by_uid.values() if leg.connection is None and not leg.established]

    def send(self, connection: BookerConnection, leg: UpstreamRequest) -> None:
        """Send a set-up that the rules allow at this moment."""
        attempt = leg.attempt
        waited_us = self.context.deadlines.now_us() - attempt.decided_us
        leg.connection = connection
        connection.pending[attempt.offer.uid] = leg
        meta = {
            "class": attempt.offer.call_class,
            "left": str(max(1, (attempt.timeout_us - waited_us) // 1000)),
        }
        if attempt.offer.number:
            meta["key"] = attempt.offer.number
        connection.send_now(
            {"kind": "launch", "uid": attempt.offer.uid, "meta": meta, "body": attempt.offer.body}
        )
        self.context.core.attempt_written(attempt)

    def finish(self, leg: UpstreamRequest, end: AttemptEnd) -> None:
        """Tell the core of an end, once."""
        if self.remove(leg):
            self.context.core.attempt_ended(leg.attempt, end)

    def remove(self, leg: UpstreamRequest) -> bool:
        """Take an attempt out; False if it is out already."""
        uid = leg.attempt.offer.uid
        if leg.connection:
            leg.connection.pending.pop(uid, None)
        self.all_by_uid.pop(uid, None)
        return self.by_uid.pop(uid, None) is not None

    def finish_waiting(self, outcome: Outcome, since_us: int | None = None) -> None:
        """End those that wait for a connection, or have since then: they never ran; requests go on."""
        for leg in self.waiting():
            if since_us is None or leg.attempt.decided_us <= since_us:
                self.finish(leg, AttemptEnd(outcome))

    def recheck_waiting(self) -> None:
        """End those that wait for a connection and that the rules, or the list, allow no more."""
        for leg in self.waiting():
            self.check_allowed(leg)

    def check_allowed(self, leg: UpstreamRequest) -> bool:
        """Ask again whether a set-up may be sent, which may have waited long; one that may not is ended."""
        allowed = self.context.core.may_write(leg.attempt)
        if not allowed:
            self.finish(leg, AttemptEnd(Outcome.NOT_SENT))
        return allowed

    def cut_all(self) -> None:
        """End whatever was there."""
        self.finish_waiting(Outcome.NOT_SENT)
        for leg in self.all():
            self.finish(leg, AttemptEnd(Outcome.CUT))

    def cut_sent_before(self, started_us: int) -> None:
        """End what was set up before a fresh start: the process that held it is gone."""
        for leg in self.all():
            if leg.attempt.decided_us < started_us and not leg.attempt.unsent:
                self.finish(leg, AttemptEnd(Outcome.CUT))
