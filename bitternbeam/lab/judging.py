"""What the receivers' logs prove: stale acts, overlaps of owners, late acts, takeovers. Pure.

An act is a probe that a booker's port judged, or a write to a record that the engine judged. All logs carry
one machine's monotonic clock in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from bitternbeam.fleet.tokens import Token, parse_token


@dataclass(frozen=True, slots=True)
class Act:
    """One act on a piece of work, as its receiver judged it."""

    at_us: int
    work: str
    token: Token
    accepted: bool
    receiver: str = "port"  # each keeps a fence of its own: a booker's port, or the engine's record

    @property
    def holder(self) -> str:
        """Return the member that acted."""
        return self.token.holder


def acts_of(receivers: Iterable[dict[str, Any]], engine: Iterable[dict[str, Any]]) -> list[Act]:
    """Read the acts out of the logs, in order of time."""
    found = []
    for line in receivers:
        if line["event"] == "probe":
            token = parse_token(line["token"])
            if token is not None:
                found.append(Act(line["at_us"], f"probe/{line['booker']}", token, line["accepted"]))
    for line in engine:
        before, _, work = str(line.get("path", "")).partition("/record/")
        if line["event"] == "cas" and work and before.startswith("/v1/kv/"):
            token = _token_in(line.get("value", ""))
            if token is not None:
                found.append(Act(line["at_us"], work, token, line["answer"] is True, "engine"))
    return sorted(found, key=lambda one: one.at_us)


def _token_in(value: str) -> Token | None:
    """Read the token out of a logged record, whose end may be cut off in the log."""
    _, found, rest = value.partition('"token":"')
    return parse_token(rest.partition('"')[0]) if found else None


def by_fence(acts: Iterable[Act]) -> dict[tuple[str, str], list[Act]]:
    """Return the acts on each piece of work by the receiver whose fence judged them."""
    found: dict[tuple[str, str], list[Act]] = {}
    for one in acts:
        found.setdefault((one.receiver, one.work), []).append(one)
    return found


def stale_accepted(acts: Iterable[Act]) -> int:
    """Count the accepted acts whose token was below one accepted before on the same work."""
    count = 0
    for each in by_fence(acts).values():
        highest = 0
        for one in each:
            if one.accepted:
                count += one.token.number < highest
                highest = max(highest, one.token.number)
    return count


def overlaps(acts: Iterable[Act]) -> int:
    """Count the accepted acts of an owner after another one was let through: two owners in one interval."""
    count = 0
    for each in by_fence(acts).values():
        over: set[Token] = set()
        last: Token | None = None
        for one in each:
            if not one.accepted:
                continue
            if one.token != last:
                if last is not None:
                    over.add(last)
                last = one.token
            count += one.token in over
    return count


@dataclass(frozen=True, slots=True)
class Held:
    """A member held a work's lock at the engine from one time to another (None: still)."""

    work: str
    holder: str
    from_us: int
    to_us: int | None


def holdings(engine: Iterable[dict[str, Any]]) -> list[Held]:
    """Read who held which lock, and when, out of the engine's log."""
    open_: dict[str, tuple[str, int]] = {}
    found: list[Held] = []

    def ends(work: str, at_us: int) -> None:
        holder, since = open_.pop(work)
        found.append(Held(work, holder, since, at_us))

    for line in engine:
        at_us, event = line["at_us"], line["event"]
        work = str(line.get("path", "")).partition("/lease/")[2]
        if event == "acquire" and work and line["answer"] is True:
            if work in open_ and open_[work][0] != line["agent"]:
                ends(work, at_us)
            open_.setdefault(work, (line["agent"], at_us))
        elif event == "release" and work in open_ and line["answer"] is True:
            ends(work, at_us)
        elif event in ("expired", "destroy"):
            for one in [name for name, held in open_.items() if held[0] == line["agent"]]:
                ends(one, at_us)
        elif event in ("restart", "back"):
            for one in list(open_):
                ends(one, at_us)
    return found + [Held(work, holder, since, None) for work, (holder, since) in open_.items()]


def late_accepted(acts: Iterable[Act], engine: Iterable[dict[str, Any]], slack_us: int = 0) -> int:
    """Count accepted acts of members that held no lock then: no harm (the fence stands), but no margin."""
    held: dict[tuple[str, str], list[Held]] = {}
    for one in holdings(engine):
        held.setdefault((one.work, one.holder), []).append(one)
    count = 0
    for act in acts:
        if not act.accepted:
            continue
        count += not any(
            one.from_us <= act.at_us and (one.to_us is None or act.at_us <= one.to_us + slack_us)
            for one in held.get((act.work, act.holder), ())
        )
    return count


def moves(acts: Iterable[Act]) -> int:
    """Count how often a work's accepted acts passed from one holder to another."""
    count = 0
    for each in by_fence(acts).values():
        holders = [one.holder for one in each if one.accepted]
        count += sum(before != after for before, after in pairwise(holders))
    return count


def quantile(values: list[int], share: float) -> float | None:
    """Return the value that `share` of them do not exceed (nearest rank); None without values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * share // 1))  # the ceiling
    return float(ordered[min(len(ordered), int(rank)) - 1])
