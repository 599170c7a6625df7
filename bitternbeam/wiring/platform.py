"""The platform's side: its front, its back and discovery around one core."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from bitternbeam.config import ConfigError, read_config
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.choice import Controller
from bitternbeam.decision.interface import Outcome
from bitternbeam.net.accepting import AcceptBounds
from bitternbeam.net.connect import adopt, close_listener, listen
from bitternbeam.net.platform.back import PlatformBack
from bitternbeam.net.platform.discovery.server_list import ServerList
from bitternbeam.net.platform.discovery.watch import DiscoveryWatch
from bitternbeam.net.platform.front import PlatformFront
from bitternbeam.wiring.parts import Common, Serving

if TYPE_CHECKING:
    from bitternbeam.wiring.handover import Handover

log = logging.getLogger("bitternbeam")

LAST_READS = 4  # of each connection before it is closed, of 64 KiB at the most: past that it is a flood


class RefuseAll:
    """The core's AdmissionFilter during shutdown: no time is left to serve new calls."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters

    def check_call(self, call_class: str, cell: int, left_us: int, redial: bool) -> int | None:
        """Refuse; the caller need not stay away, as others serve."""
        self.counters.add("shutdown.refused")
        return 0

    def call_ended(self, call_class: str, outcome: Outcome, attempts: int, took_us: int) -> None:
        """Need no word of a call's end."""


class PlatformPart(Serving):
    """Callers on JSON lines, servers from discovery."""

    name = "platform"

    def __init__(self, common: Common) -> None:
        self.common = common
        config, deadlines, counters = common.config, common.deadlines, common.counters
        limits = common.limits.share_of_fleet(config.settings.gateways)
        module = Controller(config.settings, config.seed)
        self.core = CallControl(module, config.settings, deadlines, limits, counters)
        self.back = PlatformBack(common.reactor, self.core, deadlines, limits, counters)
        self.core.attach(self.back)
        self.front = PlatformFront(self.core, deadlines, limits, counters)
        self.back.inherited_calls.on_release = self.front.inherited_call_released
        self.discovery = DiscoveryWatch(
            reactor=common.reactor,
            address=config.discovery_address,
            update=ServerList(self.core, self.back).update,
            deadlines=deadlines,
            limits=limits,
            counters=counters,
        )
        self.port: Any = None
        self.handover: Handover | None = None
        if config.inherited_fd is not None:
            from bitternbeam.wiring.handover import Handover  # noqa: PLC0415 - only where processes take turns

            self.handover = Handover(common, module)

    def start(self) -> Any:
        """Follow discovery and, once its first word has come, listen."""
        made: Any = Deferred()
        made.addCallback(lambda _: self._listen())
        self.discovery.start(self.common.config.known_bookers, lambda: made.callback(None))
        return made

    def _listen(self) -> Any:
        if self.front.shutting_down:
            return None  # guards against taking connections, also another process's, after SIGTERM
        return self._port().addCallback(self._listening)

    def _port(self) -> Any:
        config, reactor = self.common.config, self.common.reactor
        if self.handover and config.inherited_fd is not None:
            self.handover.take()
            self.handover.keep()
            self.front.recent_ids.shared_ids = self.handover.shared_ids()
            return adopt(reactor, config.inherited_fd, self.front, self._accept_bounds())
        return listen(reactor, config.host, config.port, self.front, self._accept_bounds())

    def _accept_bounds(self) -> AcceptBounds:
        limits = self.common.limits
        most_open = limits.client_connections + limits.client_closing_connections
        return AcceptBounds(most_open, limits.accept_retry_us, self.common.counters)

    def _listening(self, port: Any) -> None:
        self.port = port
        config = self.common.config
        log.info("%s listens on %s:%d", config.name, config.host, port.getHost().port)

    def ready(self) -> bool:
        """Tell whether calls can be taken: listening, and the list of bookers told."""
        return self.port is not None and self.core.has_booker_list

    def listening(self) -> bool:
        """Tell whether callers can connect."""
        return self.port is not None

    def drain(self) -> None:
        """Fail readiness checks, and never begin to listen; requests are still served.

        On an inherited socket the process beside this one accepts what still comes: this one takes no
        more, so that no connection waits in a queue that nobody here will read.
        """
        self.front.shutting_down = True
        if self.handover:
            self.handover.stop()
            if self.port:
                self.port.stopListening()
                self.port = None

    def busy(self) -> bool:
        """Tell whether a request is open, half read, or on its way on a connection just made."""
        young_us = self.common.deadlines.now_us() - self.common.limits.client_new_us
        return super().busy() or any(
            one.has_partial_message or (not one.has_been_used and one.idle_since_us > young_us)
            for one in self.front.connections.values()
        )

    def answer_rest(self) -> None:
        """Refuse what is open and what has arrived unread, also in the listen queue; what stands goes on.

        Danger: a call that stands belongs to no connection and no process. Released here, a planned restart
        cut every call that outlasted it; left alone, its release comes to the process that starts after it.
        """
        self.core.admission_filter = RefuseAll(self.common.counters)
        if self.port:
            close_listener(self.port)
            self.port = None
        reading = list(self.front.open_transports)
        for _ in range(LAST_READS):
            reading = [connection for connection in reading if connection.read_pending()]
        self.core.hang_up_all(leave_standing=True)

    def reload(self) -> None:
        """Read the configuration anew and follow discovery where it says; a bad file changes nothing.

        The other keys hold for the life of the process: a restart takes them.
        """
        try:
            config = read_config()
        except ConfigError as error:
            self.common.counters.add("reloads.bad")
            log.error("SIGHUP: %s; the old configuration stands", error)
            return
        self.common.counters.add("reloads")
        log.info("SIGHUP: discovery is at %s", config.discovery_address)
        self.discovery.move(config.discovery_address)

    def stop(self) -> None:
        """Close everything once what was written has left."""
        self.discovery.stop()
        self.front.close_all()
        self.back.close_all()

    def closed(self) -> bool:
        """Tell whether every caller's connection has closed."""
        return not self.front.open_transports
