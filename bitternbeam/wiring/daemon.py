"""The daemon: its parts, their start, their reload and their end."""

from __future__ import annotations

import logging
import signal
import sys
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from bitternbeam.config import Config
from bitternbeam.counters import Counters
from bitternbeam.net.clock import ReactorClock
from bitternbeam.tables.deadlines import Deadlines
from bitternbeam.wiring.parts import Common, Part, Serving

log = logging.getLogger("bitternbeam")


class Daemon:
    """All parts of one running session controller."""

    def __init__(self, reactor: Any, config: Config) -> None:
        self.reactor = reactor
        self.limits = config.limits
        self.counters = Counters()
        self.deadlines = Deadlines(ReactorClock(reactor))
        self.common = Common(reactor, config, self.deadlines, self.limits, self.counters)
        self.parts: list[Part] = []
        self.ending = False
        self.over = False
        self.status = 0

    @property
    def serving(self) -> list[Serving]:
        """The parts with calls."""
        return [part for part in self.parts if isinstance(part, Serving)]

    def start(self) -> None:
        """Start every part; one that can't ends the daemon."""
        for part in self.parts:
            made = part.start()
            if made is not None:
                made.addErrback(self._cannot_listen)
            if self.status:
                return  # guards against serving on an address while the daemon is already ending

    def _cannot_listen(self, failure: Failure) -> None:
        self.status = 1
        sys.stderr.write(f"bitternbeam: listen: {failure.getErrorMessage()}\n")
        self.reactor.callLater(0, self.reactor.stop)

    def terminate(self) -> None:
        """End as at a planned restart: serve on for a while, then answer and release everything."""
        if self.ending:
            return
        self.ending = True
        log.info("SIGTERM: %d calls open", sum(len(part.core.calls) for part in self.serving))
        for part in self.serving:
            part.closing()
        now_us = self.deadlines.now_us()
        self.deadlines.at(now_us + self.limits.serve_on_us, self._served_on)
        # Danger: the process is killed 0.7 s after the longest deadline, and what is unanswered then is lost.
        longest_us = max((part.core.longest_us for part in self.serving), default=0)
        latest_us = min(self.limits.shutdown_us, longest_us + self.limits.shutdown_spare_us)
        self.deadlines.at(now_us + latest_us, self._over)

    def reload(self) -> None:
        """Let every part read anew what may change; one that can't keeps what it has."""
        for part in self.parts:
            try:
                part.reload()
            except Exception as error:
                self.counters.add("reloads.bad")
                log.error("SIGHUP: %s: %s; what was there stands", part.name, error)

    def _served_on(self) -> None:
        """Wait until no core has a call."""
        for part in self.serving:
            part.last_orders()
        waiting = list(self.serving)

        def next_one() -> None:
            if waiting:
                waiting.pop(0).when_idle(next_one)
            else:
                self._over()

        next_one()

    def _over(self) -> None:
        if self.over:
            return
        self.over = True
        for part in self.serving:
            part.hang_up()
        for each in self.parts:
            each.stop()
        self.deadlines.after(self.limits.flush_us, self._stop)

    def _stop(self) -> None:
        if self.reactor.running:
            self.reactor.stop()

    def run(self) -> int:
        """Run until SIGTERM; returns the exit status."""

        def count(*_: object) -> None:
            self.counters.write(sys.stderr)

        def on(number: signal.Signals, act: Callable[[], None]) -> None:
            # Only queued here: a handler may run in the middle of anything, the reactor's own work included.
            signal.signal(number, lambda *_: self.reactor.callFromThread(act))

        # Danger: a signal without a handler ends the process, and with it every call.
        on(signal.SIGTERM, self.terminate)
        on(signal.SIGINT, self.terminate)
        on(signal.SIGHUP, self.reload)
        on(signal.SIGUSR1, count)
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
        count()
        return self.status
