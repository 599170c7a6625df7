"""The requests of a client that were read and not offered yet, bounded for all clients together."""

from __future__ import annotations

from bitternbeam.net.platform.client_requests import QueuedRequest

REQUEST_OVERHEAD_BYTES = 1024  # of a queued request beside its message


class QueueQuota:
    """The bytes that the queued requests of all clients may hold."""

    def __init__(self, max_bytes: int) -> None:
        self.free_bytes = max_bytes


class RequestQueue:
    """One connection's queued requests by id, in the order of arrival."""

    def __init__(self, quota: QueueQuota, max_requests: int) -> None:
        self._quota = quota
        self._max_requests = max_requests
        self._requests: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, uid: str) -> bool:
        return uid in self._requests

    def has_room(self, size_bytes: int, open_requests: int) -> bool:
        """Return whether a request of this size fits beside those that are queued or open."""
        below_limit = len(self) + open_requests < self._max_requests
        return below_limit and size_bytes + REQUEST_OVERHEAD_BYTES <= self._quota.free_bytes

    def add(self, request: QueuedRequest) -> None:
        """Append a request; its size counts until it leaves the queue."""
        self._quota.free_bytes -= request.size_bytes + REQUEST_OVERHEAD_BYTES
        self._requests[request.uid] = request

    def remove(self, uid: str) -> bool:
        """Remove a request; False if it is not queued."""
        request = self._requests.pop(uid, None)
        if request is None:
            return False
        self._quota.free_bytes += request.size_bytes + REQUEST_OVERHEAD_BYTES
        return True

    def take_first(self) -> QueuedRequest:
        """Remove and return the oldest request."""
        request = next(iter(self._requests.values()))
        self.remove(request.uid)
        return request

    def take_read_before(self, time_us: int) -> list[QueuedRequest]:
        """Remove and return the requests that were read before a time."""
        taken = []
        while self._requests and next(iter(self._requests.values())).read_us < time_us:
            taken.append(self.take_first())
        return taken

    def take_all(self) -> list[QueuedRequest]:
        """Remove and return all requests, oldest first."""
        return [self.take_first() for _ in range(len(self))]
