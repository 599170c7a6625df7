"""The cyclic collector, told what is worth its while.

Calls, connections and snapshots are freed by their reference counts; what little lies in cycles is young. But
a full collection walks through every entry of a large version, and stops the reactor for a tenth of a second
and more. So full ones are put off, and what has come to stay is set aside from them.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

YOUNG, MIDDLE, OLD = 700, 10, 1_000_000  # allocations, then collections of the generation before


def freeze_heap() -> None:
    """Set what is there aside: it has come to stay, or its reference count will free it."""
    gc.set_threshold(YOUNG, MIDDLE, OLD)
    gc.freeze()


@contextmanager
def collection_paused() -> Iterator[None]:
    """Collect nothing while something large is built at the start, and set it aside."""
    gc.disable()
    try:
        yield
    finally:
        freeze_heap()
        gc.enable()


def pause_collection(busy: bool) -> None:
    """Collect nothing while a version is worked on: it makes very many objects, and all of them stay."""
    if busy:
        gc.disable()
    else:
        freeze_heap()
        gc.enable()
