"""Bookers that answer at once within the process, and callers that offer calls at a steady rate."""

from __future__ import annotations

import time
from random import Random
from typing import Any

from twisted.internet import reactor as installed_reactor

from bitternbeam.core.calls import Attempt, AttemptEnd, Offer
from bitternbeam.core.control import CallControl
from bitternbeam.decision.interface import Outcome
from bitternbeam.tables.deadlines import Deadlines

reactor: Any = installed_reactor


class Back:
    """Bookers that answer 20 ms later, within the process."""

    def __init__(self, core: CallControl, deadlines: Deadlines) -> None:
        self.core = core
        self.deadlines = deadlines

    def set_up(self, attempt: Attempt) -> None:
        """Let it stand and end a little later."""
        self.deadlines.after(20_000, lambda: self.done(attempt))

    def done(self, attempt: Attempt) -> None:
        """Answer a set-up and end the call."""
        if self.core.attempt_answered(attempt, ""):
            self.core.attempt_ended(attempt, AttemptEnd(Outcome.SERVED))

    def probe(self, booker: str) -> None:
        """Ask nothing."""

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Take back a set-up."""
        return True

    def release(self, attempt: Attempt) -> None:
        """End a call."""


class Callers:
    """Offers calls at a steady rate and notes how late each was sent, in ms."""

    def __init__(self, core: CallControl, deadlines: Deadlines, rate: int) -> None:
        self.core = core
        self.deadlines = deadlines
        self.gap_us = 1_000_000 // rate
        self.random = Random(1)
        self.count = 0
        self.routes = 1
        self.late_ms: list[float] = []
        self.answers = {"answered": 0, "refused": 0}
        self.gaps_ms: list[float] = []
        self.ticked = time.perf_counter()
        self.running = True
        self.due_us = deadlines.now_us()
        self.call()
        self.tick()

    def tick(self) -> None:
        """Note the gap since the last tick beyond the millisecond that it takes."""
        now = time.perf_counter()
        self.gaps_ms.append((now - self.ticked) * 1000 - 1)
        self.ticked = now
        if self.running:
            reactor.callLater(0.001, self.tick)

    def is_client_waiting(self, ref: int) -> bool:
        """Tell that nobody leaves early."""
        return True

    def call(self) -> None:
        """Offer every call that is due."""
        now_us = self.deadlines.now_us()
        while self.due_us <= now_us:
            self.count += 1
            number = f"+{self.random.randrange(self.routes):06d}1"
            offer = Offer(f"c{self.count}", self.classes(), 0, 3_000_000, now_us, number, "", self.count)
            self.core.offer(self, offer)
            self.late_ms.append((self.deadlines.now_us() - self.due_us) / 1000)
            self.due_us += self.gap_us
        if self.running:
            self.deadlines.call_at(self.due_us, self.call)

    def classes(self) -> str:
        """Draw a class."""
        return self.random.choice(sorted(self.core.classes))

    def send_answer(self, ref: int, body: object) -> None:
        """Count."""
        self.answers["answered"] += 1

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Count."""
        self.answers["refused"] += 1

    def send_failure(self, ref: int, late: bool) -> None:
        """Count."""
        self.answers["refused"] += 1

    def send_progress(self, ref: int) -> None:
        """Pass over it."""

    def send_release(self, ref: int, outcome: Outcome) -> None:
        """Pass over it."""

    def take(self) -> dict[str, float]:
        """Return what was seen since the last time."""
        late, gaps = sorted(self.late_ms), self.gaps_ms
        seen = {
            "calls": len(late),
            "p50_ms": round(late[len(late) // 2], 2),
            "p99_ms": round(late[len(late) * 99 // 100], 2),
            "stall_ms": round(max(gaps), 2),
        }
        self.late_ms, self.gaps_ms = [], []
        return seen
