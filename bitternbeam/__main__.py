"""The daemon: reads its configuration, wires the parts and runs until SIGTERM."""

from __future__ import annotations

import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from twisted.internet import reactor as installed_reactor
from twisted.python.failure import Failure

from bitternbeam.config import Config, ConfigError, read_config
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.choice import Controller
from bitternbeam.net.clock import ReactorClock
from bitternbeam.net.connect import listen
from bitternbeam.net.platform.back import PlatformBack
from bitternbeam.net.platform.board import NoticeBoard
from bitternbeam.net.platform.front import PlatformFront
from bitternbeam.net.sip.settings import read_sip
from bitternbeam.net.sip.site import SipSite
from bitternbeam.plugins.settings import read_plugin
from bitternbeam.tables.deadlines import Deadlines

log = logging.getLogger("bitternbeam")


class Daemon:
    """All parts of one running session controller."""

    def __init__(self, reactor: Any, config: Config) -> None:
        self.reactor = reactor
        self.config = config
        self.limits = config.limits
        self.counters = Counters()
        self.deadlines = Deadlines(ReactorClock(reactor))
        self.core = CallControl(
            Controller(config.settings, config.seed),
            config.settings,
            self.deadlines,
            self.limits,
            self.counters,
        )
        self.back = PlatformBack(reactor, self.core, self.deadlines, self.limits, self.counters)
        self.core.attach(self.back)
        self.front = PlatformFront(self.core, self.deadlines, self.limits, self.counters)
        self.board = NoticeBoard(
            reactor=reactor,
            config=(config.board, config.known),
            core=self.core,
            back=self.back,
            deadlines=self.deadlines,
            limits=self.limits,
            counters=self.counters,
        )
        self.sip = self._sip_site()
        self._plug_in()
        self.port: Any = None
        self.ending = False
        self.over = False
        self.status = 0

    def _sip_site(self) -> SipSite | None:
        """Build the SIP side, if its file says so: the same decisions over servers of its own."""
        settings = self.config.settings
        path = Path(os.environ.get("BITTERNBEAM_SIP", "deploy/sip.toml"))
        sip = read_sip(path, [kind.name for kind in settings.classes])
        if sip is None:
            return None
        core = CallControl(
            Controller(settings, self.config.seed + 1), settings, self.deadlines, self.limits, self.counters
        )
        site = SipSite(
            reactor=self.reactor,
            settings=sip,
            core=core,
            deadlines=self.deadlines,
            limits=self.limits,
            counters=self.counters,
        )
        if sip.consul:
            from bitternbeam.net.consul import Consul  # noqa: PLC0415 - its HTTP client takes time to load

            site.consul = Consul(
                reactor=self.reactor,
                settings=sip.consul,
                listed=site.listed,
                deadlines=self.deadlines,
                limits=self.limits,
                counters=self.counters,
            )
        return site

    def _plug_in(self) -> None:
        """Put the plug-in before both cores, if its file names one."""
        settings = read_plugin(Path(os.environ.get("BITTERNBEAM_PLUGINS", "deploy/plugins.toml")))
        if settings is None:
            return
        from bitternbeam.plugins.wasm import WasmGate  # noqa: PLC0415 - its runtime takes memory

        names = [kind.name for kind in self.config.settings.classes]
        for core in (self.core, self.sip.core if self.sip else None):
            if core is not None:
                core.gate = WasmGate(settings, names, self.config.settings.max_stay_away_us, self.counters)

    def start(self) -> None:
        """Listen and follow the board."""
        made = listen(self.reactor, self.config.host, self.config.port, self.front)
        made.addCallbacks(self._listening, self._cannot_listen)
        self.board.start()
        if self.sip:
            self.sip.start().addErrback(self._cannot_listen)

    def _listening(self, port: Any) -> None:
        self.port = port
        log.info("%s listens on %s:%d", self.config.name, self.config.host, port.getHost().port)

    def _cannot_listen(self, failure: Failure) -> None:
        self.status = 1
        sys.stderr.write(f"bitternbeam: listen: {failure.getErrorMessage()}\n")
        self.reactor.callLater(0, self.reactor.stop)

    def terminate(self) -> None:
        """End as at a planned restart: serve on for a while, then answer and release everything."""
        if self.ending:
            return
        self.ending = True
        log.info("SIGTERM: %d calls open", len(self.core.calls))
        self.front.closing = True
        now_us = self.deadlines.now_us()
        self.deadlines.at(now_us + self.limits.serve_on_us, self._served_on)
        # Danger: the process is killed 0.7 s after the longest deadline, and what is unanswered then is lost.
        latest_us = min(self.limits.shutdown_us, self.core.longest_us + self.limits.shutdown_spare_us)
        self.deadlines.at(now_us + latest_us, self._over)

    def reload(self) -> None:
        """Read the configuration anew and follow the board that it names; a bad file changes nothing.

        The other keys hold for the life of the process: a restart takes them.
        """
        try:
            config = read_config()
        except ConfigError as error:
            self.counters.add("reloads.bad")
            log.error("SIGHUP: %s; the old configuration stands", error)
            return
        self.counters.add("reloads")
        log.info("SIGHUP: the board is at %s", config.board)
        self.config = replace(self.config, board=config.board)
        self.board.move(config.board)

    def _served_on(self) -> None:
        """Wait until no core has a call."""
        if self.sip is None:
            self.core.when_idle(self._over)
            return
        sip = self.sip
        sip.front.closing = True
        self.core.when_idle(lambda: sip.core.when_idle(self._over))

    def _over(self) -> None:
        if self.over:
            return
        self.over = True
        self.core.hang_up_all()
        if self.sip:
            self.sip.core.hang_up_all()
            self.deadlines.after(self.limits.flush_us // 2, self.sip.stop)
        if self.port:
            self.port.stopListening()
        self.board.stop()
        self.front.close_all()
        self.back.close_all()
        self.deadlines.after(self.limits.flush_us, self._stop)

    def _stop(self) -> None:
        if self.reactor.running:
            self.reactor.stop()


def main() -> int:
    """Run the daemon; the exit status is 0 after SIGTERM."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s.%(msecs)03d %(name)s %(message)s",
        datefmt="%H:%M:%S",
    )  # fmt: skip
    try:
        reactor: Any = installed_reactor
        daemon = Daemon(reactor, read_config())
    except ConfigError as error:
        sys.stderr.write(f"bitternbeam: {error}\n")
        return 2

    def count(*_: object) -> None:
        daemon.counters.write(sys.stderr)

    def on(number: signal.Signals, act: Callable[[], None]) -> None:
        # Only queued here: a handler may run in the middle of anything, the reactor's own work included.
        signal.signal(number, lambda *_: reactor.callFromThread(act))

    # Danger: a signal without a handler ends the process, and with it every call.
    on(signal.SIGTERM, daemon.terminate)
    on(signal.SIGINT, daemon.terminate)
    on(signal.SIGHUP, daemon.reload)
    on(signal.SIGUSR1, count)
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)
    count()
    return daemon.status


if __name__ == "__main__":
    sys.exit(main())
