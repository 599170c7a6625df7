"""Ends the attempts and calls that no process is known to hold any more.

A call is held by the process that the connection of its set-up leads to. Nothing else shows that this process
lives: whatever answers at its server's address, or on another connection, may be another process, and a
connection that comes up is the kernel's work. While a server is listed its calls stand, as a connection may
break alone and discovery tells of a removal in time. Once it is removed, a call stands for as long as its own
connection is open and heard.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import Protocol

from bitternbeam.net.platform.booker_connection import BookerConnection, UpstreamRequest
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests

log = logging.getLogger(__name__)

LOGGED_IDS = 8  # of one server's calls that end together


class UnheldCause(Enum):
    """What became of the connection that an attempt was sent on; its value is a counter's last word."""

    LOST = "lost"
    SILENT = "silent"
    RESTARTED = "restarted"  # it leads to the process before the server's restart


class Pool(Protocol):
    """What is needed of a connection pool."""

    context: UpstreamContext
    requests: UpstreamRequests
    connections: list[BookerConnection]

    @property
    def successor(self) -> Pool | None:
        """The pool of the server listed at the address since this one was retired."""
        ...

    def send_or_keep_release(self, uid: str) -> None:
        """Send a release on a connection, or on the next one that is opened."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


def cut_unheld(pool: Pool) -> None:
    """End what a removed server was sent on a connection that was lost, or silent for `booker_silent_us`."""
    unheld: dict[UnheldCause, list[UpstreamRequest]] = {}
    for request in pool.requests.sent():
        if cause := _unheld_cause(request):
            unheld.setdefault(cause, []).append(request)
    for cause, requests in unheld.items():
        cut_and_release(pool, requests, cause)
    if not pool.connections:
        pool.close()


def _unheld_cause(request: UpstreamRequest) -> UnheldCause | None:
    """Return why no process is known to hold an attempt; None if one is."""
    if request.connection is None:
        return UnheldCause.LOST
    return UnheldCause.SILENT if request.connection.is_silent else None


def cut_and_release(pool: Pool, requests: list[UpstreamRequest], cause: UnheldCause) -> None:
    """End attempts or their calls as cut, and release them at each process that may hold them after all.

    That may be the process of the server that is listed at the address now. A process that never had a call
    ignores its release.
    """
    if not requests:
        return
    pool.context.counters.add(f"booker.unheld.{cause.value}", len(requests))
    uids = [request.attempt.offer.uid for request in requests]
    log.info(
        "server %s: %d calls ended, connection %s: %s%s",
        requests[0].attempt.booker,
        len(uids),
        cause.value,
        ", ".join(uids[:LOGGED_IDS]),
        ", ..." if len(uids) > LOGGED_IDS else "",
    )
    for request in requests:
        _release(pool, request.attempt.offer.uid)
        pool.requests.cut(request)


def _release(pool: Pool, uid: str) -> None:
    for connection in pool.connections:
        connection.send_release(uid)
    if pool.successor:
        pool.successor.send_or_keep_release(uid)
