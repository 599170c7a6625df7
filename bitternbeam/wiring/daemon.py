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
from bitternbeam.wiring.shutdown import Lifecycle

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
        self.lifecycle = Lifecycle(self.parts, self.deadlines, self.limits)
        self.lifecycle.stopped = self._stop
        self.coming_up = 0  # parts that have not come up yet
        self.status = 0

    @property
    def serving(self) -> list[Serving]:
        """The parts with calls."""
        return self.lifecycle.serving

    @property
    def ending(self) -> bool:
        """Tell whether SIGTERM has come."""
        return self.lifecycle.ending

    def start(self) -> None:
        """Start every part; one that can't ends the daemon."""
        self.coming_up = len(self.parts)
        for part in self.parts:
            made = part.start()
            if made is None:
                self._up()
            else:
                made.addCallbacks(self._up, self._cannot_listen)
            if self.status:
                return  # guards against serving on an address while the daemon is already ending

    def _up(self, _made: object = None) -> None:
        self.coming_up -= 1
        if not self.coming_up:
            self.lifecycle.started()

    def _cannot_listen(self, failure: Failure) -> None:
        self.status = 1
        sys.stderr.write(f"bitternbeam: listen: {failure.getErrorMessage()}\n")
        self.reactor.callLater(0, self._stop)

    def terminate(self) -> None:
        """End as at a planned restart: serve on for a while, then answer and release everything."""
        self.lifecycle.terminate()

    def reload(self) -> None:
        """Let every part read anew what may change; one that can't keeps what it has."""
        for part in self.parts:
            try:
                part.reload()
            except Exception as error:
                self.counters.add("reloads.bad")
                log.error("SIGHUP: %s: %s; what was there stands", part.name, error)

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
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGUSR1))  # see __main__
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
        count()
        return self.status
