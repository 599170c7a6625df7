"""The core's records of offers, plans and attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternbeam.decision.interface import Outcome, Report, Tier
from bitternbeam.tables.deadlines import Deadline


@dataclass(frozen=True, slots=True)
class Offer:
    """A call as a frontend hands it over; the core does not read its description."""

    uid: str
    call_class: str
    cell: int  # of the preferred booker
    left_us: int  # counted from received_us
    received_us: int
    number: str
    body: object  # the description, passed on unchanged
    ref: int = 0  # the frontend's handle, passed back with every answer
    redial: bool = False
    again: bool = False
    client: str = ""  # its address; empty if unknown


@dataclass(frozen=True, slots=True)
class Plan:
    """What one configuration version allows a call; fixed at the offer for all attempts."""

    version: str = ""
    allowed: tuple[Tier, ...] | None = None  # in order of preference; None: all listed bookers
    max_attempts: int | None = None  # None: as in the settings
    answer_in_us: int | None = (
        None  # latest final answer after the call arrived; None: when its client leaves
    )
    client: str = ""  # whose limits apply to the call
    differs_from_previous: bool = False  # whether the previous version has another plan
    previous_allowed: tuple[Tier, ...] | None = None  # what the previous version allowed, if it differs


NO_PLAN = Plan()


class CallState(Enum):
    """The progress of a call."""

    PENDING = "pending"  # no final answer yet
    ESTABLISHED = "standing"
    ENDED = "over"  # finally answered or released; an attempt may still be in flight


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a call at a booker."""

    call_handle: int  # the call's slot in the call table
    number: int  # 0, 1, 2 ... within the call
    booker: str
    offer: Offer
    timeout_us: int  # how long its answer is waited for
    decided_us: int  # time of the decision to send it
    server_started_us: int = 0  # the server's last start as listed at that time
    unsent: bool = False  # waits for a connection, so it has certainly not run
    deadline: Deadline | None = None
    cancel_outcome: Outcome | None = None  # the outcome once the backend has cancelled it


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, as reported by the backend."""

    outcome: Outcome
    processor_full: bool = False
    no_line: bool = False
    report: Report | None = None
    connection_broken: bool = False  # says nothing about the booker itself
