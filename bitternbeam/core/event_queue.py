"""The module's turn: one event after the other, and what its actions bring about waits."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from bitternbeam.core.ports import Clock, DecisionModule
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Action, Event

log = logging.getLogger(__name__)


class EventQueue:
    """The events that the module has not seen yet."""

    def __init__(
        self,
        module: DecisionModule,
        clock: Clock,
        counters: Counters,
        act: Callable[[Action], None],
        undecided: Callable[[Event], None],
    ) -> None:
        self.module = module
        self.clock = clock
        self.counters = counters
        self.execute_action = act
        self.handle_decision_failure = undecided
        self.events: deque[Event] = deque()
        self.processing = False

    def enqueue(self, event: Event) -> None:
        """Add an event to those that wait, while the module's actions are being carried out."""
        self.events.append(event)

    def process(self, event: Event) -> None:
        """Put an event to the module; what its actions bring about waits its turn."""
        self.events.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.events:
                self._decide(self.events.popleft())
        finally:
            self.processing = False

    def _decide(self, event: Event) -> None:
        try:
            actions = self.module.handle(self.clock.now_us(), event)
        except Exception:
            # A fault in a decision must cost one decision, not the daemon: a crash ends every call.
            self.counters.add("module.faults")
            log.exception("the decision on %s failed", type(event).__name__)
            self.handle_decision_failure(event)
            return
        for action in actions:
            try:
                self.execute_action(action)
            except Exception:
                # The rest may be another call's answer, or the timer on which the module's own work hangs.
                self.counters.add("module.actions_failed")
                log.exception("carrying out %s failed", type(action).__name__)
