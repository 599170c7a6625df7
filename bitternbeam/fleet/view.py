"""The pool view: the directory's list and the probes' results, merged once for the whole fleet.

The owner of the view reads the directory and publishes; the other members follow. No single reply empties the
pool: a server missing from a reply is drained at once (nothing new is sent to it) and removed only after
`gone_us`. An empty reply changes nothing until the directory has been empty for six times that, as an engine
that lost its data lists nothing until the bookers' agents have registered them again.
A server that the fleet's probes eject is drained; one that returns gets that time as its start time, so that
every member's decision module treats it as cold.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from bitternbeam.fleet.ramp import BookerHealth, Health

READY, DRAINING = "ready", "draining"
STATES = (READY, DRAINING)
EMPTY_GRACE_MULTIPLE = 6  # an empty directory is accepted after this multiple of gone_us


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
        """Return the server as a row of the record."""
        return [
            self.name, self.host, self.port, self.transport, self.cell,
            self.state, self.started_ms, self.share,
        ]  # fmt: skip


def parse_server(row: Any) -> Server | None:
    """Parse one row of a record; None if it is malformed."""
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
    """Return a view as the record's value; `members` is the fleet size when it was made."""
    return {"servers": [one.row() for one in sorted(servers, key=lambda one: one.name)], "members": members}


def parse_servers(value: dict[str, Any]) -> dict[str, Server] | None:
    """Parse a view's servers by name; None if any row is malformed, as partial views are not used."""
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
    """The view owner's list of servers, built from the directory's replies."""

    def __init__(self, gone_us: int) -> None:
        self.gone_us = gone_us
        self.listed: dict[str, Server] = {}
        self.missing_us: dict[str, int] = {}  # since when a listed server is missing from the replies
        self.empty_us: int | None = None
        self.read = False  # whether any reply was accepted

    def resume(self, servers: Mapping[str, Server]) -> None:
        """Continue from a view that another owner published, which replaces what was read here."""
        self.listed = dict(servers)
        self.missing_us, self.empty_us, self.read = {}, None, False

    def update(self, servers: Mapping[str, Server], now_us: int) -> None:
        """Apply one complete reply of the directory; missing servers are removed only here.

        They do not expire by time alone, as a directory that does not answer reports no removal.
        """
        if not servers and self.listed:
            if self.empty_us is None:
                self.empty_us = now_us
            if now_us - self.empty_us < EMPTY_GRACE_MULTIPLE * self.gone_us:
                return  # an engine that restarts must not empty the pool
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
        """Return the view: the directory's servers, restricted by their probed health."""
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
    """The difference between two views, as a follower applies it."""

    servers: tuple[Server, ...]  # new or changed, with their state
    gone: tuple[Server, ...]


def change(old: Mapping[str, Server], new: Mapping[str, Server]) -> Change:
    """Return the difference; a change of the share alone is ignored."""
    plain = {name: replace(one, share=1.0) for name, one in old.items()}
    changed = tuple(one for name, one in sorted(new.items()) if plain.get(name) != replace(one, share=1.0))
    return Change(changed, tuple(one for name, one in sorted(old.items()) if name not in new))
