"""A table of numbered slots with generations."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

INDEX_BITS = 24
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """Values in numbered slots; a handle holds the slot's number and its generation.

    A slot is used again, but under a new generation: a handle kept too long finds nothing
    rather than the slot's next tenant. Handles are above 0.
    """

    def __init__(self, size: int) -> None:
        """Take at most `size` values at once."""
        self.size = size
        self._values: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def full(self) -> bool:
        """Whether no further value can be put."""
        return self._count >= self.size

    def put(self, value: T) -> int:
        """Store a value and return its handle."""
        if self.full:
            raise OverflowError(f"all {self.size} slots are taken")
        if self._free:
            index = self._free.pop()
        else:
            index = len(self._values)
            self._values.append(None)
            self._generations.append(0)
        self._values[index] = value
        self._generations[index] += 1
        self._count += 1
        return self._generations[index] << INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        """Return the value, or None if that tenant has left."""
        index = handle & INDEX_MASK
        if index >= len(self._values) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._values[index]

    def pop(self, handle: int) -> T | None:
        """Remove and return the value, or None if it has left already."""
        value = self.get(handle)
        if value is not None:
            index = handle & INDEX_MASK
            self._values[index] = None
            self._free.append(index)
            self._count -= 1
        return value

    def values(self) -> Iterator[T]:
        """Iterate over a copy: the table may change meanwhile."""
        return iter([value for value in self._values if value is not None])
