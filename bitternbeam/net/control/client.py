"""The controller's end of the control stream: one connection at a time, to the first service that answers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, wrapClientTLS
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.messages import (
    PROTOCOL,
    Ack,
    Chunk,
    Hello,
    Nack,
    Offer,
    Place,
    Problem,
    Status,
    Want,
)
from bitternbeam.configuration.rollout import Result, Rollout
from bitternbeam.configuration.transfer import Transfer, TransferError
from bitternbeam.configuration.versions import Draft, content_of
from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.control.connection import ControlAddress, ControlConnection
from bitternbeam.tables.deadlines import Deadline, Deadlines

log = logging.getLogger(__name__)

TOLD_FAULTS = 20  # of a version that is turned down


class ControlClient:
    """Follows the control services: connects, answers offers, hands whole versions to the keeper."""

    def __init__(
        self,
        *,
        reactor: Any,
        node: str,
        addresses: list[ControlAddress],
        keeper: Rollout,
        deadlines: Deadlines,
        limits: Limits,
        counters: Counters,
        random: Random,
        tls: Callable[[], Any] | None = None,
    ) -> None:
        self.reactor = reactor
        self.node = node
        self.addresses = addresses
        self.keeper = keeper
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.random = random
        self.tls = tls
        self.options = tls() if tls else None
        self.place = 0  # of the address that is tried
        self.failures = 0
        self.connection: ControlConnection | None = None
        self.next: ControlConnection | None = None  # takes its place once it stands
        self.again: Deadline | None = None
        self.stopped = False
        keeper.reports.append(self.report)

    @property
    def transfer(self) -> Transfer | None:
        """What is held of a payload."""
        return self.keeper.versions.negotiation.transfer

    def start(self) -> None:
        """Connect."""
        self._connect()

    def stop(self) -> None:
        """Follow it no more."""
        self.stopped = True
        if self.again:
            self.again.cancel()
        if self.connection:
            self.connection.transport.loseConnection()

    def reload(self) -> None:
        """Read keys and certificates anew; the old connection is kept until the new one stands.

        Raises whatever the reading raises; the old ones are used on.
        """
        if self.tls is None:
            return
        self.options = self.tls()
        self.counters.add("control.keys_reloaded")
        self._connect()

    def status(self) -> dict[str, Any]:
        """Return what `bitternbeam status` shows."""
        return {"service": str(self.connection.where) if self.connection else None, "failures": self.failures}

    def _connect(self) -> None:
        if self.stopped:
            return
        where = self.addresses[self.place % len(self.addresses)]
        point: Any = TCP4ClientEndpoint(
            self.reactor, where.host, where.port, timeout=self.limits.control_connect_us / 1e6
        )
        if self.options is not None:
            point = wrapClientTLS(self.options, point)
        factory: Any = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: ControlConnection(self, where)
        point.connect(factory).addErrback(self._no_connection)

    def _no_connection(self, failure: Failure) -> None:
        self.counters.add("control.no_connection")
        log.info(
            "control %s: %s", self.addresses[self.place % len(self.addresses)], failure.getErrorMessage()
        )
        self._later()

    def _later(self) -> None:
        """Try the next address, after a while that grows and is not the same for every controller."""
        if self.stopped or self.connection is not None:
            return
        self.place += 1
        self.failures += 1
        rounds = (self.failures - 1) // len(self.addresses)
        most_us = min(self.limits.control_retry_us << min(rounds, 16), self.limits.control_max_backoff_us)
        if self.again:
            self.again.cancel()
        self.again = self.deadlines.after(int(most_us * self.random.uniform(0.5, 1.0)), self._connect)

    def made(self, connection: ControlConnection) -> None:
        """Greet a service; under TLS nothing is sent before it has proved who it is."""
        self.counters.add("control.connections")
        if self.connection is not None:
            self.next = connection  # it takes over with the first message that it sends
        else:
            self.connection = connection
        versions = self.keeper.versions
        held = self.transfer
        connection.say(
            Hello(
                protocol=PROTOCOL,
                node=self.node,
                running=versions.running.number,
                content=content_of(versions.running),
                stage=versions.version.stage.value,
                reason=versions.version.reason,
                partial=Place(held.offer.digest, held.next) if held else None,
            )
        )

    def lost(self, connection: ControlConnection, why: str) -> None:
        """Connect anew, unless another connection stands."""
        if connection is self.next:
            self.next = None
            log.warning("control %s: the new connection did not stand: %s", connection.where, why)
        elif connection is self.connection:
            self.connection = None
            self.counters.add("control.lost")
            log.info("control %s: lost: %s", connection.where, why)
            if self.next is not None:
                self.connection, self.next = self.next, None
            else:
                self._later()

    def stands(self, connection: ControlConnection) -> None:
        """Take a connection that brought a message for one that stands."""
        self.failures = 0
        if connection is self.next:
            old, self.connection, self.next = self.connection, connection, None
            if old:
                old.open = False
                old.transport.loseConnection()

    def offered(self, connection: ControlConnection, offer: Offer) -> None:
        """Answer an offer."""
        self.stands(connection)
        now_us = self.deadlines.now_us()
        answer = self.keeper.versions.negotiation.answer(now_us, offer)
        self.counters.add(f"control.offers.{type(answer).__name__.lower()}")
        if not isinstance(answer, Want):
            if isinstance(answer, Nack):
                log.warning("control %s: version %s: %s", connection.where, offer.number, answer.reason)
            connection.say(answer)
            return
        connection.want(answer, offer)
        if self.transfer is not None and self.transfer.done:
            self._whole(connection)

    def chunk(self, connection: ControlConnection, header: Chunk, data: bytes) -> None:
        """Take a chunk; a bad one costs the connection, and what came before it is kept."""
        transfer = self.transfer
        if transfer is None:
            return
        try:
            transfer.take(header, data)
        except TransferError as error:
            self.counters.add("control.bad_chunks")
            if transfer.done:
                self.keeper.versions.negotiation.drop()
            connection.drop(str(error))
            return
        self.counters.add("control.chunks")
        if transfer.done:
            self._whole(connection)

    def _whole(self, connection: ControlConnection) -> None:
        """Hand a whole payload to the keeper."""
        transfer = self.transfer
        assert transfer is not None
        self.keeper.versions.negotiation.drop()
        connection.done_with_offer()
        offer = transfer.offer
        version = Version(offer.number, "stream")
        version.step(Stage.RECEIVED, self.deadlines.now_us())

        def done(result: Result) -> None:
            self._answer(connection, offer, result)

        if transfer.faults:
            first = transfer.faults[0]
            versions = self.keeper.versions
            versions.end(version, Stage.TURNED_DOWN, self.deadlines.now_us(), first.what, first.key)
            done(Result(offer.number, tuple(transfer.faults)))
            return
        self.keeper.submit(
            Draft(version, transfer.changes, offer.base is None, offer.content, offer.rollback), done
        )

    def _answer(self, connection: ControlConnection, offer: Offer, result: Result) -> None:
        """Acknowledge a version that is held, or turn it down with everything that is wrong with it."""
        if result.held:
            connection.say(Ack(offer.nonce, offer.number, result.durable))
            return
        first = result.faults[0]
        negotiation = self.keeper.versions.negotiation
        wait_us = negotiation.turned_down(self.deadlines.now_us(), offer.content, first.what, first.key)
        connection.say(
            Nack(
                nonce=offer.nonce,
                number=offer.number,
                running=negotiation.running,
                reason=first.what,
                key=first.key,
                faults=tuple(Problem(one.key, one.what) for one in result.faults[:TOLD_FAULTS]),
                retry_ms=wait_us // 1000,
            )
        )

    def report(self, number: Number, stage: Stage, reason: str) -> None:
        """Tell what became of a version since it was acknowledged."""
        if self.connection:
            self.connection.say(Status(number, stage.value, reason))
