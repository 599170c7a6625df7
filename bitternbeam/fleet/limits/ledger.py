"""How a limit's owner shares it out during one owner term, never beyond the amount.

Invariant: most * safe part + the sum of all accounts' charges <= amount (account.MemberAccount.charge).

A new owner does not know the outstanding extras and does not trust the stored record, as the engine may have
gone back to an earlier state. Until all extras from before its term have certainly expired, it grants only
what the members that have applied its own records report to have (`pool`): that moves between them but never
grows. Once `most` members have reported so, no extra can be unknown, and the wait ends at once.
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
    """The owner's side of one limit, from the time at which it obtained its fencing token."""

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
        self.higher_token: Token | None = None  # applied by a member: the owner needs a higher number
        self.pool = 0.0
        self.all_known_us = 0
        self.stale_needs = 0
        self.rounding = Rounding()
        self.forget_extras(now_us)

    def forget_extras(self, now_us: int) -> None:
        """Forget which extras are outstanding: wait, and learn them from the members, as a new owner does."""
        use_us = self.limit.max_use_us
        self.all_known_us = now_us + grant_expiry_us(self.limit, self.times) + use_us + clock_drift_us(use_us)
        self.pool = 0.0
        for account in self.accounts.values():
            account.confirmed_rev, account.in_pool = None, False

    def set_limit(self, limit: Limit) -> None:
        """Replace the limit's settings; a lower amount takes effect as extras are returned or expire."""
        self.limit = limit

    def apply_need(self, need: Need, now_us: int) -> bool:
        """Apply a member's need; False if it is no newer than the last one."""
        account = self.accounts.get(need.member)
        if account is not None and (need.boot, need.seq) <= (account.boot, account.seq):
            self.stale_needs += (need.boot, need.seq) < (account.boot, account.seq)
            return False
        from_this_term = need.token == self.token and need.owner_term == self.owner_term
        if not from_this_term and need.token is not None:
            self._note_other_term(need.token, need.rev)
        if account is None:
            account = self.accounts[need.member] = MemberAccount(need.boot, -1, now_us, now_us)
        account.apply_need(need, from_this_term, self.limit, self.times, now_us)
        if from_this_term and not account.in_pool:
            account.in_pool = True
            self.pool += account.charge(self.limit, now_us)
        return True

    def _note_other_term(self, token: Token, rev: int) -> None:
        if token == self.token:  # of another term: the engine lost its data and reissued the number
            self.rev = max(self.rev, rev)
        elif token.number >= self.token.number:
            self.higher_token = max(self.higher_token or token, token)

    def knows_all_extras(self, now_us: int) -> bool:
        """Return whether no unknown extra can be outstanding."""
        if now_us < self.all_known_us:
            complete = [account.in_pool and account.holdings_known for account in self.accounts.values()]
            if sum(complete) < self.limit.most or not all(complete):
                return False
            self.all_known_us = now_us
        return True

    def extras_budget(self, all_known: bool) -> float:
        """Return what extras may sum to: only `pool` while extras may be unknown."""
        return self.limit.total_extras if all_known else min(self.limit.total_extras, self.pool)

    def total_charge(self, now_us: int) -> float:
        """Return the most that may be in use beyond the safe parts."""
        return sum(account.charge(self.limit, now_us) for account in self.accounts.values())

    def plan_grants(self, now_us: int) -> Grants:
        """Return the grants to publish; they are charged from now on, whether written or not."""
        limit, all_known = self.limit, self.knows_all_extras(now_us)
        # Accounts stay for the whole term: otherwise an old report that is still stored would count as new.
        for account in self.accounts.values():
            account.drop_expired(now_us)
        eligible = {name: account for name, account in self.accounts.items() if all_known or account.in_pool}
        budget = self.extras_budget(all_known)
        goals = self._target_extras(eligible, budget, now_us)
        # What earlier starts lost track of is charged, but must not be granted again.
        base = {name: account.charge_of_this_start(limit, now_us) for name, account in self.accounts.items()}
        free = budget - self.total_charge(now_us)
        if free < -budget * RELATIVE_TOLERANCE:
            # What was reported as held may have been released since; granting it would raise the use again.
            base = {
                name: min(base[name], account.largest_grant(now_us))
                for name, account in self.accounts.items()
            }
        self.rev += 1
        rows = {}
        for name, extra in self._granted_extras(eligible, goals, base, free).items():
            account = eligible[name]
            account.note_published(self.rev, extra, limit, self.times)
            rows[name] = GrantRow(extra, account.boot, account.seq)
        return Grants(limit.name, self.owner_term, self.rev, limit.safe_part, limit.grant_duration_us, rows)

    def _granted_extras(
        self, eligible: dict[str, MemberAccount], goals: dict[str, float], base: dict[str, float], free: float
    ) -> dict[str, float]:
        """Return each member's extra for this period: lowered at once, raised as far as `free` allows."""
        if self.limit.kind == "rate":
            return raise_extras(
                goals, base, {name: self._safe_part(account) for name, account in eligible.items()}, free
            )
        wanted = sum(max(0.0, goal - base[name]) for name, goal in goals.items())
        part = min(1.0, max(0.0, free) / wanted) if wanted > 0 else 0.0
        return {
            name: min(goal, base[name] + part * max(0.0, goal - base[name])) for name, goal in goals.items()
        }

    def _safe_part(self, account: MemberAccount) -> float:
        return self.limit.safe_part if account.holdings_known else 0.0

    def _target_extras(
        self, eligible: dict[str, MemberAccount], budget: float, now_us: int
    ) -> dict[str, float]:
        """Return each member's target extra; 0 for one that stopped to report or to apply records."""
        limit = self.limit
        present = {
            name: account
            for name, account in eligible.items()
            if now_us - max(account.last_progress_us, 0) <= limit.grant_duration_us
            and now_us - account.last_report_us <= limit.grant_duration_us
        }
        safe_parts = {name: self._safe_part(account) for name, account in present.items()}
        amount = max(0.0, budget) + sum(safe_parts.values())
        wants = {name: max(account.demand, safe_parts[name]) for name, account in present.items()}
        parts = self.sharing(wants, amount) if wants else {}
        if limit.kind == "held":
            parts = round_to_whole(parts, amount)
        elif parts and budget > 0:
            is_requesting = {name: account.demand > 0 for name, account in present.items()}
            parts = {
                name: float(total)
                for name, total in self.rounding.round_parts(parts, is_requesting, safe_parts, budget).items()
            }
        goals = {name: max(0.0, parts.get(name, 0.0) - safe_parts[name]) for name in present}
        ratio = sum(goals.values()) / budget if budget > 0 else 0.0
        if ratio > 1:
            goals = {name: goal / ratio for name, goal in goals.items()}
        return {name: goals.get(name, 0.0) if budget > 0 else 0.0 for name in eligible}
