"""The references of the module's timers, which the simulator's wire carries as whole numbers from 0 on."""

from __future__ import annotations

import bitternbeam.decision.interface as api
from bitternbeam.decision.budget import SLICE_SWITCHES
from bitternbeam.decision.choice import INTERVAL_TIMER, SLICE_TIMER
from tests.world import SECOND, World


def test_every_timer_reference_can_be_written_on_the_wire() -> None:
    # An interval with more switches than one slice sets a timer for the next slice, beside those of calls.
    world = World(switches=2 * SLICE_SWITCHES)
    references = [ref for _, ref in world.timers]
    for _ in range(3):
        for cell in range(2 * SLICE_SWITCHES):
            name = world.call(cell)
            switch = world.sent_to()
            if switch is not None:
                world.feed(api.AttemptEnded(name, 0, switch, api.Outcome.CUT, 1, False))
                references += [one.ref for one in world.actions_of(api.SetTimer)]
        references += [one.ref for one in world.advance(2 * SECOND) if isinstance(one, api.SetTimer)]
    assert min(references) >= 0
    assert {INTERVAL_TIMER, SLICE_TIMER} < set(references)
    own = [ref for ref in references if ref not in (INTERVAL_TIMER, SLICE_TIMER)]
    assert len(own) == len(set(own)) > 0
