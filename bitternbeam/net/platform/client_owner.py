"""What a client's connection asks of the front that owns it."""

from __future__ import annotations

from typing import Protocol, TypeVar

from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_requests import QueuedRequest
from bitternbeam.net.platform.request_queue import QueueQuota
from bitternbeam.net.platform.request_reader import RequestReader
from bitternbeam.tables.deadlines import Deadlines

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ConnectionOwner(Protocol[ConnectionT_contra]):
    """The connection's view of the front."""

    deadlines: Deadlines
    limits: Limits
    counters: Counters
    queue_quota: QueueQuota
    request_reader: RequestReader

    def connection_opened(self, connection: ConnectionT_contra) -> None:
        """Register a new connection."""

    def connection_closed(self, connection: ConnectionT_contra) -> None:
        """Forget a connection and withdraw its open requests."""

    def transport_closed(self, connection: ConnectionT_contra) -> None:
        """Forget a connection whose descriptor is closed."""

    def partial_message_changed(self, connection: ConnectionT_contra) -> None:
        """Note that a connection began or completed a partial message."""

    def request_received(self, connection: ConnectionT_contra, queued: QueuedRequest) -> None:
        """Handle a request."""

    def refuse_unoffered(self, connection: ConnectionT_contra, uid: str) -> None:
        """Refuse a request that is not offered, for its connection's limits."""

    def stops_received(self, connection: ConnectionT_contra, uids: list[str]) -> None:
        """Handle a client's cancels and releases."""

    def heartbeat_received(self, connection: ConnectionT_contra) -> bool:
        """Return whether a client's health check passes."""

    def fail_open_requests(self, connection: ConnectionT_contra) -> None:
        """Withdraw a connection's open requests and answer each as failed."""
