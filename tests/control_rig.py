"""A controller's end of the control stream, and example services on loopback that it follows."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.negotiation import Bounds, Negotiation
from bitternbeam.configuration.pinning import Pinning
from bitternbeam.configuration.rollout import Rollout
from bitternbeam.configuration.schema import Route
from bitternbeam.configuration.versions import Versions
from bitternbeam.limits import MS, SECOND, Limits
from bitternbeam.net.control.client import ControlClient
from bitternbeam.net.control.connection import ControlAddress
from bitternbeam.net.control.tls import client_options
from standins.control_service import ControlService
from tests.documents import FIRST, TERMS, entries, listed, snapshot
from tests.loop import parts, pause, reactor, until

LIMITS = replace(
    Limits(), control_retry_us=20 * MS, control_max_backoff_us=100 * MS, control_connect_us=1 * SECOND,
    control_silent_us=3 * SECOND,
)  # fmt: skip
ONE = entries(FIRST)
MANY = ONE | {("route", f"r{n}"): Route(("far",), prefix=f"7{n}") for n in range(40)}


class Rig:
    """A controller's end of the stream and any number of services."""

    def __init__(self, services: int = 1, limits: Limits = LIMITS, tls: Any = None) -> None:
        self.deadlines, self.counters = parts()
        self.limits = limits
        self.pinning = Pinning(snapshot(), TERMS)
        self.versions = Versions.begin(self.pinning, Negotiation(Bounds(again_us=50 * MS)), "file")
        self.known: Callable[[str], bool] = listed
        self.keeper = Rollout(
            versions=self.versions,
            clock=self.deadlines,
            soon=lambda act: reactor.callLater(0, act),
            listed=self.listed,
            counters=self.counters,
        )
        self.services = [ControlService(reactor, self.deadlines, limits) for _ in range(services)]
        for service in self.services:
            service.chunk = 400
            service.listen("127.0.0.1", 0, tls[0] if tls else None)
        until(lambda: all(one.port for one in self.services))
        self.client = ControlClient(
            reactor=reactor,
            node="n1",
            addresses=[ControlAddress("127.0.0.1", one.port.getHost().port) for one in self.services],
            keeper=self.keeper,
            deadlines=self.deadlines,
            limits=limits,
            counters=self.counters,
            random=Random(1),
            tls=(lambda: client_options(tls[1])) if tls else None,
        )

    def listed(self, name: str) -> bool:
        return self.known(name)

    @property
    def service(self) -> ControlService:
        return self.services[0]

    def start(self, *first: dict[Any, Any], **more: Any) -> None:
        self.service.publish(first[0] if first else ONE, **more)
        self.client.start()

    def runs(self, number: Number) -> None:
        until(lambda: self.pinning.snapshot.number == number)

    def heard(self, kind: type[Any]) -> list[Any]:
        return [one for service in self.services for one in service.heard if isinstance(one, kind)]

    def end(self) -> None:
        self.client.stop()
        for service in self.services:
            service.stop()
        pause(0.03)


@pytest.fixture
def rigs() -> Iterator[Callable[..., Rig]]:
    """Give what makes rigs; each that was made is ended."""
    made: list[Rig] = []

    def make(*args: Any, **more: Any) -> Rig:
        made.append(Rig(*args, **more))
        return made[-1]

    yield make
    for rig in made:
        rig.end()
