"""Interfaces of the components that the core depends on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bitternbeam.core.calls import Attempt, Offer, Plan
from bitternbeam.decision.interface import Action, Event, Outcome
from bitternbeam.tables.deadlines import Deadline


class Frontend(Protocol):
    """The client side; ref is the frontend's own handle of the call."""

    def send_answer(self, ref: int, body: object) -> None:
        """Tell the client that the call is established."""
        ...

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Refuse the call; the client may safely retry after stay_away_us microseconds."""
        ...

    def send_failure(self, ref: int, late: bool) -> None:
        """Tell the client that the call failed; late: its deadline has passed."""
        ...

    def send_progress(self, ref: int) -> None:
        """Tell the client that a booker is working on the call; the state of the call does not change."""
        ...

    def send_release(self, ref: int, outcome: Outcome) -> None:
        """Tell the client that its established call has ended."""
        ...

    def is_client_waiting(self, ref: int) -> bool:
        """Process what the client has sent so far and return whether it still waits for its answer.

        The core asks before every attempt that does not start in the event-loop turn that read the request.
        If the client has left, the frontend withdraws the call before it returns False.
        """
        ...


class Backend(Protocol):
    """The booker side; it reports to the core's attempt_answered() and attempt_ended()."""

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up request."""
        ...

    def probe(self, booker: str) -> None:
        """Ask a booker for a load report; the result goes to the core's probe_ended()."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop waiting for a set-up.

        Returns True if the attempt is cancelled at once; nothing more is reported of it. Returns False if
        the booker cannot be told yet; attempt_ended() follows once the set-up has certainly ended.
        """
        ...

    def release(self, attempt: Attempt) -> None:
        """End an established call; nothing more is reported of it."""
        ...


class Clock(Protocol):
    """A monotonic clock with timers."""

    def now_us(self) -> int:
        """Return the monotonic time in microseconds."""
        ...

    def call_at(self, at_us: int, due: Callable[[], None]) -> Deadline:
        """Call due at at_us."""
        ...


class Directory(Protocol):
    """The source of the list of bookers; it reports to the core's update_bookers()."""

    def start(self) -> None:
        """Report the list as it is known now, then every change."""
        ...

    def stop(self) -> None:
        """Report no further changes."""
        ...


class DecisionModule(Protocol):
    """The decision module."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out, in order."""
        ...


class AdmissionFilter(Protocol):
    """A filter that may refuse a call before the decision module sees it, and is told of its end."""

    def check_call(self, call_class: str, cell: int, left_us: int, redial: bool) -> int | None:
        """Return None to pass the call; to refuse it, the microseconds after which the client may retry."""
        ...

    def call_ended(self, call_class: str, outcome: Outcome, attempts: int, took_us: int) -> None:
        """Record how a call ended."""
        ...


class TrafficLimiter(Protocol):
    """Limits on traffic that hold beside the module's decisions: shares of bookers, retry budgets, rates.

    Whatever is acquired is released: an admitted offer is followed by one `call_ended`, an attempt that
    `try_send` allowed by one `attempt_ended`, or by `cancel_send` if it was not sent after all.
    """

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Admit an offer by its class, number and client (None), or return its retry delay in us."""
        ...

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the bookers to which no attempt of this offer may be sent now."""
        ...

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Return why an attempt may not be sent; '' if it may, and then it is counted as sent.

        After `over_share` another booker may be tried; any other reason ends the call at once.
        """
        ...

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Undo a successful try_send whose attempt another limiter refused."""
        ...

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Record an attempt that established its call."""
        ...

    def attempt_refused(self, booker: str) -> None:
        """Record an attempt that was refused or failed with an error."""
        ...

    def attempt_timed_out(self, booker: str) -> None:
        """Record an attempt that was not answered in time."""
        ...

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Release an attempt, which holds nothing at its booker any more as far as can be known."""
        ...

    def call_ended(self, offer: Offer) -> None:
        """Release an admitted offer, of which no attempt is left."""
        ...


class PlanProvider(Protocol):
    """The source of a call's plan; it is told how the call ended."""

    def pin_plan(self, now_us: int, offer: Offer) -> Plan | int:
        """Return the running version's plan, or the retry delay in microseconds if the call is refused."""
        ...

    def final_answer_sent(
        self, plan: Plan, stood: bool, booker: str = "", cell: int = -1, outcome: Outcome = Outcome.NOT_SENT
    ) -> None:
        """Record the final answer and, if there was an attempt, where and how the last one ended."""
        ...

    def send_rejected(self, plan: Plan, why: str) -> None:
        """Record a send of the decision module that the core did not carry out."""
        ...

    def call_ended(self, plan: Plan) -> None:
        """Release the plan of a call that has ended with all its attempts."""
        ...
