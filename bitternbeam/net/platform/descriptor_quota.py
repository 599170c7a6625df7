"""The descriptors of the connections to all servers: counted, and never more than their share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, fail
from twisted.python.failure import Failure

from bitternbeam.counters import Counters


class NoDescriptorError(Exception):
    """No descriptor was free for a connection; it tells nothing of the server."""


class DescriptorQuota:
    """Lets connections be made while there are descriptors for them.

    Whoever made one says `give_back` once it is closed.
    """

    def __init__(self, most: int, counters: Counters) -> None:
        self.limit = most
        self.counters = counters
        self.server_count = 0  # that connections are kept to
        self.in_use = 0  # being made, open or being closed

    def connect(self, connect: Callable[[], Deferred[Any]]) -> Deferred[Any]:
        """Connect; fails with NoDescriptorError at once, and connects nowhere, where the share is used up."""
        if self.in_use >= self.limit:
            self.counters.add("booker.no_descriptor")
            return fail(NoDescriptorError())
        self.in_use += 1
        return connect().addErrback(self._connect_failed)

    def _connect_failed(self, failure: Failure) -> Failure:
        self.in_use -= 1
        return failure

    def release(self) -> None:
        """Take note that a connection is closed."""
        self.in_use -= 1

    def per_server(self, most: int) -> int:
        """Return how many connections one server may have, so that the share lasts for all of them."""
        return max(1, min(most, self.limit // max(1, self.server_count)))
