"""What a controller keeps of its instance, each core switch and call between events: records, no choices."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import bitternbeam.decision.interface as api

Group = tuple[str, bool]  # class, and whether the call is within its tenant's share


@dataclass(slots=True)
class Switch:
    """What this gateway knows of a core switch."""

    name: str
    cell: int
    state: api.SwitchState = api.SwitchState.READY
    started_us: int = 0
    slow_start_since_us: int | None = None
    gap_start_us: int = 0  # the last send, or when it became cold or suspect
    gap_phase: float = 1.0  # of a gap, from then to the next send while cold or suspect
    budget: float = 0.0
    largest_budget: float = 0.0
    send_rate: float = 0.0  # first set-ups an interval, smoothed
    sent: int = 0  # first set-ups in this interval
    refused: bool = False  # a first set-up was, in this interval
    demand: dict[Group, float] = field(default_factory=lambda: defaultdict(float))  # an interval, smoothed
    credit: dict[Group, float] = field(default_factory=lambda: defaultdict(float))
    overloaded: bool = False  # the set point, in this interval
    load_samples: int = 0  # of its load, in this interval
    overload_samples: int = 0  # those above the set point
    wait_observed: bool = False  # a wait was told or felt in this interval
    reports_overload: bool = False  # its last report put it above the set point
    throttled_intervals: int = 0  # intervals for which it stays throttled
    unanswered: dict[str, int] = field(default_factory=dict)  # unanswered set-ups and when they were sent
    latest_answered_us: int = 0  # when the latest of the set-ups it answered was sent
    min_setup_us: int | None = None  # least set-up delay seen
    wait_us: float = 0.0
    wait_at_us: int = 0
    free_lines: float | None = None  # lines, when last told
    total_lines: float | None = None
    suspect: bool = False  # silent or cut off: only single trial set-ups
    suspect_since_us: int = -1_000_000_000  # long ago
    error_share: float = 0.0  # share of calls that failed here and stood elsewhere
    suspicion_logged: bool = False  # the staff were told that it is suspect
    may_be_dead: bool = False  # while suspect, a call was cut or a connection failed

    @property
    def paced(self) -> bool:
        """Whether it is in slow start or suspect, so that set-ups wait their turn."""
        return self.slow_start_since_us is not None or self.suspect

    @property
    def idle(self) -> bool:
        """Whether nothing was sent, told or felt in this interval, nothing is out and no memory runs out."""
        busy = (
            self.wait_observed or self.overloaded or self.throttled_intervals or self.sent or self.unanswered
        )
        return not busy and self.slow_start_since_us is None and self.largest_budget > 0


@dataclass(slots=True)
class Call:
    """A call this gateway owes an answer, or whose attempt is still out."""

    name: str
    call_class: api.CallClass
    cell: int
    group: Group
    aim_end_us: int
    deadline_us: int
    transit: bool
    max_attempts: int  # attempts
    allowed_tiers: tuple[api.Tier, ...] | None = None  # in order of preference; None: any switch
    attempts: int = 0
    pending_switch: Switch | None = None
    answered: bool = False
    finished: bool = False
    may_have_run: bool = False
    retry_not_before_us: int = 0  # release awaited until then
    failed_switches: list[Switch] = field(default_factory=list)
    error_switches: list[Switch] = field(default_factory=list)  # those among them that answered 'error'


@dataclass(eq=False, repr=False)
class InstanceState:
    """What one gateway was told and has seen so far."""

    settings: api.Settings
    random: Random
    interval_us: int  # a budget's
    wait_limit_us: float  # a longer wait at a switch is above the set point
    now_us: int = 0
    started: bool = False
    actions: list[api.Action] = field(default_factory=list)  # of the event in hand
    switches: dict[str, Switch] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    calls_by_timer: dict[int, str] = field(default_factory=dict)  # calls, by the timer they wait for
    last_timer_ref: int = 1  # the last timer reference given to a call; the interval has those up to it
    switches_changed: bool = False  # in this interval
    active_switches: dict[str, Switch] = field(
        default_factory=dict
    )  # considered in this interval, or not idle before
    pending_steps: list[Switch] = field(default_factory=list)  # to be stepped in this interval
    group_shares: dict[Group, float] = field(default_factory=dict)
    first_try_times_us: dict[str, int] = field(
        default_factory=dict
    )  # when a number was first called, oldest first
    observed_intervals: float = 0.0  # intervals of traffic seen, those past faded
    even_demand: float = 0.0  # set-ups asked for an interval, an even part of them to each switch
    answered_by_cell: dict[int, int] = field(default_factory=dict)  # set-ups answered so far, by cell
    answered_calls: float = 0.0  # set-ups, over all switches; those of past intervals fade
    arrived_calls: float = 0.0  # calls, redials as well; those of past intervals fade

    def __post_init__(self) -> None:
        """Index the settings, and begin to count the traffic."""
        classes = self.settings.classes
        self.classes_by_name = {kind.name: kind for kind in classes}
        self.class_cells = {cell for kind in classes for cell in kind.cells or ()}
        self.longest_deadline_us = max(kind.deadline_us for kind in classes)
        groups = [(name, within) for name in self.classes_by_name for within in (True, False)]
        self.group_counts: dict[Group, float] = dict.fromkeys(groups, 1.0)
        self.tenant_quotas = {tenant.name: tenant.quota_per_s for tenant in self.settings.tenants}
        self.tenant_counts = dict.fromkeys(self.tenant_quotas, 1.0)
        self.tenant_credit = dict.fromkeys(self.tenant_quotas, 1.0)
