"""The upstream side of the platform's protocol: one connection pool per booker."""

from __future__ import annotations

from typing import Any

from bitternbeam.core.calls import Attempt, AttemptEnd
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome, SwitchState
from bitternbeam.limits import Limits
from bitternbeam.net.platform.booker_connection import UpstreamRequest
from bitternbeam.net.platform.booker_pool import BookerPool
from bitternbeam.net.platform.connection_pool import BookerEndpoint
from bitternbeam.net.platform.descriptor_quota import DescriptorQuota
from bitternbeam.net.platform.inherited_calls import InheritedCalls
from bitternbeam.net.platform.liveness import check_liveness
from bitternbeam.net.platform.unheld_calls import cut_unheld
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests
from bitternbeam.tables.deadlines import Deadlines

__all__ = ["BookerEndpoint", "PlatformBack"]


def _started_us(pool: BookerPool) -> int:
    return pool.endpoint.started_us


class PlatformBack:
    """The connection pools of all bookers; implements the core's `Backend`."""

    def __init__(
        self, reactor: Any, core: CallControl, deadlines: Deadlines, limits: Limits, counters: Counters
    ) -> None:
        self.inherited_calls = InheritedCalls(deadlines, limits, counters)
        self.descriptor_quota = DescriptorQuota(limits.upstream_connections, counters)
        self.context = UpstreamContext(
            reactor, core, deadlines, limits, counters, self.inherited_calls, self.descriptor_quota
        )
        self.core = core
        self.deadlines = deadlines
        self.limits = limits
        self.pools: dict[str, BookerPool] = {}
        self.retired: list[BookerPool] = []  # of removed bookers and former addresses, until they are closed
        self.requests: dict[str, UpstreamRequest] = {}  # of all pools, including those being drained
        self._check_pools()

    def _check_pools(self) -> None:
        for pool in dict.fromkeys([*self.pools.values(), *self.retired]):
            check_liveness(pool)
        self.deadlines.after(self.limits.booker_retry_us, self._check_pools)

    def update_endpoints(self, endpoints: list[BookerEndpoint], complete: bool) -> None:
        """Apply a change of the booker list; bookers that a complete list leaves out are removed.

        Attempts are ended after all pools are updated: the core retries a failed call at once, and every
        pool must then reflect the new list.
        """
        removed: list[BookerPool] = []
        if complete:
            for name in self.pools.keys() - {endpoint.booker for endpoint in endpoints}:
                self._retire(self.pools[name], removed)
        for endpoint in endpoints:
            pool = self.pools.get(endpoint.booker)
            if endpoint.state is SwitchState.GONE:
                if pool:
                    self._retire(pool, removed)
                continue
            if pool is None or pool.retired or pool.closed:
                pool = self.pools[endpoint.booker] = self._new_pool(endpoint)
            elif endpoint.address != pool.endpoint.address:
                self._retire(pool, removed)
                pool = self.pools[endpoint.booker] = self._new_pool(endpoint)
            if endpoint.started_us > pool.endpoint.started_us:
                pool.restart(endpoint.started_us)
            pool.endpoint = endpoint
            self.descriptor_quota.server_count = len(self.pools)
            if not pool.connections:
                pool.connect()
        self._settle_addresses(endpoints, removed)
        for pool in removed:
            self._drain_pool(pool)
        for endpoint in endpoints:
            if pool := self.pools.get(endpoint.booker):
                pool.requests.recheck_waiting()

    def _new_pool(self, endpoint: BookerEndpoint) -> BookerPool:
        return BookerPool(self.context, endpoint, UpstreamRequests(self.context, self.requests))

    def _retire(self, pool: BookerPool, removed: list[BookerPool]) -> None:
        """Send nothing more to a booker that was removed or whose address changed."""
        if not pool.retired:
            pool.retired = True
            removed.append(pool)
            self.retired.append(pool)

    def _settle_addresses(self, endpoints: list[BookerEndpoint], removed: list[BookerPool]) -> None:
        """Leave each address to the server that started there last; what was made there since is its own."""
        listed = {endpoint.address for endpoint in endpoints if endpoint.state is not SwitchState.GONE}
        at_address: dict[tuple[str, int], list[BookerPool]] = {address: [] for address in listed}
        for pool in dict.fromkeys([*self.pools.values(), *self.retired]):
            if pool.endpoint.address in at_address:
                at_address[pool.endpoint.address].append(pool)
        for pools in at_address.values():
            latest = max((one for one in pools if not one.retired), key=_started_us, default=None)
            for former in pools:
                if latest and former.endpoint.started_us < latest.endpoint.started_us:
                    self._retire(former, removed)
                    latest.take_over(former, latest.endpoint.started_us)
                if latest and former.retired:
                    latest.succeed(former)

    def _drain_pool(self, pool: BookerPool) -> None:
        """Keep a removed booker's connections, so that releases of its calls still arrive."""
        pool.requests.finish_waiting(Outcome.NOT_SENT)
        close_at_us = self.deadlines.now_us() + self.limits.booker_removal_grace_us
        self._remove_if_ended(pool, close_at_us)

    def _remove_if_ended(self, pool: BookerPool, close_at_us: int) -> None:
        """Close a removed server's pool after `close_at_us`, once no process holds any of its calls."""
        cut_unheld(pool)
        if pool.requests.by_uid or self.deadlines.now_us() < close_at_us:
            check = lambda: self._remove_if_ended(pool, close_at_us)  # noqa: E731
            self.deadlines.after(self.limits.booker_retry_us, check)
            return
        pool.close()
        if pool in self.retired:
            self.retired.remove(pool)
        if self.pools.get(pool.name) is pool:
            del self.pools[pool.name]

    def close_all(self) -> None:
        """Close every connection after its output is flushed."""
        for pool in self.pools.values():
            pool.close()

    # Methods of the core's `Backend`.

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up; without a usable pool the attempt ends with NO_CONNECTION at once."""
        pool = self.pools.get(attempt.booker)
        if pool is None or pool.closed or pool.retired:
            self.core.attempt_ended(attempt, AttemptEnd(Outcome.NO_CONNECTION))
            return
        pool.set_up(attempt)

    def probe(self, booker: str) -> None:
        """Ask a booker for a load report."""
        if pool := self.pools.get(booker):
            pool.probe()

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop waiting for the answer to a set-up."""
        if request := self.requests.get(attempt.offer.uid):
            request.owner.cancel(request, unanswered=attempt.cancel_outcome is Outcome.NO_ANSWER)
        return True

    def release(self, attempt: Attempt) -> None:
        """Release an established call."""
        if request := self.requests.get(attempt.offer.uid):
            request.owner.cancel(request)
