"""A hand-driven controller: feed events, read actions."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

import bitternbeam.decision.interface as api
from bitternbeam.decision.choice import Controller

A = TypeVar("A", bound=api.Action)
MS = 1_000
SECOND = 1_000_000

SETTINGS = api.Settings(
    gateways=4,
    classes=(
        api.CallClass("low", aim_us=1_500_000, deadline_us=9 * SECOND, worth=1.0),
        api.CallClass("high", aim_us=2_000_000, deadline_us=9 * SECOND, worth=3.0),
    ),
    tenants=(),
    over_share_worth=0.1,
    max_attempts=3,
    may_probe=False,
    may_cancel=True,
    must_subscribe=False,
    release_wait_us=300 * MS,
    resend_us=400 * MS,
    tells_wait=False,
    own_cell=None,
    cold_from=0.3,
    warm_after_us=15 * SECOND,
    fall_multiple=2.0,
    fall_us=1 * SECOND,
)


class World:
    """One controller, its clock and the set-ups it has out."""

    def __init__(self, switches: int = 2, seed: int = 7, **changes: object) -> None:
        """Start a controller that knows some switches, named s0, s1 and so on."""
        self.now_us = 1_000 * SECOND
        self.settings = replace(SETTINGS, **changes)  # type: ignore[arg-type]
        self.controller = Controller(self.settings, seed)
        self.timers: list[tuple[int, int]] = []
        self.last_actions: list[api.Action] = []
        self.call_count = 0
        entries = tuple(api.SwitchEntry(f"s{n}", n, api.SwitchState.READY) for n in range(switches))
        self.feed(api.ListEvent(api.ListKind.CACHED, entries))

    def feed(self, event: api.Event) -> list[api.Action]:
        """Give one event; remember the timers."""
        self.last_actions = self.controller.handle(self.now_us, event)
        self.timers += [(a.at_us, a.ref) for a in self.last_actions if isinstance(a, api.SetTimer)]
        return self.last_actions

    def actions_of(self, kind: type[A]) -> list[A]:
        """Return the last actions of a kind."""
        return [action for action in self.last_actions if isinstance(action, kind)]

    def advance(self, us: int) -> list[api.Action]:
        """Let time pass, with all timers that fall due; return what was done."""
        end, done = self.now_us + us, []
        while self.timers and min(self.timers)[0] <= end:
            at_us, ref = self.timers.pop(self.timers.index(min(self.timers)))
            self.now_us = max(self.now_us, at_us)
            done += self.feed(api.TimerDue(ref))
        self.now_us = end
        self.last_actions = done
        return done

    def call(self, cell: int = 0, kind: str = "low", left_us: int = 3 * SECOND, **more: object) -> str:
        """Hand over a call and return its id."""
        self.call_count += 1
        name = f"c{self.call_count}"
        self.feed(api.NewCall(name, kind, cell, left_us, **more))  # type: ignore[arg-type]
        return name

    def sent_to(self) -> str | None:
        """Return the switch of the one send among the last actions, if there is one."""
        sends = self.actions_of(api.Send)
        assert len(sends) <= 1
        return sends[0].switch if sends else None

    def answer_attempt(self, call: str, switch: str = "s0", took_us: int = 40 * MS, attempt: int = 0) -> None:
        """Let a set-up be answered."""
        self.feed(api.AttemptAnswered(call, attempt, switch, took_us))

    def end_attempt(self, call: str, outcome: api.Outcome, switch: str = "s0", **more: object) -> None:
        """Let an attempt end; unless said otherwise the answer is still owed."""
        more = {"attempt": 0, "took_us": 40 * MS, "finished": False, **more}
        self.feed(api.AttemptEnded(call=call, switch=switch, outcome=outcome, **more))  # type: ignore[arg-type]

    def update_switch(self, switch: str, state: api.SwitchState, started_at_us: int = 0) -> None:
        """Bring a change of the list."""
        entry = api.SwitchEntry(switch, int(switch[1:]), state, started_at_us)
        self.feed(api.ListEvent(api.ListKind.CHANGES, (entry,)))

    def offer_calls(self, seconds: int, per_s: int, cell: int = 0, took_us: int = 40 * MS) -> int:
        """Offer evenly spread calls that are all answered after took_us; return how many were refused."""
        refused = 0
        out: list[tuple[int, str, str]] = []
        for _ in range(seconds * per_s):
            name = self.call(cell)
            refused += len(self.actions_of(api.Refuse))
            switch = self.sent_to()
            if switch:
                out.append((self.now_us + took_us, name, switch))
            self.advance(SECOND // per_s)
            while out and out[0][0] <= self.now_us:
                self.complete_call(*out.pop(0)[1:], took_us)
        for _, done, where in out:
            self.complete_call(done, where, took_us)
        return refused

    def complete_call(self, call: str, switch: str, took_us: int) -> None:
        """Let a call stand and end."""
        self.answer_attempt(call, switch, took_us)
        self.end_attempt(call, api.Outcome.SERVED, switch, finished=True)
