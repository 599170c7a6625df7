"""Retry slots: every member computes a client's slot alike, from the window's record and a hash.

A plan maps quantiles of the clients to times, with one curve per class: knots (quantile, Unix ms), linearly
interpolated. A client's quantile is its hash (BLAKE2b of window id and client), so slots are spread evenly
and jittered, and no member has to remember which slots were announced.

A plan changes only after `frozen_ms`, up to which slots may have been announced: earlier slots stay,
later ones move but never before that time, and their order stays (`replan_slots`).

Waits are capped, so a client whose slot is far off is told to check in first. Its check-ins are 0.9 times the
longest wait apart, at a phase of its own that does not depend on the plan. A client that comes at a check-in
or at its slot is compliant.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left
from dataclasses import dataclass, replace
from itertools import pairwise
from struct import Struct
from typing import NamedTuple

MAX_KNOTS = 16  # of one curve; the oldest are dropped first, as their time has passed
CHECK_IN_SHARE = 0.9  # of the longest wait: interval of a client's check-ins
HASH_RANGE = 1 << 64
HASH_WORDS = Struct(">4Q")
SLOT_UNIT_MS = 1  # slots are told in whole ms, rounded down
MIN_CLASS_CLIENTS = 1.0  # a class without known clients is planned for one

Knot = tuple[float, float]


class ClientHash(NamedTuple):
    """A client's hash in one admission window."""

    quantiles: tuple[float, float]  # in plans with even and odd numbers
    phase: float  # of its check-ins, 0 to below 1
    sketch_hash: int  # 64 bits, for the sketches


def hash_in_window(window_id: str, client: str) -> ClientHash:
    """Return the hash of a client in a window."""
    whole = hashlib.blake2b(f"{window_id}\x00{client}".encode(), digest_size=32).digest()
    first, second, third, fourth = HASH_WORDS.unpack(whole)
    return ClientHash((first / HASH_RANGE, second / HASH_RANGE), third / HASH_RANGE, fourth)


def hash_client(client: str) -> int:
    """Return a 64-bit hash that is the same in all windows."""
    return int.from_bytes(hashlib.blake2b(client.encode(), digest_size=8).digest(), "big")


def check_in_wait_ms(phase: float, wall_ms: int, step_ms: int) -> int:
    """Return the wait, in ms, until the client's last check-in within `step_ms`."""
    every = CHECK_IN_SHARE * step_ms
    last = math.floor((wall_ms + step_ms) / every - phase)
    return max(1, math.ceil((last + phase) * every) - wall_ms)


def is_check_in(phase: float, wall_ms: int, step_ms: int, before_ms: int, after_ms: int) -> bool:
    """Tell whether a check-in is now, at most `before_ms` ahead or `after_ms` ago."""
    every = CHECK_IN_SHARE * step_ms
    since = wall_ms - phase * every
    off = since - math.floor(since / every) * every
    return off <= after_ms or every - off <= before_ms


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """The slots of one wave: clients and curve of each class."""

    number: int
    clients: tuple[float, ...]
    curves: tuple[tuple[Knot, ...], ...]

    def slot_ms(self, rank: int, where: ClientHash) -> int:
        """Return a client's slot, Unix ms."""
        return self._time_at(self.curves[min(rank, len(self.curves) - 1)], where.quantiles[self.number % 2])

    @staticmethod
    def _time_at(curve: tuple[Knot, ...], quantile: float) -> int:
        at = bisect_left(curve, quantile, key=lambda knot: knot[0])
        if at == 0:
            return int(curve[0][1])
        if at == len(curve):
            return int(curve[-1][1])
        (q0, t0), (q1, t1) = curve[at - 1], curve[at]
        return int(t0 + (t1 - t0) * (quantile - q0) / (q1 - q0))

    @property
    def ends_ms(self) -> float:
        """Return the time of the last slot."""
        return max(curve[-1][1] for curve in self.curves)

    def elapsed_share(self, rank: int, wall_ms: float) -> float:
        """Return the share of a class's slots that is past at a time."""
        curve = self.curves[rank]
        done = 0.0
        for (q0, t0), (q1, t1) in pairwise(curve):
            if wall_ms >= t1:
                done = q1
            elif wall_ms > t0 and q1 > q0:
                done = q0 + (q1 - q0) * (wall_ms - t0) / (t1 - t0)
        return done

    def elapsed_slots(self, wall_ms: float) -> float:
        """Return how many slots are past at a time."""
        return sum(count * self.elapsed_share(rank, wall_ms) for rank, count in enumerate(self.clients))


def plan_slots(
    number: int, start_ms: float, clients: tuple[float, ...], *, per_ms: float, most_ms: float
) -> SlotPlan:
    """Return a plan from `start_ms` on, class after class, at `per_ms` slots per ms."""
    counts = tuple(max(MIN_CLASS_CLIENTS, one) for one in clients)
    per_ms = max(per_ms, sum(counts) / most_ms)
    curves = []
    for count in counts:
        ends_ms = start_ms + count / per_ms
        curves.append(((0.0, start_ms), (1.0, ends_ms)))
        start_ms = ends_ms
    return SlotPlan(number, counts, tuple(curves))


def replan_slots(
    plan: SlotPlan,
    frozen_ms: float,
    start_ms: float,
    clients: tuple[float, ...],
    *,
    per_ms: float,
    most_ms: float,
) -> SlotPlan:
    """Return the plan with the slots after `frozen_ms` planned again, not before `start_ms`."""
    frozen_end_ms = frozen_ms + SLOT_UNIT_MS
    counts = tuple(max(MIN_CLASS_CLIENTS, one) for one in clients)
    left = [count * (1 - plan.elapsed_share(rank, frozen_end_ms)) for rank, count in enumerate(counts)]
    per_ms = max(per_ms, sum(left) / most_ms)
    at_ms = max(frozen_end_ms, start_ms)
    curves = []
    for rank, curve in enumerate(plan.curves):
        if curve[-1][1] <= frozen_end_ms:
            curves.append(curve)
            continue
        passed = plan.elapsed_share(rank, frozen_end_ms)
        kept = [knot for knot in curve if knot[1] <= frozen_end_ms and knot[0] <= passed]
        if passed > 0:
            kept = [*(knot for knot in kept if knot[0] < passed), (passed, _time_of_quantile(curve, passed))]
        ends_ms = at_ms + left[rank] / per_ms
        if not kept or at_ms > kept[-1][1]:
            kept.append((passed, at_ms))
        curves.append((*kept[-(MAX_KNOTS - 1) :], (1.0, ends_ms)))
        at_ms = ends_ms
    return replace(plan, clients=counts, curves=tuple(curves))


def _time_of_quantile(curve: tuple[Knot, ...], quantile: float) -> float:
    """Return the time of a quantile."""
    at = bisect_left(curve, quantile, key=lambda knot: knot[0])
    (q0, t0), (q1, t1) = curve[at - 1], curve[at]
    return t0 + (t1 - t0) * (quantile - q0) / (q1 - q0)
