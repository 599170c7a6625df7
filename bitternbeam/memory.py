"""Settings of Python's cyclic garbage collector.

Calls, connections and snapshots are freed by reference counting, and the few objects in cycles are young.
A full collection visits every entry of a large version and blocks the reactor for 0.1 s or more.
Full collections are therefore postponed, and long-lived objects are frozen so that none visits them.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

YOUNG, MIDDLE, OLD = 700, 10, 1_000_000  # allocations, then collections of the younger generation


def freeze_heap() -> None:
    """Exclude all present objects from collection: they are long-lived or freed by reference counting."""
    gc.set_threshold(YOUNG, MIDDLE, OLD)
    gc.freeze()


@contextmanager
def collection_paused() -> Iterator[None]:
    """Disable collection while something large is built at start, then freeze it."""
    gc.disable()
    try:
        yield
    finally:
        freeze_heap()
        gc.enable()


def pause_collection(busy: bool) -> None:
    """Disable collection while a version is processed, which creates very many long-lived objects."""
    if busy:
        gc.disable()
    else:
        freeze_heap()
        gc.enable()
