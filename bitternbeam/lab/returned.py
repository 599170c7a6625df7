"""What the callers' and the bookers' logs say of clients that came back, and of the slots they were told.

Pure. Times are monotonic microseconds of the logs, those of slots Unix ms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bitternbeam.fleet.returns.admission import QUEUE_GRACE_SHARE
from bitternbeam.fleet.returns.settings import ReconnectSettings
from bitternbeam.fleet.returns.slots import hash_in_window
from bitternbeam.fleet.returns.window import AdmissionWindow
from bitternbeam.lab.loads import S, Series

NEAR_MS = 50  # a wait that ends so near a slot was one for that slot
ON_ITS_WAY_US = S  # a record may be known so much later than it was seen in the engine
OLD_US = 4 * S  # a member may go by a record for so long after the next one


@dataclass
class Seen:
    """What the logs say of one storm."""

    came: dict[str, bool] = field(default_factory=dict)  # client: whether it heeds
    homes: dict[str, str] = field(default_factory=dict)  # client: the member that it comes to
    back: dict[str, int] = field(default_factory=dict)  # when it was let in and served
    told: dict[str, int] = field(default_factory=dict)  # how often it asked
    at_bookers: Series = field(default_factory=Series)  # returns, each call's first arrival
    longest_s: float = 0.0  # wait that was told
    calls: int = 0
    lost: int = 0
    lost_at_stopped: int = 0  # of these, out at a process while that was paused or killed

    def last_us(self, since_us: int, *, heeding: bool) -> int:
        """Return when the last one was in, of all or of those that heed."""
        return max((at for name, at in self.back.items() if self.came[name] or not heeding), default=since_us)

    def asked(self, heeds: bool) -> float:
        """Return how often each of one kind asked, in the mean."""
        counts = [self.told[name] for name, own in self.came.items() if own is heeds]
        return sum(counts) / max(1, len(counts))

    def jain(self, by_us: int) -> float:
        """Return Jain's index of the parts of each member's clients that are back by a time."""
        whole: dict[str, int] = {}
        there: dict[str, int] = {}
        for name, home in self.homes.items():
            whole[home] = whole.get(home, 0) + 1
            there[home] = there.get(home, 0) + (self.back.get(name, by_us + 1) <= by_us)
        return jain([there[home] / count for home, count in whole.items()])


Stood = Mapping[str, Sequence[tuple[int, int]]]  # member: from when to when it was paused or killed


def seen(
    callers: Sequence[dict[str, Any]],
    bookers: Sequence[dict[str, Any]],
    from_us: int,
    to_us: int,
    stood: Stood | None = None,
) -> Seen:
    """Read the logs of one storm; a call that began in it and came to no good is lost."""
    found = Seen()
    returns: set[str] = set()
    calls: dict[str, bool] = {}
    out: dict[str, tuple[str, int, int]] = {}  # calls' members, and from when to when they were out there
    for line in callers:
        client, event, uid = line.get("client"), line["event"], line["uid"]
        if from_us <= line["at_us"] < to_us:
            found.longest_s = max(found.longest_s, line.get("wait_s", 0.0))
        if event in ("call", "again"):
            if not from_us <= line["at_us"] < to_us:
                continue
            if client is not None:
                found.came[client], found.homes[client] = line["heeds"], line["home"]
                found.told[client] = found.told.get(client, 0) + 1
                returns.add(uid)
            elif not line.get("down"):  # a dead controller's callers are no matter of returns
                calls[uid] = False
                out[uid] = line["target"], line["at_us"], to_us
        elif uid in calls:  # also past the window: one on its way is not lost
            calls[uid] = event == "ok"
            out[uid] = *out[uid][:2], line["at_us"]
        elif client is not None and uid in returns and event in ("ok", "late") and client not in found.back:
            found.back[client] = line["at_us"]
    arrived: set[str] = set()
    for line in sorted(bookers, key=lambda one: int(one["at_us"])):
        if line["event"] == "arrived" and line["uid"] in returns and line["uid"] not in arrived:
            arrived.add(line["uid"])
            found.at_bookers.times.append(line["at_us"])
    lost = [out[uid] for uid, good in calls.items() if not good]
    found.calls, found.lost = len(calls), len(lost)
    found.lost_at_stopped = sum(
        any(since < over_us and sent_us < until for since, until in (stood or {}).get(member, ()))
        for member, sent_us, over_us in lost
    )
    return found


def jain(counts: Sequence[float]) -> float:
    """Return Jain's index of fairness (Jain, Chiu, Hawe, 1984)."""
    squares = sum(one * one for one in counts)
    return sum(counts) ** 2 / (len(counts) * squares) if squares else 1.0


@dataclass
class Called:
    """Clients that heed waits, at the slots they were told."""

    slots: int = 0  # told
    queued: int = 0  # came at it and heard a short wait, in the member's queue
    next_wave: int = 0  # came at it, found the queue full, and were told a slot of the next wave
    twice: int = 0  # came at it and were called back for any other time


def called(
    callers: Iterable[dict[str, Any]],
    records: Sequence[tuple[int, AdmissionWindow]],
    *,
    wall_less_us: int,
    apart_ms: int,
    settings: ReconnectSettings,
) -> Called:
    """Judge each wait by the records (when each was seen) whose slots members may have told.

    `wall_less_us`: the lab's Unix time less that of the logs; `apart_ms`: how far members' clocks differ.
    """
    found = Called()
    due_us: dict[str, int] = {}  # client: its slot, as told
    places: dict[tuple[str, str], Any] = {}
    most_s = QUEUE_GRACE_SHARE * settings.grace_ms / 1000 + NEAR_MS / 1000

    def at_slot(client: str, at_us: int, wait_s: float) -> bool:
        due_ms = (at_us + wall_less_us) / 1000 + wait_s * 1000
        for known_us, epoch in records:
            if not known_us - ON_ITS_WAY_US <= at_us <= known_us + OLD_US:
                continue
            if (epoch.id, client) not in places:
                places[epoch.id, client] = hash_in_window(epoch.id, client)
            where = places[epoch.id, client]
            for plan in epoch.plans:
                slot_ms = plan.slot_ms(0, where)
                if abs(slot_ms - due_ms) <= NEAR_MS + apart_ms / 2 and slot_ms <= epoch.committed_until_ms:
                    return True
        return False

    for line in callers:
        client, event = line.get("client"), line["event"]
        if client is None or not line["heeds"] or event not in ("refused", "ok", "late"):
            continue
        told_us = due_us.pop(client, None)
        if event != "refused":
            continue
        wait_s = line["wait_s"]
        if told_us is not None and line["at_us"] <= told_us + settings.grace_ms * 1000:
            if wait_s > most_s:
                planned = at_slot(client, line["at_us"], wait_s)
                found.next_wave += planned
                found.twice += not planned
            else:
                found.queued += 1
                due_us[client] = told_us  # in the queue it still is at its slot
                continue
        # No shorter one: a member that has no record tells waits by chance, which may end at a slot too.
        if wait_s * 1000 > settings.first_ms and at_slot(client, line["at_us"], wait_s):
            found.slots += 1
            due_us[client] = line["at_us"] + int(wait_s * S)
    return found
