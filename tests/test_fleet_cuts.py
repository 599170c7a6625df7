"""A member whose engine answers are lost: what happens to its locks, in simulated time."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, succeed

from bitternbeam.configuration.fleet import Fleet, lease_times
from bitternbeam.counters import Counters
from bitternbeam.fleet.claim import Claim, Step
from bitternbeam.fleet.lease import Session
from bitternbeam.fleet.membership import Damping, Membership
from bitternbeam.fleet.placement import Lock, should_hold
from bitternbeam.net.coordination import Reply
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.presence import Presence
from bitternbeam.wiring.fleet.watch import Watch
from standins.consul.engine import Engine

KEY, TICK_US, CALL_US = "lease/budgets", 50_000, 333_000
FLEET = Fleet(name="m1", ttl_ms=2_000, lock_delay_ms=300, margin_ms=700, pause_ms=400, tick_ms=50)


class Api:
    """The engine without latency; while `cut`, requests arrive but their answers are lost."""

    def __init__(self) -> None:
        self.engine, self.now, self.cut = Engine(), 0, False
        self.late: list[tuple[int, Deferred[Any]]] = []

    def _answer(self, code: int, body: Any = None) -> Deferred[Any]:
        if not self.cut:
            return succeed(Reply(code, 1, body))
        made: Deferred[Any] = Deferred()
        self.late.append((self.now + CALL_US, made))
        return made

    def advance(self) -> None:
        self.now += TICK_US
        self.engine.expire(self.now)
        over = [made for at, made in self.late if at <= self.now]
        self.late = [(at, made) for at, made in self.late if at > self.now]
        for made in over:
            made.errback(TimeoutError())

    def create_session(self, _name: str, ttl_ms: int, lock_delay_ms: int) -> Deferred[Any]:
        body = {"TTL": f"{ttl_ms}ms", "LockDelay": f"{lock_delay_ms}ms"}
        return self._answer(200, {"ID": self.engine.create_session(body, self.now)})

    def renew(self, session: str) -> Deferred[Any]:
        return self._answer(200 if self.engine.renew(session, self.now) else 404)

    def destroy(self, session: str) -> Deferred[Any]:
        return self._answer(200, self.engine.destroy(session, self.now))

    def pass_check(self, _name: str) -> Deferred[Any]:
        return self._answer(200)


def test_a_stand_by_keeps_a_lock_whose_grant_it_did_not_receive() -> None:
    times, lock = lease_times(FLEET), Lock()
    lock.observe(None, 60_000_000)
    now = 60_000_000 + times.lock_delay_us + times.grace_us
    claim, session = Claim(KEY, "m1", times), Session(times, now)
    session.created("s1", now)
    assert claim.next_step(now, session, should_hold(claim, lock, 1, False, now)) is Step.ACQUIRE
    claim.request_failed()  # the answer was lost
    assert claim.next_step(now, session, should_hold(claim, lock, 1, False, now)) is Step.CHECK
    claim.check_answered("s1", session)
    assert claim.next_step(now, session, should_hold(claim, lock, 1, False, now)) is Step.READ_COUNTER


def test_locks_are_free_a_ttl_after_the_last_answer_of_the_engine() -> None:
    # A member that renewed until its own TTL ended, without receiving answers, held its locks for two TTLs.
    api, times = Api(), lease_times(FLEET)
    deadlines: Any = type("Clock", (), {"now_us": lambda _self: api.now})()
    roster = Membership("m1", Damping(times.settle_us, FLEET.recent_ms * 1000), 0)
    bench = Bench(None, deadlines, Counters(), FLEET, times, api, roster)  # type: ignore[arg-type]
    presence = Presence(bench)
    while api.now < 1_000_000:
        api.advance()
        presence.tick(api.now)
    assert presence.session.id is not None
    assert api.engine.put(KEY, b"m1", {"acquire": presence.session.id}, api.now)
    api.cut, cut_us = True, api.now
    while api.engine.kv[KEY].session is not None:
        api.advance()
        presence.tick(api.now)
        assert api.now < cut_us + 10_000_000
    assert not presence.session.is_valid(api.now)
    assert api.now - cut_us <= times.ttl_us + TICK_US
    assert not api.engine.put(KEY, b"m2", {"acquire": api.engine.create_session({}, api.now)}, api.now)


@pytest.mark.parametrize(("period_us", "most_us"), [(500_000, 500_000), (0, 2_000_000)])
def test_a_watch_with_a_period_retries_within_one_period_after_failures(period_us: int, most_us: int) -> None:
    waits: list[int] = []
    clock = {"now_us": lambda _self: 0, "after": lambda _self, wait_us, _due: waits.append(wait_us)}
    deadlines: Any = type("Clock", (), clock)()
    ignored: Any = lambda *_args: None
    watch = Watch(
        deadlines, lambda _index: fail(TimeoutError()), ignored, ignored, ignored, period_us=period_us
    )
    for _ in range(9):
        watch.start()
    assert waits[0] == 100_000 and max(waits) == waits[-1] == most_us
