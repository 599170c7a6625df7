"""Parsing of discovery's events: valid ones, and the kind and path of each fault."""

from __future__ import annotations

import json
from typing import Any

import pytest

from bitternbeam.decision.interface import ListKind, SwitchState
from bitternbeam.net.platform.discovery.events import (
    EventError,
    EventFault,
    Heartbeat,
    ListEvent,
    ServerEntry,
    parse_heartbeat,
    parse_message,
)
from bitternbeam.net.platform.discovery.sequence import EventOrder, EventSequence

SERVER: dict[str, Any] = {"id": "s1", "addr": "10.1.0.9:5060", "cell": 2, "state": "up", "started_ms": 7}


def message(**changes: Any) -> dict[str, Any]:
    return {"rev": 4, "pool": {"full": False, "servers": [SERVER, SERVER | changes]}}


def without(key: str) -> dict[str, Any]:
    server = {name: value for name, value in SERVER.items() if name != key}
    return {"rev": 4, "pool": {"full": False, "servers": [server]}}


def test_events_and_heartbeats_are_parsed() -> None:
    entry = ServerEntry("s1", "10.1.0.9", 5060, 2, SwitchState.READY, 7_000)
    assert parse_message(message()) == ListEvent(4, False, (entry, entry))
    assert parse_message({"rev": "4"}) == parse_heartbeat(b"4\r") == Heartbeat(4)
    assert parse_message(message(cell="2", id="s1")) == parse_message(message())
    assert parse_message(without("started_ms")) == ListEvent(
        4, False, (ServerEntry("s1", "10.1.0.9", 5060, 2, SwitchState.READY, 0),)
    )


@pytest.mark.parametrize(
    ("bad", "fault", "path"),
    [
        ({}, EventFault.MISSING, "event.rev"),
        ({"rev": None}, EventFault.TYPE, "rev"),
        ({"rev": "x"}, EventFault.VALUE, "rev"),
        ({"rev": json.loads("Infinity")}, EventFault.VALUE, "rev"),
        ({"rev": json.loads("NaN")}, EventFault.VALUE, "rev"),
        ({"rev": 4, "pool": []}, EventFault.TYPE, "pool"),
        ({"rev": 4, "pool": {"servers": []}}, EventFault.MISSING, "pool.full"),
        ({"rev": 4, "pool": {"full": True}}, EventFault.MISSING, "pool.servers"),
        ({"rev": 4, "pool": {"full": True, "servers": 3}}, EventFault.TYPE, "servers"),
        ({"rev": 4, "pool": {"full": True, "servers": ["s1"]}}, EventFault.TYPE, "servers[0]"),
        (without("addr"), EventFault.MISSING, "servers[0].addr"),
        (without("state"), EventFault.MISSING, "servers[0].state"),
        (without("cell"), EventFault.MISSING, "servers[0].cell"),
        (without("id"), EventFault.MISSING, "servers[0].id"),
        (message(addr=9), EventFault.TYPE, "servers[1].addr"),
        (message(addr="10.1.0.9"), EventFault.VALUE, "servers[1].addr"),
        (message(addr="10.1.0.9:-1"), EventFault.VALUE, "servers[1].addr"),
        (message(addr="10.1.0.9:\u00b2"), EventFault.VALUE, "servers[1].addr"),
        (message(state="gone"), EventFault.VALUE, "servers[1].state"),
        (message(state=["up"]), EventFault.TYPE, "servers[1].state"),
        (message(cell="east"), EventFault.VALUE, "servers[1].cell"),
        (message(cell=None), EventFault.TYPE, "servers[1].cell"),
        (message(cell=json.loads("1e999")), EventFault.VALUE, "servers[1].cell"),
        (message(started_ms={}), EventFault.TYPE, "servers[1].started_ms"),
    ],
)
def test_an_event_error_names_the_path_of_the_fault(bad: Any, fault: EventFault, path: str) -> None:
    with pytest.raises(EventError) as caught:
        parse_message(bad)
    assert (caught.value.fault, caught.value.path) == (fault, path)
    assert caught.value.cause and str(caught.value).startswith(f"{path}: ")


@pytest.mark.parametrize("line", [b"", b"x", b"4.0", b"true", b"[4]", b"{"])
def test_a_malformed_heartbeat_is_an_error(line: bytes) -> None:
    with pytest.raises(EventError):
        parse_heartbeat(line)


@pytest.mark.parametrize(
    ("revision", "full", "order"),
    [
        (2, False, EventOrder.REPEATED),
        (2, True, EventOrder.REPEATED),
        (3, False, EventOrder.REPEATED),
        (3, True, EventOrder.REPEATED),
        (4, False, EventOrder.NEXT),
        (4, True, EventOrder.FULL_LIST),
        (5, False, EventOrder.GAP),
        (5, True, EventOrder.FULL_LIST),
    ],
)
def test_events_are_classified_by_revision(revision: int, full: bool, order: EventOrder) -> None:
    sequence = EventSequence()
    assert (
        sequence.advance(ListEvent(3, False, ())) is ListKind.CACHED
    )  # the first event is the complete list
    event = ListEvent(revision, full, ())
    assert sequence.classify(event) is order
    if order in (EventOrder.NEXT, EventOrder.FULL_LIST):
        expected = ListKind.COMPLETE if order is EventOrder.FULL_LIST else ListKind.CHANGES
        assert sequence.advance(event) is expected and sequence.revision == revision


@pytest.mark.parametrize(
    ("revision", "order"), [(2, EventOrder.BEHIND), (3, EventOrder.CURRENT), (4, EventOrder.GAP)]
)
def test_heartbeats_are_classified_by_revision(revision: int, order: EventOrder) -> None:
    sequence = EventSequence()
    sequence.advance(ListEvent(3, True, ()))
    assert sequence.classify(Heartbeat(revision)) is order
