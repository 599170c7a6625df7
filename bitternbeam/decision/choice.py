"""Every decision of a gateway's controller (types: bitternbeam/decision/interface.py, records: state.py).

The LC-Logic pool throttle of Nadjm-Tehrani et al. (2002) runs once per core switch: a budget of
set-ups an interval, split into quotas, spare quota pooled. docs/design.md names each departure.
"""

from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any

import bitternbeam.decision.interface as api
from bitternbeam.decision import budget, load, routing, slow_start, traffic
from bitternbeam.decision.probing import Probing
from bitternbeam.decision.state import Call, InstanceState, Switch

IDLE_RATE = 0.02  # set-ups an interval: a switch with fewer is not stepped
ANSWER_MARGIN_US = 60_000  # the final answer is given this long before the caller gives up
SILENT_WAIT_LIMITS = 4.0  # an attempt unanswered for so many limits finds a silent switch
RETRY_AFTER_INTERVALS = 0.4  # of an interval: a refused caller is asked to stay away so long
ERROR_WEIGHT = 0.2  # weight of one call in the share that a switch fails and others take
INTERVAL_TIMER, SLICE_TIMER = (
    0,
    1,
)  # timer references: the interval, its next slice; calls that wait use those above

READY, GONE = api.SwitchState.READY, api.SwitchState.GONE
NOT_EXECUTED = (api.Outcome.TURNED_AWAY, api.Outcome.NO_CONNECTION, api.Outcome.NOT_SENT)
MAY_HOLD_LINE = (
    api.Outcome.NO_ANSWER,
    api.Outcome.CUT,
    api.Outcome.CALLED_OFF,
)  # what it held may stay taken


class Controller(InstanceState):
    """The decisions of one instance."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, Random(seed), *load.interval_and_wait_limit(settings))
        self.probing = Probing(settings, self.random)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.NewCall: self.new_call,
            api.AttemptAnswered: self.attempt_answered,
            api.AttemptEnded: self.attempt_ended,
            api.TimerDue: self.timer_due,
            api.ProbeAnswer: self.probe_answered,
            api.ListEvent: self.list_changed,
            api.Withdrawn: self.call_withdrawn,
        }

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take one event and return what is to be done, in order."""
        if now_us < self.now_us:
            raise ValueError(f"the clock ran backwards: {now_us} after {self.now_us}")
        self.now_us, self.actions = now_us, []
        if not self.started:
            self.started = True
            # A phase of its own keeps the gateways from stepping together.
            wait_us = int(self.interval_us * self.random.uniform(0.5, 1.5))
            self.actions.append(api.SetTimer(now_us + wait_us, INTERVAL_TIMER))
            if self.settings.must_subscribe:
                self.actions.append(api.Subscribe())
        if handler := self.handlers.get(type(event)):
            handler(event)
        return self.actions

    def list_changed(self, event: api.ListEvent) -> None:
        """Bring the list up to date; a fresh start makes a switch cold."""
        self.switches_changed = True
        if event.kind is api.ListKind.FAILED and self.settings.must_subscribe:
            self.set_timer(load.SECOND_US, "")
        if event.kind in (api.ListKind.COMPLETE, api.ListKind.CACHED):
            for name in self.switches.keys() - {entry.switch for entry in event.entries}:
                self.switches[name].state = GONE
        cells: dict[int, list[Switch]] = defaultdict(list)  # or each of 10,000 switches looks at them all
        for switch in self.switches.values():
            cells[switch.cell].append(switch)
        for entry in event.entries:
            known = self.switches.get(entry.switch)
            if known is None:
                known = self.switches[entry.switch] = Switch(entry.switch, entry.cell)
                budget.inherit_budget(known, cells[entry.cell])
                cells[entry.cell].append(known)
            left = known.state is READY and entry.state is not READY
            if known.cell != entry.cell:
                cells[known.cell].remove(known)
                cells[entry.cell].append(known)
            known.state, known.cell = entry.state, entry.cell
            for heir in cells[known.cell] if left else ():
                if heir.state is READY:
                    budget.inherit_budget(heir, cells[known.cell])
            if entry.started_at_us > known.started_us:
                known.started_us, known.suspect = entry.started_at_us, False
                slow_start.begin_slow_start(self, known, entry.started_at_us)
                slow_start.draw_phase(self, known)

    def probe_answered(self, event: api.ProbeAnswer) -> None:
        """Take a probe's report; without one, the probe itself waited in line."""
        if switch := self.switches.get(event.switch):
            self.active_switches[switch.name] = switch
            if event.report:
                load.apply_report(self, switch, event.report)
            else:
                load.record_wait(self, switch, event.took_us)

    def run_interval(self) -> None:
        """Share out the next interval's allowances, probe, and begin to step the budgets."""
        if self.switches_changed:
            left = {
                name: one for name, one in self.switches.items() if one.state is not GONE or one.unanswered
            }
            cells = self.class_cells | {one.cell for one in left.values()}
            self.answered_by_cell = {
                cell: count for cell, count in self.answered_by_cell.items() if cell in cells
            }
            self.switches_changed, self.switches, self.active_switches = False, left, left
        traffic.update_group_shares(self)
        self.actions += [api.Probe(name) for name in self.probing.switches_to_probe(self.switches.values())]
        self.pending_steps = [
            s
            for s in self.active_switches.values()
            if s.state is READY and not (s.idle and s.send_rate < IDLE_RATE)
        ]
        self.active_switches = {one.name: one for one in self.pending_steps}

    def new_call(self, event: api.NewCall) -> None:
        """Take a call: send it or refuse it, now."""
        if (kind := self.classes_by_name.get(event.call_class)) is None:
            raise ValueError(f"call {event.call}: class {event.call_class!r} is not in the settings")
        group, aim_us = traffic.count_arrival(self, event, kind)
        end_us = self.now_us + event.left_us - ANSWER_MARGIN_US
        most = self.settings.max_attempts if event.max_attempts is None else event.max_attempts
        call = Call(event.call, kind, event.cell, group, aim_us, end_us, event.transit, most, event.allowed)
        self.calls[call.name] = call
        self.route_call(call)

    def route_call(self, call: Call) -> None:
        """Send a call to the switch the route gives, or give its final answer."""
        first = call.attempts == 0
        choices = routing.candidate_switches(self, call)
        taken = next((s for s in choices if not load.is_throttled(s) or s.credit[call.group] >= 1), None)
        if first and choices:
            (taken or choices[0]).demand[call.group] += 1 - budget.COUNT_KEPT
        if taken:
            taken.send_rate += (1 - budget.COUNT_KEPT) * first
            taken.sent += first
            taken.credit[call.group] -= 1
            self.send_call(call, taken)
            return
        for switch in choices:
            switch.refused |= first and not routing.is_failing(self, switch)
        self.give_final_answer(call)

    def send_call(self, call: Call, switch: Switch) -> None:
        """Send a set-up; the wait for it ends with the aim, as later ones earn little and cost work."""
        now = self.now_us
        switch.gap_start_us, switch.gap_phase = now, 1.0
        if switch.free_lines is not None:
            switch.free_lines -= 1
        call.attempts += 1
        call.pending_switch, switch.unanswered[call.name] = switch, now
        self.actions.append(
            api.Send(call.name, switch.name, max(1, min(call.aim_end_us, call.deadline_us) - now))
        )

    def call_withdrawn(self, event: api.Withdrawn) -> None:
        """Owe a caller who left nothing more."""
        if call := self.calls.get(event.call):
            self.finish_call(call)

    def give_final_answer(self, call: Call) -> None:
        """Give the final answer."""
        safe = call.call_class.effect is api.Effect.REPEATABLE or not call.may_have_run
        # Allowances grow by the interval: a caller soon back, still within its aim, often finds one.
        away_us = min(int(RETRY_AFTER_INTERVALS * self.interval_us), self.settings.max_stay_away_us)
        self.actions.append(api.Refuse(call.name, away_us) if safe else api.Fail(call.name))
        self.finish_call(call)

    def finish_call(self, call: Call) -> None:
        """Nothing more is owed; keep the call only while its attempt is out."""
        call.finished = True
        if call.pending_switch is None and not call.answered:
            self.calls.pop(call.name, None)

    def attempt_answered(self, event: api.AttemptAnswered) -> None:
        """Note an answer: the delay is the best measure of the switch's load."""
        switch, call = self.switches.get(event.switch), self.calls.get(event.call)
        if switch is None or call is None:
            return
        call.answered, call.pending_switch = True, None
        switch.latest_answered_us = max(switch.latest_answered_us, switch.unanswered.pop(call.name, 0))
        if switch.suspect:
            slow_start.clear_suspect(self, switch)
        # Danger: a switch that fails at once looks idle, and draws more. A call that fails everywhere, as a
        # caller's nonsense does, tells nothing of it: it is blamed for what another then answered.
        for failed in call.error_switches:
            failed.error_share += ERROR_WEIGHT * (1 - failed.error_share)
        switch.error_share *= 1 - ERROR_WEIGHT
        self.answered_calls += 1
        self.answered_by_cell[switch.cell] = self.answered_by_cell.get(switch.cell, 0) + 1
        switch.min_setup_us = min(switch.min_setup_us or event.took_us, event.took_us)
        load.record_wait(self, switch, event.took_us - switch.min_setup_us)

    def attempt_ended(self, event: api.AttemptEnded) -> None:
        """Learn from an outcome; try again elsewhere while that can be in time."""
        switch, call = self.switches.get(event.switch), self.calls.get(event.call)
        if call is None:
            return
        call.pending_switch, call.answered = None, False
        if switch:  # else it is gone and forgotten; an answer may still be owed
            self.active_switches[switch.name] = switch
            if switch.free_lines is not None and event.outcome not in MAY_HOLD_LINE:
                # Danger: where lines are told seldom, those used up one by one left a switch idle for ever.
                switch.free_lines = min(switch.free_lines + 1, switch.total_lines or switch.free_lines + 1)
            self.learn_from_outcome(
                switch, event, overtaken=switch.unanswered.pop(call.name, 0) < switch.latest_answered_us
            )
            call.failed_switches.append(switch)
        if event.finished or call.finished:
            self.finish_call(call)
            return
        call.may_have_run |= event.outcome not in NOT_EXECUTED
        if switch and event.outcome is api.Outcome.ERROR:
            call.error_switches.append(switch)
        if event.outcome in MAY_HOLD_LINE:
            call.retry_not_before_us = self.now_us + self.settings.release_wait_us
        if self.now_us < call.retry_not_before_us < call.aim_end_us:
            self.set_timer(call.retry_not_before_us - self.now_us, call.name)
        else:
            self.route_call(call)

    def learn_from_outcome(self, switch: Switch, event: api.AttemptEnded, overtaken: bool) -> None:
        """Take an outcome as evidence of a switch's state."""
        if event.report:
            load.apply_report(self, switch, event.report)
        if event.outcome is api.Outcome.TURNED_AWAY and event.processor_full:
            load.record_wait(self, switch, max(event.wait_hint_ms * 1000.0, 4 * self.wait_limit_us))
        elif event.outcome is api.Outcome.TURNED_AWAY and event.no_line:
            switch.free_lines = 0  # until the next report: a set-up that finds no line is work for nothing
        elif event.outcome is api.Outcome.NO_ANSWER and not overtaken:
            switch.overloaded = True
            load.record_wait(self, switch, event.took_us)
            if event.took_us > SILENT_WAIT_LIMITS * self.wait_limit_us:
                slow_start.mark_suspect(self, switch, event.outcome)
        elif event.outcome in (api.Outcome.NO_CONNECTION, api.Outcome.CUT) and not event.connection_fault:
            # Danger: connections break under sound switches too, and a suspect one is left only trials.
            slow_start.mark_suspect(self, switch, event.outcome)

    def set_timer(self, wait_us: int, call: str) -> None:
        """Come back to a call (or, with no name, to the subscription) after a wait."""
        self.last_timer_ref += 1
        self.calls_by_timer[self.last_timer_ref] = call
        self.actions.append(api.SetTimer(self.now_us + wait_us, self.last_timer_ref))

    def timer_due(self, event: api.TimerDue) -> None:
        """Run the interval, or go on with a call that waited for its release."""
        if event.ref == INTERVAL_TIMER:
            self.actions.append(api.SetTimer(self.now_us + self.interval_us, INTERVAL_TIMER))
            self.run_interval()
        if event.ref in (INTERVAL_TIMER, SLICE_TIMER) and budget.step_next_slice(self):
            self.actions.append(api.SetTimer(self.now_us + budget.SLICE_GAP_US, SLICE_TIMER))
        name = self.calls_by_timer.pop(event.ref, None)
        if name == "":
            self.actions.append(api.Subscribe())
        elif (call := self.calls.get(name or "")) and not (
            call.finished or call.pending_switch or call.answered
        ):
            self.route_call(call)
