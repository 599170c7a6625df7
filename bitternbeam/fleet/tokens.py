"""Fencing tokens and the fence that a receiver keeps.

A token is the pair (number, holder). Numbers only increase: a new one is allocated by a check-and-set on the
engine while the lock is held, above every number the owner has seen (Kleppmann, "How to do distributed
locking", 2016: the storage checks the token). The holder breaks ties: if two owners get the same number after
the engine lost its data, only the first one seen is accepted.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """A fencing token; numbers start at 1, `holder` is a member's name."""

    number: int
    holder: str

    def __str__(self) -> str:
        return f"{self.number}@{self.holder}"


def parse_token(text: str) -> Token | None:
    """Read `NUMBER@HOLDER`; None if the text is malformed."""
    number, at, holder = text.partition("@")
    if not at or not holder or not number.isdigit() or len(number) > 18:
        return None
    return Token(int(number), holder)


@dataclass(frozen=True, slots=True)
class Verdict:
    """A fence's decision on one action, and the highest token it knows afterwards."""

    accepted: bool
    highest: Token | None


class Fence:
    """Accepts no token lower than the highest accepted so far, nor an equal number of another holder.

    An action with a higher number raises the fence; further actions with the highest token are accepted.
    Rejected actions change nothing.
    """

    def __init__(self, highest: Token | None = None) -> None:
        self.highest = highest
        self.accepted = 0
        self.refused = 0

    def admit(self, token: Token) -> Verdict:
        """Decide on one action."""
        top = self.highest
        if top is None or token.number > top.number or token == top:
            self.highest = token
            self.accepted += 1
            return Verdict(True, token)
        self.refused += 1
        return Verdict(False, top)


def next_number(stored: int, seen: int) -> int:
    """Return a new owner's number: above the engine's counter and above any number seen.

    If the engine loses its data, `stored` starts at zero again; `seen` (from the fences' answers and the
    published records) keeps the numbers increasing.
    """
    return max(stored, seen) + 1
