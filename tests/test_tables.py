"""Numbered slots and the one ordered structure of deadlines."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bitternbeam.tables.deadlines import COMPACT_ABOVE, Deadlines
from bitternbeam.tables.slots import SlotTable


class Hand:
    """A clock that is moved by hand."""

    def __init__(self) -> None:
        self.now = 0
        self.armed: int | None = None
        self.wake: Callable[[], None] = lambda: None

    def now_us(self) -> int:
        return self.now

    def input_read_until_us(self) -> int:
        return self.now

    def earliest_arrival_us(self) -> int:
        return self.now

    def wake_at(self, at_us: int | None, wake: Callable[[], None]) -> None:
        self.armed, self.wake = at_us, wake

    def go(self, to: int) -> None:
        while self.armed is not None and self.armed <= to:
            self.now, self.armed = max(self.now, self.armed), None
            self.wake()
        self.now = to


def test_a_handle_kept_too_long_does_not_find_the_slots_next_tenant() -> None:
    table: SlotTable[str] = SlotTable(2)
    first = table.put("a")
    assert table.pop(first) == "a" and table.pop(first) is None
    second = table.put("b")
    assert table.get(first) is None and table.get(second) == "b" and first != second
    table.put("c")
    assert table.full and list(table.values()) == ["b", "c"]
    with pytest.raises(OverflowError):
        table.put("d")


def test_deadlines_run_in_order_and_a_cancelled_one_never() -> None:
    hand, ran = Hand(), list[str]()
    deadlines = Deadlines(hand)
    deadlines.call_at(30, lambda: ran.append("c"))
    deadlines.call_at(10, lambda: ran.append("a"))
    dropped = deadlines.call_at(20, lambda: ran.append("x"))
    deadlines.call_at(20, lambda: ran.append("b"))
    assert hand.armed == 10
    dropped.cancel()
    dropped.cancel()
    hand.go(25)
    assert ran == ["a", "b"] and len(deadlines) == 1 and hand.armed == 30


def test_one_handler_may_cancel_another_that_is_due_with_it_and_set_a_new_one() -> None:
    hand, ran = Hand(), list[str]()
    deadlines = Deadlines(hand)

    def first() -> None:
        other.cancel()
        deadlines.call_at(10, lambda: ran.append("next"))

    deadlines.call_at(10, first)
    other = deadlines.call_at(10, lambda: ran.append("other"))
    hand.go(10)
    assert ran == ["next"] and len(deadlines) == 0


def test_cancelled_entries_are_swept_out() -> None:
    deadlines = Deadlines(Hand())
    for n in range(4 * COMPACT_ABOVE):
        deadlines.call_at(n, lambda: None).cancel()
    assert len(deadlines) == 0 and len(deadlines._heap) <= COMPACT_ABOVE


def test_a_handler_that_fails_does_not_take_the_others_along() -> None:
    # All that are due have left the structure: the calls behind the rest would never be answered.
    hand, ran = Hand(), list[str]()
    deadlines = Deadlines(hand)
    deadlines.call_at(10, lambda: ran.append("a"))
    deadlines.call_at(10, lambda: ran.append(str(1 // 0)))
    deadlines.call_at(10, lambda: ran.append("b"))
    deadlines.call_at(20, lambda: ran.append("c"))
    hand.go(30)
    assert ran == ["a", "b", "c"]
