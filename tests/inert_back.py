"""A base for backends of which only set-ups are expected."""

from __future__ import annotations

from bitternbeam.core.calls import Attempt


class InertBack:
    """Cancels and releases at once, and must never be asked for a probe."""

    def probe(self, booker: str) -> None:
        raise AssertionError(booker)

    def cancel_attempt(self, _attempt: Attempt) -> bool:
        return True

    def release(self, _attempt: Attempt) -> None:
        pass
