"""The core's records: what a front offers, the call it becomes, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternbeam.decision.interface import Outcome, Report, Tier
from bitternbeam.tables.deadlines import Deadline


@dataclass(frozen=True, slots=True)
class Offer:
    """A call as a front hands it over; the core reads no description."""

    uid: str
    call_class: str
    cell: int  # of the booker of first choice
    left_us: int  # from taken_us on
    received_us: int
    number: str
    body: object  # the description, passed on as it is
    ref: int = 0  # the front's own handle, given back with every answer
    redial: bool = False
    again: bool = False
    client: str = ""  # its address; empty: not told


@dataclass(frozen=True, slots=True)
class Plan:
    """What one version of the configuration says of a call: pinned at the offer, for all attempts."""

    version: str = ""
    allowed: tuple[Tier, ...] | None = None  # in order of preference; None: every listed booker
    max_attempts: int | None = None  # at the most; None: as the settings say
    answer_in_us: int | None = (
        None  # the final answer comes so long after the call; None: when its caller leaves
    )
    client: str = ""  # whose limits count it
    differs_from_previous: bool = False  # the version before would have said something else
    previous_allowed: tuple[Tier, ...] | None = None  # what it allowed, where the two differ


NO_PLAN = Plan()


class CallState(Enum):
    """How far a call has come."""

    PENDING = "pending"  # its final answer is owed
    ESTABLISHED = "standing"
    ENDED = "over"  # nothing more is owed; an attempt may still be out


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up on its way to a booker."""

    call_handle: int  # the call's handle
    number: int  # 0, 1, 2 ... within the call
    booker: str
    offer: Offer
    timeout_us: int  # how long it is waited for
    decided_us: int  # when it was decided on
    server_started_us: int = 0  # the server's last start, as it was listed then
    unsent: bool = False  # it waits for a connection: it surely has not run
    deadline: Deadline | None = None
    cancel_outcome: Outcome | None = None  # told to the back; its end is still to come


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, as a back tells it."""

    outcome: Outcome
    processor_full: bool = False
    no_line: bool = False
    report: Report | None = None
    connection_broken: bool = False  # its connection broke under it, which tells nothing of the booker
