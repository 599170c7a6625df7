"""Fencing tokens and the fence that a receiver keeps.

A token is the pair (number, holder). The number only grows: it is taken by a check-and-set on the engine
while the lock is held, above every number the taker has seen (Kleppmann, "How to do distributed locking",
2016: the storage checks the token). The holder breaks a tie: two owners that came to the same number after
the engine lost its data are told apart, and only the first one seen is let through.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """A fencing token; numbers from 1 up, holder a member's name."""

    number: int
    holder: str

    def __str__(self) -> str:
        return f"{self.number}@{self.holder}"


def parse_token(text: str) -> Token | None:
    """Read `NUMBER@HOLDER`; None for anything else (a receiver never trusts what it can't read)."""
    number, at, holder = text.partition("@")
    if not at or not holder or not number.isdigit() or len(number) > 18:
        return None
    return Token(int(number), holder)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a fence said of one act: let through or not, and the highest token it knows then."""

    accepted: bool
    highest: Token | None


class Fence:
    """The highest token a receiver has let through; anything lower, or equal from another holder, is refused.

    An act with a higher number moves the fence up; acts of the same holder at the highest number go on being
    let through. Refused acts change nothing.
    """

    def __init__(self, highest: Token | None = None) -> None:
        self.highest = highest
        self.accepted = 0
        self.refused = 0

    def admit(self, token: Token) -> Verdict:
        """Judge one act."""
        top = self.highest
        if top is None or token.number > top.number or token == top:
            self.highest = token
            self.accepted += 1
            return Verdict(True, token)
        self.refused += 1
        return Verdict(False, top)


def next_number(stored: int, seen: int) -> int:
    """Return the number a new owner takes: above what the engine holds and above what it has seen anywhere.

    After the engine lost its data, `stored` starts again from zero; `seen` (the fences' answers, the
    published records) keeps the numbers growing.
    """
    return max(stored, seen) + 1
