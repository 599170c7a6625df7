"""Types exchanged with the controller: settings, events and actions; times are microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeated set-up of a call may do."""

    REPEATABLE = "repeatable"
    BY_KEY = "by key"
    ONCE = "once"


class SwitchState(Enum):
    """What the list says of a core switch."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list already held."""

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
    """One class of call and what it is worth."""

    name: str
    aim_us: int
    deadline_us: int  # how long a caller keeps trying
    worth: float
    late_worth: float = 0.0
    effect: Effect = Effect.REPEATABLE
    cells: tuple[int, ...] | None = None  # cells it may be sent to; None: any


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's agreed part of the service; the quota is over all gateways."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a controller is told at its start."""

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
    max_stay_away_us: int = 0  # 0: callers take no advice

    def __post_init__(self) -> None:
        """Refuse settings that no decision could be made from."""
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
    """A line of the list of core switches."""

    switch: str
    cell: int
    state: SwitchState
    started_at_us: int = 0  # 0: long ago


@dataclass(frozen=True, slots=True)
class Report:
    """What a core switch says of its processor; None where it does not say."""

    queue_length: float | None = None  # set-ups in line
    wait_ms: float | None = None
    utilization: float | None = None  # share of the processor, 0 to 1
    capacity_per_s: float | None = None  # new set-ups a second from all gateways
    shed_share: float | None = None  # share of new set-ups to withhold, 0 to 1
    free_lines: float | None = None  # lines
    total_lines: float | None = None  # lines in all


@dataclass(frozen=True, slots=True)
class ListEvent:
    """News of the list of core switches."""

    kind: ListKind
    entries: tuple[SwitchEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Tier:
    """Switches that a call may go to, by name or by cell, as good as each other but for their weights."""

    switches: Mapping[str, float]  # by name, with their weights
    cells: frozenset[int] = frozenset()
    excluded: frozenset[str] = frozenset()  # not to be used, whatever their cell
    weights: Mapping[str, float] = field(default_factory=dict)  # of those in the cells; 1 unless said

    def contains(self, switch: str, cell: int) -> bool:
        """Tell whether a switch belongs to it."""
        return switch in self.switches or (cell in self.cells and switch not in self.excluded)

    def weight(self, switch: str) -> float:
        """Return a switch's weight."""
        return self.switches.get(switch) or self.weights.get(switch, 1.0)


@dataclass(frozen=True, slots=True)
class NewCall:
    """A call is handed over; one final answer is owed within left_us."""

    call: str
    call_class: str
    cell: int
    left_us: int
    number: str = ""  # called; empty: not told
    tenant: str | None = None
    redial: bool = False
    transit: bool = False
    again: bool = False
    suggested_cell: int | None = None  # cell a centre saw most room at
    allowed: tuple[Tier, ...] | None = None  # in order of preference; None: any switch
    max_attempts: int | None = None  # at the most; None: as the settings say


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt was answered: the call stands until it ends."""

    call: str
    attempt: int
    switch: str
    took_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's one outcome; finished: nothing more is owed for the call."""

    call: str
    attempt: int
    switch: str
    outcome: Outcome
    took_us: int
    finished: bool
    processor_full: bool = False
    no_line: bool = False  # every line of the switch was taken
    wait_hint_ms: int = 0
    connection_fault: bool = False  # cut by its connection alone, which tells nothing of the switch
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller left; nothing more is owed for the call."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the controller fell due."""

    ref: int


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """What a probe brought; report is None when the switch did not answer it."""

    switch: str
    took_us: int
    report: Report | None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another instance."""

    peer: int
    data: bytes


Event = (
    ListEvent | NewCall | AttemptAnswered | AttemptEnded | Withdrawn | TimerDue | ProbeAnswer | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a set-up for the call; give up waiting after give_up_us."""

    call: str
    switch: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away; stay_away_us is advice, 0 for none."""

    call: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up."""

    call: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

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
    """Ask to be told of changes to the list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log
