"""A version that is checked while the one on probation is judged."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import count, islice

import pytest

from bitternbeam.configuration.delta import Changes, Number
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.probation import Verdict
from bitternbeam.configuration.schema import AnyEntry, Group, Key
from bitternbeam.configuration.versions import Draft
from tests.documents import FIRST, Home, entries, listed

SECOND_DOCUMENT = FIRST.replace('groups = ["city", "far"]', 'groups = ["far"]')


def applied(entries: Mapping[Key, AnyEntry], changes: Changes) -> dict[Key, AnyEntry]:
    """Return entries after changes."""
    return {key: entry for key, entry in {**entries, **changes}.items() if entry is not None}


@pytest.mark.parametrize("verdict", [Verdict.GOOD, Verdict.ROLL_BACK])
@pytest.mark.parametrize("whole", [True, False])
def test_a_version_leads_from_the_last_good_one_though_that_changes_while_it_is_checked(
    verdict: Verdict, whole: bool
) -> None:
    # Guards against a store that puts a version's changes on another version than they were counted from.
    mend: Changes = {("group", "city"): Group(("s0", "s4"))}
    wanted = applied(entries(SECOND_DOCUMENT), mend)
    for steps in count(1):
        home = Home()
        home.offer(Number(1, 1), SECOND_DOCUMENT)
        version, now_us = Version(Number(1, 2), "stream"), home.waker.now
        version.step(Stage.RECEIVED, now_us)
        draft = Draft(version, {**wanted} if whole else mend, whole)
        work = home.versions.work(draft, listed, now_us)
        if any(islice(work, steps)):
            break  # the verdict has come at every place before the end
        if verdict is Verdict.GOOD:
            home.versions.settle(now_us, "of the test")
        else:
            home.versions.back_to_good(now_us, "of the test")
        *_, candidate = work
        assert candidate is not None
        good, made = home.versions.good.entries, candidate.snapshot.entries
        assert applied(good, candidate.changes) == dict(made) == wanted
        assert applied(made, candidate.undo) == dict(good)
        assert [key for key, _ in candidate.lines] == list(candidate.changes)
        assert [key for key, _ in candidate.undo_lines] == list(candidate.undo)
    assert steps > 5
