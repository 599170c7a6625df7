"""The fault relay: TCP and UDP between any two parties, with delay, loss, cuts in one direction and resets.

    python -m standins.relay --ready-file port.txt

Every link is one pair of parties. The lab sends a JSON object a line to the control port and gets one back:
`{"do": "link", "from": "ctl-1", "to": "engine", "at": "127.0.0.1:8500", "udp": false}` answers
`{"port": N}`, where the first party connects. `{"do": "fault", "from": PARTY, "to": PARTY, ...}` sets what
the matching links do from then on (`*` matches all): `delay_ms`, `drop` (share of datagrams, seeded), `cut`
one of `none`, `there` (nothing of the first party arrives), `back` (nothing returns) or `both`. A cut holds
TCP bytes back, as a cut network does, and lets them go when it heals; `{"do": "reset", ...}` resets what
stands on the links.
"""

from __future__ import annotations

import json
import sys
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from standins.serving import serve

CUTS = ("none", "there", "back", "both")
HELD_BYTES = 4 << 20  # of one direction while it is cut; past that the connection is reset


@dataclass
class Link:
    """One pair of parties and what goes wrong between them."""

    source: str
    target: str
    host: str
    port: int
    delay_s: float = 0.0
    drop: float = 0.0
    cut: str = "none"
    pairs: set[Pair] = field(default_factory=set)

    def barred(self, there: bool) -> bool:
        """Whether nothing passes in one direction now."""
        return self.cut in ("both", "there" if there else "back")


class Side(Protocol):
    """One end of a relayed connection."""

    def __init__(self, pair: Pair, there: bool) -> None:
        self.pair, self.there = pair, there

    def connectionMade(self) -> None:
        """Join the pair."""
        self.pair.joined(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        self.pair.passes(self.there, data)

    def connectionLost(self, reason: Failure = Failure(ConnectionError())) -> None:  # noqa: B008
        """Tell the other end."""
        self.pair.lost(self)


class Pair:
    """Two connections joined by a link."""

    def __init__(self, reactor: Any, link: Link) -> None:
        self.reactor, self.link = reactor, link
        self.ends: dict[bool, Side] = {}  # by whether its bytes go there
        self.waiting: dict[bool, deque[bytes | None]] = {True: deque(), False: deque()}
        self.held = 0
        link.pairs.add(self)

    def joined(self, side: Side) -> None:
        """Take one end; the first one dials the other."""
        self.ends[side.there] = side
        if side.there and not self.link.barred(True):
            self.dial()
        self.flow()

    def dial(self) -> None:
        """Connect to the second party."""
        pair = self

        class Dialled(ClientFactory):
            noisy = False

            def buildProtocol(self, _address: Any) -> Side:
                return Side(pair, False)

            def clientConnectionFailed(self, _connector: Any, _reason: Failure) -> None:
                pair.reset()

        self.reactor.connectTCP(self.link.host, self.link.port, Dialled(), timeout=5)

    def passes(self, there: bool, data: bytes | None) -> None:
        """Hold bytes (None: the end) for the link's delay, then let them flow."""
        self.held += len(data or b"")
        if self.held > HELD_BYTES:
            self.reset()
            return
        self.reactor.callLater(self.link.delay_s, self._arrived, there, data)

    def _arrived(self, there: bool, data: bytes | None) -> None:
        self.waiting[there].append(data)
        self.flow()

    def flow(self) -> None:
        """Let go of what may pass now."""
        for there, queue in self.waiting.items():
            target = self.ends.get(not there)
            while queue and target is not None and not self.link.barred(there):
                data = queue.popleft()
                transport: Any = target.transport
                if data is None:
                    transport.loseConnection()
                else:
                    self.held -= len(data)
                    transport.write(data)

    def healed(self) -> None:
        """Go on after a cut."""
        if True in self.ends and False not in self.ends and not self.link.barred(True):
            self.dial()
        self.flow()

    def lost(self, side: Side) -> None:
        """Pass an end on, unless the link is cut: then nobody hears of it."""
        if self.ends.get(side.there) is side:
            self.passes(side.there, None)
        if len(self.ends) < 2:
            self.link.pairs.discard(self)

    def reset(self) -> None:
        """Reset both connections."""
        self.link.pairs.discard(self)
        for side in self.ends.values():
            transport: Any = side.transport
            transport.abortConnection()


class Entrance(Factory):
    """Where the first party of a TCP link connects."""

    noisy = False

    def __init__(self, reactor: Any, link: Link) -> None:
        self.reactor, self.link = reactor, link

    def buildProtocol(self, _address: Any) -> Side:
        """Relay one connection."""
        return Side(Pair(self.reactor, self.link), True)


class Datagrams(DatagramProtocol):
    """A UDP link: each of the first party's addresses gets a socket of its own towards the second."""

    def __init__(self, relay: Relay, link: Link) -> None:
        self.relay, self.link = relay, link
        self.back: dict[Any, Any] = {}

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Pass a datagram there, unless it is lost."""
        if addr not in self.back:
            self.back[addr] = self.relay.reactor.listenUDP(0, Return(self, addr), interface="127.0.0.1")
        port = self.back[addr]
        self.later(True, lambda: port.write(datagram, (self.link.host, self.link.port)))

    def later(self, there: bool, send: Any) -> None:
        """Send after the delay; a cut or the link's loss takes it."""
        if not self.link.barred(there) and self.relay.random.random() >= self.link.drop:
            self.relay.reactor.callLater(self.link.delay_s, send)


class Return(DatagramProtocol):
    """The way back of one address."""

    def __init__(self, link: Datagrams, addr: Any) -> None:
        self.link, self.addr = link, addr

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Pass a datagram back."""
        transport: Any = self.link.transport
        self.link.later(False, lambda: transport.write(datagram, self.addr))


class Relay:
    """All links."""

    def __init__(self, reactor: Any, seed: int = 1) -> None:
        self.reactor = reactor
        self.random = Random(seed)
        self.links: list[Link] = []
        self.ports: list[Any] = []

    def do(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Carry one order out; raises KeyError, TypeError or ValueError where it is not one."""
        source, target = str(asked["from"]), str(asked["to"])
        if asked["do"] == "link":
            host, _, port = str(asked["at"]).rpartition(":")
            if not host.startswith("127."):
                raise ValueError(f"{asked['at']!r} is not on loopback")
            link = Link(source, target, host, int(port))
            if asked.get("udp"):
                made = self.reactor.listenUDP(0, Datagrams(self, link), interface="127.0.0.1")
            else:
                made = self.reactor.listenTCP(0, Entrance(self.reactor, link), interface="127.0.0.1")
            self.links.append(link)
            self.ports.append(made)
            return {"port": made.getHost().port}
        found = [one for one in self.links if source in ("*", one.source) and target in ("*", one.target)]
        if asked["do"] == "reset":
            for pair in [pair for link in found for pair in link.pairs]:
                pair.reset()
        elif asked["do"] == "fault":
            cut = str(asked.get("cut", "none"))
            if cut not in CUTS:
                raise ValueError(f"cut {cut!r}: known are {', '.join(CUTS)}")
            for link in found:
                link.cut, link.drop = cut, float(asked.get("drop", 0))
                link.delay_s = float(asked.get("delay_ms", 0)) / 1000
                for pair in list(link.pairs):
                    pair.healed()
        else:
            raise ValueError(f"{asked['do']!r} is no order")
        return {"links": len(found)}


class Orders(LineReceiver):
    """The control port."""

    delimiter = b"\n"

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def lineReceived(self, line: bytes) -> None:
        """Answer one order."""
        try:
            answer = self.relay.do(json.loads(line))
        except (KeyError, TypeError, ValueError) as error:
            answer = {"error": f"{error!r}"}
        self.sendLine(json.dumps(answer).encode())


def main(argv: list[str] | None = None) -> int:
    """Serve the control port on loopback; writes it to --ready-file once it listens."""
    import argparse  # noqa: PLC0415

    from twisted.internet import reactor as installed_reactor  # noqa: PLC0415 - installed when first named

    parser = argparse.ArgumentParser(prog="standins.relay", description=__doc__.splitlines()[0])
    parser.add_argument("--ready-file", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args(argv)
    reactor: Any = installed_reactor
    relay = Relay(reactor, told.seed)
    return serve(reactor, told.ready_file, lambda: Orders(relay))


if __name__ == "__main__":
    sys.exit(main())
