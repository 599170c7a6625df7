"""Several bounds asked as one by the core: what one takes comes back once, whatever becomes of the call."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from bitternbeam.core.calls import AttemptEnd, Offer
from bitternbeam.core.limiters import LimiterChain, UnlimitedTraffic
from bitternbeam.decision import interface as api
from tests.loop import until
from tests.test_fleet_load import Script, Wires


class ConcurrencyLimiter(UnlimitedTraffic):
    """Amounts at once: of offers, and of attempts at each booker."""

    def __init__(self, offers: int = 9, attempts: int = 9, away_us: int = 0) -> None:
        self.offers, self.attempts, self.away_us = offers, attempts, away_us
        self.held: Counter[str] = Counter()

    def admit(self, offer: Offer, now_us: int) -> int | None:
        if self.held[""] >= self.offers:
            return self.away_us
        self.held[""] += 1
        return None

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        if self.held[booker] >= self.attempts:
            return "over_share"
        self.held[booker] += 1
        return ""

    def cancel_send(self, booker: str, offer: Offer) -> None:
        self.held[booker] -= 1

    def attempt_ended(self, booker: str, offer: Offer) -> None:
        self.held[booker] -= 1

    def call_ended(self, offer: Offer) -> None:
        self.held[""] -= 1


def chain_of(wires: Wires, *links: ConcurrencyLimiter) -> None:
    wires.core.limiter = LimiterChain([wires.bounds, *links])


@pytest.mark.parametrize("outcome", [one for one in api.Outcome if one is not api.Outcome.NOT_SENT])
@pytest.mark.parametrize("stands", [False, True])
def test_what_a_call_holds_comes_back_once(outcome: api.Outcome, stands: bool) -> None:
    wires, first, second = Wires(Script("a"), "a"), ConcurrencyLimiter(), ConcurrencyLimiter()
    chain_of(wires, first, second)
    wires.offer(1)
    if stands:
        wires.core.attempt_answered(wires.sent[-1], "")
    for one in (first, second):
        assert one.held == {"": 1, "a": 1}
    ended = wires.now()
    wires.core.attempt_ended(wires.sent[-1], AttemptEnd(outcome))
    doubtful = outcome in (api.Outcome.NO_ANSWER, api.Outcome.CUT, api.Outcome.CALLED_OFF)
    assert bool(first.held["a"]) is doubtful  # the booker may hold it until a release has had its time
    until(lambda: not first.held["a"] and not first.held[""])
    assert doubtful is (wires.now() - ended >= wires.core.settings.release_wait_us)
    assert first.held == second.held == {"": 0, "a": 0}


def test_the_first_refusal_stands_with_its_wait_and_nothing_stays_taken() -> None:
    wires, first, second = (
        Wires(Script("a"), "a"),
        ConcurrencyLimiter(),
        ConcurrencyLimiter(offers=1, away_us=70_000),
    )
    told: list[int] = []
    wires.core.settings = replace(wires.core.settings, max_stay_away_us=100_000)
    wires.refused = lambda _ref, away_us: told.append(away_us)  # type: ignore[attr-defined]
    chain_of(wires, first, second)
    wires.offer(1)
    wires.offer(2)
    assert told == [70_000] and len(wires.sent) == 1
    assert first.held == second.held == {"": 1, "a": 1}


def test_a_send_barred_by_a_later_link_is_taken_back_and_another_booker_tried() -> None:
    wires, first, second = (
        Wires(Script("a", "b"), "a", "b"),
        ConcurrencyLimiter(),
        ConcurrencyLimiter(attempts=0),
    )
    chain_of(wires, first, second)
    wires.offer(1)
    assert not wires.sent and wires.said == [("refused", 1)]
    assert first.held == {"": 0, "a": 0, "b": 0}
    assert wires.bounds.report(wires.now()).bookers == {}  # nothing counts as sent
    second.attempts = 1
    wires.offer(2)
    wires.offer(3)
    assert [one.booker for one in wires.sent] == ["a", "b"]
