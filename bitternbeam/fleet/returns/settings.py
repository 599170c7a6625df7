"""The settings of [fleet.returns], and what in them cannot work."""

from __future__ import annotations

from dataclasses import dataclass

IDENTITIES = ("caller", "number")


@dataclass(frozen=True, slots=True)
class ReconnectSettings:
    """What paces returns; times are milliseconds, budgets returns a second of the whole fleet."""

    limit: str = ""  # name of the limit of kind "rate" that is the budget
    budget_per_s: float = 0.0  # its amount
    identity: str = "caller"  # what tells clients apart: the caller's address, or the number called
    classes: tuple[str, ...] = ()  # whose calls are returns, most urgent first; empty: all, of one urgency
    period_ms: int = 1_000  # between two reports
    fresh_ms: int = 3_000  # a record is believed to lead for so long
    horizon_ms: int = 10_000  # a slot is told no further ahead, nor further than callers heed
    cap_ms: int = 30_000  # the longest wait that callers heed; 0: they take no advice
    skew_ms: int = 250  # clocks of two members differ by less
    grace_ms: int = 2_000  # after its slot a client still comes at its slot
    first_ms: int = 1_500  # longest wait told while no slot is known
    window_ms: int = 3_600_000  # the longest window of slots
    fill: float = 0.88  # part of the budget that slots are spread at
    strikes: int = 3  # a client that came early so often heeds no waits
    purse_ms: int = 500  # so much of a member's part is kept ready for those at their slots

    @property
    def max_wait_ms(self) -> int:
        """Return the longest wait that is told."""
        return min(self.horizon_ms, self.cap_ms)

    def rank(self, call_class: str) -> int | None:
        """Return the urgency of a class, 0 the most urgent; None: its calls are no returns."""
        if not self.classes:
            return 0
        return self.classes.index(call_class) if call_class in self.classes else None


def faults(settings: ReconnectSettings) -> list[tuple[str, str]]:
    """Return what cannot work, as (key, message)."""
    found = []
    if not settings.limit:
        found.append(("limit", "names no limit: returns need a budget"))
    if not settings.budget_per_s > 0:
        found.append(("budget_per_s", "must be above 0: nobody would ever come back"))
    if settings.identity not in IDENTITIES:
        found.append(("identity", f"{settings.identity!r} is not known; known are {', '.join(IDENTITIES)}"))
    if len(set(settings.classes)) != len(settings.classes):
        found.append(("classes", "names a class twice"))
    for key in ("period_ms", "horizon_ms", "grace_ms", "first_ms", "window_ms", "purse_ms"):
        if getattr(settings, key) <= 0:
            found.append((key, "must be above 0"))
    for key in ("skew_ms", "cap_ms"):
        if getattr(settings, key) < 0:
            found.append((key, "must not be below 0"))
    if settings.fresh_ms <= settings.period_ms:
        found.append(
            ("fresh_ms", f"must be above period_ms ({settings.period_ms}): records come once a period")
        )
    if settings.grace_ms <= settings.skew_ms:
        found.append(("grace_ms", f"must be above skew_ms ({settings.skew_ms}): clocks differ by that much"))
    if not 0 < settings.fill <= 1:
        found.append(("fill", "must be above 0 and at most 1"))
    if not 2 <= settings.strikes <= 100:
        found.append(("strikes", "must be from 2 (everyone comes unasked once) to 100"))
    return found
