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
    silent_before_us = pool.context.deadlines.now_us() - pool.context.limits.booker_silent_us
    for request in pool.requests.sent():
        if cause := _unheld_cause(request, silent_before_us):
            cut_and_release(pool, request, cause)
    if not pool.connections:
        pool.close()


def _unheld_cause(request: UpstreamRequest, silent_before_us: int) -> UnheldCause | None:
    """Return why no process is known to hold an attempt; None if one is."""
    own = request.connection
    if own is None:
        return UnheldCause.LOST
    if max(own.last_received_us, request.attempt.decided_us) < silent_before_us:
        return UnheldCause.SILENT
    return None


def cut_and_release(pool: Pool, request: UpstreamRequest, cause: UnheldCause) -> None:
    """End an attempt or its call as cut, and release it at each process that may hold it after all.

    That may be the process of the server that is listed at the address now. A process that never had the call
    ignores the release.
    """
    uid = request.attempt.offer.uid
    pool.context.counters.add(f"booker.unheld.{cause.value}")
    log.info("server %s: call %s ended, its connection: %s", request.attempt.booker, uid, cause.value)
    for connection in pool.connections:
        connection.send_release(uid)
    if pool.successor:
        pool.successor.send_or_keep_release(uid)
    pool.requests.cut(request)
