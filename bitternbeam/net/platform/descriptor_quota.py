"""The limit on descriptors for connections to all servers together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, fail
from twisted.python.failure import Failure

from bitternbeam.counters import Counters


class NoDescriptorError(Exception):
    """The quota is used up; this says nothing about the server."""


class DescriptorQuota:
    """Makes connections while the limit allows it; `release` is called when a made one is closed."""

    def __init__(self, limit: int, counters: Counters) -> None:
        self.limit = limit
        self.counters = counters
        self.server_count = 0  # that connections are kept open to
        self.in_use = 0  # connections being made, open or being closed

    def connect(self, connect: Callable[[], Deferred[Any]]) -> Deferred[Any]:
        """Connect; fails with NoDescriptorError at once if the quota is used up."""
        if self.in_use >= self.limit:
            self.counters.add("booker.no_descriptor")
            return fail(NoDescriptorError())
        self.in_use += 1
        return connect().addErrback(self._connect_failed)

    def _connect_failed(self, failure: Failure) -> Failure:
        self.in_use -= 1
        return failure

    def release(self) -> None:
        """Return the descriptor of a closed connection to the quota."""
        self.in_use -= 1

    def per_server(self, limit: int) -> int:
        """Return each server's equal part of the quota, at least 1 and at most `limit`."""
        return max(1, min(limit, self.limit // max(1, self.server_count)))
