"""An example control service: serves versions of a TOML document to controllers (docs/control-protocol.md).

    python -m standins.control_service serve base.toml --listen 127.0.0.1:7400 --socket control.sock
    python -m standins.control_service push next.toml --socket control.sock

Each file is one version, whole; a controller that holds the one before gets the delta. The tests give
it faults to commit.
"""

from __future__ import annotations

import json
import socket as sockets
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver
from twisted.protocols.tls import TLSMemoryBIOFactory

from bitternbeam.configuration.delta import Changes, Number, difference
from bitternbeam.configuration.faults import DocumentError
from bitternbeam.configuration.lines import placed
from bitternbeam.configuration.messages import Status
from bitternbeam.configuration.reading import MODULUS, read_tables, read_toml, weigh
from bitternbeam.configuration.schema import AnyEntry, Key
from bitternbeam.limits import Limits
from bitternbeam.net.control.tls import TlsFiles, server_options
from bitternbeam.tables.deadlines import Deadlines
from standins.control_desk import Desk, Edition, Faults, payload_of

CHUNK = 8 * 1024


class ControlService:
    """The service: its editions, its controllers and what they said."""

    def __init__(self, reactor: Any, deadlines: Deadlines, limits: Limits, *, epoch: int = 1) -> None:
        self.reactor = reactor
        self.deadlines = deadlines
        self.limits = limits
        self.epoch = epoch
        self.chunk = CHUNK
        self.editions: list[Edition] = []
        self.desks: list[Desk] = []
        self.heard: list[Any] = []
        self.sent: list[int] = []
        self.faults = Faults()
        self.told: Callable[[Status], None] = lambda _status: None
        self.port: Any = None

    @property
    def newest(self) -> Edition:
        """The edition that is offered."""
        return self.editions[-1]

    def listen(self, host: str, port: int, tls: TlsFiles | None = None) -> Any:
        """Listen; fires once it does."""
        factory: Any = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: Desk(self)
        if tls:
            options: Any = server_options(tls)
            factory = TLSMemoryBIOFactory(options, False, factory)
        point: Any = TCP4ServerEndpoint(self.reactor, port, interface=host)

        def listening(made: Any) -> Any:
            self.port = made
            return made

        return point.listen(factory).addCallback(listening)

    def stop(self) -> None:
        """Listen no more and drop every controller."""
        if self.port:
            self.port.stopListening()
        for desk in list(self.desks):
            desk.drop("the service stops")

    def publish(self, entries: dict[Key, AnyEntry], number: Number | None = None, **more: Any) -> Edition:
        """Make a new edition and offer it to every controller."""
        if number is None:
            number = Number(self.epoch, self.newest.number.number + 1 if self.editions else 1)
        content = sum(weigh(key, entry) for key, entry in entries.items()) % MODULUS
        edition = Edition(number, entries, f"{content:064x}", **more)
        if self.editions and edition.raw is None:
            changes: Changes = {}
            for _ in difference(self.newest.entries, dict(entries), changes):
                pass
            edition.delta, edition.base = payload_of(changes), self.newest.number
            if not changes:
                edition.base = None
        self.editions.append(edition)
        for desk in self.desks:
            desk.offer()
        return edition


class PushLine(LineReceiver):
    """Takes a file's path a line on the Unix socket."""

    delimiter = b"\n"

    def __init__(self, service: ControlService) -> None:
        self.service = service

    def lineReceived(self, line: bytes) -> None:
        """Publish a file."""
        transport: Any = self.transport
        try:
            edition = self.service.publish(read_document(Path(json.loads(line))))
            transport.write(f"version {edition.number} is offered to {len(self.service.desks)}\n".encode())
        except DocumentError as error:
            transport.write("".join(f"{fault}\n" for fault in error.faults).encode())
        transport.loseConnection()


def read_document(path: Path) -> dict[Key, AnyEntry]:
    """Read a document; raises DocumentError with file and lines."""
    text = path.read_text()
    try:
        return read_tables(read_toml(text))
    except DocumentError as error:
        raise DocumentError(placed(error.faults, text, str(path))) from None


SOCKET = click.option("--socket", "path", default="control.sock", show_default=True, help="Unix socket.")


@click.group()
def cli() -> None:
    """Serve configuration versions to bitternbeam controllers."""


@cli.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@click.option("--listen", default="127.0.0.1:7400", show_default=True, help="host:port")
@click.option("--epoch", default=1, show_default=True, help="Higher than any that controllers have seen.")
@click.option(
    "--tls", nargs=3, type=click.Path(path_type=Path), help="Certificate, key and authority in PEM."
)
@SOCKET
def serve(file: Path, listen: str, epoch: int, tls: tuple[Path, Path, Path] | None, path: str) -> None:
    """Serve a document as the first version, and what is pushed after it."""
    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    from bitternbeam.net.clock import ReactorClock  # noqa: PLC0415 - with the reactor

    reactor: Any = installed_reactor
    service = ControlService(reactor, Deadlines(ReactorClock(reactor)), Limits(), epoch=epoch)
    try:
        service.publish(read_document(file))
    except DocumentError as error:
        sys.exit("\n".join(map(str, error.faults)))
    service.told = lambda status: click.echo(f"{status.number} {status.stage} {status.reason}".rstrip())
    host, _, port = listen.rpartition(":")
    service.listen(host, int(port), TlsFiles(*tls) if tls else None)
    factory: Any = Factory()
    factory.buildProtocol = lambda _address: PushLine(service)
    reactor.listenUNIX(path, factory, mode=0o600)
    reactor.run()


@cli.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@SOCKET
def push(file: Path, path: str) -> None:
    """Publish a document as the next version."""
    with sockets.socket(sockets.AF_UNIX) as wire:
        wire.connect(path)
        wire.sendall(json.dumps(str(file.resolve())).encode() + b"\n")
        with wire.makefile() as said:
            click.echo(said.read().rstrip())


if __name__ == "__main__":
    cli()
