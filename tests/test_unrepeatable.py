"""A request that must not run twice is refused, or sent again, only if no attempt of it can have run."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bitternbeam.core.calls import Offer
from bitternbeam.core.limiters import UnlimitedTraffic
from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from tests.core_world import CoreWorld
from tests.world import MS, SECOND, SETTINGS

OUTCOMES_IN_DOUBT = [api.Outcome.ERROR, api.Outcome.CUT]


def settings_of(effect: api.Effect) -> api.Settings:
    return replace(SETTINGS, classes=tuple(replace(kind, effect=effect) for kind in SETTINGS.classes))


@pytest.fixture(params=[api.Effect.ONCE, api.Effect.BY_KEY], ids=["once", "by key"])
def unrepeatable(request: pytest.FixtureRequest) -> api.Settings:
    settings: api.Settings = settings_of(request.param)
    return settings


class Scripted:
    """A decision module that sends at once and after each outcome, and refuses when told to."""

    def __init__(self, sends: int = 5) -> None:
        self.sends = sends

    def handle(self, _now_us: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded) and event.finished:
            return []
        if isinstance(event, (api.NewCall, api.AttemptEnded)):
            self.sends -= 1
            return [api.Send(event.call, "s0", SECOND) if self.sends >= 0 else api.Refuse(event.call)]
        return []


def test_the_shutdown_fails_what_may_have_run(unrepeatable: api.Settings) -> None:
    # Guards against a refusal at the end of the process of a request whose attempt is out: it ran twice.
    world = CoreWorld(Controller(unrepeatable, 3), settings=unrepeatable)
    one = world.send_request("r0")
    assert world.servers.written
    world.core.hang_up_all(leave_standing=True)
    assert one.answers == ["failed"] and not world.core.calls
    world.check()


def test_the_shutdown_fails_what_may_have_run_and_waits_for_a_release(unrepeatable: api.Settings) -> None:
    # Guards against the same in the pause after an attempt whose end is in doubt.
    world = CoreWorld(Controller(unrepeatable, 3), settings=unrepeatable)
    one = world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], api.Outcome.CUT)
    assert not one.answers
    world.core.hang_up_all(leave_standing=True)
    assert one.answers == ["failed"]
    world.check()


def test_the_shutdown_refuses_what_waits_for_a_connection(unrepeatable: api.Settings) -> None:
    # Guards against giving up the promise where it holds: this client may try elsewhere at once.
    world = CoreWorld(Controller(unrepeatable, 3), settings=unrepeatable)
    world.servers.slow.update(world.names)
    one = world.send_request("r0")
    assert world.servers.waiting and not world.servers.written
    world.core.hang_up_all(leave_standing=True)
    assert one.answers == ["refused"]
    world.check()


def test_the_shutdown_refuses_what_may_run_twice() -> None:
    # Guards against failing requests of which another attempt is harmless.
    world = CoreWorld(Controller(SETTINGS, 3))
    one = world.send_request("r0")
    assert world.servers.written
    world.core.hang_up_all(leave_standing=True)
    assert one.answers == ["refused"]


@pytest.mark.parametrize("outcome", OUTCOMES_IN_DOUBT)
def test_a_refusal_counts_all_attempts(unrepeatable: api.Settings, outcome: api.Outcome) -> None:
    # Guards against judging by the last attempt, which never ran, when an earlier one may have run.
    world = CoreWorld(Scripted(sends=1), settings=unrepeatable)
    one = world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], outcome)
    assert one.answers == ["failed"] and world.counters["answers.failed_as_may_have_run"] == 1
    world.check()


@pytest.mark.parametrize("outcome", OUTCOMES_IN_DOUBT)
def test_what_may_have_run_is_not_sent_again(unrepeatable: api.Settings, outcome: api.Outcome) -> None:
    # Guards the rule in the core, whatever the decision module asks for.
    world = CoreWorld(Scripted(), settings=unrepeatable)
    one = world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], outcome)
    world.hand.advance(3 * SECOND)
    assert not world.servers.written and one.answers == ["failed"]
    world.check()


@pytest.mark.parametrize(
    "outcome", [api.Outcome.TURNED_AWAY, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT]
)
def test_what_never_ran_is_sent_again(unrepeatable: api.Settings, outcome: api.Outcome) -> None:
    world = CoreWorld(Scripted(sends=2), settings=unrepeatable)
    one = world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], outcome)
    assert len(world.servers.written) == 1
    world.servers.end_attempt(world.servers.written[0], outcome)
    assert one.answers == ["refused"]
    world.check()


class SpentAfterTwo(UnlimitedTraffic):
    """Bounds that allow two attempts of a request."""

    def __init__(self) -> None:
        self.asked = 0

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        self.asked += 1
        return "budget_used_up" if self.asked > 2 else ""


@pytest.mark.parametrize("effect", list(api.Effect))
def test_a_spent_retry_budget_refuses_only_what_may_be_repeated(effect: api.Effect) -> None:
    # Guards against a limit's refusal that looked at the last attempt only.
    settings = settings_of(effect)
    world = CoreWorld(Scripted(), settings=settings)
    world.core.limiter = SpentAfterTwo()
    one = world.send_request("r0")
    first = api.Outcome.ERROR if effect is api.Effect.REPEATABLE else api.Outcome.TURNED_AWAY
    world.servers.end_attempt(world.servers.written[0], first)
    world.servers.end_attempt(world.servers.written[0], api.Outcome.TURNED_AWAY)
    world.hand.advance(300 * MS)
    assert one.answers == ["refused"]
    world.check()
