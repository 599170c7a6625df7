"""Probes sent for the fleet: a line `PROBE <booker> <token>` a connection, answered `OK` or `NO <token>`."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from bitternbeam.tables.deadlines import Deadlines


class _Probe(LineReceiver):
    delimiter = b"\n"

    def __init__(self, line: str, answered: Deferred[str]) -> None:
        self.line, self.answered = line, answered

    def connectionMade(self) -> None:
        self.sendLine(self.line.encode())

    def lineReceived(self, line: bytes) -> None:
        if not self.answered.called:
            self.answered.callback(line.decode(errors="replace"))
        transport: Any = self.transport
        transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionError("closed"))) -> None:  # noqa: B008
        if not self.answered.called:
            self.answered.errback(reason)


class _Factory(ClientFactory):
    def __init__(self, line: str, answered: Deferred[str]) -> None:
        self.line, self.answered = line, answered

    def buildProtocol(self, _address: Any) -> _Probe:
        return _Probe(self.line, self.answered)

    def clientConnectionFailed(self, _connector: Any, reason: Failure) -> None:
        if not self.answered.called:
            self.answered.errback(reason)


def probe(
    reactor: Any, deadlines: Deadlines, address: tuple[str, int], line: str, within_us: int
) -> Deferred[str]:
    """Send one probe line; fires with the answer line, or fails (refused, cut, or past `within_us`)."""
    answered: Deferred[str] = Deferred()
    connector = reactor.connectTCP(*address, _Factory(line, answered), timeout=within_us / 1e6)

    # A receiver that never answers must not hold the probe: it is given up at its deadline.
    def give_up() -> None:
        if not answered.called:
            connector.disconnect()

    bound = deadlines.after(within_us, give_up)

    def over(result: Any) -> Any:
        bound.cancel()
        return result

    return answered.addBoth(over)
