"""The life of versions: their steps, probation, the keeper, and calls that are decided under them."""

from __future__ import annotations

from itertools import product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.life import ENDS, STEPS, Stage, StepError, Version
from bitternbeam.configuration.negotiation import Bounds, Negotiation
from bitternbeam.configuration.probation import Before, Judge, Tally, Terms, Verdict, wilson
from bitternbeam.configuration.schema import ClassLimits, Group, Route
from bitternbeam.core.calls import Attempt, AttemptEnd, Offer
from bitternbeam.core.control import CallControl
from bitternbeam.core.ports import DecisionModule
from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from bitternbeam.limits import Limits
from tests.documents import FIRST, SETTINGS, Home, entries
from tests.world import MS, SECOND

SECOND_DOCUMENT = FIRST.replace('groups = ["city", "far"]', 'groups = ["far"]')
MOVED = {("route", "all"): Route(("far",))}


@pytest.mark.parametrize(("old", "new"), list(product(Stage, Stage)))
def test_every_step_that_is_not_listed_is_refused(old: Stage, new: Stage) -> None:
    version = Version(Number(1, 1), "stream", old)
    if new in STEPS[old]:
        version.step(new, 5, "for a reason")
        assert version.stage is new and version.steps[-1] == (new, 5) and version.over == (new in ENDS)
    else:
        with pytest.raises(StepError):
            version.step(new, 5, "for a reason")
        assert version.stage is old


def test_no_end_comes_without_a_reason() -> None:
    for end in ENDS & STEPS[Stage.PROBATION]:
        with pytest.raises(StepError):
            Version(Number(1, 1), "stream", Stage.PROBATION).step(end, 5)


# The judge.

BEFORE = {"low": Tally(calls=200, answered=180, sends=200)}
TERMS = Terms(watch_us=10 * SECOND, least=10)


def test_wilsons_interval_is_wide_for_few_and_holds_the_share() -> None:
    for hits, of in ((0, 1), (3, 10), (30, 100), (300, 1000)):
        low, high = wilson(hits, of)
        assert 0 <= low <= hits / of <= high <= 1
    assert wilson(3, 10)[1] - wilson(3, 10)[0] > 2 * (wilson(300, 1000)[1] - wilson(300, 1000)[0])
    assert wilson(0, 0) == (0.0, 1.0)


@pytest.mark.parametrize(
    ("calls", "stood", "changed", "blameless", "verdict"),
    [
        (9, 0, True, False, Verdict.WAIT),  # too few to say
        (40, 8, True, False, Verdict.ROLL_BACK),
        (40, 32, True, False, Verdict.WAIT),  # worse, but no collapse
        (40, 0, False, False, Verdict.WAIT),  # not calls that the version changed
        (40, 0, True, True, Verdict.WAIT),  # their bookers' own failure
    ],
)
def test_a_collapse_is_blamed_on_what_the_version_changed(
    calls: int, stood: int, changed: bool, blameless: bool, verdict: Verdict
) -> None:
    judge = Judge(0, BEFORE, TERMS)
    for place in range(calls):
        answered = place < stood
        judge.settled("low", changed, answered, True, blameless and not answered)
    assert judge.verdict(SECOND)[0] is verdict
    if verdict is Verdict.WAIT:
        assert judge.verdict(11 * SECOND)[0] is Verdict.GOOD


def test_sends_that_are_barred_count_as_a_collapse_too() -> None:
    judge = Judge(0, BEFORE, TERMS)
    for _ in range(30):
        judge.barred("low", True)
    verdict, reason = judge.verdict(SECOND)
    assert verdict is Verdict.ROLL_BACK and "barred" in reason


def test_the_time_before_is_forgotten_bit_by_bit() -> None:
    before = Before(Terms(before_us=3 * SECOND))
    for second in range(10):
        before.tally(second * SECOND, "low").calls += 1
    assert before.totals(9 * SECOND)["low"].calls == 5 and len(before.steps) == 5


# The keeper.


class Records:
    """A store that keeps what it is asked, and answers when the test lets it."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, Any]] = []
        self.trouble = ""
        self.held: list[Any] = []
        self.hold = False

    def _note(self, what: str, who: Any, stored: Any) -> None:
        self.asked.append((what, who))
        if self.hold:
            self.held.append(stored)
        else:
            stored(self.trouble)

    def stage(self, number: Number, *, stored: Any, **_more: Any) -> None:
        self._note("stage", number, stored)

    def settle(self, at_us: int, reason: str, undo_lines: Any, stored: Any) -> None:
        self._note("settle", {key for key, _ in undo_lines}, stored)

    def drop(self, ends: Version, stored: Any) -> None:
        self._note("drop", ends.number, stored)

    def note(self, ends: Version, stored: Any) -> None:
        self._note("note", ends.number, stored)


def test_an_unknown_booker_turns_a_version_down_until_it_has_come() -> None:
    home = Home()
    home.bookers.discard("s4")
    before = home.pinning.snapshot
    changes = {("group", "city"): Group(("s0", "s4"))}
    result = home.offer(Number(1, 1), changes, whole=False)
    assert not result.held and result.faults[0].key == "group.city.bookers[1]"
    assert home.pinning.snapshot is before and home.versions.ended[-1].stage is Stage.TURNED_DOWN
    home.bookers.add("s4")
    assert home.offer(Number(1, 1), changes, whole=False).held
    assert home.pinning.snapshot.number == Number(1, 1)


def test_nothing_is_applied_or_acknowledged_before_it_is_durable() -> None:
    store = Records()
    store.hold = True
    home = Home(store=store)
    home.submit(Number(1, 1), MOVED, whole=False)
    home.waker.turn()
    assert store.asked == [("stage", Number(1, 1))] and not home.results
    assert home.pinning.snapshot.number == Number(0, 1)
    store.held.pop()("")
    assert home.results[0].held and home.results[0].durable
    assert home.pinning.snapshot.number == Number(1, 1)


def test_a_store_that_fails_turns_the_version_down_and_calls_go_on() -> None:
    store = Records()
    store.trouble = "store x: full"
    home = Home(store=store)
    assert home.offer(Number(1, 1), MOVED, whole=False).faults == (Fault("", "store x: full"),)
    assert home.pinning.snapshot.number == Number(0, 1) and home.counters["configuration.store_faults"] == 1
    store.trouble = ""
    assert home.offer(Number(1, 2), MOVED, whole=False).held


def test_a_newer_draft_supersedes_one_that_is_still_checked() -> None:
    home = Home()
    old = home.submit(Number(1, 1), MOVED, whole=False)
    home.offer(Number(1, 2), MOVED, whole=False)
    assert [result.held for result in home.results] == [False, True]
    assert old.stage is Stage.SUPERSEDED and "1.2" in old.reason


def test_a_quiet_probation_makes_a_version_good_and_the_past_leads_back() -> None:
    store = Records()
    home = Home(store=store)
    home.offer(Number(1, 1), MOVED, whole=False)
    home.waker.wait(11 * SECOND)
    assert home.versions.version.stage is Stage.GOOD
    assert store.asked[1:] == [("settle", set(MOVED))]
    home.offer(Number(1, 2), SECOND_DOCUMENT + "[class.low]\nattempts = 1\n")
    home.waker.wait(11 * SECOND)
    assert home.versions.changes_to(Number(0, 1)) == {
        ("route", "all"): entries(FIRST)["route", "all"], ("class", "low"): None,
    }  # fmt: skip
    pairs = home.versions.compare(Number(1, 1), Number(1, 2))
    assert pairs == {("class", "low"): (None, ClassLimits(attempts=1))}
    back = home.versions.changes_to(Number(0, 1))
    assert home.offer(Number(0, 1), back, whole=False).held
    home.waker.wait(11 * SECOND)
    assert dict(home.pinning.snapshot.entries) == entries(FIRST)
    with pytest.raises(KeyError):
        home.versions.changes_to(Number(7, 7))


def test_a_part_that_refuses_a_version_turns_it_down() -> None:
    home = Home()

    def check(_old: Any, new: Any) -> None:
        raise DocumentError([Fault("sip.listen", "no")])

    home.keeper.checks.append(check)
    assert home.offer(Number(1, 1), MOVED, whole=False).faults[0].key == "sip.listen"


# Calls.


class Bookers:
    """A back whose set-ups the test answers, and a front that keeps what callers were told."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []
        self.told: dict[int, list[str]] = {}

    def set_up(self, attempt: Attempt) -> None:
        self.out.append(attempt)

    def probe(self, booker: str) -> None:
        raise AssertionError(booker)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        if attempt in self.out:
            self.out.remove(attempt)
        return True

    def release(self, attempt: Attempt) -> None:
        pass

    def send_answer(self, ref: int, body: object) -> None:
        self.told.setdefault(ref, []).append("answered")

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        self.told.setdefault(ref, []).append(f"refused {stay_away_us}")

    def send_failure(self, ref: int, late: bool) -> None:
        self.told.setdefault(ref, []).append("failed")

    def send_progress(self, ref: int) -> None:
        pass

    def send_release(self, ref: int, outcome: api.Outcome) -> None:
        pass

    def is_client_waiting(self, ref: int) -> bool:
        return True


class Served:
    """A core whose calls are decided under a keeper's versions."""

    def __init__(self, text: str = FIRST, module: DecisionModule | None = None) -> None:
        self.home = Home(text)
        self.bookers = Bookers()
        module = module or Controller(SETTINGS, 3)
        self.core = CallControl(module, SETTINGS, self.home.deadlines, Limits(), self.home.counters)
        self.core.attach(self.bookers)
        self.core.plan_provider = self.home.pinning
        self.list("s0", "s1", "s2", "s3")
        self.count = 0
        self.plans: dict[str, set[str]] = {}  # versions that a call's attempts were sent under

    def list(self, *names: str) -> None:
        ready = api.SwitchState.READY
        listed = [api.SwitchEntry(name, int(name[1:]), ready) for name in names]
        self.core.update_bookers(api.ListKind.COMPLETE, listed)

    def call(
        self, kind: str = "low", number: str = "+361", caller: str = "", left_us: int = 3 * SECOND
    ) -> int:
        self.count += 1
        now = self.home.waker.now
        offer = Offer(
            f"c{self.count}",
            kind,
            0,
            3 * SECOND,
            now,
            number + str(self.count),
            "",
            self.count,
            client=caller,
        )
        return self.core.offer(self.bookers, offer)

    def end(self, attempt: Attempt, outcome: api.Outcome | None) -> None:
        """Let a set-up be answered (None), or fail."""
        self.bookers.out.remove(attempt)
        if outcome is None:
            self.core.attempt_answered(attempt, "")
            self.core.attempt_ended(attempt, AttemptEnd(api.Outcome.SERVED))
        else:
            self.core.attempt_ended(attempt, AttemptEnd(outcome))


def traffic(served: Served, calls: int, dead: frozenset[str]) -> None:
    """Offer calls that every booker answers but the dead ones."""
    for _ in range(calls):
        served.call()
        for attempt in list(served.bookers.out):
            served.end(attempt, api.Outcome.NO_CONNECTION if attempt.booker in dead else None)
        served.home.waker.wait(50 * MS)


@pytest.mark.parametrize(
    ("version", "dead", "rolled_back"),
    [
        (MOVED, {"s2"}, True),  # it sends calls where nobody answers
        (MOVED, {"s0", "s1", "s2"}, True),  # so it does, and what it left fails only from then on
        (
            {("route", "new"): Route(("city",), prefix="+49")},
            {"s0", "s1", "s2", "s3"},
            False,
        ),  # not its calls
        ({("group", "city"): Group(("s0", "s1", "s3"))}, {"s0", "s1", "s2"}, False),  # nor its bookers
        ({("class", "low"): ClassLimits(rate=1.0)}, set(), True),  # it turns them away itself
        ({("class", "low"): ClassLimits(attempts=2)}, set(), False),
    ],
)
def test_service_that_collapses_under_a_version_rolls_it_back_if_it_is_to_blame(
    version: Any, dead: set[str], rolled_back: bool
) -> None:
    served = Served()
    traffic(served, 100, frozenset())
    assert served.home.offer(Number(1, 1), version, whole=False).held
    traffic(served, 220, frozenset(dead))
    stages = [one.stage for one in served.home.versions.ended if one.number == Number(1, 1)]
    assert stages == ([Stage.ROLLED_BACK] if rolled_back else [])
    assert (served.home.pinning.snapshot.number == Number(0, 1)) is rolled_back
    if rolled_back:
        assert served.home.versions.ended[-1].reason and served.home.versions.negotiation.refused


def test_a_version_that_takes_a_booker_away_leaves_its_calls_standing() -> None:
    served = Served('[group.a]\nbookers = ["s0"]\n[group.b]\nbookers = ["s1"]\n[route.r]\ngroups = ["a"]\n')
    served.call()
    (attempt,) = served.bookers.out
    served.core.attempt_answered(attempt, "")
    served.home.offer(Number(1, 1), {("route", "r"): Route(("b",)), ("group", "a"): None}, whole=False)
    assert served.bookers.told[1] == ["answered"] and len(served.core.calls) == 1
    for _ in range(5):
        served.call()
    assert {one.booker for one in served.bookers.out[1:]} == {"s1"}
    served.core.attempt_ended(attempt, AttemptEnd(api.Outcome.SERVED))
    assert served.home.pinning.open == {Number(1, 1): 5}


def test_caps_turn_away_with_a_time_to_come_back() -> None:
    served = Served("[class.low]\nrate = 2.0\nburst = 2\n[callers.default]\nmost_open = 1\n")
    for _ in range(3):
        served.call("low")
    assert [served.bookers.told.get(ref) for ref in (1, 2, 3)] == [None, None, ["refused 500000"]]
    served.home.waker.wait(500 * MS)
    served.call("low")
    assert 4 not in served.bookers.told
    served.call("high", caller="127.0.0.9")
    served.call("high", caller="127.0.0.9")
    served.call("high", caller="127.0.0.8")
    assert [served.bookers.told.get(ref) for ref in (5, 6, 7)] == [None, ["refused 1000000"], None]
    served.end(next(one for one in served.bookers.out if one.offer.uid == "c5"), None)
    served.call("high", caller="127.0.0.9")
    assert 8 not in served.bookers.told


def test_a_versions_attempts_and_answer_time_hold_for_its_calls() -> None:
    served = Served("[class.low]\nattempts = 1\nanswer_ms = 800\n")
    served.call()
    (attempt,) = served.bookers.out
    assert attempt.timeout_us < 800 * MS
    served.end(attempt, api.Outcome.TURNED_AWAY)
    assert served.bookers.told[1][0].startswith("refused") and not served.bookers.out


class Wild:
    """A module that sends wherever a drawn list says, whatever it is allowed."""

    def __init__(self, wishes: list[str]) -> None:
        self.wishes = wishes
        self.tries: dict[str, int] = {}

    def handle(self, _now_us: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.NewCall) or (isinstance(event, api.AttemptEnded) and not event.finished):
            self.tries[event.call] = self.tries.get(event.call, 0) + 1
            if not self.wishes or self.tries[event.call] > 6:
                return [api.Refuse(event.call)]
            return [api.Send(event.call, self.wishes.pop(), 0)]
        return []


GROUPS = st.lists(st.sampled_from(["s0", "s1", "s2", "s3"]), min_size=1, max_size=3, unique=True)
STEPS_OF = st.one_of(
    st.tuples(st.just("call"), st.sampled_from(["low", "high"])),
    st.tuples(st.just("end"), st.sampled_from([None, api.Outcome.TURNED_AWAY, api.Outcome.CUT])),
    st.tuples(st.just("version"), GROUPS),
    st.tuples(st.just("delta"), GROUPS),
    st.tuples(st.just("cut"), GROUPS),
    st.tuples(st.just("wait"), st.integers(1, 400)),
)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(
    st.lists(STEPS_OF, max_size=60),
    st.lists(st.sampled_from(["s0", "s1", "s2", "s3"]), max_size=80),
    st.booleans(),
)
def test_no_call_sees_two_versions_and_no_send_leaves_its_versions_candidates(
    steps: list[tuple[str, Any]], wishes: list[str], wild: bool
) -> None:
    served = Served(module=Wild(wishes) if wild else None)
    home = served.home
    pinned: dict[str, tuple[Any, int]] = {}  # what each call may do, by what ran at its offer
    seen: set[int] = set()
    number = 1

    def watch() -> None:
        for attempt in served.bookers.out:
            tiers, most = pinned[attempt.offer.uid]
            cell = int(attempt.booker[1:])
            assert tiers is None or any(tier.contains(attempt.booker, cell) for tier in tiers)
            assert attempt.number < most
            seen.add(id(attempt))

    for what, value in steps:
        if what == "call":
            ran = home.pinning.snapshot
            number_called = f"+361{served.count + 1}"
            tiers = ran.candidates(value, 0, number_called)
            pinned[f"c{served.count + 1}"] = (tiers, ran.bounds(value).attempts)
            served.call(value)
        elif what == "end" and served.bookers.out:
            served.end(served.bookers.out[0], value)
        elif what in ("version", "delta", "cut"):
            number += 1
            limits = ClassLimits(attempts=len(value))
            change: dict[Any, Any] = {("group", "city"): Group(tuple(value)), ("class", "low"): limits}
            whole = what == "version"
            home.submit(Number(1, number), {**entries(FIRST), **change} if whole else change, whole=whole)
            if what == "cut":
                home.waker.queue[:] = home.waker.queue[:1]  # it stops half-way, and the next one takes over
                home.keeper.draft, home.keeper.work = None, None
            home.waker.turn()
        elif what == "wait":
            home.waker.wait(value * MS)
        watch()
    home.waker.wait(10 * SECOND)
    assert all(len(told) == 1 for told in served.bookers.told.values())
    assert set(served.bookers.told) == set(range(1, served.count + 1))


# Offers.


def offer(number: Number, **more: Any) -> Any:
    from bitternbeam.configuration.messages import Offer as Message  # noqa: PLC0415 - the name is taken

    known: dict[str, Any] = {"nonce": "n", "size": 10, "chunk": 4, "digest": "0" * 64, "content": "1" * 64}
    return Message(number=number, **known | more)


@pytest.mark.parametrize(
    ("made", "answer", "reason"),
    [
        (offer(Number(2, 6)), "Want", ""),
        (offer(Number(3, 1)), "Want", ""),
        (offer(Number(2, 5), content="a" * 64), "Ack", ""),
        (offer(Number(2, 5)), "Nack", "another content"),
        (offer(Number(2, 4)), "Nack", "not newer"),
        (offer(Number(1, 99)), "Nack", "epoch 1 is older"),
        (offer(Number(1, 99), rollback=True), "Want", ""),
        (offer(Number(2, 6), base=Number(2, 4)), "Nack", "not held"),
        (offer(Number(2, 6), base=Number(2, 5)), "Want", ""),
        (offer(Number(2, 6), size=64 << 20), "Nack", "the most is"),
        (offer(Number(2, 6), size=0), "Nack", "empty"),
    ],
)
def test_what_is_answered_to_an_offer(made: Any, answer: str, reason: str) -> None:
    negotiation = Negotiation(Bounds())
    negotiation.runs(Number(2, 5), "a" * 64)
    got = negotiation.answer(0, made)
    assert type(got).__name__ == answer and reason in getattr(got, "reason", "")
    assert getattr(got, "whole", False) == (reason == "not held")


def test_what_was_turned_down_is_looked_at_again_ever_more_rarely() -> None:
    negotiation = Negotiation(Bounds())
    now, looked_at = 0, 0
    for _ in range(100_000):  # a service that offers it for ever, every millisecond
        now += 1000
        if type(negotiation.answer(now, offer(Number(1, 1)))).__name__ == "Want":
            looked_at += 1
            negotiation.turned_down(now, "1" * 64, "no", "a.b")
    assert looked_at == 7  # after 1, 2, 4 ... 60 s
    again = negotiation.answer(now, offer(Number(1, 1)))
    assert again.reason == "no" and again.key == "a.b" and again.retry_ms > 1000  # type: ignore[union-attr]


def test_callers_are_remembered_up_to_a_limit() -> None:
    served = Served("[callers.default]\nrate = 5.0\n")
    caps = served.home.pinning.caps
    for place in range(10_050):
        caps.take(served.home.waker.now, served.home.pinning.snapshot, "low", f"caller{place}")
    assert len(caps.callers) == 10_000
