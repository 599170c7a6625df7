"""A removed server that lives on, and the process that has taken its address: who is sent which release."""

from __future__ import annotations

import pytest

from bitternbeam.decision.interface import SwitchState
from tests.virtual_site import LIMITS, NEW, NEW_ADDRESS, OLD, OLD_ADDRESS, VirtualSite
from tests.world import MS

READY, GONE = SwitchState.READY, SwitchState.GONE


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> VirtualSite:
    return VirtualSite(monkeypatch)


def remove_old(site: VirtualSite) -> None:
    """Report the old server as removed, and a new one at its own address."""
    site.start_process("new", NEW_ADDRESS)
    site.tell([(OLD, OLD_ADDRESS, GONE, 0), (NEW, NEW_ADDRESS, READY, 0)])


def test_calls_of_a_removed_server_that_answers_on_their_connections_stand(site: VirtualSite) -> None:
    uids = site.set_up(OLD, 3)
    site.advance_ms(500)
    remove_old(site)
    site.advance_ms(30_000)
    assert set(site.old.standing) == set(uids) and not site.clients.over_us
    for uid in uids:
        site.old.end_call(uid)
    site.advance_ms(1_000)
    assert set(site.clients.over_us) == set(uids)


# Guards against taking a server for silent because this process stood still and asked nothing.
def test_calls_of_a_removed_server_outlast_a_stall_of_the_controller(site: VirtualSite) -> None:
    uids = site.set_up(OLD, 3)
    site.advance_ms(500)
    remove_old(site)
    for stalled_ms in (2_600, 3_000, 5_000):
        site.clock.time_us += stalled_ms * MS
        site.advance_ms(3_000)
    assert set(site.old.standing) == set(uids) and not site.clients.over_us


# Guards against ending calls of a removed server with a set-up beside them whose answer was lost.
def test_calls_of_a_removed_server_outlast_a_lost_answer_on_their_connection(site: VirtualSite) -> None:
    (uid,) = site.set_up(OLD, 1)
    site.advance_ms(500)
    pool = site.back.pools[OLD]
    (own,) = [one for one in pool.connections if one.transport is site.old.standing[uid]]
    pool.least_loaded = lambda: own  # type: ignore[method-assign]
    site.old.loses_answers = True
    (unanswered,) = site.set_up(OLD, 1)
    site.advance_ms(10)
    remove_old(site)
    site.advance_ms(10_000)
    assert not site.clients.over_us and site.clients.answered[unanswered] == ""
    assert set(site.old.standing) == {uid}


def test_calls_on_a_connection_with_a_bad_line_are_over_on_both_sides(site: VirtualSite) -> None:
    (uid,) = site.set_up(OLD, 1)
    site.advance_ms(500)
    remove_old(site)
    for connection in set(site.old.connections) - {site.old.standing[uid]}:
        connection.reset()
    site.old.standing[uid].protocol.dataReceived(b"{nonsense\n")
    site.advance_ms(500)
    assert set(site.clients.over_us) == {uid} and site.old.released == {uid}


# Guards against renewals that close the connection by which a call's process is known to live.
def test_renewals_leave_the_connections_of_other_calls(site: VirtualSite) -> None:
    silent, *others = site.set_up(OLD, 3)
    site.advance_ms(500)
    site.old.standing[silent].silent = True
    site.advance_ms(5 * LIMITS.booker_renewal_us / 1_000)
    assert site.counters["booker.set_aside.renewed"]
    remove_old(site)
    site.advance_ms(10_000)
    assert set(site.clients.over_us) == {silent}
    assert set(site.old.standing) == set(others) and site.old.released == {silent}


# Guards against a call that stands at its process after its client was told that it is over.
def test_a_call_that_is_over_for_its_client_is_released_at_a_process_that_may_hold_it(
    site: VirtualSite,
) -> None:
    lost, kept = site.set_up(OLD, 2)
    site.advance_ms(500)
    site.old.standing[lost].reset()
    site.advance_ms(500)
    remove_old(site)
    site.advance_ms(1_000)
    assert set(site.clients.over_us) == {lost} and site.old.released == {lost}
    assert set(site.old.standing) == {kept}


@pytest.mark.parametrize("told", ["before", "after"])
def test_a_call_that_lost_its_connection_is_released_through_the_server_listed_at_the_address(
    site: VirtualSite, told: str
) -> None:
    # The process at the address has a new name, whose start the list does not give.
    (uid,) = site.set_up(OLD, 1)
    site.advance_ms(500)
    listed = [(OLD, OLD_ADDRESS, GONE, 0), (NEW, OLD_ADDRESS, READY, 0)]
    if told == "before":
        site.tell(listed)
        site.advance_ms(500)
    site.old.reset()
    if told == "after":
        site.tell(listed)
    site.advance_ms(1_000)
    assert set(site.clients.over_us) == {uid} and site.old.released == {uid}


# Guards against an accepted connection that is taken for a sign of life, and one more every 2.5 s.
def test_a_hung_server_that_accepts_connections_does_not_use_them_up(site: VirtualSite) -> None:
    uids = site.set_up(OLD, 3)
    site.advance_ms(500)
    site.old.answering = False
    site.advance_ms(60_000)
    in_use = len([one for one in site.old.connections if one.connected])
    assert in_use <= 6, f"{in_use} connections are open"
    assert not site.counters["booker.set_aside.silent"]
    site.old.answering = True
    for uid in uids:
        site.old.end_call(uid)
    site.advance_ms(5_000)
    assert set(site.clients.over_us) == set(uids)


# Guards against calls and set-ups at the process before a restart, on its connections that stay open.
def test_a_restart_ends_what_was_sent_on_connections_of_the_process_before_it(site: VirtualSite) -> None:
    before = site.set_up(OLD, 2)
    site.advance_ms(500)
    site.old.silence()
    restarted = site.start_process("restarted", OLD_ADDRESS)
    started_us = site.clock.time_us
    site.back.pools[OLD].connect()
    site.advance_ms(10)
    after = site.set_up(OLD, 1)
    site.advance_ms(100)
    site.tell([(OLD, OLD_ADDRESS, READY, started_us)])
    site.advance_ms(1_000)
    assert set(site.clients.over_us) == set(before)
    assert set(restarted.standing) == set(after)
    assert {one.transport.process for one in site.back.pools[OLD].connections} == {restarted}


# Guards against ending calls of the restarted process where the start told is a little late.
def test_calls_on_a_connection_that_is_heard_since_the_start_told_stand(site: VirtualSite) -> None:
    site.old.reset()
    site.advance_ms(500)
    started_us = site.clock.time_us
    site.advance_ms(10)
    uids = site.set_up(OLD, 2)
    site.advance_ms(500)
    site.tell([(OLD, OLD_ADDRESS, READY, started_us)])
    site.advance_ms(10_000)
    assert set(site.old.standing) == set(uids) and not site.clients.over_us


# Guards against a call that goes to the new server because it was decided on since that one's start.
def test_a_call_sent_to_the_former_process_after_the_start_of_the_new_one_ends_with_the_former(
    site: VirtualSite,
) -> None:
    successor = site.start_process("successor", OLD_ADDRESS)
    started_us = site.clock.time_us
    site.advance_ms(100)
    uids = site.set_up(OLD, 2)
    site.advance_ms(100)
    assert set(site.old.standing) == set(uids)
    site.old.reset()
    site.advance_ms(100)
    site.tell([(OLD, OLD_ADDRESS, GONE, 0), (NEW, OLD_ADDRESS, READY, started_us)])
    site.advance_ms(1_000)
    assert set(site.clients.over_us) == set(uids) and not successor.standing
