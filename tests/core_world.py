"""The core alone: a clock that is set by hand, a front and a back that keep the rules in view."""

from __future__ import annotations

from dataclasses import dataclass, field

from bitternbeam.core.calls import Attempt, AttemptEnd, Offer
from bitternbeam.core.control import CallControl
from bitternbeam.core.ports import DecisionModule
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from tests.manual_clock import ManualClock
from tests.world import MS, SECOND, SETTINGS

READY = api.SwitchState.READY
IN_DOUBT = (api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF)


@dataclass
class ClientRequest:
    """A client's request as the test follows it."""

    uid: str
    deadline_us: int  # its client's time is up
    handle: int = 0
    client_left: bool = False  # the client has left
    answers: list[str] = field(default_factory=list)
    released: bool = False  # a call that stood was released


class Violations(list[str]):
    """Rules that were broken: an error raised where the core calls would only be logged there."""

    def expect(self, holds: object, what: str) -> None:
        """Note a broken rule."""
        if not holds:
            self.append(what)


class Clients:
    """The core's Front: checks each answer against what is owed."""

    def __init__(self, hand: ManualClock, broken: Violations) -> None:
        """Know no request."""
        self.hand = hand
        self.violations = broken
        self.requests: list[ClientRequest] = []

    def _answer(self, ref: int, what: str) -> None:
        request = self.requests[ref]
        request.answers.append(what)
        self.violations.expect(len(request.answers) == 1, f"{request.uid}: {request.answers}")
        self.violations.expect(self.hand.time_us <= request.deadline_us, f"{request.uid}: late")

    def send_answer(self, ref: int, body: object) -> None:
        """Take an answer."""
        self._answer(ref, "stands")

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Take a refusal."""
        self._answer(ref, "refused")

    def send_failure(self, ref: int, late: bool) -> None:
        """Take a failure."""
        self._answer(ref, "failed")

    def send_progress(self, ref: int) -> None:
        """Pass over it."""

    def send_release(self, ref: int, outcome: api.Outcome) -> None:
        """Take a release, which ends a call that stood, once."""
        request = self.requests[ref]
        self.violations.expect(
            request.answers == ["stands"] and not request.released, f"{request.uid}: released"
        )
        request.released = True

    def is_client_waiting(self, ref: int) -> bool:
        """Tell whether the client is there."""
        return not self.requests[ref].client_left


class Servers:
    """The core's Back: attempts wait for a connection until the test writes them, and checks each write."""

    def __init__(self, hand: ManualClock, broken: Violations) -> None:
        """Reach every server, with connections at hand."""
        self.hand = hand
        self.violations = broken
        self.waiting: list[Attempt] = []
        self.written: list[Attempt] = []
        self.standing: list[Attempt] = []
        self.unreachable: set[str] = set()
        self.slow: set[str] = set()  # to which a connection has to be made first
        self.held: dict[str, int] = {}  # by id: no attempt until then
        self.core: CallControl
        self.clients: Clients

    def set_up(self, attempt: Attempt) -> None:
        """Write at once, wait for a connection, or find the server unreachable."""
        if attempt.booker in self.unreachable:
            self.core.attempt_ended(attempt, AttemptEnd(api.Outcome.NO_CONNECTION))
            return
        attempt.unsent = True
        self.waiting.append(attempt)
        if attempt.booker not in self.slow:
            self.write(attempt)

    def write(self, attempt: Attempt) -> None:
        """Let the connection come up that an attempt waits for."""
        self.waiting.remove(attempt)
        if not self.core.may_write(attempt):
            self.core.attempt_ended(attempt, AttemptEnd(api.Outcome.NOT_SENT))
            return
        uid, unless = attempt.offer.uid, self.violations.expect
        self.core.attempt_written(attempt)
        out = [one for one in self.written + self.standing if one.offer.uid == uid]
        unless(not out, f"{uid}: two out")
        unless(self.hand.time_us >= self.held.get(uid, 0), f"{uid}: its release is in doubt")
        ready = self.core.listing.states.get(attempt.booker) is READY
        unless(ready, f"{uid}: to one that is not ready")
        unless(not self.clients.requests[attempt.offer.ref].client_left, f"{uid}: its client has left")
        self.written.append(attempt)

    def end_attempt(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """End an attempt that is out, or a call that stands."""
        self._over(attempt, outcome)
        self.core.attempt_ended(attempt, AttemptEnd(outcome))

    def _over(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt in self.written and outcome in IN_DOUBT:
            self.held[attempt.offer.uid] = self.hand.time_us + SETTINGS.release_wait_us
        for where in (self.written, self.standing, self.waiting):
            if attempt in where:
                where.remove(attempt)

    def answer(self, attempt: Attempt) -> None:
        """Answer an attempt."""
        self.written.remove(attempt)
        if self.core.attempt_answered(attempt, "x"):
            self.standing.append(attempt)

    def probe(self, booker: str) -> None:
        """Answer no probe."""

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Take an attempt back at once."""
        self._over(attempt, attempt.cancel_outcome or api.Outcome.CALLED_OFF)
        return True

    def release(self, attempt: Attempt) -> None:
        """Release a call."""
        self._over(attempt, api.Outcome.SERVED)


class CoreWorld:
    """One core with its clients and servers."""

    def __init__(self, module: DecisionModule, limits: Limits | None = None) -> None:
        """List three servers."""
        self.hand = ManualClock()
        self.deadlines = self.hand.deadlines
        self.violations = Violations()
        self.clients, self.servers = Clients(self.hand, self.violations), Servers(self.hand, self.violations)
        self.counters = Counters()
        self.core = CallControl(module, SETTINGS, self.deadlines, limits or Limits(), self.counters)
        self.core.attach(self.servers)
        self.servers.core, self.servers.clients = self.core, self.clients
        self.names = ("s0", "s1", "s2")
        for name in self.names:
            self.report_server(name, READY)

    def report_server(self, name: str, state: api.SwitchState, started_us: int = 0) -> None:
        """Bring news of a server."""
        entry = api.SwitchEntry(name, self.names.index(name), state, started_us)
        self.core.update_bookers(api.ListKind.CHANGES, (entry,))

    def send_request(self, uid: str, left_us: int = 3 * SECOND, cell: int = 0) -> ClientRequest:
        """Offer a request."""
        request = ClientRequest(uid, self.hand.time_us + left_us)
        self.clients.requests.append(request)
        ref = len(self.clients.requests) - 1
        offer = Offer(uid, "low", cell, left_us, self.hand.time_us, f"n{ref}", "v=0", ref)
        request.handle = self.core.offer(self.clients, offer)
        return request

    def unanswered(self) -> list[ClientRequest]:
        """Return the requests whose client waits for its answer."""
        return [one for one in self.clients.requests if not one.answers and not one.client_left]

    def check(self) -> None:
        """Find no broken rule, and no request whose time is up without its answer."""
        assert not self.violations and not self.counters["module.actions_failed"], self.violations
        margin_us = 1 * MS
        late = [one.uid for one in self.unanswered() if one.deadline_us + margin_us < self.hand.time_us]
        assert not late, f"no answer: {late}"
