"""The operators' Unix socket: a question a line, as JSON, and an answer of one line or of many.

    {"ask":"status"}                 {"is":{...}}
    {"ask":"show","section":"route"} {"item":[...]} ... {"end":true}
    anything that can't be answered  {"error":"..."}

Long answers are written bit by bit, as fast as they are read: nobody's curiosity holds up a call.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Callable, Iterator
from itertools import islice
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from bitternbeam.limits import Limits

Answer = Callable[[dict[str, Any]], Any]
ITEMS = 64  # written in one turn
ENCODER = msgspec.json.Encoder()


class AskError(Exception):
    """A question that can't be answered; the text says why."""


@implementer(IPullProducer)
class Listing:
    """An answer of many lines, written whenever the asker has read what came before."""

    def __init__(self, connection: OperatorConnection, items: Iterator[Any]) -> None:
        self.connection = connection
        self.items = items
        connection.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write some more."""
        try:
            some = list(islice(self.items, ITEMS))
        except Exception as error:  # whatever it is, it must not end the daemon
            self.connection.say({"error": str(error)})
            some = []
        for item in some:
            self.connection.say({"item": item})
        if len(some) < ITEMS:
            self.connection.transport.unregisterProducer()
            self.connection.say({"end": True})

    def stopProducing(self) -> None:
        """Write no more: the asker has gone."""


class OperatorConnection(LineReceiver):
    """One operator's connection."""

    delimiter = b"\n"
    transport: Any

    def __init__(self, socket: OperatorSocket) -> None:
        self.socket = socket
        self.MAX_LENGTH = socket.limits.operator_line_bytes  # LineReceiver's name

    def connectionMade(self) -> None:
        """Turn one away who is one too many."""
        self.socket.connections.add(self)
        if len(self.socket.connections) > self.socket.limits.operator_connections:
            self.say({"error": "too many connections"})
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Forget it."""
        self.socket.connections.discard(self)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Read no further."""
        self.transport.abortConnection()

    def say(self, message: dict[str, Any]) -> None:
        """Write a line."""
        self.transport.write(ENCODER.encode(message) + b"\n")

    def lineReceived(self, line: bytes) -> None:
        """Answer a question."""
        try:
            question = msgspec.json.decode(line, type=dict[str, Any])
            answer = self.socket.answers.get(str(question.get("ask")))
            if answer is None:
                raise AskError(f"{question.get('ask')!r} is not a question; ask one of {self.socket.known()}")
            self.answered(answer(question))
        except (msgspec.MsgspecError, AskError, ValueError, KeyError, RecursionError) as error:
            self.say({"error": str(error)})

    def answered(self, answer: Any) -> None:
        """Write an answer: a value, one that is still to come, or many."""
        if isinstance(answer, Deferred):
            answer.addCallbacks(self.answered, lambda failure: self.say({"error": failure.getErrorMessage()}))
        elif isinstance(answer, Iterator):
            Listing(self, answer)
        else:
            self.say({"is": answer})


class OperatorSocket:
    """Listens on a Unix socket that its owner alone may use."""

    def __init__(self, reactor: Any, path: Path, answers: dict[str, Answer], limits: Limits) -> None:
        self.reactor = reactor
        self.path = path
        self.answers = answers
        self.limits = limits
        self.connections: set[OperatorConnection] = set()
        self.port: Any = None

    def known(self) -> str:
        """Return the questions that can be answered."""
        return ", ".join(sorted(self.answers))

    def start(self) -> None:
        """Listen; raises OSError.

        Danger: between a socket's making and its chmod anybody could connect, so the umask sets its mode.
        """
        if self.path.exists() and stat.S_ISSOCK(self.path.stat().st_mode):
            self.path.unlink()  # a crash left it: the lock of the store tells two daemons apart, not this
        factory: Any = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: OperatorConnection(self)
        mask = os.umask(0o177)
        try:
            self.port = self.reactor.listenUNIX(str(self.path), factory, mode=0o600)
        finally:
            os.umask(mask)

    def stop(self) -> None:
        """Listen no more."""
        if self.port:
            self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.loseConnection()
