"""Consul against an HTTP stand-in that answers blocking queries as a script says."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from bitternbeam.decision.interface import ListKind, SwitchEntry, SwitchState
from bitternbeam.limits import MS, Limits
from bitternbeam.net.consul import Consul
from bitternbeam.net.sip.settings import ConsulSettings, SipServer
from tests.loop import parts, pause, reactor, until

LIMITS = replace(Limits(), consul_retry_us=20 * MS, consul_min_interval_us=5 * MS)
READY, DRAINING, GONE = SwitchState.READY, SwitchState.DRAINING, SwitchState.GONE
NOTICE_US = 250 * MS  # from a notice on nothing new is sent to a server that drains or has gone


def instance(name: str, status: str = "passing", **meta: str) -> dict[str, Any]:
    service = {"ID": name, "Address": "127.0.0.1", "Port": 5070, "Meta": meta}
    return {"Node": {"Address": "127.0.0.2"}, "Service": service, "Checks": [{"Status": status}]}


class Agent(Resource):
    """A Consul agent: holds a query whose index is the present one until the list changes."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.index, self.health, self.catalogue = 7, [instance("a", cell="3")], list[str]()
        self.asked: list[tuple[str, int]] = []
        self.held: list[Any] = []
        self.silent_catalogue = False
        self.broken = 0

    def render_GET(self, request: Any) -> Any:
        path, index = request.path.decode(), int(request.args.get(b"index", [b"0"])[0])
        self.asked.append((path, index))
        if self.broken:
            self.broken -= 1
            request.setResponseCode(500)
            return b"no leader"
        if path.startswith("/v1/catalog") and self.silent_catalogue:
            return NOT_DONE_YET
        if path.startswith("/v1/catalog"):
            request.setHeader("X-Consul-Index", "1")
            return json.dumps([{"ServiceID": name} for name in self.catalogue]).encode()
        if index == self.index:
            self.held.append(request)
            return NOT_DONE_YET
        return self.body(request)

    def body(self, request: Any) -> bytes:
        request.setHeader("X-Consul-Index", str(self.index))
        return json.dumps(self.health).encode()

    def change(self, index: int, *health: dict[str, Any]) -> None:
        self.index, self.health = index, list(health)
        held, self.held = self.held, []
        for request in held:
            request.write(self.body(request))
            request.finish()


class Watch:
    """A Consul directory on a stand-in and what it told."""

    def __init__(self) -> None:
        self.agent = Agent()
        self.port = reactor.listenTCP(0, Site(self.agent), interface="127.0.0.1")
        self.deadlines, self.counters = parts()
        self.told: list[tuple[ListKind, list[SipServer], list[SwitchEntry]]] = []
        self.consul = Consul(
            reactor=reactor,
            settings=ConsulSettings("127.0.0.1", self.port.getHost().port, "sip booker"),
            listed=lambda *news: self.told.append(news),
            deadlines=self.deadlines,
            limits=LIMITS,
            counters=self.counters,
        )
        self.consul.start()

    def last(self) -> dict[str, SwitchState]:
        return {entry.switch: entry.state for entry in self.told[-1][2]}


@pytest.fixture
def watch() -> Iterator[Watch]:
    one = Watch()
    until(lambda: one.told and one.agent.held)
    yield one
    one.consul.stop()
    one.port.stopListening()
    pause(0.05)


def test_the_first_list_is_whole_and_the_next_question_waits_for_a_change(watch: Watch) -> None:
    kind, servers, entries = watch.told[0]
    assert kind is ListKind.COMPLETE and entries == [SwitchEntry("a", 3, READY, 0)]
    assert servers[0].hop.port == 5070
    assert watch.agent.asked[:2] == [
        ("/v1/health/service/sip%20booker", 0),
        ("/v1/health/service/sip%20booker", 7),
    ]


@pytest.mark.parametrize(
    ("after", "state"),
    [
        (instance("a", "critical", cell="3"), DRAINING),
        (instance("a", "warning", cell="3"), DRAINING),
        (instance("a", cell="3", state="draining"), DRAINING),
        (instance("a", cell="3", started_ms="1700000000000"), READY),
    ],
)
def test_checks_and_meta_tell_the_state_and_the_start(watch: Watch, after: Any, state: SwitchState) -> None:
    watch.agent.change(8, after)
    until(lambda: len(watch.told) == 2)
    assert watch.told[1][0] is ListKind.CHANGES and watch.last() == {"a": state}
    started = after["Service"]["Meta"].get("started_ms", "0")
    assert watch.told[1][2][0].started_at_us == int(started) * 1000


@pytest.mark.parametrize(("catalogue", "state"), [(["a"], DRAINING), ([], GONE)])
def test_the_catalogue_tells_what_became_of_one_that_left(
    watch: Watch, catalogue: list[str], state: SwitchState
) -> None:
    watch.agent.catalogue = catalogue
    watch.agent.change(8, instance("b"))
    until(lambda: len(watch.told) == 2)
    assert watch.last() == {"a": state, "b": READY}


def test_an_index_that_goes_backwards_is_asked_for_anew(watch: Watch) -> None:
    watch.agent.change(2, instance("a", "critical", cell="3"))
    until(lambda: watch.agent.held)
    assert [index for _, index in watch.agent.asked] == [0, 7, 0, 2]
    assert watch.counters["consul.index_resets"] == 1 and watch.last() == {"a": DRAINING}


def test_errors_keep_the_last_list_and_are_followed_by_growing_pauses(watch: Watch) -> None:
    watch.agent.broken = 4
    watch.agent.change(9, instance("a", cell="3"))  # the held query is answered, the next four fail
    until(lambda: watch.counters["consul.errors"] == 4 and watch.agent.held)
    assert len(watch.told) == 1
    watch.agent.change(10, instance("a", cell="4"))
    until(lambda: len(watch.told) == 2)


def test_what_cannot_be_read_is_passed_over(watch: Watch) -> None:
    watch.agent.change(8, {"Service": None}, instance("a", cell="3"), instance("b", cell="x"))
    until(lambda: len(watch.told) == 2)
    assert watch.last() == {"b": READY} and watch.counters["consul.bad_instances"] == 1


def test_nothing_is_kept_of_instances_that_have_gone(watch: Watch) -> None:
    # Names are new all day; and a number that is free again is no other instance's.
    for index in range(8, 14):
        watch.agent.change(index, instance(f"n{index}"), instance(f"n{index + 1}"))
        until(lambda index=index: len(watch.told) == index - 6)  # type: ignore[misc]
        cells = [one.cell for one in watch.consul.held.values()]
        assert len(set(cells)) == 2 and set(watch.consul.cells) == set(watch.consul.held)


def test_a_health_answer_is_applied_though_the_catalogue_is_silent(watch: Watch) -> None:
    # Guards against new calls at servers that the health API shows as gone and as critical.
    watch.agent.change(8, instance("a", cell="3"), instance("b"))
    until(lambda: len(watch.told) == 2 and watch.agent.held)
    watch.agent.silent_catalogue = True
    answered_us = watch.deadlines.now_us()
    watch.agent.change(9, instance("b", "critical"))
    until(lambda: len(watch.told) == 3)
    assert watch.last() == {"a": DRAINING, "b": DRAINING}
    assert watch.deadlines.now_us() - answered_us < NOTICE_US
    until(lambda: len(watch.told) == 4)
    assert watch.last() == {"a": GONE}
    until(lambda: watch.agent.held)  # the questions go on


def test_an_instance_that_comes_back_while_registered_is_ready_again(watch: Watch) -> None:
    # Guards against a server that left the health API's list for a moment getting no call any more.
    watch.agent.catalogue = ["a"]
    watch.agent.change(8, instance("b"))
    until(lambda: len(watch.told) == 2 and watch.agent.held)
    watch.agent.change(9, instance("a", cell="3"), instance("b"))
    until(lambda: len(watch.told) == 3)
    assert watch.last() == {"a": READY}
