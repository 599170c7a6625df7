"""All limits at one member: admission of calls, the member's needs and its `status`.

A call passes only if every limit that applies to it has room; it uses all of them or none.
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
    """The properties of a call that limits apply to."""

    booker: str = ""
    call_class: str = ""
    tenant: str = ""
    client: str = ""


class MemberLimits:
    """The limits of one member; `recovered`: what it holds of each at its start, where that is known."""

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
        self.lowered: dict[str, list[tuple[int, Limit]]] = {}  # replaced settings: (in use until, limit)
        held = recovered or {}
        for limit in limits:
            self._add(limit, now_us, held.get(limit.name))

    def _add(self, limit: Limit, now_us: int, held: int | None) -> None:
        holding = LocalLimit(limit, self.times, self.member, self.boot, now_us, held=held)
        self.readers[limit.name] = LimitReader(holding, limit.grant_duration_us)
        self.limits[limit.name], self.lowered[limit.name] = limit, []

    def set_limits(self, limits: Iterable[Limit], now_us: int) -> None:
        """Apply new settings; what is held under a limit of the same kind and duration stays held."""
        by_name = {limit.name: limit for limit in limits}
        for name in self.limits.keys() - by_name.keys():
            del self.readers[name], self.limits[name], self.lowered[name]
        for name, limit in by_name.items():
            old = self.limits.get(name)
            if old is None or (old.kind, old.lasts_ms) != (limit.kind, limit.lasts_ms):
                self._add(limit, now_us, None)
            elif old != limit:
                self.lowered[name].append((now_us + decrease_delay_us(old, self.times), old))
                self.limits[name] = limit
                self.readers[name].local_limit.set_limit(limit)

    def matching(self, scope: CallScope) -> list[LocalLimit]:
        """Return the limits that apply to such a call."""
        scope_values = (scope.booker, scope.call_class, scope.tenant, scope.client)
        return [
            self.readers[name].local_limit
            for name, limit in self.limits.items()
            if limit.applies_to(*scope_values)
        ]

    def try_acquire(self, scope: CallScope, now_us: int) -> str:
        """Return the name of the limit that refuses the call, or '' after using each limit that applies."""
        matching = self.matching(scope)
        for local_limit in matching:
            if not local_limit.has_room(now_us):
                local_limit.note_refused()
                return local_limit.limit.name
        for local_limit in matching:
            local_limit.acquire()
        return ""

    def release(self, scope: CallScope) -> None:
        """Release what an ended call held; the sends of a rate stay counted until they expire."""
        for local_limit in self.matching(scope):
            if local_limit.limit.kind == "held":
                local_limit.release()

    def read_record(self, name: str, text: str, now_us: int, wall_ms: int) -> bool:
        """Read one limit's record; True if it was applied."""
        reader = self.readers.get(name)
        return reader is not None and reader.read_record(text, now_us, wall_ms)

    def build_needs(self, now_us: int) -> dict[str, list[Any]]:
        """Return the needs to report, by limit; they must be sent at once."""
        return {name: reader.local_limit.build_need(now_us).to_row() for name, reader in self.readers.items()}

    def drop_extras(self, now_us: int) -> None:
        """Stop using all extras (the member shuts down); the next needs report it."""
        for reader in self.readers.values():
            reader.local_limit.drop_extra(now_us)

    def status(self, now_us: int, members: int) -> dict[str, Any]:
        """Return each limit's status, including by how much the fleet may exceed it now."""
        shown = {}
        for name, reader in self.readers.items():
            local_limit, limit = reader.local_limit, self.limits[name]
            recent = self.lowered[name] = [pair for pair in self.lowered[name] if now_us < pair[0]]
            shown[name] = {
                "kind": limit.kind,
                "amount": limit.amount,
                "may_use": round(local_limit.usable(now_us), 3),
                "safe_part": round(local_limit.usable_safe_part(now_us), 3),
                "lives_ms": max(0, local_limit.extra_expires_us - now_us) // 1000,
                "held": local_limit.held,
                "demand": round(local_limit.demand, 3),
                "heard_ms": None
                if local_limit.last_record_us is None
                else (now_us - local_limit.last_record_us) // 1000,
                "over_most": round(current_excess(limit, members, [old for _us, old in recent]), 3),
                "refused": dict(reader.rejected),
            }
        return shown
