"""The printed form of the counters."""

from __future__ import annotations

from io import StringIO

from bitternbeam.counters import Counters


def test_renamed_counters_are_printed_under_their_earlier_names_too() -> None:
    counters, sink = Counters(), StringIO()
    counters.add("client.connections", 3)
    counters.add("discovery.events", 2)
    counters.add("sends")
    counters.write(sink)
    assert sink.getvalue().splitlines() == [
        "counter board.events 2",
        "counter caller.connections 3",
        "counter client.connections 3",
        "counter discovery.events 2",
        "counter sends 1",
    ]
