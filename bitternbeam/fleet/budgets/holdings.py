"""A member's side of the budgets: what each tenant may take at each booker here, and what it reports."""

from __future__ import annotations

from typing import Any

from bitternbeam.fleet.budgets.granted import PairTerms, read_grants
from bitternbeam.fleet.budgets.placing import Pair
from bitternbeam.fleet.budgets.terms import Kind
from bitternbeam.fleet.budgets.usage import Usage, Wants
from bitternbeam.fleet.limits.local_limit import LocalLimit, RecordPosition
from bitternbeam.fleet.limits.terms import LimitTimes
from bitternbeam.fleet.tokens import Token


class Holdings:
    """One Holding for each (tenant, booker) that was granted or is held; they share the reports' numbers."""

    def __init__(self, pairs: PairTerms, times: LimitTimes, member: str, boot: int, now_us: int) -> None:
        self.pairs, self.times, self.member, self.boot = pairs, times, member, boot
        self.began_us = now_us
        self.kept: dict[Pair, LocalLimit] = {}
        self.usage = Usage()
        self.refusals = 0
        self.malformed = 0
        self.wants = Wants()
        self.place: RecordPosition | None = None
        self.seq = 0
        self.sent: dict[int, int] = {}  # number of a report -> when it was sent
        self.settled_us = self._of(("", "")).holdings_known_us

    def _of(self, pair: Pair) -> LocalLimit:
        one = self.kept.get(pair)
        if one is None:
            one = LocalLimit(self.pairs.limit(pair), self.times, self.member, self.boot, self.began_us)
            # Danger: one that was dropped and is made anew must take no record before the one it stood by.
            one.position, one.need_times_us = self.place, self.sent
            self.kept[pair] = one
        return one

    def room(self, tenant: str, booker: str, now_us: int) -> bool:
        """Whether a call may go there now."""
        one = self.kept.get((tenant, booker))
        return one is not None and one.has_room(now_us)

    def take(self, tenant: str, booker: str, now_us: int) -> bool:
        """Take one if it may be taken."""
        if not self.room(tenant, booker, now_us):
            return False
        self.kept[tenant, booker].acquire()
        self.wants.came(tenant)
        self.usage.opened(tenant, booker)
        return True

    def undo(self, tenant: str, booker: str) -> None:
        """Take a taking back: it was barred elsewhere."""
        one = self.kept.get((tenant, booker))
        if one is not None and one.held:
            one.release()
            self.usage.undone(tenant, booker)

    def release(self, tenant: str, booker: str) -> None:
        """Give one back after use."""
        one = self.kept.get((tenant, booker))
        if one is not None and one.held:
            one.release()
            self.usage.closed(tenant, booker, used=True)

    def turned(self, tenant: str, bookers: tuple[str, ...]) -> None:
        """Note a call that found room at none of a tenant's bookers: one more that it wants."""
        self.refusals += 1
        self.usage.refused(tenant, bookers[self.refusals % len(bookers)])
        self.wants.came(tenant)

    def shown(self, token: Token, value: Any, now_us: int) -> bool:
        """Take the owner's record; False if it is of another form or overtaken."""
        found = read_grants(value, self.member)
        if found is None:
            self.malformed += 1
            return False
        taken = False
        for pair in found.extras.keys() | self.kept.keys():
            one = self._of(pair)
            taken = one.apply_grants(token, found.grants(one.limit, self.member, pair), now_us) or taken
        if taken:
            self.place = RecordPosition(token, found.rev, found.reign)
        return taken

    def report(self, now_us: int) -> dict[str, Any]:
        """Return what the member's report carries; it must be sent at once."""
        self.seq += 1
        self.sent[self.seq] = now_us
        lasts_us = self.pairs.lasts_ms * 1000
        for seq in [seq for seq, at_us in self.sent.items() if now_us - at_us > lasts_us]:
            del self.sent[seq]
        rows: list[list[Any]] = []
        held: dict[str, int] = {}
        for pair, one in list(self.kept.items()):
            extra = one.extra if now_us < one.extra_expires_us else 0.0
            if one.held or extra:
                rows.append([*pair, one.held, extra])
                held[pair[0]] = held.get(pair[0], 0) + one.held
            elif pair[0]:
                del self.kept[pair]
        at = self.place
        place = ["", 0, ""] if at is None else [str(at.token), at.rev, at.owner_term]
        return {
            str(Kind.LINES): [one.row() for one in self.usage.report()],
            "number": [self.boot, self.seq], "place": place, "settled": now_us >= self.settled_us,
            "wants": self.wants.told(held), "needs": rows,
        }  # fmt: skip

    def status(self, now_us: int) -> dict[str, Any]:
        """Return by tenant and booker what is held and what may be held here."""
        found: dict[str, Any] = {}
        for (tenant, booker), one in sorted(self.kept.items()):
            if tenant and (one.held or one.usable(now_us)):
                found.setdefault(tenant, {})[booker] = [one.held, int(one.usable(now_us))]
        return found
