"""A listening port that holds no more connections than it may and never spins where descriptors run out.

Twisted's own port, where accept() fails for want of a descriptor, gives up its reserved one to accept
whatever waits and close it: requests that were written are lost. Without the reserve it leaves the port
readable, and the reactor turns without a pause. This one stops reading instead. What waits stays in the
kernel's queue until a descriptor is free.
"""

from __future__ import annotations

import errno
import socket
from dataclasses import dataclass
from typing import Any

from twisted.internet import tcp
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from bitternbeam.counters import Counters

BACKLOG = 512  # connections that the kernel accepts ahead of us
AT_ONCE = 64  # accepted in one turn of the reactor, so that connections that are open are served between
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(frozen=True, slots=True)
class AcceptBounds:
    """How many connections of a port may be open, being closed ones included, and the pause without any."""

    most_open: int
    retry_us: int
    counters: Counters


class AcceptedConnection(tcp.Server):
    """An accepted connection that gives its descriptor back to its port."""

    def connectionLost(self, reason: Failure) -> None:
        """Tell the port once the descriptor is closed."""
        held = hasattr(self, "socket")  # Twisted may call this twice
        super().connectionLost(reason)
        if held:
            port: Any = self.server
            port.given_back()


class AcceptingPort(tcp.Port):
    """A listening TCP port within bounds."""

    transport = AcceptedConnection
    bounds: AcceptBounds
    held = 0  # connections accepted and not closed
    paused = False  # the queue waits for a descriptor
    retry: Any = None  # the reactor's timer that ends a pause

    def doRead(self) -> None:
        """Accept what waits, as far as the bounds let."""
        for _ in range(AT_ONCE):
            if self.held >= self.bounds.most_open:
                self._pause("full")
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; returns False if there is none to be had for now."""
        try:
            accepted, address = self.socket.accept()
        except OSError as error:
            if error.errno in EXHAUSTED:
                self._pause("exhausted")
            # What else may come (EAGAIN, ECONNABORTED, EPERM) leaves the port readable only if more waits.
            return False
        try:
            self._serve(accepted, address)
        except Exception:  # one connection's fault must not close the port
            self._logger.failure("a connection could not be taken")
        return True

    def _serve(self, accepted: socket.socket, address: Any) -> None:
        factory: Any = self.factory
        protocol: Any = factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            accepted.close()
            return
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        self.held += 1
        protocol.makeConnection(transport)

    def given_back(self) -> None:
        """Take note that a connection is closed, and go on if it was waited for."""
        self.held -= 1
        self._resume()

    def _pause(self, why: str) -> None:
        self.bounds.counters.add(f"accept.paused.{why}")
        self.paused = True
        self.stopReading()
        if self.retry is None:
            # A descriptor may come free elsewhere, of which this port hears nothing.
            self.retry = self.reactor.callLater(self.bounds.retry_us / 1e6, self._retry)

    def _retry(self) -> None:
        self.retry = None
        self._resume()

    def _resume(self) -> None:
        if self.paused and self.connected and not self.disconnecting:
            self.paused = False
            self.startReading()

    def connectionLost(self, reason: Failure) -> None:
        """Close the port; no pause outlives it."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        super().connectionLost(reason)


def open_port(reactor: Any, host: str, port: int, factory: Factory, bounds: AcceptBounds) -> AcceptingPort:
    """Listen on one address within bounds; raises CannotListenError."""
    untyped: Any = factory
    opened = AcceptingPort(port, untyped, BACKLOG, host, reactor)
    opened.bounds = bounds
    opened.startListening()
    return opened


def adopt_port(reactor: Any, fd: int, factory: Factory, bounds: AcceptBounds) -> AcceptingPort:
    """Accept within bounds on a copy of a listening IPv4 socket, which must not block."""
    adopted: AcceptingPort = AcceptingPort._fromListeningDescriptor(reactor, fd, socket.AF_INET, factory)
    adopted.bounds = bounds
    adopted.startListening()
    return adopted
