"""Division of the process's file descriptors among its parts, without I/O.

The shares add up to no more than the process's limit, so that no part exhausts another's: when clients
use all of theirs, discovery, the admin address and the servers still have their own.
"""

from __future__ import annotations

from dataclasses import dataclass

STANDARD_STREAMS = 3
REACTOR = 4  # epoll, its wake-up pair, and the one that Twisted keeps in reserve
FILES = 5  # the configuration at a reload, the hand-over record; three of claimed ids (`shared_ids.py`)
LISTENING = 3  # the clients' socket and, if inherited, its duplicate; the admin address
DISCOVERY = 6  # one open, one closing, one connecting, three silent (`Limits.discovery_silent_connections`)
LIBRARIES = 4  # opened by libraries
FIXED = STANDARD_STREAMS + REACTOR + FILES + LISTENING + DISCOVERY + LIBRARIES
ADMIN_CLOSING = 4  # admin connections answered or displaced but not closed yet
MIN_UPSTREAM = 2


@dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """The number of descriptors that each part may hold at once."""

    clients: int  # client connections
    clients_closing: int  # in addition, abandoned or refused but not closed yet
    admin: int  # connections to the admin address
    upstream: int  # connections to all servers, connecting and closing ones included

    @property
    def lingering(self) -> int:
        """The closing connections that may wait for their peer; beyond that the oldest is closed."""
        return self.clients_closing // 2

    @property
    def excess_clients(self) -> int:
        """The closing connections whose requests may be refused; others close in the next turn."""
        return self.clients_closing // 4

    @property
    def total(self) -> int:
        """The most descriptors that the process may hold."""
        return FIXED + self.clients + self.clients_closing + self.admin + ADMIN_CLOSING + self.upstream


def plan_descriptors(descriptors: int) -> DescriptorPlan:
    """Divide the descriptors among the parts; raises ValueError if there are too few.

    By the protocol clients use at most a third, but idle connections come on top: client connections get a
    half, or less so that a quarter is left for the servers, but at least a third. Servers get the rest.
    """
    admin = max(4, min(32, descriptors // 32))
    closing = max(4, min(64, descriptors // 16))
    left = descriptors - FIXED - admin - ADMIN_CLOSING - closing
    callers = max(-(-descriptors // 3), min(descriptors // 2, left - descriptors // 4))
    upstream = left - callers
    if upstream < MIN_UPSTREAM:
        raise ValueError(f"{descriptors} descriptors are too few to serve with")
    return DescriptorPlan(callers, closing, admin, upstream)
