"""Records that a controller keeps between events: of its instance, each switch and each call."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import bitternbeam.decision.interface as api

Group = tuple[str, bool]  # class, and whether the call is within its tenant's share


@dataclass(slots=True)
class Switch:
    """What this instance knows of a switch. `_us` fields are times or durations in microseconds."""

    name: str
    cell: int
    state: api.SwitchState = api.SwitchState.READY
    started_us: int = 0
    slow_start_since_us: int | None = None
    gap_start_us: int = 0  # the last send, or the start of slow start or suspicion
    gap_phase: float = 1.0  # gaps from then to the next send while paced
    budget: float = 0.0
    largest_budget: float = 0.0
    send_rate: float = 0.0  # first set-ups per interval, smoothed
    sent: int = 0  # first set-ups in this interval
    refused: bool = False  # a first set-up was refused in this interval
    demand: dict[Group, float] = field(default_factory=lambda: defaultdict(float))  # per interval, smoothed
    credit: dict[Group, float] = field(default_factory=lambda: defaultdict(float))
    overloaded: bool = False  # in this interval
    load_samples: int = 0  # in this interval
    overload_samples: int = 0  # samples that showed overload
    wait_observed: bool = False  # a wait was reported or measured in this interval
    reports_overload: bool = False  # its last report showed overload
    throttled_intervals: int = 0  # remaining
    unanswered: dict[str, int] = field(default_factory=dict)  # send times of pending set-ups, by call
    latest_answered_us: int = 0  # latest send time of an answered set-up
    min_setup_us: int | None = None  # least set-up delay observed
    wait_us: float = 0.0  # smoothed
    wait_at_us: int = 0  # time of the last wait sample
    free_lines: float | None = None  # as last reported, less set-ups sent since
    total_lines: float | None = None
    suspect: bool = False  # silent or disconnected: gets only single trial set-ups
    suspect_since_us: int = -1_000_000_000  # long ago
    error_share: float = 0.0  # smoothed share of calls that failed here and were answered elsewhere
    suspicion_logged: bool = False  # the current suspicion was logged
    may_be_dead: bool = (
        False  # while suspect, a call was cut or a connection failed, so it may have restarted
    )

    @property
    def paced(self) -> bool:
        """Whether the switch is in slow start or suspect, so that set-ups to it are paced."""
        return self.slow_start_since_us is not None or self.suspect

    @property
    def idle(self) -> bool:
        """Whether nothing happened in this interval, nothing is pending and no throttle has to lapse."""
        busy = (
            self.wait_observed or self.overloaded or self.throttled_intervals or self.sent or self.unanswered
        )
        return not busy and self.slow_start_since_us is None and self.largest_budget > 0


@dataclass(slots=True)
class Call:
    """A call that is owed an answer, or whose attempt is still pending."""

    name: str
    call_class: api.CallClass
    cell: int
    group: Group
    aim_end_us: int
    deadline_us: int
    transit: bool
    max_attempts: int
    allowed_tiers: tuple[api.Tier, ...] | None = None  # in order of preference; None: any switch
    attempts: int = 0
    pending_switch: Switch | None = None
    answered: bool = False
    finished: bool = False
    may_have_run: bool = False
    retry_not_before_us: int = 0  # the release of the last attempt is awaited until then
    failed_switches: list[Switch] = field(default_factory=list)
    error_switches: list[Switch] = field(
        default_factory=list
    )  # of failed_switches, those that answered with an error


@dataclass(eq=False, repr=False)
class InstanceState:
    """What one instance was told and has observed so far."""

    settings: api.Settings
    random: Random
    interval_us: int  # of the budgets
    wait_limit_us: float  # a longer wait at a switch shows overload
    now_us: int = 0
    started: bool = False
    actions: list[api.Action] = field(default_factory=list)  # of the current event
    switches: dict[str, Switch] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    calls_by_timer: dict[int, str] = field(
        default_factory=dict
    )  # by timer reference; empty: the subscription
    last_timer_ref: int = 1  # up to 1: the interval and its slices
    switches_changed: bool = False  # a list event came in this interval
    # Considered in this interval, or not idle in the last one.
    active_switches: dict[str, Switch] = field(default_factory=dict)
    pending_steps: list[Switch] = field(default_factory=list)  # budgets still to step in this interval
    group_shares: dict[Group, float] = field(default_factory=dict)
    # When a number was first called, oldest first.
    first_try_times_us: dict[str, int] = field(default_factory=dict)
    observed_intervals: float = 0.0  # decayed count of intervals with traffic
    even_demand: float = 0.0  # set-ups asked for per interval, divided evenly among the switches
    answered_by_cell: dict[int, int] = field(default_factory=dict)  # set-ups answered so far, by cell
    answered_calls: float = 0.0  # decayed count of set-ups, over all switches
    arrived_calls: float = 0.0  # decayed count of calls, including redials

    def __post_init__(self) -> None:
        """Index the settings and initialize the traffic counts."""
        classes = self.settings.classes
        self.classes_by_name = {kind.name: kind for kind in classes}
        self.class_cells = {cell for kind in classes for cell in kind.cells or ()}
        self.longest_deadline_us = max(kind.deadline_us for kind in classes)
        groups = [(name, within) for name in self.classes_by_name for within in (True, False)]
        self.group_counts: dict[Group, float] = dict.fromkeys(groups, 1.0)
        self.tenant_quotas = {tenant.name: tenant.quota_per_s for tenant in self.settings.tenants}
        self.tenant_counts = dict.fromkeys(self.tenant_quotas, 1.0)
        self.tenant_credit = dict.fromkeys(self.tenant_quotas, 1.0)
