"""A limit's record in the engine: the owner's writes and each member's reading (fleet/record.py).

Both sides count what they reject: records and needs that cannot be parsed, are malformed, come from the
future or are outdated.
"""

from __future__ import annotations

from typing import Any

from bitternbeam.fleet.limits.grants import parse_grants
from bitternbeam.fleet.limits.ledger import Ledger
from bitternbeam.fleet.limits.local_limit import LocalLimit
from bitternbeam.fleet.limits.need import parse_need
from bitternbeam.fleet.limits.sharing import Sharing
from bitternbeam.fleet.limits.terms import Limit, LimitTimes
from bitternbeam.fleet.record import Publication, ReadResult, RecordReader, Write, parse_record
from bitternbeam.fleet.tokens import Token


def work_name(limit: str) -> str:
    """Return the name of the work item that owns a limit."""
    return f"limit/{limit}"


class LimitReader:
    """Reads one limit's record into the member's LocalLimit."""

    def __init__(self, local_limit: LocalLimit, age_us: int) -> None:
        self.local_limit = local_limit
        self.follower = RecordReader(age_us)
        self.rejected: dict[str, int] = {}

    def read_record(self, text: str, now_us: int, wall_ms: int) -> bool:
        """Read the record's text; True if its grants were applied."""
        outcome = self.follower.read(text, now_us, wall_ms)
        if outcome is ReadResult.SAME:
            return False
        record = self.follower.record
        if outcome is not ReadResult.NEW or record is None:
            return self._reject(str(outcome))
        grants = parse_grants(record.value)
        if grants is None:
            return self._reject("other-form")
        if not self.local_limit.apply_grants(record.token, grants, now_us):
            return self._reject("overtaken")
        return True

    def _reject(self, reason: str) -> bool:
        self.rejected[reason] = self.rejected.get(reason, 0) + 1
        return False


class GrantPublisher:
    """The owner's side: a Ledger for as long as one token is held, and its writes by check-and-set.

    `boot` must increase with each start of this process: it makes the names of owner terms unique.
    """

    def __init__(
        self, limit: Limit, times: LimitTimes, member: str, boot: int, sharing: Sharing | None = None
    ) -> None:
        self.limit, self.times, self.member, self.boot = limit, times, member, boot
        self.sharing = sharing
        self.publication = Publication(times.period_us)
        self.ledger: Ledger | None = None
        self.stored_owner_term = ""
        self.has_written = False  # a record of this owner term has certainly been written
        self.owner_terms = 0
        self.malformed = 0
        self.record_losses = 0

    def set_limit(self, limit: Limit) -> None:
        """Replace the limit's settings."""
        self.limit = limit
        if self.ledger is not None:
            self.ledger.set_limit(limit)

    def read_record(self, index: int, text: str | None) -> None:
        """Read the engine's record: ModifyIndex and text, or (0, None) if there is none."""
        self.publication.record_read(index, text)
        record = parse_record(text) if text is not None else None
        grants = parse_grants(record.value) if record is not None else None
        self.stored_owner_term = grants.owner_term if grants is not None else ""

    def update_ownership(self, token: Token | None, now_us: int) -> bool:
        """Start an owner term for a new token, end it for None; return whether this member is the owner.

        Call at each tick, before the needs are applied.
        """
        if token is None:
            self.ledger = None
        elif self.ledger is None or self.ledger.token != token:
            self.owner_terms += 1
            owner_term = f"{self.member}.{self.boot}.{self.owner_terms}"
            self.ledger = Ledger(self.limit, self.times, token, owner_term, now_us, sharing=self.sharing)
            self.has_written = False
        return self.ledger is not None

    def apply_need_row(self, member: str, row: Any, now_us: int) -> bool:
        """Apply a report row; False if it is malformed or outdated, or if this member is not the owner."""
        need = parse_need(member, row)
        self.malformed += need is None
        return need is not None and self.ledger is not None and self.ledger.apply_need(need, now_us)

    def next_write(self, now_us: int, wall_ms: int) -> Write | Token | None:
        """Return the next write, None if none is possible now, or a token that the claim must first exceed.

        Call once a period, and again when `read_record` follows a call that returned None.
        """
        ledger, publication = self.ledger, self.publication
        if ledger is None or publication.busy or publication.index is None:
            return None
        if ledger.higher_token is not None:
            return ledger.higher_token
        stored = publication.stored
        if stored is not None and stored != ledger.token and stored.number >= ledger.token.number:
            return stored
        if self.has_written and self.stored_owner_term != ledger.owner_term:
            # Overwritten by another, or the engine went back: the outstanding extras are unknown.
            ledger.forget_extras(now_us)
            self.has_written = False
            self.record_losses += 1
        return publication.write(ledger.token, ledger.plan_grants(now_us).to_record_value(), now_us, wall_ms)

    def write_answered(self, done: bool, write: Write) -> None:
        """Handle the engine's answer to a write."""
        self.publication.written(done, write)
        ledger = self.ledger
        if done and ledger is not None and write.record.value["reign"] == ledger.owner_term:
            self.has_written = True

    def write_failed(self) -> None:
        """Note that the engine did not answer: the write may or may not have been made."""
        self.publication.failed()

    def status(self, now_us: int) -> dict[str, Any]:
        """Return the owner's view of the limit; empty if this member is not the owner."""
        ledger = self.ledger
        if ledger is None:
            return {}
        limit, count = ledger.limit, len(ledger.accounts)
        outstanding = ledger.total_charge(now_us) + limit.safe_part * max(limit.most, count)
        return {
            "reign": ledger.owner_term,
            "rev": ledger.rev,
            "out_most": round(outstanding, 3),  # the most that may be in use
            "members": count,
            "past_most": max(0, count - limit.most),
            "knows": ledger.knows_all_extras(now_us),
            "waits_ms": max(0, ledger.all_known_us - now_us) // 1000,
            "malformed": self.malformed,
            "overtaken": ledger.stale_needs,
            "fallen_back": self.record_losses,
        }
