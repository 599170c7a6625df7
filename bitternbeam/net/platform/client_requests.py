"""What is kept of clients: the states of a connection, the requests, and the table of those."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

from bitternbeam.net.platform.json_lines import Message
from bitternbeam.net.platform.recent_ids import RecentIds
from bitternbeam.tables.slots import SlotTable


class ConnectionState(Enum):
    """How far a connection has come; docs/lifecycles.md has the table of states and events."""

    OPEN = "open"
    REFUSING = "refusing"  # takes no further request, and closes once nothing is open on it
    CLOSING = "closing"  # all its answers are given and leaving; input is thrown away
    CLOSED = "closed"


class CloseCause(StrEnum):
    """Why a connection was closed from this side; the counters are named after it."""

    CLIENT_CLOSED = "client_closed"  # with nothing open
    CLIENT_LEFT = "client_left"  # with requests open
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
    """A request that was read and is not offered to the core yet."""

    uid: str
    message: Message
    arrived_us: int  # when it may have come at the earliest: its client waits since then


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request, and the call that it becomes: where its answer goes, how the core names it."""

    uid: str
    connection: int  # handle of the connection that it came on
    ref: int = 0  # the front's handle, by which the core names it to the front
    call: int = 0  # the core's handle; 0 while the core is being offered it
    answered: bool = False  # the call stands
    finished: bool = False  # nothing more is owed; it is taken from the table next


class RequestTable:
    """The requests that are open and the calls that stand, by handle and by id."""

    def __init__(self, size: int, recent_ids: RecentIds) -> None:
        self.recent_ids = recent_ids
        self._requests: SlotTable[ClientRequest] = SlotTable(size)
        self._by_uid: dict[str, ClientRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def full(self) -> bool:
        """Whether no further request can be put."""
        return self._requests.full

    def put(self, uid: str, connection: int) -> ClientRequest:
        """Keep a new request."""
        request = ClientRequest(uid, connection)
        request.ref = self._requests.put(request)
        self._by_uid[uid] = request
        return request

    def get(self, ref: int) -> ClientRequest | None:
        """Return a request by its handle."""
        return self._requests.get(ref)

    def find(self, uid: str) -> ClientRequest | None:
        """Return a request by its id, unless it is over."""
        return self._by_uid.get(uid)

    def finish(self, request: ClientRequest, now_us: int) -> None:
        """Mark a request or a call as over; its id is not to be used again yet."""
        request.finished = True
        self._by_uid.pop(request.uid, None)
        self.recent_ids.add(request.uid, now_us)

    def remove(self, request: ClientRequest) -> None:
        """Keep a request no more."""
        self._requests.pop(request.ref)
