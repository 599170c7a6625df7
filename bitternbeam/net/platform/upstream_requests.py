"""The attempts at one booker, from set-up to end."""

from __future__ import annotations

from bitternbeam.core.calls import Attempt, AttemptEnd
from bitternbeam.decision.interface import Outcome
from bitternbeam.net.platform.booker_connection import BookerConnection, ConnectionOwner, UpstreamRequest
from bitternbeam.net.platform.upstream_context import UpstreamContext


class UpstreamRequests:
    """The attempts at one booker, also indexed with those of all bookers in `all_by_uid`."""

    def __init__(self, context: UpstreamContext, all_by_uid: dict[str, UpstreamRequest]) -> None:
        self.context = context
        self.all_by_uid = all_by_uid
        self.by_uid: dict[str, UpstreamRequest] = {}

    def add(self, attempt: Attempt, holder: ConnectionOwner) -> UpstreamRequest:
        """Add an attempt, which waits for a connection."""
        attempt.unsent = True
        request = self.by_uid[attempt.offer.uid] = self.all_by_uid[attempt.offer.uid] = UpstreamRequest(
            attempt, holder
        )
        return request

    def get(self, uid: str) -> UpstreamRequest | None:
        """Return the attempt of a call, or None if this booker has none."""
        return self.by_uid.get(uid)

    def all(self) -> list[UpstreamRequest]:
        """Return a copy of the list of all attempts."""
        return list(self.by_uid.values())

    def waiting(self) -> list[UpstreamRequest]:
        """Return the attempts that wait for a connection."""
        return [
            request
            for request in self.by_uid.values()
            if request.connection is None and not request.established and not request.release_unsent
        ]

    def send(self, connection: BookerConnection, request: UpstreamRequest) -> None:
        """Send a set-up, which must have passed `check_allowed`."""
        attempt = request.attempt
        waited_us = self.context.deadlines.now_us() - attempt.decided_us
        request.connection = connection
        request.connection_opened_us = connection.opened_us
        connection.pending[attempt.offer.uid] = request
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

    def move(self, request: UpstreamRequest, to: UpstreamRequests, owner: ConnectionOwner) -> None:
        """Move an attempt to another server's pool."""
        uid = request.attempt.offer.uid
        to.by_uid[uid] = self.by_uid.pop(uid)
        request.owner = owner

    def finish(self, request: UpstreamRequest, end: AttemptEnd) -> None:
        """Remove an attempt and report its end to the core, once."""
        if self.remove(request):
            self.context.core.attempt_ended(request.attempt, end)

    def remove(self, request: UpstreamRequest) -> bool:
        """Remove an attempt; False if it was removed before."""
        uid = request.attempt.offer.uid
        if request.connection:
            request.connection.pending.pop(uid, None)
        self.all_by_uid.pop(uid, None)
        return self.by_uid.pop(uid, None) is not None

    def finish_waiting(self, outcome: Outcome, since_us: int | None = None) -> None:
        """End the attempts that wait for a connection, or have waited since `since_us`.

        They were never sent, so the core may retry their calls at once.
        """
        for request in self.waiting():
            if since_us is None or request.attempt.decided_us <= since_us:
                self.finish(request, AttemptEnd(outcome))

    def sent(self) -> list[UpstreamRequest]:
        """Return the attempts that were sent, those of established calls included."""
        return [request for request in self.by_uid.values() if not request.attempt.unsent]

    def sent_on(self, connection: BookerConnection) -> list[UpstreamRequest]:
        """Return the attempts that were sent on a connection, those of established calls included."""
        return [request for request in self.by_uid.values() if request.connection is connection]

    def finish_released(self) -> None:
        """End the attempts whose connection broke, now that the booker was sent their releases."""
        for request in self.all():
            if request.release_unsent:
                self.finish(request, AttemptEnd(Outcome.CUT, connection_broken=True))

    def recheck_waiting(self) -> None:
        """End the waiting attempts that the rules or the booker list no longer allow."""
        for request in self.waiting():
            self.check_allowed(request)

    def check_allowed(self, request: UpstreamRequest) -> bool:
        """Ask the core whether a set-up, which may have waited long, may still be sent; if not, end it."""
        allowed = self.context.core.may_write(request.attempt)
        if not allowed:
            self.finish(request, AttemptEnd(Outcome.NOT_SENT))
        return allowed

    def cut_all(self) -> None:
        """End all attempts: waiting ones as not sent, the others as cut."""
        self.finish_waiting(Outcome.NOT_SENT)
        for request in self.all():
            self.cut(request)

    def cut(self, request: UpstreamRequest) -> None:
        """End an attempt that was sent, or the call that it established, as cut."""
        self.finish(request, AttemptEnd(Outcome.CUT, connection_broken=request.release_unsent))

    def sent_before_start(self, started_us: int) -> list[UpstreamRequest]:
        """Return what was sent before a process of the server started, or to the one before it."""
        return [
            request
            for request in self.sent()
            if request.attempt.decided_us < started_us or request.is_at_former_process(started_us)
        ]
