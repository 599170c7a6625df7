"""The states of a client's connection, its requests, and the table of requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

from bitternbeam.core.calls import Offer
from bitternbeam.net.platform.recent_ids import RecentIds
from bitternbeam.net.platform.request_parsing import InvalidRequestError
from bitternbeam.tables.slots import SlotTable


class ConnectionState(Enum):
    """The state of a client's connection; docs/lifecycles.md has the table of states and events."""

    OPEN = "open"
    REFUSING = "refusing"  # accepts no further request, and closes once none is open
    CLOSING = "closing"  # all answers are written and being flushed; input is discarded
    CLOSED = "closed"


class CloseCause(StrEnum):
    """Why a connection was closed from this side; the value is part of the counters' names."""

    CLIENT_CLOSED = "client_closed"  # without open requests
    CLIENT_LEFT = "client_left"  # with open requests
    DUPLICATE_ID = "duplicate_id"
    FOR_ROOM = "for_room"
    HALF_MESSAGE = "half_message"
    IDLE = "idle"
    NO_ID = "no_id"
    OVER_LIMIT = "over_limit"
    REPEATED_ID = "repeated_id"
    SHUTDOWN = "shutdown"
    SILENT = "silent"
    UNKNOWN_KIND = "unknown_kind"


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that was read and not offered to the core yet."""

    uid: str
    content: Offer | InvalidRequestError  # the offer has no `ref` yet
    size_bytes: int
    arrived_us: int  # earliest possible arrival; the client's time counts from here
    read_us: int


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request and the call that results from it."""

    uid: str
    connection: int  # handle of the connection it came on
    ref: int = 0  # the front's handle, which the core passes back
    call: int = 0  # the core's handle; 0 while it is being offered
    answered: bool = False  # the call is established
    finished: bool = False  # needs no further message; about to be removed from the table


class RequestTable:
    """The open requests and the established calls, by handle and by id."""

    def __init__(self, size: int, recent_ids: RecentIds) -> None:
        self.recent_ids = recent_ids
        self._requests: SlotTable[ClientRequest] = SlotTable(size)
        self._by_uid: dict[str, ClientRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def full(self) -> bool:
        """Whether no further request can be added."""
        return self._requests.full

    def put(self, uid: str, connection: int) -> ClientRequest:
        """Add a request."""
        request = ClientRequest(uid, connection)
        request.ref = self._requests.put(request)
        self._by_uid[uid] = request
        return request

    def get(self, ref: int) -> ClientRequest | None:
        """Return a request by its handle."""
        return self._requests.get(ref)

    def find(self, uid: str) -> ClientRequest | None:
        """Return a request by its id, unless it is finished."""
        return self._by_uid.get(uid)

    def finish(self, request: ClientRequest, now_us: int) -> None:
        """Mark a request or a call as finished; its id is blocked for a while."""
        request.finished = True
        self._by_uid.pop(request.uid, None)
        self.recent_ids.add(request.uid, now_us)

    def remove(self, request: ClientRequest) -> None:
        """Remove a request from the table."""
        self._requests.pop(request.ref)
