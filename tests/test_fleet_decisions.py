"""Decisions on membership, placement and records of the fleet, in simulated time."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternbeam.fleet.claim import Claim, Phase
from bitternbeam.fleet.lease import LeaseTimes, Session
from bitternbeam.fleet.membership import Damping, EngineContact, Membership
from bitternbeam.fleet.placement import Lock, should_hold
from bitternbeam.fleet.record import Publication, ReadResult, Record, RecordReader, Write, parse_record
from bitternbeam.fleet.tokens import Token

S = 1_000_000
TIMES = LeaseTimes(ttl_us=2 * S, lock_delay_us=S // 2, margin_us=700_000, pause_us=400_000, tick_us=50_000)
NONE: frozenset[str] = frozenset()


def roster(**members: str) -> Membership:
    one = Membership("me", Damping(settle_us=4 * S, recent_us=60 * S), 0)
    one.update({"me": NONE} | {name: frozenset(text.split()) for name, text in members.items()}, 0)
    return one


def told(one: Membership, now_us: int, *names: str) -> None:
    one.update(dict.fromkeys(names, NONE), now_us)


def test_a_new_member_counts_after_settling_and_a_departed_one_at_once_no_more() -> None:
    one = roster(a="")
    told(one, S, "me", "a", "b")
    assert one.stable(S) == ["a", "me"]
    assert one.stable(5 * S) == ["a", "b", "me"]
    told(one, 5 * S, "me", "b")
    assert one.stable(5 * S) == ["b", "me"]


def test_a_flapping_member_settles_longer_each_time_up_to_a_bound() -> None:
    one = roster(a="")
    now, waits = 0, []
    for _ in range(6):
        told(one, now, "me")
        now += S
        told(one, now, "me", "a")
        began = now
        while "a" not in one.stable(now):
            now += S // 2
        waits.append((now - began) // S)
    assert waits == [8, 16, 32, 32, 32, 32]


def test_a_flap_long_ago_is_forgotten() -> None:
    one = roster(a="")
    told(one, 0, "me")
    told(one, 61 * S, "me", "a")
    assert "a" in one.stable(65 * S)


def test_shares_assume_the_largest_recent_fleet_size() -> None:
    one = roster(**{f"m{number}": "" for number in range(9)})
    assert one.size(S) == 10
    told(one, 2 * S, "me")  # the engine says that all the others have gone
    assert one.size(3 * S) == 10
    assert one.size(61 * S) == 10
    assert one.size(63 * S) == 1


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3 * S), st.sets(st.sampled_from("abcdefgh"))), max_size=30))
def test_the_size_is_never_below_a_size_within_the_window(steps: list[tuple[int, set[str]]]) -> None:
    one = Membership("me", Damping(settle_us=S, recent_us=5 * S), 0)
    now, seen = 0, [(0, 1)]
    for wait, names in steps:
        now += wait
        told(one, now, *names)
        seen.append((now, len(names | {"me"})))
        assert one.size(now) >= max(size for at, size in seen if at > now - 5 * S)
        assert one.size(now) <= max(size for _at, size in seen)


def test_a_declining_member_comes_last_and_if_all_decline_the_order_stays() -> None:
    line = roster(a="", b="").order("probe/b1", 0)
    first = line[0]
    asides = {name: "probe/b1" if name == first else "" for name in ("a", "b")}
    one = roster(**asides)
    one.declined = frozenset({"probe/b1"}) if first == "me" else NONE
    assert one.order("probe/b1", 0) == [*line[1:], first]
    everyone = roster(a="probe/b1", b="probe/b1")
    everyone.declined = frozenset({"probe/b1"})
    assert everyone.order("probe/b1", 0) == line


@pytest.mark.parametrize(
    ("others", "may"),
    [
        ({}, False),  # nobody else could try
        ({"a": ""}, True),
        ({"a": "probe/b1"}, False),
        ({"a": "probe/b1", "b": "", "c": ""}, True),
        ({"a": "probe/b1", "b": "probe/b1", "c": ""}, False),  # two could not either: it is the booker
    ],
)
def test_which_members_may_decline(others: dict[str, str], may: bool) -> None:
    assert roster(**others).may_decline("probe/b1") is may


def test_a_member_is_isolated_after_a_ttl_without_answer_but_not_by_its_own_pause() -> None:
    one = EngineContact(2 * S, 0)
    assert not one.tick(2 * S - 1)
    one.pause_ended(100 * S)
    assert not one.tick(101 * S)
    assert one.tick(102 * S) and one.is_isolated
    assert not one.tick(103 * S)  # it is said once
    assert one.answered(104 * S) and not one.is_isolated
    assert not one.answered(104 * S)


def claim(phase: Phase, held_since_us: int = 0) -> Claim:
    one = Claim("k", "me", TIMES)
    one.phase, one.held_since_us = phase, held_since_us
    return one


def lock(free_since_us: int | None) -> Lock:
    one = Lock()
    one.observe(None if free_since_us is not None else "s", free_since_us or 0)
    return one


@pytest.mark.parametrize(
    ("phase", "free", "line", "now_us", "wanted"),
    [
        (Phase.FOLLOWING, 0, (0, False), 0, True),
        (Phase.FOLLOWING, None, (0, False), 99 * S, False),  # another one holds it
        (Phase.FOLLOWING, 0, (1, False), S // 2 + 299_999, False),
        (Phase.FOLLOWING, 0, (1, False), S // 2 + 300_000, True),  # the first in line did not come
        (Phase.FOLLOWING, 0, (2, False), S // 2 + 300_000, False),
        (Phase.FOLLOWING, 0, (1, True), 99 * S, False),
        (Phase.FOLLOWING, 0, (0, True), 0, True),  # all stand aside
        (Phase.OWNER, None, (0, False), 99 * S, True),
        (Phase.OWNER, None, (0, True), 1, False),
        (Phase.OWNER, None, (1, False), 4 * S - 1, True),  # kept for two TTLs,
        (Phase.OWNER, None, (1, False), 4 * S, False),  # then handed to the first in line
        (Phase.CHECKING, None, (1, False), 1, True),
    ],
)
def test_when_a_member_should_hold_work(
    phase: Phase, free: int | None, line: tuple[int, bool], now_us: int, wanted: bool
) -> None:
    place, aside = line
    assert should_hold(claim(phase), lock(free), place, aside, now_us) is wanted


def test_a_lock_of_unknown_state_is_not_wanted() -> None:
    one = lock(0)
    one.forget()
    assert not should_hold(claim(Phase.FOLLOWING), one, 0, False, 99 * S)
    one.observe(None, 5 * S)
    assert one.free_since_us == 5 * S
    one.observe(None, 9 * S)
    assert one.free_since_us == 5 * S  # still the same free time


def test_a_renewed_session_is_valid_until_its_margin() -> None:
    session = Session(TIMES, 0)
    session.created("s", 0)
    session.tick(TIMES.safe_us - 1)
    session.last_tick_us = TIMES.safe_us - 1
    session.pause_ended_us = None
    assert session.is_valid(TIMES.safe_us - 1) and not session.is_valid(TIMES.safe_us)


# Records.


def record(number: int, holder: str = "a", at_ms: int = 0, **value: object) -> Record:
    return Record(Token(number, holder), at_ms, dict(value))


@pytest.mark.parametrize(
    "text",
    [
        "", "[]", "{}", "null", "{" * 100_000, '{"token":"1@a","at_ms":1}', '{"token":1,"at_ms":1,"is":{}}',
        '{"token":"1@a","at_ms":-1,"is":{}}', '{"token":"1@a","at_ms":true,"is":{}}',
        '{"token":"1@a","at_ms":1.5,"is":{}}', '{"token":"0x1@a","at_ms":1,"is":{}}',
        '{"token":"1@a","at_ms":1,"is":[]}',
    ],
)  # fmt: skip
def test_a_malformed_record_is_counted_and_changes_nothing(text: str) -> None:
    follower = RecordReader(10 * S)
    assert follower.read(record(5, x=1).text(), 0, 0) is ReadResult.NEW
    assert follower.read(text, S, 1000) is ReadResult.MALFORMED
    assert follower.refused == {ReadResult.MALFORMED: 1}
    assert follower.fresh(S) == record(5, x=1)


@pytest.mark.parametrize(
    ("second", "heard"),
    [
        (record(5, x=1), ReadResult.SAME),
        (record(5, x=2), ReadResult.NEW),
        (record(6, "b", x=2), ReadResult.NEW),
        (record(5, "b", x=2), ReadResult.STALE),  # the same number from another holder
        (record(4, "b", x=2), ReadResult.STALE),
        (record(9, "b", at_ms=2_001, x=2), ReadResult.FUTURE),
    ],
)
def test_a_reader_accepts_only_the_highest_token_of_its_time(second: Record, heard: ReadResult) -> None:
    follower = RecordReader(10 * S)
    follower.read(record(5, x=1).text(), 0, 0)
    assert follower.read(second.text(), 0, 0) is heard
    believed = follower.fresh(0)
    assert believed == (second if heard in (ReadResult.NEW, ReadResult.SAME) else record(5, x=1))


def test_a_record_expires_by_the_readers_clock_and_an_old_one_is_rejected() -> None:
    follower = RecordReader(10 * S)
    follower.read(record(5, at_ms=1_000_000).text(), 0, 1_000_000)
    assert follower.fresh(10 * S) and follower.fresh(10 * S + 1) is None
    assert follower.read(record(6, at_ms=1_000_000).text(), 0, 1_012_001) is ReadResult.OLD


@given(st.lists(st.tuples(st.integers(1, 6), st.sampled_from("abc"), st.integers(0, 3)), max_size=40))
def test_a_reader_never_goes_back_to_a_lower_token(said: list[tuple[int, str, int]]) -> None:
    follower, last = RecordReader(10 * S), Token(0, "")
    for number, holder, value in said:
        follower.read(record(number, holder, value=value).text(), 0, 0)
        assert follower.record is not None
        token = follower.record.token
        assert token.number > last.number or token == last
        last = token


def test_a_writer_reads_first_replaces_that_version_and_reads_again_after_losing() -> None:
    writer, mine = Publication(refresh_us=S), Token(7, "me")
    assert writer.due(mine, {"x": 1}, 0)
    assert writer.write(mine, {"x": 1}, 0, 0) is None  # not looked yet
    writer.record_read(41, record(6, "b").text())
    write = writer.write(mine, {"x": 1}, 0, 0)
    assert isinstance(write, Write) and write.cas == 41
    assert not writer.due(mine, {"x": 2}, 0)  # one at a time
    writer.written(False, write)
    assert writer.due(mine, {"x": 1}, 1) and writer.write(mine, {"x": 1}, 1, 0) is None
    writer.record_read(45, record(8, "c").text())
    assert writer.write(mine, {"x": 1}, 2, 0) == Token(8, "c")  # barred


def test_a_new_owner_writes_at_once_and_then_only_changes_and_refreshes() -> None:
    writer, mine = Publication(refresh_us=S), Token(7, "me")
    writer.record_read(0, None)
    write = writer.write(mine, {"x": 1}, 0, 0)
    assert isinstance(write, Write) and write.cas == 0
    writer.written(True, write)
    assert not writer.due(mine, {"x": 1}, S - 1)
    assert writer.due(mine, {"x": 1}, S)
    assert writer.due(mine, {"x": 2}, 1)
    assert writer.due(Token(9, "me"), {"x": 1}, 1)
    writer.failed()
    assert writer.due(mine, {"x": 1}, 1)


def test_a_record_round_trips() -> None:
    one = record(3, "ctl-1", at_ms=12, share=0.5)
    assert parse_record(one.text()) == one
    assert one.text().startswith('{"token":"3@ctl-1"')  # the lab's logs keep the beginning


# Ramps.
