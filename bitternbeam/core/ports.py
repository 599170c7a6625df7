"""What the core asks of the world around it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bitternbeam.core.calls import Attempt, Offer, Plan
from bitternbeam.decision.interface import Action, Event, Outcome
from bitternbeam.tables.deadlines import Deadline


class Frontend(Protocol):
    """Where callers are; ref is the front's own handle of the call."""

    def send_answer(self, ref: int, body: object) -> None:
        """Tell the caller that the call stands."""
        ...

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Turn the caller away; trying again is harmless, after stay_away_us."""
        ...

    def send_failure(self, ref: int, late: bool) -> None:
        """Tell the caller that the call failed; late: its time is up."""
        ...

    def send_progress(self, ref: int) -> None:
        """Tell the caller that a booker is at it; means nothing for the call."""
        ...

    def send_release(self, ref: int, outcome: Outcome) -> None:
        """Tell the caller that the call, which stood, is over."""
        ...

    def is_client_waiting(self, ref: int) -> bool:
        """Read what the client has sent up to now, and tell whether it still waits for its answer.

        The core asks before every attempt that does not begin in the turn in which the request was read.
        Where the client has left, the front withdraws the call before it returns False: nothing is owed.
        """
        ...


class Backend(Protocol):
    """Where bookers are. Its answers go to the core's stood() and ended()."""

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up."""
        ...

    def probe(self, booker: str) -> None:
        """Ask a booker for a report; its answer, if any, goes to the core's probed()."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop waiting for a set-up.

        True: it is given up as of now and nothing more is told of it. False: the booker can't be
        told yet; the back tells ended() once the set-up is surely over.
        """
        ...

    def release(self, attempt: Attempt) -> None:
        """End a call that stands; nothing more is told of it."""
        ...


class Clock(Protocol):
    """Time, and things to come."""

    def now_us(self) -> int:
        """Return the time; it never runs backwards."""
        ...

    def call_at(self, at_us: int, due: Callable[[], None]) -> Deadline:
        """Call due at that time."""
        ...


class Directory(Protocol):
    """Where the list of bookers comes from; it tells the core's listed()."""

    def start(self) -> None:
        """Tell the list as it is known now and every change from now on."""
        ...

    def stop(self) -> None:
        """Tell nothing more."""
        ...


class DecisionModule(Protocol):
    """The decision module."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event and return what is to be done, in order."""
        ...


class AdmissionFilter(Protocol):
    """Who may look at a call before the module does, and hears of its end."""

    def check_call(self, call_class: str, cell: int, left_us: int, redial: bool) -> int | None:
        """Return None to pass the call, or a time to stay away to refuse it."""
        ...

    def call_ended(self, call_class: str, outcome: Outcome, attempts: int, took_us: int) -> None:
        """Note how a call ended."""
        ...


class TrafficLimiter(Protocol):
    """What may be sent beside what the module decides: shares of bookers, budgets of retries, limits.

    What is taken comes back: an offer that was passed is followed by one `over`, an attempt that may_send let
    out by one `ended`, or by `unsent` if it did not go out after all.
    """

    def admit(self, offer: Offer, now_us: int) -> int | None:
        """Take an offer, by its class, number and caller; or for how long its caller is turned away."""
        ...

    def exhausted_bookers(self, offer: Offer, now_us: int) -> frozenset[str]:
        """Return the bookers to which nothing of an offer may be sent now."""
        ...

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        """Return why an attempt may not go out, '' if it may; that counts it as sent.

        `over_share`: another booker may be tried; anything else ends the call at once.
        """
        ...

    def cancel_send(self, booker: str, offer: Offer) -> None:
        """Take back what may_send let out: it was barred elsewhere."""
        ...

    def attempt_answered(self, booker: str, now_us: int) -> None:
        """Note an attempt that stands."""
        ...

    def attempt_refused(self, booker: str) -> None:
        """Note an attempt that was turned away, or an error."""
        ...

    def attempt_timed_out(self, booker: str) -> None:
        """Note an attempt that was not answered in time."""
        ...

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        """Note that an attempt holds nothing at its booker any more, as far as can be known."""
        ...

    def call_ended(self, offer: Offer) -> None:
        """Note that nothing of an offer is left."""
        ...


class PlanProvider(Protocol):
    """Where a call's plan comes from; it hears what became of the call."""

    def pin_plan(self, now_us: int, offer: Offer) -> Plan | int:
        """Return the plan of the version that runs now, or for how long to turn the caller away."""
        ...

    def final_answer_sent(
        self, plan: Plan, stood: bool, booker: str = "", cell: int = -1, outcome: Outcome = Outcome.NOT_SENT
    ) -> None:
        """Note the final answer, and how the last attempt ended, if there was one, and where."""
        ...

    def send_rejected(self, plan: Plan, why: str) -> None:
        """Note a send of the module's that the core did not carry out."""
        ...

    def call_ended(self, plan: Plan) -> None:
        """Note that nothing of the call is left."""
        ...
