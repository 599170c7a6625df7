"""The table of calls: what is kept of each, its one final answer, and the end of its attempts."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from bitternbeam.core.calls import Attempt, End, Offer, Plan, State
from bitternbeam.core.feeding import Feed
from bitternbeam.core.listing import Listing
from bitternbeam.core.ports import Back, Bounds, Clock, Decisions, Front, Gate, Policies
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.figures.counts import Figures
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadline
from bitternbeam.tables.slots import SlotTable

log = logging.getLogger(__name__)

IN_DOUBT = (api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF)


@dataclass(slots=True, eq=False)
class Call:
    """A call that the core keeps until nothing is owed and nothing is out."""

    offer: Offer
    front: Front
    plan: Plan
    gate: Gate | None  # that passed it, and hears of its end
    end_us: int  # its final answer is given by then
    handle: int = 0
    state: State = State.PENDING
    attempts: int = 0
    sent: int = 0  # of its attempts, those that went out
    out: Attempt | None = None  # sent and not answered, or standing
    booker: str = ""  # of its last attempt
    outcome: api.Outcome = api.Outcome.NOT_SENT  # likewise
    held_until_us: int = 0  # a release is awaited until then
    deadline: Deadline | None = None


class CallTable(ABC):
    """The calls of one group of bookers, and how they come to their end."""

    back: Back

    def __init__(
        self, module: Decisions, settings: api.Settings, clock: Clock, limits: Limits, counters: Counters
    ) -> None:
        self.module = module
        self.settings = settings
        self.clock = clock
        self.limits = limits
        self.counters = counters
        self.figures = Figures(tuple(kind.name for kind in settings.classes))
        self.calls: SlotTable[Call] = SlotTable(limits.calls)
        self.by_uid: dict[str, Call] = {}
        self.held: dict[str, int] = {}  # ids of calls that are over, while a release of theirs is in doubt
        self.listing = Listing()
        self.gate: Gate | None = None
        self.policies: Policies | None = None
        self.bounds: Bounds | None = None
        self.feed = Feed(module, clock, counters, self.act, self.undecided)
        self.idle: Callable[[], None] | None = None

    def attach(self, back: Back) -> None:
        """Name the back; it needs the core first."""
        self.back = back

    @property
    def active(self) -> int:
        """Return the calls taken that have not ended: waiting for their answer, or standing."""
        return len(self.calls)

    @abstractmethod
    def act(self, action: api.Action) -> None:
        """Carry out what the module wants."""

    def undecided(self, event: api.Event) -> None:
        """Refuse a call on which the decision failed."""
        if isinstance(event, api.NewCall) and (call := self.by_uid.get(event.call)):
            self.finish(call, api.Refuse(event.call))

    def finish(self, call: Call, action: api.Refuse | api.Fail, late: bool = False) -> None:
        """Give the final answer; an attempt that is still out is given up first."""
        if call.state is not State.PENDING:
            return
        self.settle(call, State.OVER)
        self.trace("refused" if isinstance(action, api.Refuse) else "failed", call)
        self.give_up(call, api.Outcome.CALLED_OFF)
        if self.policies:
            cell = self.listing.cell_of(call.booker)
            self.policies.settled(call.plan, False, call.booker, cell, call.outcome)
        if isinstance(action, api.Refuse):
            self.counters.add("answers.refused")
            self.figures.count("shed", call.offer.call_class)
            call.front.refused(call.offer.ref, action.retry_after_us)
        else:
            self.counters.add("answers.failed")
            self.figures.count("errors", call.offer.call_class)
            call.front.failed(call.offer.ref, late)
        self.forget(call)

    def trace(self, what: str, call: Call) -> None:
        """Tell what happens to a call, where that is wanted: structured logs show the fields."""
        if log.isEnabledFor(logging.DEBUG):
            fields = {"call": call.offer.uid, "booker": call.booker, "version": call.plan.version}
            log.debug("%s", what, extra=fields)

    def settle(self, call: Call, state: State) -> None:
        """Leave PENDING, which a call does once."""
        call.state = state
        if call.deadline:
            call.deadline.cancel()

    def when_idle(self, idle: Callable[[], None]) -> None:
        """Call idle once no call is left; those that stand are given the time to come to their end."""
        self.idle = idle
        self.check_idle()

    def hang_up_all(self, leave_standing: bool = False) -> None:
        """Answer what is owed and release what stands, towards both sides, unless that goes on without us."""
        for call in self.calls.values():
            if call.state is State.PENDING:
                self.finish(call, api.Refuse(call.offer.uid))
                self.feed.put(api.Withdrawn(call.offer.uid))  # it may wait in the module for a release
            elif call.state is State.STANDING and not leave_standing:
                call.front.released(call.offer.ref, api.Outcome.CUT)
                self.hang_up(call)

    def check_idle(self) -> None:
        """Tell that no call is left, once, to whoever waits for that."""
        if self.idle and not self.calls:
            idle, self.idle = self.idle, None
            idle()

    def give_up(self, call: Call, outcome: api.Outcome) -> None:
        """Give up the attempt that is out, if there is one."""
        attempt = call.out
        if attempt is None or attempt.given_up:
            return
        if attempt.unsent:  # no release of it can be in doubt
            outcome = api.Outcome.NO_CONNECTION if outcome is api.Outcome.NO_ANSWER else api.Outcome.NOT_SENT
        attempt.given_up = outcome
        if self.back.give_up(attempt):
            self.close(call, attempt, End(outcome))

    def hang_up(self, call: Call) -> None:
        """Release a call that stands."""
        if (attempt := call.out) is not None:
            call.state = State.OVER
            self.back.release(attempt)
            self.close(call, attempt, End(api.Outcome.SERVED))
            self.forget(call)

    def close(self, call: Call, attempt: Attempt, end: End) -> None:
        """Note the end of an attempt and tell the module."""
        now_us = self.clock.now_us()
        call.out, call.outcome = None, end.outcome
        if attempt.deadline:
            attempt.deadline.cancel()
        self.counters.add(f"outcomes.{end.outcome.name.lower()}")
        if self.bounds and end.outcome in (api.Outcome.TURNED_AWAY, api.Outcome.ERROR):
            self.bounds.refused(attempt.booker)
        elif self.bounds and end.outcome is api.Outcome.NO_ANSWER:
            self.bounds.late(attempt.booker)
        if end.outcome in IN_DOUBT:
            call.held_until_us = now_us + self.settings.release_wait_us
        if self.bounds:
            ended = self.bounds.ended
            self._once_released(call, now_us, lambda: ended(attempt.booker, call.offer))
        self.feed.put(
            api.AttemptEnded(
                call=call.offer.uid,
                attempt=attempt.number,
                switch=attempt.booker,
                outcome=end.outcome,
                took_us=now_us - attempt.sent_us,
                finished=call.state is State.OVER,
                processor_full=end.processor_full,
                no_line=end.no_line,
                connection_fault=end.spoilt,
                report=end.report,
            )
        )

    def _once_released(self, call: Call, now_us: int, tell: Callable[[], None]) -> None:
        """Tell at once, or when a release that is in doubt has had its time: the booker may hold it yet."""
        if now_us < call.held_until_us:
            self.clock.at(call.held_until_us, tell)
        else:
            tell()

    def forget(self, call: Call) -> None:
        """Keep a call no more, once nothing is owed and nothing is out."""
        if call.state is State.OVER and call.out is None and self.calls.pop(call.handle):
            self.by_uid.pop(call.offer.uid, None)
            self._hold(call.offer.uid, call.held_until_us)
            if self.idle:
                self.clock.at(self.clock.now_us(), self.check_idle)
            if self.policies:
                self.policies.over(call.plan)
            if self.bounds:
                over = self.bounds.over
                self._once_released(call, self.clock.now_us(), lambda: over(call.offer))
            if call.gate is not None:
                took_us = self.clock.now_us() - call.offer.taken_us
                call.gate.ended(call.offer.call_class, call.outcome, call.attempts, took_us)

    def _hold(self, uid: str, until_us: int) -> None:
        """Remember an id until the release that is in doubt has had its time."""
        if self.clock.now_us() < until_us:
            self.held[uid] = until_us
            self.clock.at(until_us, lambda: self._let_go(uid))

    def _let_go(self, uid: str) -> None:
        if self.held.get(uid, 0) <= self.clock.now_us():
            self.held.pop(uid, None)
