"""All limits at one member: what a call may use, what the member reports, what `status` shows.

A call passes only if each limit that it meets lets it; it takes from all of them or from none.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from bitternbeam.fleet.limits.bound import current_excess, decrease_delay_us
from bitternbeam.fleet.limits.local_limit import LocalLimit
from bitternbeam.fleet.limits.records import LimitReader
from bitternbeam.fleet.limits.terms import Limit, LimitTimes


@dataclass(frozen=True, slots=True)
class CallScope:
    """What a call is: where it would go, and whose it is."""

    booker: str = ""
    call_class: str = ""
    tenant: str = ""
    client: str = ""


class MemberLimits:
    """The limits of one member; `recovered` tells what it holds of each as it starts, where that is known."""

    def __init__(
        self,
        limits: Iterable[Limit],
        times: LimitTimes,
        member: str,
        boot: int,
        now_us: int,
        *,
        recovered: Mapping[str, int] | None = None,
    ) -> None:
        self.times, self.member, self.boot = times, member, boot
        self.readers: dict[str, LimitReader] = {}
        self.limits: dict[str, Limit] = {}
        self.lowered: dict[str, list[tuple[int, Limit]]] = {}  # lowered: (until when it may be in use, terms)
        held = recovered or {}
        for limit in limits:
            self._add(limit, now_us, held.get(limit.name))

    def _add(self, limit: Limit, now_us: int, held: int | None) -> None:
        holding = LocalLimit(limit, self.times, self.member, self.boot, now_us, held=held)
        self.readers[limit.name] = LimitReader(holding, limit.grant_duration_us)
        self.limits[limit.name], self.lowered[limit.name] = limit, []

    def set_limits(self, limits: Iterable[Limit], now_us: int) -> None:
        """Take the limits as they are set now; what is held of one stays held."""
        told = {limit.name: limit for limit in limits}
        for name in self.limits.keys() - told.keys():
            del self.readers[name], self.limits[name], self.lowered[name]
        for name, limit in told.items():
            old = self.limits.get(name)
            if old is None or (old.kind, old.lasts_ms) != (limit.kind, limit.lasts_ms):
                self._add(limit, now_us, None)
            elif old != limit:
                self.lowered[name].append((now_us + decrease_delay_us(old, self.times), old))
                self.limits[name] = limit
                self.readers[name].local_limit.set_limit(limit)

    def matching(self, scope: CallScope) -> list[LocalLimit]:
        """Return the limits that such a call meets."""
        told = (scope.booker, scope.call_class, scope.tenant, scope.client)
        return [
            self.readers[name].local_limit for name, limit in self.limits.items() if limit.applies_to(*told)
        ]

    def try_acquire(self, scope: CallScope, now_us: int) -> str:
        """Return the limit that refuses the call; '' : it passes and has taken from each that it meets."""
        met = self.matching(scope)
        for one in met:
            if not one.has_room(now_us):
                one.note_refused()
                return one.limit.name
        for one in met:
            one.acquire()
        return ""

    def release(self, scope: CallScope) -> None:
        """Note that a call that had passed is over: what it held returns; a rate's is spent."""
        for one in self.matching(scope):
            if one.limit.kind == "held":
                one.release()

    def read_record(self, name: str, text: str, now_us: int, wall_ms: int) -> bool:
        """Take one limit's record as the engine shows it."""
        reader = self.readers.get(name)
        return reader is not None and reader.read_record(text, now_us, wall_ms)

    def build_needs(self, now_us: int) -> dict[str, list[Any]]:
        """Return what to report now, by limit; it must be sent at once."""
        return {name: one.local_limit.build_need(now_us).to_row() for name, one in self.readers.items()}

    def drop_extras(self, now_us: int) -> None:
        """Keep no extra (the member ends); the needs after it say so."""
        for one in self.readers.values():
            one.local_limit.drop_extra(now_us)

    def status(self, now_us: int, members: int) -> dict[str, Any]:
        """Return each limit as `status` shows it, with its present bound."""
        shown = {}
        for name, reader in self.readers.items():
            one, limit = reader.local_limit, self.limits[name]
            recent = self.lowered[name] = [pair for pair in self.lowered[name] if now_us < pair[0]]
            shown[name] = {
                "kind": limit.kind,
                "amount": limit.amount,
                "may_use": round(one.usable(now_us), 3),
                "safe_part": round(one.usable_safe_part(now_us), 3),
                "lives_ms": max(0, one.extra_expires_us - now_us) // 1000,
                "held": one.held,
                "demand": round(one.demand, 3),
                "heard_ms": None if one.last_record_us is None else (now_us - one.last_record_us) // 1000,
                "over_most": round(current_excess(limit, members, [old for _us, old in recent]), 3),
                "refused": dict(reader.rejected),
            }
        return shown
