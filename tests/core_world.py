"""A call core with a manual clock, and a frontend and backend that check its rules."""

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
NEVER_RAN = (api.Outcome.TURNED_AWAY, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT)
IN_DOUBT = (api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF)


@dataclass
class ClientRequest:
    """A client's request as the test follows it."""

    uid: str
    deadline_us: int  # the client's deadline
    handle: int = 0
    client_left: bool = False  # the client has left
    answers: list[str] = field(default_factory=list)
    may_have_run: bool = False  # a written attempt is not proved never to have run
    released: bool = False  # the established call was released


class Violations(list[str]):
    """Broken rules, collected because the core would catch and log an exception raised here."""

    def expect(self, holds: object, what: str) -> None:
        """Record a broken rule unless the condition holds."""
        if not holds:
            self.append(what)


class Clients:
    """A frontend that checks each answer."""

    def __init__(self, hand: ManualClock, broken: Violations) -> None:
        """Start without requests."""
        self.hand = hand
        self.violations = broken
        self.requests: list[ClientRequest] = []
        self.repeatable = True

    def _answer(self, ref: int, what: str) -> None:
        request = self.requests[ref]
        request.answers.append(what)
        self.violations.expect(len(request.answers) == 1, f"{request.uid}: {request.answers}")
        self.violations.expect(self.hand.time_us <= request.deadline_us, f"{request.uid}: late")

    def send_answer(self, ref: int, body: object) -> None:
        """Record an answer."""
        self._answer(ref, "stands")

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Record a refusal, which promises that another request is harmless."""
        self.violations.expect(
            self.repeatable or not self.requests[ref].may_have_run, f"{self.requests[ref].uid}: may have run"
        )
        self._answer(ref, "refused")

    def send_failure(self, ref: int, late: bool) -> None:
        """Record a failure."""
        self._answer(ref, "failed")

    def send_progress(self, ref: int) -> None:
        """Ignore progress."""

    def send_release(self, ref: int, outcome: api.Outcome) -> None:
        """Record a release, which ends an established call once."""
        request = self.requests[ref]
        self.violations.expect(
            request.answers == ["stands"] and not request.released, f"{request.uid}: released"
        )
        request.released = True

    def is_client_waiting(self, ref: int) -> bool:
        """Return whether the client is still connected."""
        return not self.requests[ref].client_left


class Servers:
    """A backend whose attempts wait for a connection until the test writes them; it checks each write."""

    def __init__(self, hand: ManualClock, broken: Violations) -> None:
        """Start with every server connected."""
        self.hand = hand
        self.violations = broken
        self.waiting: list[Attempt] = []
        self.written: list[Attempt] = []
        self.standing: list[Attempt] = []
        self.unreachable: set[str] = set()
        self.slow: set[str] = set()  # servers to which a connection has to be opened first
        self.held: dict[str, int] = {}  # by id: time before which no attempt may be written
        self.core: CallControl
        self.clients: Clients

    def set_up(self, attempt: Attempt) -> None:
        """Write at once, wait for a connection, or report the server unreachable."""
        if attempt.booker in self.unreachable:
            self.core.attempt_ended(attempt, AttemptEnd(api.Outcome.NO_CONNECTION))
            return
        attempt.unsent = True
        self.waiting.append(attempt)
        if attempt.booker not in self.slow:
            self.write(attempt)

    def write(self, attempt: Attempt) -> None:
        """Write an attempt as if its connection had opened."""
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
        request = self.clients.requests[attempt.offer.ref]
        unless(not request.client_left, f"{uid}: its client has left")
        unless(self.clients.repeatable or not request.may_have_run, f"{uid}: runs twice")
        request.may_have_run = True
        self.written.append(attempt)

    def end_attempt(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """End an attempt in flight or an established call."""
        if attempt in self.written and outcome in NEVER_RAN:
            self.clients.requests[attempt.offer.ref].may_have_run = False  # it was the only one
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
        """Cancel an attempt at once."""
        self._over(attempt, attempt.cancel_outcome or api.Outcome.CALLED_OFF)
        return True

    def release(self, attempt: Attempt) -> None:
        """Release a call."""
        self._over(attempt, api.Outcome.SERVED)


class CoreWorld:
    """One core with its clients and servers."""

    def __init__(
        self, module: DecisionModule, limits: Limits | None = None, settings: api.Settings = SETTINGS
    ) -> None:
        """List three servers."""
        self.hand = ManualClock()
        self.deadlines = self.hand.deadlines
        self.violations = Violations()
        self.clients, self.servers = Clients(self.hand, self.violations), Servers(self.hand, self.violations)
        self.counters = Counters()
        self.core = CallControl(module, settings, self.deadlines, limits or Limits(), self.counters)
        self.core.attach(self.servers)
        self.clients.repeatable = all(one.effect is api.Effect.REPEATABLE for one in settings.classes)
        self.servers.core, self.servers.clients = self.core, self.clients
        self.names = ("s0", "s1", "s2")
        for name in self.names:
            self.report_server(name, READY)

    def report_server(self, name: str, state: api.SwitchState, started_us: int = 0) -> None:
        """Report the state of a server."""
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
        """Return the requests that have no answer yet and whose client still waits."""
        return [one for one in self.clients.requests if not one.answers and not one.client_left]

    def check(self) -> None:
        """Assert that no rule was broken and no request has passed its deadline unanswered."""
        assert not self.violations and not self.counters["module.actions_failed"], self.violations
        margin_us = 1 * MS
        late = [one.uid for one in self.unanswered() if one.deadline_us + margin_us < self.hand.time_us]
        assert not late, f"no answer: {late}"
