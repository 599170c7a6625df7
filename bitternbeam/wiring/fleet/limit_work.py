"""Keeping one limit of the fleet as a piece of work; decisions are fleet.limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bitternbeam.fleet.limits.member import MemberLimits
from bitternbeam.fleet.limits.records import GrantPublisher, work_name
from bitternbeam.fleet.limits.sharing import Sharing
from bitternbeam.fleet.limits.terms import Limit
from bitternbeam.fleet.record import Write
from bitternbeam.fleet.tokens import Token
from bitternbeam.net.coordination import KvEntry
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.work import Work


class LimitWork(Work):
    """Keeping one limit for the fleet: what is published is who may use how much of it."""

    def __init__(self, bench: Bench, limit: Limit, limits: MemberLimits, sharing: Sharing | None) -> None:
        super().__init__(bench, work_name(limit.name))
        self.limits, self.limit = limits, limit
        self.keeper = GrantPublisher(limit, limits.times, limits.member, limits.boot, sharing)
        self.publication = self.keeper.publication
        self.due = False  # the members' needs of a period were taken

    def needs(self, rows: Mapping[str, Any], now_us: int) -> None:
        """Take the members' needs; the record is written at the next act."""
        if not self.keeper.update_ownership(self.claim.token, now_us):
            return
        for member, row in rows.items():
            self.keeper.apply_need_row(member, row, now_us)
        self.due = True

    def shown(self, entries: Mapping[str, KvEntry], now_us: int) -> None:
        """Take the record: what this member may use, and what it writes over."""
        record = entries.get(self.key)
        if not self.publication.busy:
            self.stands(*((record.modify_index, record.value) if record else (0, None)))
        if record is not None:
            self.limits.read_record(self.limit.name, record.value, now_us, now_us // 1000)
            heard = self.limits.readers[self.limit.name].follower.record
            if heard is not None:
                self.claim.highest_seen = max(self.claim.highest_seen, heard.token.number)

    def stands(self, index: int, text: str | None) -> None:
        """Take what the engine holds."""
        self.keeper.read_record(index, text)

    def publish(self, token: Token, now_us: int) -> None:
        """Write what the limit's owner grants, once a period."""
        if not self.due or not self.keeper.update_ownership(token, now_us) or self.publication.busy:
            return
        if self.publication.index is None:
            self.look_up()
            return
        self.due = False
        told = self.keeper.next_write(now_us, now_us // 1000)
        if isinstance(told, Token):
            self.refused(told)
        elif told is not None:
            self.put(told)

    def written(self, done: bool, write: Write) -> None:
        """Take the engine's answer; another's write in between is looked at, and this one made anew."""
        self.keeper.write_answered(done, write)
        self.due = self.due or not done

    def failed(self) -> None:
        """Note that no answer came."""
        self.keeper.write_failed()
