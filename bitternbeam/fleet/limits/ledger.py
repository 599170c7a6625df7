"""One limit in the hands of its owner, for one reign: who gets how much, so that it never sums to more.

Kept at all times: most * safe part + the sum of all accounts' charges <= amount (account.Account.charge).

A new owner knows nothing of what is out, and does not trust the record that it finds: the engine may have
gone back. Until everything from before its reign has surely lapsed it hands out only what members that stand
by its own records say that they have (`pool`): that moves between them but never grows. When `most` members
have said so, nothing can be hidden and the wait ends at once.
"""

from __future__ import annotations

from bitternbeam.fleet.limits.account import MemberAccount, grant_expiry_us
from bitternbeam.fleet.limits.grants import GrantRow, Grants
from bitternbeam.fleet.limits.need import Need
from bitternbeam.fleet.limits.rounding import Rounding, raise_extras
from bitternbeam.fleet.limits.sharing import Sharing, round_to_whole, share, share_rate
from bitternbeam.fleet.limits.terms import Limit, LimitTimes, clock_drift_us
from bitternbeam.fleet.tokens import Token

RELATIVE_TOLERANCE = 1e-9  # amounts closer than this, relative to the limit, are the same


class Ledger:
    """The owner's side of one limit, from the moment it got its token on."""

    def __init__(
        self,
        limit: Limit,
        times: LimitTimes,
        token: Token,
        owner_term: str,
        now_us: int,
        *,
        sharing: Sharing | None = None,
    ) -> None:
        self.limit, self.times, self.token, self.owner_term = limit, times, token, owner_term
        self.sharing = sharing or (share_rate if limit.kind == "rate" else share)
        self.accounts: dict[str, MemberAccount] = {}
        self.rev = 0
        self.higher_token: Token | None = None  # a member stands by this one: a number above it is needed
        self.pool = 0.0
        self.all_known_us = 0
        self.stale_needs = 0
        self.rounding = Rounding()
        self.forget_extras(now_us)

    def forget_extras(self, now_us: int) -> None:
        """Know no more what is out: wait as a new owner does, and ask each member again."""
        linger = self.limit.max_use_us
        self.all_known_us = now_us + grant_expiry_us(self.limit, self.times) + linger + clock_drift_us(linger)
        self.pool = 0.0
        for one in self.accounts.values():
            one.confirmed_rev, one.in_pool = None, False

    def set_limit(self, limit: Limit) -> None:
        """Take new terms of the same limit; a lowered amount takes hold as extras are given back or lapse."""
        self.limit = limit

    def apply_need(self, need: Need, now_us: int) -> bool:
        """Take a member's report; False if it is older than one already taken."""
        one = self.accounts.get(need.member)
        if one is not None and (need.boot, need.seq) <= (one.boot, one.seq):
            self.stale_needs += (need.boot, need.seq) < (one.boot, one.seq)
            return False
        mine = need.token == self.token and need.owner_term == self.owner_term
        if not mine and need.token is not None:
            self._note_other_term(need.token, need.rev)
        if one is None:
            one = self.accounts[need.member] = MemberAccount(need.boot, -1, now_us, now_us)
        one.apply_need(need, mine, self.limit, self.times, now_us)
        if mine and not one.in_pool:
            one.in_pool = True
            self.pool += one.charge(self.limit, now_us)
        return True

    def _note_other_term(self, token: Token, rev: int) -> None:
        if token == self.token:  # of another reign: the engine forgot, and the number came again
            self.rev = max(self.rev, rev)
        elif token.number >= self.token.number:
            self.higher_token = max(self.higher_token or token, token)

    def knows_all_extras(self, now_us: int) -> bool:
        """Whether nothing unknown can be out any more."""
        if now_us < self.all_known_us:
            sure = [one.in_pool and one.holdings_known for one in self.accounts.values()]
            if sum(sure) < self.limit.most or not all(sure):
                return False
            self.all_known_us = now_us
        return True

    def extras_budget(self, knows: bool) -> float:
        """Return what extras may sum to: only what members say that they have, while that is all it knows."""
        return self.limit.total_extras if knows else min(self.limit.total_extras, self.pool)

    def total_charge(self, now_us: int) -> float:
        """Return what is out beyond safe parts, at the worst."""
        return sum(one.charge(self.limit, now_us) for one in self.accounts.values())

    def plan_grants(self, now_us: int) -> Grants:
        """Return what to publish next; from now on it counts, whether it is written or not."""
        limit, knows = self.limit, self.knows_all_extras(now_us)
        # Danger: an account is kept as long as the reign, or an old report that is still there counts as new.
        for one in self.accounts.values():
            one.drop_expired(now_us)
        told = {name: one for name, one in self.accounts.items() if knows or one.in_pool}
        budget = self.extras_budget(knows)
        goals = self._target_extras(told, budget, now_us)
        # Danger: what an earlier start forgot is charged, but is no base to grant from.
        base = {name: one.charge_of_this_start(limit, now_us) for name, one in self.accounts.items()}
        free = budget - self.total_charge(now_us)
        if free < -budget * RELATIVE_TOLERANCE:
            # Danger: what a report says is held may be long gone; granting it anew would make it real.
            base = {name: min(base[name], one.largest_grant(now_us)) for name, one in self.accounts.items()}
        self.rev += 1
        rows = {}
        for name, extra in self._granted_extras(told, goals, base, free).items():
            one = told[name]
            one.note_published(self.rev, extra, limit, self.times)
            rows[name] = GrantRow(extra, one.boot, one.seq)
        return Grants(limit.name, self.owner_term, self.rev, limit.safe_part, limit.grant_duration_us, rows)

    def _granted_extras(
        self, told: dict[str, MemberAccount], goals: dict[str, float], base: dict[str, float], free: float
    ) -> dict[str, float]:
        """Return what each is granted now: lowered at once, raised as far as what is free goes."""
        if self.limit.kind == "rate":
            return raise_extras(goals, base, {name: self._safe_part(one) for name, one in told.items()}, free)
        wanted = sum(max(0.0, goal - base[name]) for name, goal in goals.items())
        part = min(1.0, max(0.0, free) / wanted) if wanted > 0 else 0.0
        return {
            name: min(goal, base[name] + part * max(0.0, goal - base[name])) for name, goal in goals.items()
        }

    def _safe_part(self, one: MemberAccount) -> float:
        return self.limit.safe_part if one.holdings_known else 0.0

    def _target_extras(self, told: dict[str, MemberAccount], budget: float, now_us: int) -> dict[str, float]:
        """Return each member's extra as it should be; none for one that no more hears or is heard."""
        limit = self.limit
        there = {
            name: one
            for name, one in told.items()
            if now_us - max(one.last_progress_us, 0) <= limit.grant_duration_us
            and now_us - one.last_report_us <= limit.grant_duration_us
        }
        safe = {name: self._safe_part(one) for name, one in there.items()}
        amount = max(0.0, budget) + sum(safe.values())
        wants = {name: max(one.demand, safe[name]) for name, one in there.items()}
        parts = self.sharing(wants, amount) if wants else {}
        if limit.kind == "held":
            parts = round_to_whole(parts, amount)
        elif parts and budget > 0:
            asks = {name: one.demand > 0 for name, one in there.items()}
            parts = {
                name: float(one) for name, one in self.rounding.round_parts(parts, asks, safe, budget).items()
            }
        goals = {name: max(0.0, parts.get(name, 0.0) - safe[name]) for name in there}
        over = sum(goals.values()) / budget if budget > 0 else 0.0
        if over > 1:
            goals = {name: goal / over for name, goal in goals.items()}
        return {name: goals.get(name, 0.0) if budget > 0 else 0.0 for name in told}
