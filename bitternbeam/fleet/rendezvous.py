"""Who owns which piece of work: highest random weight (rendezvous) hashing over the live members.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM ToN 1998: every member
scores every piece, the highest score owns it; a member that leaves moves only its own pieces.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache


@lru_cache(maxsize=1 << 16)  # the same pairs are needed at every tick
def weight(member: str, work: str) -> int:
    """Return a stable 64-bit score of the pair; the same on every process and every run."""
    digest = hashlib.blake2b(f"{member}\x00{work}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def owner(work: str, members: Iterable[str]) -> str | None:
    """Return the member that owns `work`; None when there are no members. Ties go to the smaller name."""
    best: tuple[int, str] | None = None
    for member in members:
        score = (weight(member, work), member)
        if best is None or score[0] > best[0] or (score[0] == best[0] and member < best[1]):
            best = score
    return None if best is None else best[1]


def highest_ranked(work: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members of highest score for `work`, best first (owner and its stand-bys)."""
    return sorted(members, key=lambda member: (-weight(member, work), member))[:count]


def owned(member: str, works: Iterable[str], members: Iterable[str]) -> list[str]:
    """Return the pieces of `works` that `member` owns among `members` (which should include it)."""
    live = sorted(set(members) | {member})
    return [work for work in works if owner(work, live) == member]
