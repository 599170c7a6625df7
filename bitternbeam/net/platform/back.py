"""Bookers on the platform's protocol: one pool of connections a booker."""

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
from bitternbeam.net.platform.upstream_context import UpstreamContext
from bitternbeam.net.platform.upstream_requests import UpstreamRequests
from bitternbeam.tables.deadlines import Deadlines

__all__ = ["BookerEndpoint", "PlatformBack"]


class PlatformBack:
    """The pools of all bookers. It implements the core's Backend."""

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
        self.requests: dict[
            str, UpstreamRequest
        ] = {}  # of all pools, those of bookers that have gone included
        self._check_pools()

    def _check_pools(self) -> None:
        for pool in list(self.pools.values()):
            pool.check_liveness()
        self.deadlines.after(self.limits.booker_retry_us, self._check_pools)

    def update_endpoints(self, endpoints: list[BookerEndpoint], complete: bool) -> None:
        """Take news of where the bookers are; a whole list leaves out those that are gone.

        What must end ends last: a request goes on at once, and has to find every pool as it is listed now.
        """
        gone: list[BookerPool] = []
        if complete:
            for name in self.pools.keys() - {place.booker for place in endpoints}:
                self._retire(self.pools[name], gone)
        for place in endpoints:
            pool = self.pools.get(place.booker)
            if place.state is SwitchState.GONE:
                if pool:
                    self._retire(pool, gone)
                continue
            if pool is None or pool.retired or pool.closed:
                pool = self.pools[place.booker] = self._new_pool(place)
            elif (place.host, place.port) != (pool.endpoint.host, pool.endpoint.port):
                self._retire(pool, gone)
                pool = self.pools[place.booker] = self._new_pool(place)
            if place.started_us > pool.endpoint.started_us:
                pool.requests.cut_sent_before(place.started_us)
            pool.endpoint = place
            self.descriptor_quota.server_count = len(self.pools)
            if not pool.connections:
                pool.connect()
        for pool in gone:
            self._drain_pool(pool)
        for place in endpoints:
            if pool := self.pools.get(place.booker):
                pool.requests.recheck_waiting()

    def _new_pool(self, place: BookerEndpoint) -> BookerPool:
        return BookerPool(self.context, place, UpstreamRequests(self.context, self.requests))

    def _retire(self, pool: BookerPool, gone: list[BookerPool]) -> None:
        """Send nothing more to a booker that has gone, or whose address is another now."""
        if not pool.retired:
            pool.retired = True
            gone.append(pool)

    def _drain_pool(self, pool: BookerPool) -> None:
        """Keep a booker that has gone only while its connection lasts: calls on it are still told of."""
        pool.requests.finish_waiting(Outcome.NOT_SENT)
        if not pool.connections:
            pool.requests.cut_all()
            pool.close()
        self.deadlines.after(self.limits.booker_removal_grace_us, lambda: self._remove_pool(pool))

    def _remove_pool(self, pool: BookerPool) -> None:
        pool.requests.cut_all()
        pool.close()
        if self.pools.get(pool.name) is pool:
            del self.pools[pool.name]

    def close_all(self) -> None:
        """Close every connection once what was written has left."""
        for pool in self.pools.values():
            pool.close()

    # The core's Backend.

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up."""
        pool = self.pools.get(attempt.booker)
        if pool is None or pool.closed or pool.retired:
            self.core.attempt_ended(attempt, AttemptEnd(Outcome.NO_CONNECTION))
            return
        pool.set_up(attempt)

    def probe(self, booker: str) -> None:
        """Ask a booker for a report."""
        if pool := self.pools.get(booker):
            pool.probe()

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop waiting for a set-up."""
        if leg := self.requests.get(attempt.offer.uid):
            leg.owner.cancel(leg, unanswered=attempt.cancel_outcome is Outcome.NO_ANSWER)
        return True

    def release(self, attempt: Attempt) -> None:
        """End a call that stands."""
        if leg := self.requests.get(attempt.offer.uid):
            leg.owner.cancel(leg)
