"""Clients on raw sockets around the platform's front, a scripted module and a clock that stands still.

Nothing is read, accepted or due before the test says so: what a client has sent lies in the kernel so long.
"""

from __future__ import annotations

import json
import select
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from bitternbeam.core.calls import Attempt, AttemptEnd
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision import interface as api
from bitternbeam.limits import Limits
from bitternbeam.net.connect import listen
from bitternbeam.net.platform.client_connection import ClientConnection
from bitternbeam.net.platform.front import PlatformFront
from tests.loop import reactor
from tests.manual_clock import ManualClock
from tests.world import SETTINGS

ID, ID2, ID3 = "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", "00000000000000c3"
HUNG_S = 30  # a bound for a hung test, not a measure


class ScriptedModule:
    """Decides what its script says; asked of nothing, it lets requests wait."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.script: Callable[[api.Event], list[api.Action]] = lambda _event: []

    def handle(self, _now_us: int, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return self.script(event)

    def offered_calls(self) -> list[str]:
        """Return the ids of the calls told to it, in their order."""
        return [one.call for one in self.events if isinstance(one, api.NewCall)]


class RecordingBack:
    """Asks at the moment of writing, as every back does, and remembers what it wrote and was told."""

    def __init__(self) -> None:
        self.core: CallControl
        self.connected = True  # else attempts wait for a connection
        self.waiting: list[Attempt] = []
        self.attempts: list[Attempt] = []  # written
        self.given_up: list[str] = []
        self.released: list[str] = []

    def set_up(self, attempt: Attempt) -> None:
        self.waiting.append(attempt)
        if self.connected:
            self.connect()

    def connect(self) -> None:
        """Write what waits for a connection."""
        self.connected = True
        while self.waiting:
            attempt = self.waiting.pop()
            if not self.core.may_write(attempt):
                self.core.attempt_ended(attempt, AttemptEnd(api.Outcome.NOT_SENT))
            else:
                self.attempts.append(attempt)
                self.core.attempt_written(attempt)

    def probe(self, booker: str) -> None:
        raise AssertionError("no probe was asked for")

    def cancel_attempt(self, attempt: Attempt) -> bool:
        self.given_up.append(attempt.offer.uid)
        return True

    def release(self, attempt: Attempt) -> None:
        self.released.append(attempt.offer.uid)


class RawClient:
    """A client whose every step is a system call of the test's own."""

    def __init__(self, world: DownstreamWorld) -> None:
        self.world = world
        self.socket = socket.create_connection(world.address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        self.messages: list[dict[str, Any]] = []
        self.partial_line = b""
        self.ended = ""  # "end" or "reset", once the controller's side has ended

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def half_close(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.socket.close()

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def read(self) -> str:
        """Take what has come, without waiting; tells how the other side has ended, if it has."""
        self.socket.setblocking(False)
        try:
            while not self.ended:
                data = self.socket.recv(65536)
                self.ended = "" if data else "end"
                *lines, self.partial_line = (self.partial_line + data).split(b"\n")
                self.messages += [json.loads(line) for line in lines]
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.ended = "reset"
        finally:
            self.socket.setblocking(True)
        return self.ended

    def messages_about(self, uid: str) -> list[tuple[str, Any]]:
        """Return kind and cause of each message about an id so far."""
        self.read()
        return [(one["kind"], one.get("reason")) for one in self.messages if one["uid"] == uid]

    def sync(self) -> None:
        """Run the loop until all that was sent before has been handled."""
        self.send(line("check", "sync", reason=0))
        count = len(self.messages_about("sync"))
        self.world.until(lambda: len(self.messages_about("sync")) > count)


class DownstreamWorld:
    """The front on a listening socket of the loopback, between a scripted module and a recording back."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.clock = ManualClock()
        self.deadlines = self.clock.deadlines
        self.counters = Counters()
        self.module, self.back = ScriptedModule(), RecordingBack()
        self.core = CallControl(self.module, SETTINGS, self.deadlines, self.limits, self.counters)
        self.core.attach(self.back)
        self.back.core = self.core
        self.core.update_bookers(api.ListKind.CACHED, [api.SwitchEntry("s0", 0, api.SwitchState.READY)])
        self.module.events.clear()
        self.front = PlatformFront(self.core, self.deadlines, self.limits, self.counters)
        self.ports: list[Any] = []
        self.clients: list[RawClient] = []
        listen(reactor, "127.0.0.1", 0, self.front).addCallback(self.ports.append)
        self.address = ("127.0.0.1", self.ports[0].getHost().port)

    def run_loop_once(self) -> None:
        """Run the loop once: what is due, then what the sockets have."""
        self.clock.run_due()
        reactor.iterate(0.001)

    def until(self, holds: Callable[[], object]) -> None:
        end = time.monotonic() + HUNG_S
        while not holds():
            assert time.monotonic() < end, "it never came to hold"
            self.run_loop_once()

    def advance_us(self, us: int) -> None:
        """Let time pass in which the loop does not run, then run what has fallen due, and nothing else."""
        self.clock.time_us += us
        self.clock.run_due()

    def connect_unaccepted(self) -> RawClient:
        """Connect a client; its connection lies in the listen queue."""
        self.clients.append(RawClient(self))
        return self.clients[-1]

    def connect_client(self) -> RawClient:
        """Connect a client and accept its connection."""
        known = self.counters["client.connections"]
        client = self.connect_unaccepted()
        self.until(lambda: self.counters["client.connections"] > known)
        return client

    def connection_of(self, client: RawClient) -> ClientConnection:
        """Return the front's end of a client's connection."""
        port = client.socket.getsockname()[1]
        ends = (*self.front.connections.values(), *self.front.over_limit_connections.connections)
        return next(one for one in ends if one.transport.getPeer().port == port)

    def wait_for_input(self, connection: ClientConnection) -> None:
        """Wait until something lies unread for a connection, without running the loop."""
        poll = select.poll()
        poll.register(connection.transport.fileno(), select.POLLIN)
        assert poll.poll(HUNG_S * 1000), "nothing came"

    def send_request(self, client: RawClient, uid: str) -> int:
        """Send a request that the module lets wait; returns the front's handle of it."""
        client.send(request(uid))
        self.until(lambda: self.front.requests.find(uid))
        found = self.front.requests.find(uid)
        assert found
        return found.ref

    def act(self, *actions: api.Action) -> None:
        """Let the module act now."""
        due, usual = api.TimerDue(0), self.module.script
        self.module.script = lambda event: list(actions) if event is due else []
        self.core.event_queue.process(due)
        self.module.script = usual

    def accept_call(self, uid: str) -> None:
        """Send a request on and let its server answer it."""
        self.act(api.Send(uid, "s0", 0))
        assert self.core.attempt_answered(self.back.attempts[-1], "v=1")

    def close(self) -> None:
        for client in self.clients:
            client.socket.close()
        self.ports[0].stopListening()
        self.until(lambda: not self.front.connections and not self.front.over_limit_connections.connections)
        for _ in range(3):
            self.run_loop_once()


def line(kind: str, uid: str, **more: Any) -> bytes:
    """Return a message as it goes over the wire."""
    return json.dumps({"kind": kind, "uid": uid, "meta": {}, **more}).encode() + b"\n"


def request(uid: str, **odd: Any) -> bytes:
    """Return a request, with some fields other than they should be."""
    meta = {"class": "low", "left": "3000", "key": "n", "extras": "dest:0;width:1;via:-1"} | odd
    return line("launch", uid, meta=meta, body="v=0")


def cancel(uid: str) -> bytes:
    """Return the word that a request is given up, or that a call ends."""
    return line("stop", uid, reason=16)
