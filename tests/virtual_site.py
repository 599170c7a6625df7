"""The core and the platform's pools in virtual time, between recorded clients and virtual servers."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from bitternbeam.core.calls import Offer
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from bitternbeam.net.platform import connection_pool
from bitternbeam.net.platform.back import BookerEndpoint, PlatformBack
from tests.manual_clock import ManualClock
from tests.virtual_servers import Address, VirtualNetwork, VirtualProcess
from tests.world import MS, SECOND, SETTINGS

OLD_ADDRESS: Address = ("127.0.0.1", 7001)
NEW_ADDRESS: Address = ("127.0.0.1", 7002)
CONNECTIONS = 4  # open to s0 at the start, so that calls that are set up at once get one each
OLD, NEW = "s0", "s9"
LIMITS = Limits()


class FixedRoute:
    """A decision module that sends every call to one server, once."""

    def __init__(self) -> None:
        self.server = OLD

    def handle(self, _now_us: int, event: api.Event) -> list[api.Action]:
        """Send a new call; fail one whose attempt has ended without an answer."""
        if isinstance(event, api.NewCall):
            return [api.Send(event.call, self.server, 1 * SECOND)]
        if isinstance(event, api.AttemptEnded) and not event.finished:
            return [api.Fail(event.call)]
        return []


class RecordedClients:
    """A frontend that records what the client of each call is told, and when."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.handles: list[int] = []
        self.uids: list[str] = []
        self.answered: dict[str, str] = {}  # the answer's description, or "" for a failure
        self.over_us: dict[str, int] = {}

    def send_answer(self, ref: int, body: object) -> None:
        """Record that a call stands."""
        self.answered[self.uids[ref]] = str(body)

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Record a refusal."""
        self.answered[self.uids[ref]] = ""

    def send_failure(self, ref: int, late: bool) -> None:
        """Record a failure."""
        self.answered[self.uids[ref]] = ""

    def send_progress(self, ref: int) -> None:
        """Ignore progress."""

    def send_release(self, ref: int, outcome: api.Outcome) -> None:
        """Record the end of a call, which is told once."""
        uid = self.uids[ref]
        assert uid not in self.over_us, f"{uid} was released twice"
        self.over_us[uid] = self.clock.time_us

    def is_client_waiting(self, ref: int) -> bool:
        """Say that it waits."""
        return True


class VirtualSite:
    """A controller that knows one server, s0, at OLD_ADDRESS."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        self.network = VirtualNetwork(self.clock)
        monkeypatch.setattr(connection_pool, "connect", self.network.connect)
        self.counters = Counters()
        self.module = FixedRoute()
        deadlines = self.clock.deadlines
        self.core = CallControl(self.module, SETTINGS, deadlines, LIMITS, self.counters)
        self.back = PlatformBack(None, self.core, deadlines, LIMITS, self.counters)
        self.core.attach(self.back)
        self.clients = RecordedClients(self.clock)
        self.old = self.start_process("old", OLD_ADDRESS)
        self.tell([(OLD, OLD_ADDRESS, api.SwitchState.READY, 0)])
        self.advance_ms(100)
        for _ in range(CONNECTIONS - 1):
            self.back.pools[OLD].connect()
            self.advance_ms(100)
        assert len(self.old.connections) == CONNECTIONS

    def start_process(self, name: str, address: Address) -> VirtualProcess:
        """Start a server process at an address."""
        process = VirtualProcess(self.clock, name)
        self.network.processes[address] = process
        return process

    def tell(self, servers: Iterable[tuple[str, Address, api.SwitchState, int]]) -> None:
        """Report changes of the list of servers."""
        servers = list(servers)
        entries = [api.SwitchEntry(name, 0, state, start_us) for name, _, state, start_us in servers]
        self.core.update_bookers(api.ListKind.CHANGES, entries)
        self.back.update_endpoints(
            [BookerEndpoint(name, *address, state, start_us) for name, address, state, start_us in servers],
            False,
        )

    def advance_ms(self, milliseconds: float) -> None:
        """Let time pass."""
        self.clock.advance(int(milliseconds * MS))

    def advance_to_us(self, time_us: int) -> None:
        """Let time pass until then."""
        self.clock.advance(max(0, time_us - self.clock.time_us))

    def set_up(self, server: str, number: int) -> list[str]:
        """Set so many calls up at once at a server; returns their ids."""
        self.module.server = server
        uids = []
        for _ in range(number):
            ref = len(self.clients.uids)
            uids.append(f"{ref + 1:016x}")
            self.clients.uids.append(uids[-1])
            now_us = self.clock.time_us
            offer = Offer(uids[-1], "low", 0, 3 * SECOND, now_us, "n", "v=0", ref)
            self.clients.handles.append(self.core.offer(self.clients, offer))
        return uids

    def hang_up(self, uid: str) -> None:
        """End a call at its client's request."""
        self.core.release(self.clients.handles[self.clients.uids.index(uid)])
