"""A core's Back that is asked for nothing but set-ups."""

from __future__ import annotations

from bitternbeam.core.calls import Attempt


class InertBack:
    """Takes back every set-up, ends every call, and is never asked for a report."""

    def probe(self, booker: str) -> None:
        raise AssertionError(booker)

    def cancel_attempt(self, _attempt: Attempt) -> bool:
        return True

    def release(self, _attempt: Attempt) -> None:
        pass
