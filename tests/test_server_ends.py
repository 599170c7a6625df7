"""A server's calls are over with the process that holds them, whatever answers at its address afterwards."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product

import pytest

from bitternbeam.decision.interface import SwitchState
from tests.virtual_servers import VirtualProcess
from tests.virtual_site import NEW, NEW_ADDRESS, OLD, OLD_ADDRESS, VirtualSite
from tests.world import MS

TOLD_MS = 8_050  # an end whose release could not be sent is told within this time
RELEASED_MS = 1_050  # and one whose release was sent, within this
READY, DRAINING, GONE = SwitchState.READY, SwitchState.DRAINING, SwitchState.GONE


class Connections(Enum):
    """What becomes of the old process's connections."""

    SILENT = "silent"
    RESET = "reset"
    MIXED = "mixed"  # every second one is reset, the others fall silent


class Address(Enum):
    """What a connect to the old process's address meets after its end."""

    HUNG = "hung"  # the old process, which accepts and answers nothing
    TAKEN = "taken"  # another process
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class Order(Enum):
    """In which order discovery tells of the old server's removal and of the new server."""

    TOGETHER = "together"
    GONE_FIRST = "gone first"
    NEW_FIRST = "new first"


@dataclass(frozen=True, slots=True)
class Form:
    """One way in which a server ends and is replaced."""

    connections: Connections
    address: Address
    drained: bool  # told as draining, and off its address, 2 s before its end
    broken: bool  # some of its connections are reset while it lives
    gap_ms: int  # from its end to the next process at its address; below 0: that one comes before the end
    told_ms: int  # from its end to the first word of discovery
    order: Order
    at_old_address: bool  # whether the new server is listed at the old address
    start_given: bool  # whether the list gives the new server's start

    @property
    def possible(self) -> bool:
        """Whether the parts fit together."""
        if self.address is not Address.TAKEN:
            return self.gap_ms == 0 and not self.at_old_address
        return self.drained or self.gap_ms >= 0


FORMS = [
    form
    for form in (
        Form(*parts)
        for parts in product(
            Connections, Address, (False, True), (False, True), (-1_000, 0, 400), (300, 3_000, 6_000),
            Order, (False, True), (False, True),
        )
    )
    if form.possible
]  # fmt: skip


class Replacement:
    """Plays one form and checks what the clients are told."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, form: Form) -> None:
        self.form = form
        self.site = VirtualSite(monkeypatch)
        self.old = self.site.old
        self.successor: VirtualProcess | None = None
        self.successor_start_us = 0
        self.end_us = 0
        self.broken: list[str] = []

    def play(self) -> list[str]:
        """Play the form; returns the rules that were broken."""
        self._begin()
        self._end_old_process()
        self._tell_the_list()
        self.site.advance_to_us(self.end_us + TOLD_MS * MS)
        self._check_old_calls()
        self._check_successor_calls()
        self._check_that_nothing_is_left()
        return self.broken

    def _expect(self, holds: object, what: str) -> None:
        if not holds:
            self.broken.append(what)

    def _begin(self) -> None:
        """Let calls stand at the old process; drain it, and break some of its connections."""
        form, site = self.form, self.site
        site.set_up(OLD, 3)
        site.advance_ms(500)
        assert len(set(self.old.standing.values())) == 3
        site.set_up(OLD, 1)
        self.old_calls = list(site.clients.uids)
        site.advance_ms(500)
        assert set(self.old.standing) == set(self.old_calls)
        if form.broken:
            self.old.standing[self.old_calls[0]].reset()
            site.advance_ms(300)
        if form.drained:
            site.tell([(OLD, OLD_ADDRESS, DRAINING, 0)])
            site.network.processes[OLD_ADDRESS] = None
            site.advance_ms(1_000)
            if form.gap_ms < 0:
                self._start_successor()
                site.set_up(OLD, 2)  # barred: it drains
            site.advance_ms(1_000)

    def _start_successor(self) -> None:
        self.successor = self.site.start_process("successor", OLD_ADDRESS)
        self.successor_start_us = self.site.clock.time_us // MS * MS

    def _end_old_process(self) -> None:
        """End the old process, and let another one take its address."""
        form, site = self.form, self.site
        self.end_us = site.clock.time_us
        self._expect(not site.clients.over_us, "a call was told as over while it stood")
        self.old.answering = False
        for number, connection in enumerate(self.old.connections):
            if form.connections is Connections.SILENT or (
                form.connections is Connections.MIXED and number % 2
            ):
                connection.silent = True
        self.old.reset()
        if form.address is Address.HUNG:
            site.network.processes[OLD_ADDRESS] = self.old
        elif form.address is Address.UNREACHABLE:
            site.network.unreachable.add(OLD_ADDRESS)
        elif self.successor is None:
            site.network.processes[OLD_ADDRESS] = None
        if form.address is Address.TAKEN and self.successor is None:
            site.clock.deadlines.after(form.gap_ms * MS, self._start_successor)

    def _tell_the_list(self) -> None:
        """Set calls up under the old name until the list tells of the change, after its delay."""
        form, site = self.form, self.site
        told_us = self.end_us + form.told_ms * MS
        for wait_ms in (200, 2_700, 5_000):
            if wait_ms < form.told_ms:
                site.advance_to_us(self.end_us + wait_ms * MS)
                site.set_up(OLD, 2)
        site.advance_to_us(told_us)
        start_us = 0
        if form.start_given:
            start_us = self.successor_start_us if form.at_old_address else self.end_us
        gone = (OLD, OLD_ADDRESS, GONE, 0)
        new = (NEW, OLD_ADDRESS if form.at_old_address else NEW_ADDRESS, READY, start_us)
        if not form.at_old_address:
            site.start_process("new", NEW_ADDRESS)
        if form.order is Order.TOGETHER:
            site.tell([gone, new])
            return
        first, second = (gone, new) if form.order is Order.GONE_FIRST else (new, gone)
        site.tell([first])
        site.advance_ms(400)
        site.tell([second])

    def _check_old_calls(self) -> None:
        """Check that each call of the old process was told as over, in time."""
        for uid in self.old_calls:
            over_us = self.site.clients.over_us.get(uid)
            self._expect(over_us is not None, f"{uid} of the old process is not over")
            self._expect(over_us is None or over_us >= self.end_us, f"{uid} was over too soon")

    def _check_successor_calls(self) -> None:
        """Check that calls at the process that took the address stand, there and at their clients."""
        if self.successor is None:
            return
        clients, successor = self.site.clients, self.successor
        for uid in successor.standing:
            self._expect(clients.answered.get(uid) == successor.name, f"{uid} stands unknown to its client")
            self._expect(uid not in clients.over_us, f"{uid} was told as over and stands")
        for uid in successor.released:
            self._expect(clients.answered[uid] == "", f"{uid} was released, though nobody asked")
        standing = list(successor.standing)
        for uid in standing:
            successor.end_call(uid)
        self.site.advance_ms(RELEASED_MS)
        for uid in standing:
            self._expect(uid in clients.over_us, f"{uid} has ended at the new process and was not told")

    def _check_that_nothing_is_left(self) -> None:
        """Check that the pool is closed and the address left to whoever is listed there."""
        site = self.site
        if not self.form.at_old_address:
            connects = site.network.connects[OLD_ADDRESS]
            site.advance_ms(6_000)
            self._expect(site.network.connects[OLD_ADDRESS] == connects, "connects to a removed server")
        site.advance_ms(3_000)
        self._expect(not site.back.retired, "the removed server's pool is still there")
        self._expect(not site.core.calls, "calls are left")


def group_name(part: Connections | Address | bool) -> str:
    """Name a part of a group in a test's id."""
    if isinstance(part, bool):
        return "drained" if part else "not-drained"
    return str(part.value)


def subjects() -> Iterator[tuple[Connections, Address, bool]]:
    """Yield the groups of forms that have a test of their own."""
    return product(Connections, Address, (False, True))


# Guards against calls that stand for ever, or are released while they stand, because what answers at a
# server's address or on another connection is taken for the process that holds them.
@pytest.mark.parametrize(("connections", "address", "drained"), list(subjects()), ids=group_name)
def test_calls_end_with_their_process_and_never_with_another(
    monkeypatch: pytest.MonkeyPatch, connections: Connections, address: Address, drained: bool
) -> None:
    group = (connections, address, drained)
    forms = [form for form in FORMS if (form.connections, form.address, form.drained) == group]
    failures = [(form, broken) for form in forms if (broken := Replacement(monkeypatch, form).play())]
    shown = "\n".join(f"{form}: {'; '.join(broken)}" for form, broken in failures[:10])
    assert not failures, f"{len(failures)} of {len(forms)} forms:\n{shown}"
