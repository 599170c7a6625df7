"""Ends the attempts and calls that no process is known to hold any more.

A call is held by the process that the connection of its set-up leads to. Nothing else shows that this process
lives: whatever answers at its server's address, or on another connection, may be another process, and a
connection that comes up is the kernel's work. While a server is listed its calls stand, as a connection may
break alone and discovery tells of a removal in time. Once it is removed, a call stands for as long as its own
connection is open and heard.
"""

from __future__ import annotations

from typing import Protocol

from bitternbeam.net.platform.booker_connection import BookerConnection, UpstreamRequest
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests


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
        own, sent_us = request.connection, request.attempt.decided_us
        if own is None or max(own.last_received_us, sent_us) < silent_before_us:
            cut_and_release(pool, request)
    if not pool.connections:
        pool.close()


def cut_and_release(pool: Pool, request: UpstreamRequest) -> None:
    """End an attempt or its call as cut, and release it at each process that may hold it after all.

    That may be the process of the server that is listed at the address now. A process that never had the call
    ignores the release.
    """
    pool.context.counters.add("booker.calls_unheld")
    uid = request.attempt.offer.uid
    for connection in pool.connections:
        connection.send_release(uid)
    if pool.successor:
        pool.successor.send_or_keep_release(uid)
    pool.requests.cut(request)
