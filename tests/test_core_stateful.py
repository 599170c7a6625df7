"""In any order of events: one final answer in time, one attempt in flight, and none against the rules."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bitternbeam.core.ports import DecisionModule
from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from bitternbeam.limits import Limits
from tests.core_world import CoreWorld
from tests.world import MS, SECOND, SETTINGS

READY, DRAINING, GONE = api.SwitchState.READY, api.SwitchState.DRAINING, api.SwitchState.GONE
ENDS = (
    api.Outcome.TURNED_AWAY, api.Outcome.ERROR, api.Outcome.CUT, api.Outcome.NOT_SENT,
    api.Outcome.NO_CONNECTION,
)  # fmt: skip
SMALL_LIMITS = Limits(calls=6)
PICK = st.integers(0, 7)
UNREPEATABLE = replace(
    SETTINGS, classes=tuple(replace(kind, effect=api.Effect.ONCE) for kind in SETTINGS.classes)
)


class FaultyModule:
    """A faulty decision module: it sends twice, answers ended calls, forgets calls and raises exceptions."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.calls: list[str] = []

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        call = getattr(event, "call", "")
        if isinstance(event, api.NewCall):
            self.calls = [*self.calls[-3:], call]
        if self.random.random() < 0.05:
            raise RuntimeError("a fault in a decision")
        return [self._random_action(now_us, call) for _ in range(self.random.choice((0, 1, 1, 2, 3)))]

    def _random_action(self, now_us: int, call: str) -> api.Action:
        call = call if call and self.random.random() < 0.7 else self.random.choice(self.calls or ["none"])
        switch = f"s{self.random.randrange(4)}"
        made: list[api.Action] = [
            api.Send(call, switch, self.random.choice((0, 1, 200 * MS, 5 * SECOND))),
            api.Send(call, switch, 1 * SECOND),
            api.Refuse(call),
            api.Fail(call),
            api.Cancel(call, 0),
            api.SetTimer(now_us + self.random.choice((-1, 0, 100 * MS, 350 * MS)), 7),
        ]
        return self.random.choice(made)


class Requests(RuleBasedStateMachine):
    """Requests decided by the program's own decision module."""

    settings = SETTINGS

    def __init__(self) -> None:
        super().__init__()
        self.world = CoreWorld(self.module(), SMALL_LIMITS, self.settings)
        self.servers = self.world.servers

    def module(self) -> DecisionModule:
        return Controller(self.settings, 3)

    @rule(name=PICK, left_us=st.sampled_from((1, 30 * MS, 400 * MS, 1 * SECOND, 3 * SECOND)), cell=PICK)
    def ask(self, name: int, left_us: int, cell: int) -> None:
        self.world.send_request(f"r{name}", left_us, cell % 3)

    @precondition(lambda self: self.world.unanswered())
    @rule(pick=PICK, unread=st.booleans())
    def leave(self, pick: int, unread: bool) -> None:
        one = self.world.unanswered()[pick % len(self.world.unanswered())]
        one.client_left = True
        if not unread:
            self.world.core.withdraw(one.handle)

    @precondition(lambda self: any(one.client_left for one in self.world.clients.requests))
    @rule()
    def process_departures(self) -> None:
        for one in self.world.clients.requests:
            if one.client_left:
                self.world.core.withdraw(one.handle)

    @precondition(lambda self: self.servers.standing)
    @rule(pick=PICK)
    def release(self, pick: int) -> None:
        attempt = self.servers.standing[pick % len(self.servers.standing)]
        self.world.core.release(attempt.call_handle)

    @precondition(lambda self: self.servers.waiting)
    @rule(pick=PICK, comes_up=st.booleans())
    def connect(self, pick: int, comes_up: bool) -> None:
        attempt = self.servers.waiting[pick % len(self.servers.waiting)]
        if comes_up:
            self.servers.write(attempt)
        else:
            self.servers.end_attempt(attempt, api.Outcome.NO_CONNECTION)

    @precondition(lambda self: self.servers.written)
    @rule(pick=PICK)
    def answer(self, pick: int) -> None:
        self.servers.answer(self.servers.written[pick % len(self.servers.written)])

    @precondition(lambda self: self.servers.written)
    @rule(pick=PICK, outcome=st.sampled_from(ENDS))
    def end(self, pick: int, outcome: api.Outcome) -> None:
        self.servers.end_attempt(self.servers.written[pick % len(self.servers.written)], outcome)

    @precondition(lambda self: self.servers.standing)
    @rule(pick=PICK, outcome=st.sampled_from((api.Outcome.SERVED, api.Outcome.CUT)))
    def end_standing(self, pick: int, outcome: api.Outcome) -> None:
        self.servers.end_attempt(self.servers.standing[pick % len(self.servers.standing)], outcome)

    @rule(name=st.sampled_from(("s0", "s1", "s2")), state=st.sampled_from((READY, READY, DRAINING, GONE)))
    def tell(self, name: str, state: api.SwitchState) -> None:
        self.world.report_server(name, state)

    @rule(name=st.sampled_from(("s0", "s1", "s2")))
    def restart(self, name: str) -> None:
        self.world.report_server(name, READY, self.world.hand.time_us)

    @rule(name=st.sampled_from(("s0", "s1", "s2")), how=st.sampled_from(("slow", "unreachable", "at hand")))
    def set_reachability(self, name: str, how: str) -> None:
        self.servers.slow.discard(name)
        self.servers.unreachable.discard(name)
        if how != "at hand":
            (self.servers.slow if how == "slow" else self.servers.unreachable).add(name)

    @rule(wait_us=st.sampled_from((1, 20 * MS, 150 * MS, 299 * MS, 300 * MS, 301 * MS, 1 * SECOND)))
    def wait(self, wait_us: int) -> None:
        self.world.hand.advance(wait_us)

    @invariant()
    def every_answer_is_in_time(self) -> None:
        self.world.check()

    def assert_nothing_is_kept(self) -> None:
        core = self.world.core
        assert not core.calls and not core.by_uid
        assert not self.servers.waiting and not self.servers.written

    def teardown(self) -> None:
        self.process_departures()
        self.world.hand.advance(4 * SECOND)
        self.world.check()
        for attempt in list(self.servers.standing):
            self.servers.end_attempt(attempt, api.Outcome.SERVED)
        self.assert_nothing_is_kept()


class DecidedRequests(Requests):
    """The program's own decision module, which also keeps nothing of ended calls."""

    def assert_nothing_is_kept(self) -> None:
        super().assert_nothing_is_kept()
        module = self.world.core.module
        assert isinstance(module, Controller)
        assert not module.calls and not module.calls_by_timer
        assert not any(switch.unanswered for switch in module.switches.values())


class RogueRequests(Requests):
    """A faulty decision module: the core must enforce the rules."""

    def module(self) -> DecisionModule:
        return FaultyModule(5)


class RestartedRequests(DecidedRequests):
    """Requests in a process that shuts down while they wait."""

    @precondition(lambda self: len(self.world.core.calls) > 1)
    @rule()
    def hang_up(self) -> None:
        self.world.core.hang_up_all(leave_standing=True)
        assert not self.world.unanswered()


class UnrepeatableRequests(RestartedRequests):
    """Requests that must not run twice, in a process that shuts down while they wait."""

    settings = UNREPEATABLE


class RogueUnrepeatableRequests(RogueRequests):
    """A faulty decision module, which refuses and repeats what may have run: the core must prevent it."""

    settings = UNREPEATABLE


STATE_MACHINE_SETTINGS = settings(
    max_examples=100, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
TestDecidedRequests = DecidedRequests.TestCase
TestDecidedRequests.settings = STATE_MACHINE_SETTINGS
TestRogueRequests = RogueRequests.TestCase
TestRogueRequests.settings = STATE_MACHINE_SETTINGS
TestRestartedRequests = RestartedRequests.TestCase
TestRestartedRequests.settings = STATE_MACHINE_SETTINGS
TestUnrepeatableRequests = UnrepeatableRequests.TestCase
TestUnrepeatableRequests.settings = STATE_MACHINE_SETTINGS
TestRogueUnrepeatableRequests = RogueUnrepeatableRequests.TestCase
TestRogueUnrepeatableRequests.settings = STATE_MACHINE_SETTINGS
