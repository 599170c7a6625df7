"""Leases, fencing tokens and rendezvous ownership, in simulated time against the stand-in engine."""

from __future__ import annotations

from typing import ClassVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bitternbeam.fleet.claim import Claim, Phase, Step
from bitternbeam.fleet.lease import LeaseTimes, Session, find_faults
from bitternbeam.fleet.rendezvous import highest_ranked, owned, owner
from bitternbeam.fleet.tokens import Fence, Token, next_number, parse_token
from standins.consul.engine import Engine
from tests.fleet_model import KEY, TIMES, Model, interleaved

SECOND = 1_000_000


@pytest.mark.parametrize(
    ("seen", "token", "accepted"),
    [
        ([], Token(1, "a"), True),
        ([Token(5, "a")], Token(5, "a"), True),  # the same owner acts again
        (
            [Token(5, "a")],
            Token(5, "b"),
            False,
        ),  # the same number from another: after the engine lost its data
        ([Token(5, "a")], Token(4, "z"), False),  # an old owner that woke up late
        ([Token(5, "a")], Token(6, "a"), True),
        ([Token(5, "a"), Token(7, "b")], Token(6, "c"), False),
    ],
)
def test_a_fence_accepts_only_the_highest_token(seen: list[Token], token: Token, accepted: bool) -> None:
    fence = Fence()
    for one in seen:
        assert fence.admit(one).accepted
    verdict = fence.admit(token)
    assert verdict.accepted is accepted
    assert verdict.highest == (token if accepted else seen[-1])


@pytest.mark.parametrize("text", ["", "5", "@a", "x@a", "-1@a", "5@", "1" * 19 + "@a"])
def test_malformed_tokens_parse_to_none(text: str) -> None:
    assert parse_token(text) is None


def test_a_token_round_trips() -> None:
    assert parse_token(str(Token(42, "node-7"))) == Token(42, "node-7")


def test_numbers_increase_after_the_engine_lost_its_data() -> None:
    assert next_number(stored=0, seen=9) == 10
    assert next_number(stored=12, seen=9) == 13


NAMES = st.lists(st.text("abcdefgh0123", min_size=1, max_size=6), min_size=1, max_size=12, unique=True)


@settings(max_examples=200)
@given(NAMES, st.text("xyz", min_size=1, max_size=4))
def test_one_member_leaving_moves_only_its_own_work(members: list[str], work: str) -> None:
    works = [f"{work}{number}" for number in range(40)]
    before = {one: owner(one, members) for one in works}
    gone = members[0]
    after = {one: owner(one, members[1:]) for one in works}
    for one in works:
        if before[one] != gone:
            assert after[one] == before[one]
    assert highest_ranked(works[0], members, 1) == [before[works[0]]]
    assert sorted(w for m in members for w in owned(m, works, members)) == sorted(works)


def test_work_is_spread_over_the_members() -> None:
    members = [f"node-{number}" for number in range(5)]
    works = [f"booker-{number}" for number in range(500)]
    counts = [len(owned(member, works, members)) for member in members]
    assert min(counts) > 60  # a fifth is 100: nobody owns everything, nobody nothing


@pytest.mark.parametrize(
    ("times", "key"),
    [
        (LeaseTimes(pause_us=50_000, tick_us=100_000), "pause_ms"),
        (LeaseTimes(margin_us=500_000), "margin_ms"),
        (LeaseTimes(ttl_us=500_000, margin_us=200_000, pause_us=150_000), "ttl_ms"),
        (LeaseTimes(ttl_us=3_000_000, margin_us=2_500_000), "ttl_ms"),
        (LeaseTimes(lock_delay_us=-1), "lock_delay_ms"),
    ],
)
def test_invalid_lease_times_name_their_key(times: LeaseTimes, key: str) -> None:
    assert key in [found for found, _what in find_faults(times)]


def test_default_and_model_times_are_valid() -> None:
    assert find_faults(LeaseTimes()) == []
    assert find_faults(TIMES) == []


def owner_after(model: Model, seconds: float, *, pausing: str | None = None) -> None:
    """Run every process in steps of a tick."""
    for _ in range(int(seconds * SECOND) // TIMES.tick_us):
        model.advance(TIMES.tick_us)
        for one in model.processes:
            for _round in range(4):
                model.send(one)
                model.answer(one)
            model.act(one)
        while model.acts:
            model.arrive(0)


def test_exactly_one_of_three_becomes_owner_and_acts() -> None:
    model = Model()
    owner_after(model, 2)
    assert len(model.believers()) == 1
    assert model.accepted and not interleaved(model.accepted)
    assert len({name for _at, name, _token in model.accepted}) == 1


def test_an_owner_paused_past_its_lease_is_refused_and_another_takes_over() -> None:
    model = Model()
    owner_after(model, 2)
    first = next(one for one in model.processes if one.name in model.believers())
    token = first.claim.token
    assert token is not None
    model.act(first)
    held_act = model.acts.pop()  # sent just before the pause, arrives after it
    first.paused = True
    owner_after(model, 2 * TIMES.ttl_us / SECOND)
    taker = model.believers()
    assert taker and taker != [first.name]
    first.paused = False
    model.acts.append(held_act)
    model.arrive(0)
    assert model.accepted[-1][1] != first.name
    assert model.fence.refused >= 1
    first.session.tick(model.now_us)
    assert first.claim.may_act(model.now_us, first.session) is None  # woke: it checks before acting
    owner_after(model, 2)
    assert not interleaved(model.accepted)
    assert model.believers() == taker


def test_token_numbers_increase_after_the_engine_loses_all_data() -> None:
    model = Model()
    owner_after(model, 2)
    before = model.fence.highest
    assert before is not None
    model.engine.restart()
    owner_after(model, 3 * TIMES.ttl_us / SECOND)
    after = model.fence.highest
    assert after is not None and after.number > before.number
    assert not interleaved(model.accepted)


def test_a_refused_acquire_is_retried_after_part_of_the_lock_delay() -> None:
    claim = Claim(KEY, "a", TIMES)
    session = Session(TIMES, 0)
    session.created("s", 0)
    assert claim.next_step(0, session, wanted=True) is Step.ACQUIRE
    claim.acquire_answered(False, 0)
    assert claim.next_step(TIMES.retry_us - 1, session, wanted=True) is None
    assert claim.next_step(TIMES.retry_us, session, wanted=True) is Step.ACQUIRE


def test_work_that_is_no_longer_wanted_is_released() -> None:
    model = Model(count=1)
    owner_after(model, 1)
    one = model.processes[0]
    assert one.claim.phase is Phase.OWNER
    assert one.claim.next_step(model.now_us, one.session, wanted=False) is Step.RELEASE


def test_a_session_the_engine_lost_is_not_valid() -> None:
    engine = Engine()
    session = Session(TIMES, 0)
    session.created(engine.create_session({"TTL": "3s"}, 0), 0)
    engine.restart()
    assert not engine.renew(str(session.id), 1)
    session.expire()
    assert not session.is_valid(1)


class Lease(RuleBasedStateMachine):
    """Random interleavings of three processes, the engine, pauses, restarts and delayed actions."""

    explored: ClassVar[set[tuple[object, ...]]] = set()

    @initialize()
    def start(self) -> None:
        self.model = Model()

    @rule(step=st.sampled_from([TIMES.tick_us, TIMES.tick_us * 5, TIMES.ttl_us // 2, TIMES.ttl_us * 2]))
    def time_passes(self, step: int) -> None:
        self.model.advance(step)

    @rule(which=st.integers(0, 2))
    def send(self, which: int) -> None:
        self.model.send(self.model.processes[which])

    @rule(which=st.integers(0, 2))
    def answer(self, which: int) -> None:
        self.model.answer(self.model.processes[which])

    @rule(which=st.integers(0, 2))
    def act(self, which: int) -> None:
        self.model.act(self.model.processes[which])

    @rule(which=st.integers(0, 2))
    def works_a_while(self, which: int) -> None:
        one = self.model.processes[which]
        for _round in range(5):
            self.model.send(one)
            self.model.answer(one)
        self.model.act(one)

    @rule(index=st.integers(0, 8))
    def arrive(self, index: int) -> None:
        self.model.arrive(index)

    @rule(which=st.integers(0, 2))
    def pause_or_resume(self, which: int) -> None:
        one = self.model.processes[which]
        one.paused = not one.paused

    @rule()
    def engine_restarts(self) -> None:
        self.model.engine.restart()
        self.model.restarted_us = self.model.now_us

    @invariant()
    def no_two_owners_at_the_receiver(self) -> None:
        model = getattr(self, "model", None)
        if model is None:
            return
        assert not interleaved(model.accepted)
        numbers = [token.number for _at, _name, token in model.accepted]
        assert numbers == sorted(numbers)
        Lease.explored.add(
            (
                tuple((one.claim.phase, one.paused, one.session.id is None) for one in model.processes),
                len(model.acts),
                model.fence.highest is not None,
                len({name for _at, name, _token in model.accepted}),
            )
        )

    @invariant()
    def one_believer_while_the_engine_remembers(self) -> None:
        model = getattr(self, "model", None)
        if model is None:
            return
        believers = model.believers()
        sessions_since = [
            one for one in model.processes if one.name in believers and one.session.confirmed_us is not None
        ]
        fresh = [one for one in sessions_since if (one.session.confirmed_us or 0) > model.restarted_us]
        assert len(fresh) <= 1, [one.name for one in fresh]


Lease.TestCase.settings = settings(max_examples=300, stateful_step_count=60, deadline=None)
test_the_lease_model = Lease.TestCase
