"""Verdicts on trial: a booker stops answering, a caller asks for far too much, and faults fall meanwhile.

Judged at the bookers and the callers: once a member must hold a verdict it lets nothing through, and once
the verdict is over in any case it lets through again. One episode a fault.
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.verdicts.bound import max_effect_ms, max_staleness_ms, recovery_ms
from bitternbeam.fleet.verdicts.verdict import Verdict, parse_verdicts
from bitternbeam.lab.called import Called
from bitternbeam.lab.faults import FAULTS, owner_of
from bitternbeam.lab.loads import S
from bitternbeam.lab.processes import wait_for
from bitternbeam.lab.terms import terms_for
from bitternbeam.lab.trials import Settings, arrivals

LASTS_MS = 5_000
LOUD = "127.0.0.2"
LIMIT, KEEPS = 10.0, 3.0  # of the loud caller: calls a second
FLOODS = 3.0  # times its limit
LATER = ("owner_killed", "owner_paused", "engine_forgets")  # fall once the verdicts were written
KINDS = {"booker": "b0", "caller": LOUD}


@dataclass(frozen=True, slots=True)
class Episode:
    """One verdict and the fault around it; times are the logs'."""

    verdict: Verdict
    said_us: int
    hurt: frozenset[str]  # members that the fault keeps from hearing
    healed_us: int


class VerdictTrial:
    """One booker that stalls and one caller that floods, each on all members' minds."""

    name = "verdicts"
    work = "verdict/booker"

    def __init__(self, rate: float = 60.0, *, period_ms: int = 500, delay_ms: int = 1_000) -> None:
        self.rate, self.period_ms = rate, period_ms  # offered a second
        self.delay_ms = delay_ms  # that a busy machine may add
        self.limit = LIMIT

    def settings(self, members: int, bookers: int) -> Settings:
        """Return verdicts that last long enough to be looked at."""
        # One a second for each member at the least, or one turned away by the limit looks like one barred.
        self.limit = max(LIMIT, float(members))
        toml = (
            f'[[fleet.limit]]\nname = "loud"\nkind = "rate"\namount = {self.limit}\nsafe = 1.0\n'
            f'most = {members}\ncallers = ["{LOUD}"]\n'
            f"[fleet.verdicts]\njudge_ms = 2000\nleast = 1\neject_ms = {LASTS_MS}\n"
            f"over_factor = 2.0\nover_ms = 1500\nbar_ms = {LASTS_MS}\n"
        )
        fleet = {"bounds": False, "period_ms": self.period_ms}
        return Settings(fleet=fleet, toml=toml, sources=("127.0.0.1", LOUD), terms=terms_for(members))

    def begin(self, lab: Called) -> None:
        """Offer calls that all bookers take; the loud caller is quiet."""
        self.loud(lab, KEEPS)
        lab.call(self.rate)
        wait_for(lambda: arrivals(lab, ["b0"]).count(lab.now_us() - 2 * S, lab.now_us()), 60, "b0 is called")
        time.sleep(2)

    def loud(self, lab: Called, rate: float) -> None:
        """Let the loud caller call so often a second."""
        lab.order(lab.callers, f"from {LOUD} {rate / (self.rate - rate)}")

    def standing(self, lab: Called, kind: str, since_us: int) -> Verdict | None:
        """Return the verdict that was pronounced since then, as its record tells it."""
        value = lab.record(f"verdict/{kind}")
        rows = parse_verdicts(value) or []
        mine = [one for one in rows if one.subject == KINDS[kind] and self.said_us(lab, one) >= since_us]
        return max(mine, key=lambda one: one.precedence, default=None)

    @staticmethod
    def said_us(lab: Called, one: Verdict) -> int:
        """Return when a verdict was pronounced, in the logs' time."""
        return one.issued_ms * 1000 - lab.wall_less_monotonic_us

    def provoke(self, lab: Called, since_us: int) -> dict[str, Verdict]:
        """Wait until both verdicts stand, then let the booker answer and the caller keep to its limit."""
        found: dict[str, Verdict] = {}

        def both() -> bool:
            for kind in KINDS:
                if kind not in found and (one := self.standing(lab, kind, since_us)) is not None:
                    found[kind] = one
            return len(found) == len(KINDS)

        wait_for(both, 40, "the verdicts are pronounced")
        lab.order(lab.board, "stall b0 0")
        self.loud(lab, KEEPS)
        return found

    def hurt(self, lab: Called, fault: str) -> frozenset[str]:
        """Return the members that a fault is about to keep from hearing."""
        if fault == "none":
            return frozenset()
        if fault.startswith(("owner", "cut_one", "cut_half")):
            owner = owner_of(lab, self.work)
            others = [one for one in lab.names if one != owner] if "half" in fault else []
            return frozenset([owner, *others[: len(lab.names) // 2 - 1]])
        return frozenset(lab.names)

    def play(self, lab: Called, fault: str, lasts_s: float = 2.0) -> dict[str, Any]:
        """Play one episode and judge it."""
        began_us = lab.now_us()
        later = fault in LATER
        lab.order(lab.board, "stall b0 60")
        self.loud(lab, FLOODS * self.limit)
        found = self.provoke(lab, began_us) if later else {}
        hurt = self.hurt(lab, fault)
        with FAULTS[fault](lab, self.work):
            time.sleep(lasts_s)
        healed_us = lab.now_us()
        found = found or self.provoke(lab, began_us)
        ends_us = max(
            self.said_us(lab, one) + max_effect_ms(one.duration_ms) * 1000 for one in found.values()
        )
        time.sleep(max(0.0, (ends_us - lab.now_us()) / S) + self.delay_ms / 1000 + 2)
        parts = [
            self.judge(lab, Episode(one, self.said_us(lab, one), hurt, healed_us)) for one in found.values()
        ]
        wait_for(lambda: lab.present() >= set(lab.names), 60, f"all are back after {fault}")
        return {
            "said_after_ms": max(self.said_us(lab, one) - began_us for one in found.values()) // 1000,
            "let_through": sum(part["let_through"] for part in parts),
            "held_on": sum(part["held_on"] for part in parts),
            "stale_ms_max": max(part["stale_ms_max"] for part in parts),
            "heard_ms": [one for part in parts for one in part["heard_ms"]],
            "stale_bound_ms": max(part["stale_bound_ms"] for part in parts),
            "broken": sum(part["let_through"] + part["held_on"] for part in parts),
        }

    def passed(self, lab: Called, one: Verdict) -> list[tuple[int, str, bool]]:
        """Return what met a verdict's subject as (time, member, whether it was let through), in order."""
        told = lab.lines(lab.caller_log)
        calls = {line["uid"]: line for line in told if line["event"] == "call"}
        if one.kind == "booker":
            return [
                (line["at_us"], calls[line["uid"]]["target"], True)
                for line in lab.lines(lab.booker_log)
                if line["event"] == "arrived" and line["booker"] == one.subject and line["uid"] in calls
            ]
        return [
            (calls[line["uid"]]["at_us"], line["target"], line["event"] in ("ok", "late"))
            for line in told
            if line["source"] == one.subject and line["event"] not in ("call", "again") and "down" not in line
        ]

    def heard(self, lab: Called, one: Verdict) -> dict[str, int]:
        """Return how long after its pronouncing each member held a verdict, as its log says, in ms."""
        found: dict[str, int] = {}
        said = re.compile(
            f"{one.kind} {re.escape(one.subject)} .*, (\\d+) ms after {re.escape(str(one.token))} "
        )
        for name in lab.names:
            for line in (lab.folder / f"{name}.log.jsonl").read_text().splitlines():
                at = said.search(line)
                if at and f"until {one.expires_ms} " in line:
                    found.setdefault(name, int(at[1]))
        return found

    def judge(self, lab: Called, episode: Episode) -> dict[str, Any]:
        """Return what was let through past the bound, and which members went on past the end."""
        one, said_us = episode.verdict, episode.said_us
        until_us = said_us + one.duration_ms * 1000
        over_us = said_us + (max_effect_ms(one.duration_ms) + self.delay_ms) * 1000
        bound_us = said_us + max_staleness_ms(self.period_ms, self.delay_ms) * 1000
        late_us = episode.healed_us + recovery_ms(self.period_ms, lab.terms.ttl_ms, self.delay_ms) * 1000
        met = self.passed(lab, one)
        through, held_on = 0, 0
        heard = self.heard(lab, one)
        for name in lab.names:
            mine = [(at_us, let) for at_us, target, let in met if target == name]
            most_us = max(bound_us, late_us) if name in episode.hurt else bound_us
            through += sum(let for at_us, let in mine if most_us < at_us < until_us)
            after = [let for at_us, let in mine if at_us > over_us]
            # Each member lets the caller through again; to the booker any one of them may send.
            held_on += one.kind == "caller" and len(after) > 1 and not any(after)
        if one.kind == "booker":
            held_on = int(not any(at_us > until_us for at_us, _name, _let in met))
        hurt_bound = max(bound_us, late_us) if episode.hurt & heard.keys() else bound_us
        return {
            "let_through": through,
            "held_on": held_on,
            "stale_ms_max": max(heard.values(), default=0),
            "stale_bound_ms": (hurt_bound - said_us) // 1000,
            "heard_ms": [ms for name, ms in heard.items() if name not in episode.hurt],
        }
