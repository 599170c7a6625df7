"""Types exchanged with the controller: settings, events and actions; times are microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Effect of repeating a set-up of a call."""

    REPEATABLE = "repeatable"
    BY_KEY = "by key"
    ONCE = "once"


class SwitchState(Enum):
    """State of a switch in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the known list."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    NO_ANSWER = "no answer"
    NO_CONNECTION = "no connection"
    CUT = "cut"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of call: its deadlines and worth."""

    name: str
    aim_us: int
    deadline_us: int  # how long a client keeps trying
    worth: float
    late_worth: float = 0.0
    effect: Effect = Effect.REPEATABLE
    cells: tuple[int, ...] | None = None  # cells it may be sent to; None: any


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's agreed quota of calls, summed over all instances."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a controller, fixed at its start."""

    gateways: int
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    max_attempts: int
    may_probe: bool
    may_cancel: bool
    must_subscribe: bool
    release_wait_us: int
    resend_us: int
    tells_wait: bool
    own_cell: int | None
    cold_from: float
    warm_after_us: int
    fall_multiple: float
    fall_us: int
    max_stay_away_us: int = 0  # 0: clients ignore retry advice

    def __post_init__(self) -> None:
        """Raise ValueError for settings that cannot be used."""
        for name in ("gateways", "max_attempts", "fall_multiple", "fall_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"settings: {name} must be above 0")
        for name in ("release_wait_us", "resend_us", "warm_after_us", "over_share_worth", "max_stay_away_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must not be negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("settings: cold_from must be above 0 and at most 1")
        if not self.classes:
            raise ValueError("settings: at least one class is needed")
        for names in ([item.name for item in self.classes], [tenant.name for tenant in self.tenants]):
            if len(set(names)) < len(names) or "" in names:
                raise ValueError("settings: classes and tenants need names of their own")
        for item in self.classes:
            if item.aim_us <= 0 or item.deadline_us <= 0 or item.worth < 0 or item.late_worth < 0:
                raise ValueError(f"settings: class {item.name}: times must be above 0, worth not negative")
        for tenant in self.tenants:
            if tenant.quota_per_s < 0:
                raise ValueError(f"settings: tenant {tenant.name}: quota must not be negative")


@dataclass(frozen=True, slots=True)
class SwitchEntry:
    """An entry of the list of switches."""

    switch: str
    cell: int
    state: SwitchState
    started_at_us: int = 0  # 0: unknown or long ago


@dataclass(frozen=True, slots=True)
class Report:
    """A switch's report of its own load; None for values that it does not give."""

    queue_length: float | None = None  # queued set-ups
    wait_ms: float | None = None
    utilization: float | None = None  # 0 to 1
    capacity_per_s: float | None = None  # new set-ups per second, from all instances
    shed_share: float | None = None  # share of new set-ups to withhold, 0 to 1
    free_lines: float | None = None
    total_lines: float | None = None


@dataclass(frozen=True, slots=True)
class ListEvent:
    """The list of switches, or changes to it."""

    kind: ListKind
    entries: tuple[SwitchEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Tier:
    """Equally preferred switches for a call, by name or by cell, with weights."""

    switches: Mapping[str, float]  # weights by name
    cells: frozenset[int] = frozenset()
    excluded: frozenset[str] = frozenset()  # never used, whatever their cell
    weights: Mapping[str, float] = field(default_factory=dict)  # of switches in the cells; 1 by default

    def contains(self, switch: str, cell: int) -> bool:
        """Return whether a switch belongs to the tier."""
        return switch in self.switches or (cell in self.cells and switch not in self.excluded)

    def weight(self, switch: str) -> float:
        """Return a switch's weight."""
        return self.switches.get(switch) or self.weights.get(switch, 1.0)


@dataclass(frozen=True, slots=True)
class NewCall:
    """A new call; one final answer is owed within left_us microseconds."""

    call: str
    call_class: str
    cell: int
    left_us: int
    number: str = ""  # the called number; empty: unknown
    tenant: str | None = None
    redial: bool = False
    transit: bool = False
    again: bool = False
    suggested_cell: int | None = None  # the cell with most free capacity, as reported with the call
    allowed: tuple[Tier, ...] | None = None  # in order of preference; None: any switch
    max_attempts: int | None = None  # None: as in the settings


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt was answered; the call is established until AttemptEnded."""

    call: str
    attempt: int
    switch: str
    took_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended, once. finished: no answer is owed for the call any more."""

    call: str
    attempt: int
    switch: str
    outcome: Outcome
    took_us: int
    finished: bool
    processor_full: bool = False
    no_line: bool = False  # all lines of the switch were in use
    wait_hint_ms: int = 0
    connection_fault: bool = False  # only the connection failed, so the switch may be healthy
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client withdrew the call; no answer is owed."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the controller expired."""

    ref: int


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Result of a probe; report is None if the switch did not answer."""

    switch: str
    took_us: int
    report: Report | None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another instance."""

    peer: int
    data: bytes


Event = (
    ListEvent | NewCall | AttemptAnswered | AttemptEnded | Withdrawn | TimerDue | ProbeAnswer | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a set-up for the call; the wait for its answer ends after timeout_us."""

    call: str
    switch: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: rejected, safe to retry; retry_after_us is advice, 0 for none."""

    call: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, possibly executed; not safe to retry."""

    call: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a pending attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerDue(ref) at or after at_us."""

    at_us: int
    ref: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a switch for its report."""

    switch: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log
