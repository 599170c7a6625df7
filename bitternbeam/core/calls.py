"""The core's records: what a front offers, the call it becomes, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from bitternbeam.decision.interface import Outcome, Report
from bitternbeam.tables.deadlines import Deadline

if TYPE_CHECKING:
    from bitternbeam.core.ports import Front


@dataclass(frozen=True, slots=True)
class Offer:
    """A call as a front hands it over; the core reads no description."""

    uid: str
    call_class: str
    cell: int  # of the booker of first choice
    left_us: int  # from taken_us on
    taken_us: int
    number: str
    body: object  # the description, passed on as it is
    ref: int = 0  # the front's own handle, given back with every answer
    redial: bool = False
    again: bool = False


class State(Enum):
    """How far a call has come."""

    PENDING = "pending"  # its final answer is owed
    STANDING = "standing"
    OVER = "over"  # nothing more is owed; an attempt may still be out


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up on its way to a booker."""

    call: int  # the call's handle
    number: int  # 0, 1, 2 ... within the call
    booker: str
    offer: Offer
    left_us: int  # how long it is waited for
    sent_us: int
    deadline: Deadline | None = None
    given_up: Outcome | None = None  # told to the back; its end is still to come


@dataclass(frozen=True, slots=True)
class End:
    """How an attempt ended, as a back tells it."""

    outcome: Outcome
    processor_full: bool = False
    no_line: bool = False
    report: Report | None = None
    spoilt: bool = False  # its connection broke under it, which tells nothing of the booker


@dataclass(slots=True, eq=False)
class Call:
    """A call that the core keeps until nothing is owed and nothing is out."""

    offer: Offer
    front: Front
    handle: int = 0
    state: State = State.PENDING
    attempts: int = 0
    out: Attempt | None = None  # sent and not answered, or standing
    outcome: Outcome = Outcome.NOT_SENT  # of its last attempt
    held_until_us: int = 0  # a release is awaited until then
    deadline: Deadline | None = None
