"""Long work in slices: generators that yield now and then, by counted work and not by any clock."""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator
from itertools import islice
from typing import TypeVar

SLICE = 1_000  # counted pieces between two yields; under 2 ms, see docs/design-budgets.md

T = TypeVar("T")


class Meter:
    """Counts work; `spent` says when it is time to yield."""

    def __init__(self, pieces: int = SLICE) -> None:
        self.pieces = self.left = pieces

    def spent(self, work: int) -> bool:
        """Count work; True once a slice is full."""
        self.left -= work
        if self.left > 0:
            return False
        self.left = self.pieces
        return True


def chunks(rows: Iterable[T], size: int = 100) -> Iterator[list[T]]:
    """Give the rows in lists of some length: counting each row alone costs more than most of the work."""
    left = iter(rows)
    while chunk := list(islice(left, size)):
        yield chunk


def whole(sliced: Generator[None, None, T]) -> T:
    """Run sliced work at one go and return what it returns."""
    while True:
        try:
            next(sliced)
        except StopIteration as end:
            found: T = end.value
            return found
