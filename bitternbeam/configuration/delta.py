"""What changes from one version to the next, and the undoing of it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import TypeAlias

from msgspec import Struct

from bitternbeam.configuration.schema import AnyEntry, Key

Changes: TypeAlias = dict[Key, AnyEntry | None]  # None: the entry goes

SLICE = 64  # entries between two places at which work on many may pause


class Number(Struct, frozen=True, order=True):
    """What a version is called: numbers count up within an epoch, and a later epoch comes after all of them.

    A control service takes a new epoch when it may have forgotten numbers that it gave. Epoch 0 is the
    configuration file's.
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"

    @classmethod
    def read(cls, text: str) -> Number:
        """Read what str() gives; raises ValueError."""
        epoch, dot, number = text.partition(".")
        if not dot:
            epoch, number = "0", epoch
        if not (epoch.isdecimal() and number.isdecimal()):
            raise ValueError(f"{text!r} is not a version: EPOCH.NUMBER, as 3.17")
        return cls(int(epoch), int(number))


def difference(
    old: Mapping[Key, AnyEntry], new: Mapping[Key, AnyEntry | None], changes: Changes
) -> Iterator[None]:
    """Put into `changes` what turns old into new; pauses between slices."""
    for count, (key, entry) in enumerate(new.items()):
        if old.get(key) != entry:
            changes[key] = entry
        if count % SLICE == 0:
            yield
    for count, key in enumerate(old):
        if key not in new:
            changes[key] = None
        if count % SLICE == 0:
            yield


def undo(old: Mapping[Key, AnyEntry], changes: Iterable[Key], back: Changes) -> Iterator[None]:
    """Put into `back` what takes changes back to what stood before them; pauses between slices."""
    for count, key in enumerate(changes):
        back[key] = old.get(key)
        if count % SLICE == 0:
            yield


def compose(first: Changes, then: Changes) -> Changes:
    """Return both as one."""
    return {**first, **then}
