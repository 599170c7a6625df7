"""The settings of [fleet.returns] and their validation."""

from __future__ import annotations

from dataclasses import dataclass

IDENTITIES = ("caller", "number")


@dataclass(frozen=True, slots=True)
class ReconnectSettings:
    """Reconnect admission; times are milliseconds, budgets are reconnects per second of the whole fleet."""

    limit: str = ""  # name of the limit of kind "rate" that serves as the budget
    budget_per_s: float = 0.0  # amount of that limit
    identity: str = "caller"  # how clients are identified: by caller address or by called number
    classes: tuple[str, ...] = ()  # call classes under admission, highest priority first; empty: all, alike
    period_ms: int = 1_000  # between reports
    fresh_ms: int = 3_000  # a record counts as current for so long
    horizon_ms: int = 10_000  # longest wait that is told, together with cap_ms
    cap_ms: int = 30_000  # longest wait that clients honour; 0: they honour none
    skew_ms: int = 250  # bound of the clock skew between members
    grace_ms: int = 2_000  # a client this late still counts as at its slot
    first_ms: int = 1_500  # longest wait while no slot is known
    window_ms: int = 3_600_000  # longest time that slots are spread over
    fill: float = 0.88  # share of the budget that is planned as slots
    strikes: int = 3  # early arrivals after which a client counts as non-compliant
    purse_ms: int = 500  # size of a member's token bucket, in time at its rate

    @property
    def max_wait_ms(self) -> int:
        """Return the longest wait that is told, in ms."""
        return min(self.horizon_ms, self.cap_ms)

    def rank(self, call_class: str) -> int | None:
        """Return the priority of a class, 0 the highest; None if it is not under reconnect admission."""
        if not self.classes:
            return 0
        return self.classes.index(call_class) if call_class in self.classes else None


def faults(settings: ReconnectSettings) -> list[tuple[str, str]]:
    """Return the invalid settings as (key, message)."""
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
