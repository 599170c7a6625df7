"""A model of the lease protocol: processes with Session and Claim, the stand-in engine, a fenced receiver.

Each process has at most one request in flight to the engine; an action, once sent, may reach the receiver
at any later time. A paused process neither ticks nor sends, and its answers wait until it resumes.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass, field

from bitternbeam.fleet.claim import Claim, Step
from bitternbeam.fleet.lease import LeaseTimes, Session
from bitternbeam.fleet.tokens import Fence, Token
from standins.consul.engine import Engine

KEY = "bitternbeam/work/probe/b1"
TIMES = LeaseTimes(
    ttl_us=3_000_000, lock_delay_us=500_000, margin_us=1_200_000, pause_us=500_000, tick_us=100_000
)


@dataclass
class Process:
    """One member of the fleet in the model."""

    name: str
    session: Session
    claim: Claim
    paused: bool = False
    asked: Step | None = None  # a request in flight
    asked_us: int = 0
    create_asked: bool = False


@dataclass
class Model:
    """Processes, engine and receiver; `now_us` moves only forward."""

    count: int = 3
    now_us: int = 0
    engine: Engine = field(default_factory=Engine)
    fence: Fence = field(default_factory=Fence)
    processes: list[Process] = field(default_factory=list)
    acts: list[tuple[str, Token]] = field(default_factory=list)  # sent, not yet at the receiver
    accepted: list[tuple[int, str, Token]] = field(default_factory=list)
    restarted_us: int = -1

    def __post_init__(self) -> None:
        for number in range(self.count):
            name = f"p{number}"
            self.processes.append(Process(name, Session(TIMES, 0), Claim(KEY, name, TIMES)))

    def advance(self, step_us: int) -> None:
        """Advance the time; the engine expires sessions and running processes tick."""
        self.now_us += step_us
        self.engine.expire(self.now_us)
        for one in self.processes:
            if not one.paused:
                one.session.tick(self.now_us)

    def send(self, one: Process) -> None:
        """Let a running process send its next request: a session, a renewal, or its claim's next step."""
        if one.paused or one.asked is not None or one.create_asked:
            return
        session, now = one.session, self.now_us
        if session.id is None:
            one.create_asked, one.asked_us = True, now
            return
        if session.renew_due(now):
            one.asked, one.asked_us = None, now
            alive = self.engine.renew(session.id, now)
            if alive:
                session.renewed(session.id, now)
            else:
                session.expire()
            return
        step = one.claim.next_step(now, session, wanted=True)
        if step is not None:
            one.asked, one.asked_us = step, now

    def answer(self, one: Process) -> None:
        """Let the engine handle a process's request; the answer arrives at once unless it is paused."""
        if one.paused:
            return
        now, engine, claim = self.now_us, self.engine, one.claim
        if one.create_asked:
            one.create_asked = False
            made = engine.create_session({"TTL": f"{TIMES.ttl_us // 1000}ms", "LockDelay": "500ms"}, now)
            one.session.created(made, one.asked_us)
            return
        step, one.asked = one.asked, None
        session_id = one.session.id
        if step is None:
            return
        if session_id is None or session_id not in engine.sessions:
            claim.request_failed() if step is not Step.RELEASE else claim.released()
            if step is Step.CHECK:
                claim.check_answered(None, one.session)
            if session_id is not None:
                one.session.expire()
            return
        if step is Step.ACQUIRE:
            claim.acquire_answered(engine.put(KEY, one.name.encode(), {"acquire": session_id}, now), now)
        elif step is Step.READ_COUNTER:
            _index, found = engine.read(KEY + "/token", False, now)
            claim.counter_read(
                int(_value(found[0])), found[0]["ModifyIndex"]
            ) if found else claim.counter_read(0, 0)
        elif step is Step.WRITE_COUNTER:
            number = claim.number_to_write()
            done = engine.put(KEY + "/token", str(number).encode(), {"cas": str(claim.counter_index)}, now)
            claim.counter_written(done)
        elif step is Step.CHECK:
            _index, found = engine.read(KEY, False, now)
            claim.check_answered(found[0].get("Session") if found else None, one.session)
        elif step is Step.RELEASE:
            engine.put(KEY, b"", {"release": session_id}, now)
            claim.released()

    def act(self, one: Process) -> None:
        """Send an action of a process that may act; it is then in flight to the receiver."""
        if not one.paused:
            token = one.claim.may_act(self.now_us, one.session)
            if token is not None:
                self.acts.append((one.name, token))

    def arrive(self, index: int) -> None:
        """Let the receiver decide on one action in flight."""
        if not self.acts:
            return
        name, token = self.acts.pop(index % len(self.acts))
        verdict = self.fence.admit(token)
        if verdict.accepted:
            self.accepted.append((self.now_us, name, token))
        else:
            holder = self.processes[int(name[1:])]
            holder.claim.act_refused(verdict.highest)

    def believers(self) -> list[str]:
        """Return the processes that would act now."""
        return [one.name for one in self.processes if one.claim.may_act(self.now_us, one.session) is not None]


def _value(entry: dict[str, object]) -> str:
    told = entry.get("Value")
    return base64.b64decode(str(told)).decode() if told else "0"


def interleaved(accepted: list[tuple[int, str, Token]]) -> bool:
    """Return whether a token was accepted again after another one: two owners in one interval.

    Each token's actions must form one run at the receiver, with the runs in increasing order.
    """
    finished: set[Token] = set()
    last: Token | None = None
    for _at, _name, token in accepted:
        if token != last:
            if token in finished or (last is not None and token < last):
                return True
            if last is not None:
                finished.add(last)
            last = token
    return False
