"""A decision that is made too late, or by nobody: nothing of the request is kept, and it gets its answer."""

from __future__ import annotations

import pytest

from bitternbeam.core.calls import Offer
from bitternbeam.core.limiters import UnlimitedTraffic
from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from tests.core_world import CoreWorld
from tests.world import MS, SECOND, SETTINGS


def decided() -> tuple[CoreWorld, Controller]:
    """Return a core with the program's own module."""
    module = Controller(SETTINGS, 3)
    return CoreWorld(module), module


def nothing_is_kept(world: CoreWorld, module: Controller) -> None:
    """Find nothing of any request in the core or in the module."""
    world.check()
    assert not world.core.calls and not world.core.by_uid and not world.core.held_ids
    assert not module.calls and not module.calls_by_timer
    assert not [switch.name for switch in module.switches.values() if switch.unanswered]


def test_a_request_that_ends_at_the_shutdown_while_it_waits_for_a_release_is_forgotten() -> None:
    # Its timer sent it on in the module alone, which took the server to have one out for ever.
    world, module = decided()
    one = world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], api.Outcome.CUT)
    world.core.hang_up_all(leave_standing=True)
    assert one.answers == ["refused"]
    world.hand.advance(SECOND)
    assert not world.counters["module.too_late"]
    nothing_is_kept(world, module)


class Spent(UnlimitedTraffic):
    """Bounds that let the first attempt go and no other."""

    def try_send(self, booker: str, retry: bool, offer: Offer, now_us: int) -> str:
        return "budget_used_up" if retry else ""


def test_a_request_that_its_retry_budget_ends_is_forgotten() -> None:
    world, module = decided()
    world.core.limiter = Spent()
    one = world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], api.Outcome.TURNED_AWAY)
    assert one.answers == ["refused"]
    nothing_is_kept(world, module)


class Crossing(Controller):
    """Whose decision is crossed by the client's leaving: it is carried out behind it."""

    world: CoreWorld

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        actions = super().handle(now_us, event)
        if isinstance(event, api.AttemptEnded) and not event.finished and self.world.unanswered():
            one = self.world.unanswered()[0]
            one.client_left = True
            self.world.core.withdraw(one.handle)
        return actions


def test_a_send_that_the_clients_leaving_has_crossed_is_taken_back() -> None:
    # The module had it as out for ever: a server that was suspected then got no trial any more.
    module = Crossing(SETTINGS, 3)
    world = module.world = CoreWorld(module)
    world.send_request("r0")
    world.servers.end_attempt(world.servers.written[0], api.Outcome.TURNED_AWAY)
    assert world.counters["module.too_late"] == 1
    nothing_is_kept(world, module)


def test_one_action_that_fails_does_not_lose_those_behind_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # With the module's own timer among them nothing would be stepped any more.
    class Both(Controller):
        def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.NewCall):
                return [api.Log("first"), api.Refuse(event.call)]
            return []

    world = CoreWorld(Both(SETTINGS, 3))
    monkeypatch.setattr("bitternbeam.core.control.log.info", lambda *_args: 1 // 0)
    one = world.send_request("r0")
    assert one.answers == ["refused"] and world.counters["module.actions_failed"] == 1


class Forgetful:
    """A module that sends once and then forgets, or fails whenever it is asked."""

    def __init__(self, fails_on: type[api.Event] | None) -> None:
        self.fails_on = fails_on

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        if self.fails_on and isinstance(event, self.fails_on):
            raise RuntimeError("a fault in a decision")
        return [api.Send(event.call, "s0", 5 * SECOND)] if isinstance(event, api.NewCall) else []


@pytest.mark.parametrize("fails_on", [None, api.AttemptEnded, api.Withdrawn])
@pytest.mark.parametrize("outcome", [api.Outcome.CUT, api.Outcome.ERROR, api.Outcome.NO_CONNECTION, None])
def test_a_request_that_the_module_forgets_is_answered_before_its_client_leaves(
    fails_on: type[api.Event] | None, outcome: api.Outcome | None
) -> None:
    world = CoreWorld(Forgetful(fails_on))
    one = world.send_request("r0", left_us=700 * MS)
    if outcome:
        world.servers.end_attempt(world.servers.written[0], outcome)
    world.hand.advance(700 * MS - world.core.limits.answer_margin_us)
    assert one.answers == ["failed"] and not world.core.calls


@pytest.mark.parametrize("wait_us", [0, 1, 299 * MS])
def test_an_id_that_comes_again_waits_out_the_release_that_is_in_doubt(wait_us: int) -> None:
    # It was sent at once: under one id, two attempts were out.
    world, module = decided()
    first = world.send_request("r0")
    first.client_left = True
    world.core.withdraw(first.handle)
    world.hand.advance(wait_us)
    again = world.send_request("r0")
    assert not world.servers.written and not again.answers
    world.hand.advance(300 * MS - wait_us - 1)
    assert not world.servers.written
    world.hand.advance(1)
    assert len(world.servers.written) == 1 and world.counters["calls.held_as_repeats"] == 1
    world.servers.answer(world.servers.written[0])
    assert again.answers == ["stands"]
    world.servers.end_attempt(world.servers.standing[0], api.Outcome.SERVED)
    nothing_is_kept(world, module)


def test_an_id_that_comes_again_with_less_time_than_the_release_takes_is_answered_in_it() -> None:
    world, module = decided()
    first = world.send_request("r0")
    first.client_left = True
    world.core.withdraw(first.handle)
    again = world.send_request("r0", left_us=200 * MS)
    world.hand.advance(200 * MS)
    assert again.answers == ["failed"]
    world.hand.advance(SECOND)
    assert not world.servers.written
    nothing_is_kept(world, module)


def test_a_full_table_of_requests_answers_the_next_one() -> None:
    world, module = decided()
    world.core.calls.size = 1
    world.send_request("r0")
    second = world.send_request("r1")
    assert second.answers == ["refused"] and not second.handle
    world.servers.end_attempt(world.servers.written[0], api.Outcome.TURNED_AWAY)
    assert len(world.servers.written) == 1  # the first goes on
    world.hand.advance(4 * SECOND)
    nothing_is_kept(world, module)
