"""TCP connections, made and taken.

Twisted's endpoints do the same, but their module alone takes 0.8 MB and a twelfth of the processor time of
a start, and they keep a wrapper between each connection and its protocol.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, execute
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternbeam.net.accepting import BACKLOG, AcceptBounds, adopt_port, open_port


class _Opening(Protocol):
    """Stands on a connection until it is up, then gives way to the protocol that it was made for."""

    transport: Any

    def __init__(self, protocol: Any, made: Deferred[Any]) -> None:
        self.protocol = protocol
        self.made = made

    def connectionMade(self) -> None:
        """Hand the connection over, then tell who asked for it."""
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)
        self.made.callback(self.protocol)


class _Connecting(ClientFactory):
    """One attempt to connect."""

    noisy = False

    def __init__(self, build: Callable[[], Protocol]) -> None:
        self.build = build
        self.made: Deferred[Any] = Deferred(self._cancelled)
        self.connector: Any = None

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Make the protocol now that there is a connection."""
        return _Opening(self.build(), self.made)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Tell that there will be none."""
        self.made.errback(reason)

    def _cancelled(self, _made: Deferred[Any]) -> None:
        self.connector.stopConnecting()  # which fails it, with UserError


def connect(
    reactor: Any, host: str, port: int, timeout_us: int, build: Callable[[], Protocol]
) -> Deferred[Any]:
    """Connect; fires with what build made, or fails when the time is up, or when it is cancelled."""
    attempt = _Connecting(build)
    attempt.connector = reactor.connectTCP(host, port, attempt, timeout=timeout_us / 1e6)
    return attempt.made


def listen(
    reactor: Any, host: str, port: int, factory: Factory, bounds: AcceptBounds | None = None
) -> Deferred[Any]:
    """Listen on one address, within bounds if there are any; fires with the listening port."""
    if bounds is not None:
        return execute(open_port, reactor, host, port, factory, bounds)
    made: Deferred[Any] = execute(reactor.listenTCP, port, factory, backlog=BACKLOG, interface=host)
    return made


def close_listener(port: Any) -> None:
    """Accept what the kernel has accepted already, then stop listening; both before this returns.

    Danger: a connection that waits in the listen queue when the socket closes is reset, with whatever its
    peer has written. Twisted closes one turn of the reactor after `stopListening`, and accepts no more in
    between. Not for a socket that another process accepts on as well: its queue is not this one's to empty.
    """
    queue = select.poll()
    queue.register(port.fileno(), select.POLLIN)
    for _ in range(BACKLOG):  # bounds it, should connections be made as fast as they are accepted
        if not queue.poll(0):
            break
        port.doRead()
    port.connectionLost(connectionDone)


def listening_socket_problem(fd: int) -> str:
    """Return why descriptor fd is not a listening IPv4 TCP socket, or '' if it is one.

    The descriptor is looked at, not taken: it stays open and unchanged.
    """
    try:
        probe = socket.socket(fileno=fd)
    except OSError as error:
        return f"descriptor {fd}: {error.strerror or error}"
    try:
        if probe.family != socket.AF_INET or probe.type != socket.SOCK_STREAM:
            return f"descriptor {fd} is not an IPv4 TCP socket"
        if not probe.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return f"descriptor {fd} is a socket that does not listen"
        return ""
    finally:
        probe.detach()  # guards against closing what the platform holds for every process


def adopt(reactor: Any, fd: int, factory: Factory, bounds: AcceptBounds) -> Deferred[Any]:
    """Accept on a listening socket that was inherited; fires with the port, which holds a copy of fd."""
    made: Deferred[Any] = Deferred()
    try:
        # Danger: the platform may hand the socket over blocking. Twisted accepts until there is nothing
        # left, and where another process took the connection first, accept() would stall the reactor.
        os.set_blocking(fd, False)
        port = adopt_port(reactor, fd, factory, bounds)
    except Exception as error:  # any reason not to serve ends the daemon, with its text
        made.errback(error)
    else:
        made.callback(port)
    return made
