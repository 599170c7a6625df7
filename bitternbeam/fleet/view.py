"""The pool view: what the directory lists and what the probes say, reconciled once for the whole fleet.

The owner of the view reads the directory and publishes; the others follow. No single reply empties the pool:
an instance that a reply leaves out drains at once (nothing new is sent to it) and is gone only after
`gone_us`; a reply that leaves out every instance changes nothing until it has been said for six times that,
since an engine that lost its data tells nothing until the bookers' agents have registered them anew.
What the fleet's probes eject drains; what they let come back counts as started then, so that every member's
module takes it for cold.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from bitternbeam.fleet.ramp import BookerHealth, Health

READY, DRAINING = "ready", "draining"
STATES = (READY, DRAINING)
EMPTY_GRACE_MULTIPLE = 6  # times gone_us, for which a directory must have been empty to be believed


@dataclass(frozen=True, slots=True)
class Server:
    """One booker of the view; `transport` UDP or TCP, `state` ready or draining, `started_ms` Unix time."""

    name: str
    host: str
    port: int
    transport: str
    cell: int
    state: str
    started_ms: int = 0
    share: float = 1.0

    def row(self) -> list[Any]:
        """Return it as a record carries it."""
        return [
            self.name, self.host, self.port, self.transport, self.cell,
            self.state, self.started_ms, self.share,
        ]  # fmt: skip


def parse_server(row: Any) -> Server | None:
    """Read one row of a record; None where it is not one."""
    if not isinstance(row, list) or len(row) != 8:
        return None
    name, host, port, transport, cell, state, started, share = row
    texts = all(isinstance(one, str) and one for one in (name, host, transport, state))
    numbers = all(type(one) is int for one in (port, cell, started))
    if not texts or not numbers or state not in STATES or transport not in ("UDP", "TCP"):
        return None
    if not 0 < port < 65536 or cell < -1 or started < 0:
        return None
    if not isinstance(share, int | float) or isinstance(share, bool) or not 0 <= share <= 1:
        return None
    return Server(name, host, port, transport, cell, state, started, float(share))


def view_value(servers: Iterable[Server], members: int) -> dict[str, Any]:
    """Return a view as a record carries it; `members` is the size of the fleet that it was made in."""
    return {"servers": [one.row() for one in sorted(servers, key=lambda one: one.name)], "members": members}


def parse_servers(value: dict[str, Any]) -> dict[str, Server] | None:
    """Read a view's servers by name; None where any row is not one: half a view is no view."""
    rows = value.get("servers")
    if not isinstance(rows, list):
        return None
    found: dict[str, Server] = {}
    for row in rows:
        one = parse_server(row)
        if one is None or one.name in found:
            return None
        found[one.name] = one
    return found


class Pool:
    """The directory as the view's owner holds it, over its replies."""

    def __init__(self, gone_us: int) -> None:
        self.gone_us = gone_us
        self.listed: dict[str, Server] = {}
        self.missing_us: dict[str, int] = {}  # since when a listed one has been left out
        self.empty_us: int | None = None
        self.read = False  # whether any reply was taken

    def resume(self, servers: Mapping[str, Server]) -> None:
        """Go on from a view that another owner published: what was read here before is out of date."""
        self.listed = dict(servers)
        self.missing_us, self.empty_us, self.read = {}, None, False

    def update(self, servers: Mapping[str, Server], now_us: int) -> None:
        """Take one whole reply of the directory; only a reply lets go of what has been missing.

        Danger: time alone must not: a directory that is silent says of nothing that it has gone.
        """
        if not servers and self.listed:
            if self.empty_us is None:
                self.empty_us = now_us
            if now_us - self.empty_us < EMPTY_GRACE_MULTIPLE * self.gone_us:
                return  # an engine that starts anew must not take the whole pool away
        else:
            self.empty_us = None
        self.read = True
        for name in self.listed.keys() - servers.keys():
            self.missing_us.setdefault(name, now_us)
        for name, one in servers.items():
            self.missing_us.pop(name, None)
            self.listed[name] = one
        for name, since in list(self.missing_us.items()):
            if now_us - since >= self.gone_us:
                del self.missing_us[name]
                self.listed.pop(name, None)

    def servers(self, probes: Mapping[str, BookerHealth]) -> list[Server]:
        """Return the view: the directory's word, narrowed by what the probes say."""
        found = []
        for name, one in self.listed.items():
            state, share, started = one.state, 1.0, one.started_ms
            if name in self.missing_us:
                state = DRAINING
            told = probes.get(name)
            if told is not None and told.health is Health.EJECTED:
                state, share = DRAINING, 0.0
            elif told is not None and told.health is Health.RAMPING:
                share, started = told.share, max(started, told.since_ms)
            found.append(replace(one, state=state, share=share, started_ms=started))
        return found


@dataclass(frozen=True, slots=True)
class Change:
    """What a follower does to get from one view to the next."""

    servers: tuple[Server, ...]  # new or changed, with their state
    gone: tuple[Server, ...]


def change(old: Mapping[str, Server], new: Mapping[str, Server]) -> Change:
    """Return what differs; a changed share alone is no change of the list."""
    plain = {name: replace(one, share=1.0) for name, one in old.items()}
    changed = tuple(one for name, one in sorted(new.items()) if plain.get(name) != replace(one, share=1.0))
    return Change(changed, tuple(one for name, one in sorted(old.items()) if name not in new))
