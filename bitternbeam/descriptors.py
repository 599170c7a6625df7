"""What the process may hold of its file descriptors, and for what. Pure: no I/O.

The parts add up to no more than the process is given, so that none takes what another needs: connections from
callers that fill theirs leave room for discovery, for the admin address and for the servers.
"""

from __future__ import annotations

from dataclasses import dataclass

STANDARD_STREAMS = 3
REACTOR = 4  # epoll, the pair that wakes it, and the one that Twisted keeps in reserve
FILES = 2  # read or written for a moment: the configuration at a reload, the hand-over's record
LISTENING = 3  # the callers' socket and, where it was inherited, its copy; the admin address
DISCOVERY = 3  # open, being closed, being made
LIBRARIES = 4  # opened by libraries
FIXED = STANDARD_STREAMS + REACTOR + FILES + LISTENING + DISCOVERY + LIBRARIES
ADMIN_CLOSING = 4  # beside the admin address's own: answered or pushed out, and not closed yet
MIN_UPSTREAM = 2


@dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """How many descriptors each part may hold at once."""

    clients: int  # connections from callers
    clients_closing: int  # beside them: given up or refused, and not closed yet
    admin: int  # connections to the admin address
    upstream: int  # connections to all servers together, those being made and being closed included

    @property
    def lingering(self) -> int:
        """How many of the closing ones may wait for their peers' end; the oldest is cut off for more."""
        return self.clients_closing // 2

    @property
    def excess_clients(self) -> int:
        """How many of them may have their requests refused; the others close by the next turn."""
        return self.clients_closing // 4

    @property
    def total(self) -> int:
        """All that the process may come to hold."""
        return FIXED + self.clients + self.clients_closing + self.admin + ADMIN_CLOSING + self.upstream


def plan_descriptors(descriptors: int) -> DescriptorPlan:
    """Divide the descriptors; raises ValueError if they are too few.

    Callers hold at most a third of them (protocol), and others may connect and say nothing: they have half,
    less where a quarter would not be left for the servers, but always the third. The servers have the rest.
    """
    admin = max(4, min(32, descriptors // 32))
    closing = max(4, min(64, descriptors // 16))
    left = descriptors - FIXED - admin - ADMIN_CLOSING - closing
    callers = max(-(-descriptors // 3), min(descriptors // 2, left - descriptors // 4))
    upstream = left - callers
    if upstream < MIN_UPSTREAM:
        raise ValueError(f"{descriptors} descriptors are too few to serve with")
    return DescriptorPlan(callers, closing, admin, upstream)
