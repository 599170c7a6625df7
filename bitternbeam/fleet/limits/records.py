"""A limit's record in the engine: the owner's writes and each member's reading (fleet/record.py).

Both count what they turn down: records and needs that can't be read, of another form, from ahead, or
overtaken.
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
    """Return the piece of work that owning a limit is."""
    return f"limit/{limit}"


class LimitReader:
    """A member's reading of one limit's record into its Holding."""

    def __init__(self, local_limit: LocalLimit, age_us: int) -> None:
        self.local_limit = local_limit
        self.follower = RecordReader(age_us)
        self.rejected: dict[str, int] = {}

    def read_record(self, text: str, now_us: int, wall_ms: int) -> bool:
        """Take what the engine shows; True if it is now what the member goes by."""
        heard = self.follower.read(text, now_us, wall_ms)
        if heard is ReadResult.SAME:
            return False
        record = self.follower.record
        if heard is not ReadResult.NEW or record is None:
            return self._reject(str(heard))
        grants = parse_grants(record.value)
        if grants is None:
            return self._reject("other-form")
        if not self.local_limit.apply_grants(record.token, grants, now_us):
            return self._reject("overtaken")
        return True

    def _reject(self, why: str) -> bool:
        self.rejected[why] = self.rejected.get(why, 0) + 1
        return False


class GrantPublisher:
    """The owner's side: a Ledger for as long as one token is held, and its writes by check-and-set.

    `boot` must be higher at each start of this process: it makes the reign's name one that no other has had.
    """

    def __init__(
        self, limit: Limit, times: LimitTimes, member: str, boot: int, sharing: Sharing | None = None
    ) -> None:
        self.limit, self.times, self.member, self.boot = limit, times, member, boot
        self.sharing = sharing
        self.publication = Publication(times.period_us)
        self.ledger: Ledger | None = None
        self.stored_owner_term = ""
        self.has_written = False  # a record of this reign was surely written
        self.owner_terms = 0
        self.malformed = 0
        self.record_losses = 0

    def set_limit(self, limit: Limit) -> None:
        """Take new terms of the same limit."""
        self.limit = limit
        if self.ledger is not None:
            self.ledger.set_limit(limit)

    def read_record(self, index: int, text: str | None) -> None:
        """Take what the engine holds: ModifyIndex and text, or (0, None)."""
        self.publication.record_read(index, text)
        record = parse_record(text) if text is not None else None
        grants = parse_grants(record.value) if record is not None else None
        self.stored_owner_term = grants.owner_term if grants is not None else ""

    def update_ownership(self, token: Token | None, now_us: int) -> bool:
        """Follow the claim: a new token begins a new reign, none ends it. Call at each tick, before needs."""
        if token is None:
            self.ledger = None
        elif self.ledger is None or self.ledger.token != token:
            self.owner_terms += 1
            reign = f"{self.member}.{self.boot}.{self.owner_terms}"
            self.ledger = Ledger(self.limit, self.times, token, reign, now_us, sharing=self.sharing)
            self.has_written = False
        return self.ledger is not None

    def apply_need_row(self, member: str, row: Any, now_us: int) -> bool:
        """Take a member's report row; it says nothing to one that is not the owner."""
        need = parse_need(member, row)
        self.malformed += need is None
        return need is not None and self.ledger is not None and self.ledger.apply_need(need, now_us)

    def next_write(self, now_us: int, wall_ms: int) -> Write | Token | None:
        """Return this turn's write; a token that bars it (the claim needs a higher number); or None: not now.

        Call once a period, and when `shown` came after it had returned None.
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
            # Danger: another wrote over it, or the engine went back: what is out is not known any more.
            ledger.forget_extras(now_us)
            self.has_written = False
            self.record_losses += 1
        return publication.write(ledger.token, ledger.plan_grants(now_us).to_record_value(), now_us, wall_ms)

    def write_answered(self, done: bool, write: Write) -> None:
        """Take the engine's answer."""
        self.publication.written(done, write)
        ledger = self.ledger
        if done and ledger is not None and write.record.value["reign"] == ledger.owner_term:
            self.has_written = True

    def write_failed(self) -> None:
        """Note that no answer came: whether it was written is not known."""
        self.publication.failed()

    def status(self, now_us: int) -> dict[str, Any]:
        """Return what an owner shows of the limit; nothing where it is not the owner."""
        ledger = self.ledger
        if ledger is None:
            return {}
        limit, count = ledger.limit, len(ledger.accounts)
        out = ledger.total_charge(now_us) + limit.safe_part * max(limit.most, count)
        return {
            "reign": ledger.owner_term,
            "rev": ledger.rev,
            "out_most": round(out, 3),  # of the amount, at the worst
            "members": count,
            "past_most": max(0, count - limit.most),
            "knows": ledger.knows_all_extras(now_us),
            "waits_ms": max(0, ledger.all_known_us - now_us) // 1000,
            "malformed": self.malformed,
            "overtaken": ledger.stale_needs,
            "fallen_back": self.record_losses,
        }
