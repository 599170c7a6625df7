"""Damping of tenants that open and drop without use, as a flapping route is (RFC 2439).

Each period adds the part that was opened in vain to a penalty, which decays by halves; past SUPPRESS the
tenant is believed no further than its guarantee and its proven use, and keeps nothing warm, until the penalty
is below REUSE.
"""

from __future__ import annotations

from collections.abc import Mapping

SUPPRESS, REUSE, MOST = 3.0, 1.0, 8.0
FEW = 2  # a period with fewer unused ones adds nothing


class Damping:
    """Penalties by tenant, in the hands of the owner."""

    def __init__(self, half_us: int) -> None:
        self.half_us = half_us
        self.penalty: dict[str, float] = {}
        self.damped: set[str] = set()

    def step(self, counts: Mapping[str, tuple[int, int]], elapsed_us: int) -> None:
        """Take what each tenant gave back after use and without use since the last step."""
        decay = 0.5 ** (elapsed_us / self.half_us)
        for tenant in self.penalty.keys() | counts.keys():
            released, unused = counts.get(tenant, (0, 0))
            now = self.penalty.get(tenant, 0.0) * decay
            if unused >= FEW:
                now = min(MOST, now + unused / (unused + released))
            if now > SUPPRESS:
                self.damped.add(tenant)
            elif now < REUSE:
                self.damped.discard(tenant)
            if now > 0.01:
                self.penalty[tenant] = now
            else:
                self.penalty.pop(tenant, None)

    def resume(self, penalties: Mapping[str, float]) -> None:
        """Go on from what the owner before kept; the doubtful stay damped until they decay."""
        self.penalty = dict(penalties)
        self.damped = {tenant for tenant, now in penalties.items() if now >= REUSE}
