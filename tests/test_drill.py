"""The adapter: parsing, actions to lines, instances apart, plain refusals."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

import bitternbeam.decision.interface as api
from bitternbeam import drill
from bitternbeam.drill import Fields, InstanceHost, read_event, serve, write_action
from bitternbeam.settings import read_settings

ROUNDS = (Path(__file__).parent / "rounds.txt").read_text()
PARAMS = json.loads(ROUNDS.partition("params=")[2].partition("\n")[0])


def run(text: str) -> tuple[int, list[str], str]:
    sink, trouble = io.StringIO(), io.StringIO()
    status = serve(io.StringIO(text), sink, trouble)
    return status, sink.getvalue().splitlines(), trouble.getvalue()


def begin(who: str = "gateway/3", params: object = PARAMS) -> str:
    return f"BEGIN who={who} entropy=5 params={json.dumps(params)}\n"


LIST = "TABLE bank=0 records=1\nENTRY switch=switch.a site=x shape=y cell=0 mode=1 units=1\n"


def test_the_hand_written_rounds_are_answered() -> None:
    status, lines, trouble = run(ROUNDS)
    assert (status, trouble) == (0, "")
    assert any(line.startswith("SET_ALARM who=gateway/3 when_us=") for line in lines)
    assert sum(line.startswith("CALL_OUT") for line in lines) == 2


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    settings = read_settings(json.dumps({**PARAMS, "novelty": {"x": 1}}))
    assert settings.gateways == PARAMS["balancers"]
    assert settings.classes[0].aim_us == PARAMS["request_classes"][0]["aim_us"]
    assert settings.own_cell is None and settings.classes[0].cells == (0, 1)


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "RETURNED corr=a trial=0 switch=s rc=turned_away elapsed_us=9 cause=8003 last=0",
            api.AttemptEnded("a", 0, "s", api.Outcome.TURNED_AWAY, 9, False, True, False, 500),
        ),
        (
            "RETURNED corr=a trial=1 switch=s rc=turned_away elapsed_us=9 cause=1",
            api.AttemptEnded("a", 1, "s", api.Outcome.TURNED_AWAY, 9, False, False, True),
        ),
        (
            "RETURNED corr=a trial=0 switch=s rc=served elapsed_us=9 last=1 "
            "health_info=free:4,size:9,depth:-1,can_take:7.5",
            api.AttemptEnded(
                "a",
                0,
                "s",
                api.Outcome.SERVED,
                9,
                True,
                report=api.Report(capacity_per_s=7.5, free_lines=4, total_lines=9),
            ),
        ),
        ("ACCEPTED corr=a trial=0 switch=s elapsed_us=3", api.AttemptAnswered("a", 0, "s", 3)),
        ("WITHDRAWN corr=a", api.Withdrawn("a")),
        ("TIMER ref=77", api.TimerDue(77)),
        ("PROBE_DONE switch=s elapsed_us=5 rc=no_answer", api.ProbeAnswer("s", 5, None)),
        (
            "PROBE_DONE switch=s elapsed_us=5 rc=served health_info=hold_back:0.5,mean_ms:20,load_share:0.7",
            api.ProbeAnswer("s", 5, api.Report(shed_share=0.5, wait_ms=20, utilization=0.7)),
        ),
        ("PEER_DATA origin_peer=2 octets=aGkgNw==", api.PeerMessage(2, b"hi 7")),
        (
            "CALL corr=a hop=-1 class=low item=n terminates_at=2 grace_us=9 retry=1 again=1 transit=1 x=z",
            api.NewCall("a", "low", 2, 9, "n", None, True, True, True, None),
        ),
    ],
)
def test_events_are_read(line: str, event: api.Event) -> None:
    word, _, rest = line.partition(" ")
    assert read_event(word, Fields(rest.split(" "))) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.Send("a", "s", 5), "CALL_OUT who=g corr=a give_up_after_us=5 switch=s"),
        (api.Refuse("a", 7), "SHED who=g corr=a stay_away_us=7"),
        (api.Fail("a"), "REPORT_FAILURE who=g corr=a"),
        (api.Cancel("a", 1), "DROP_ATTEMPT who=g corr=a trial=1"),
        (api.SetTimer(8, 3), "SET_ALARM who=g when_us=8 ref=3"),
        (api.Probe("s"), "ASK_LOAD who=g switch=s"),
        (api.Subscribe(), "KEEP_INFORMED who=g on=1"),
        (api.Log("two\nlines"), "RECORD who=g what=two lines"),
    ],
)
def test_actions_are_written(action: api.Action, line: str) -> None:
    assert write_action("g", action) == line


def test_a_list_number_is_resolved_in_the_order_of_events() -> None:
    other = LIST.replace("switch.a", "switch.b")
    text = (
        "ROUND moment_us=9 seq=1\n" + begin("gateway/1") + begin("gateway/2") + LIST
        + "DIRECTORY_UPDATE who=gateway/1 bank=0 mode=2 stamp=1\n" + other
        + "DIRECTORY_UPDATE who=gateway/2 bank=0 mode=2 stamp=1\nFLUSH\n"
    )  # fmt: skip
    host = InstanceHost()
    lines = iter(text.splitlines()[1:-1])
    for line in lines:
        host.handle_line(9, line, lines)
    assert [list(one.switches) for one in host.instances.values()] == [["switch.a"], ["switch.b"]]


def test_a_stopped_instance_is_gone_and_may_begin_again() -> None:
    text = "ROUND moment_us=9 seq=1\n" + begin() + "STOP who=gateway/3\n" + begin() + "FLUSH\n"
    assert run(text)[0] == 0


@pytest.mark.parametrize(
    ("bad", "said"),
    [
        ("TIMER who=gateway/3\n", "'ref' is missing"),
        ("TIMER who=gateway/3 ref=x\n", "'ref' is not a whole number"),
        ("TIMER who=gateway/9 ref=1\n", "'gateway/9' was never started"),
        ("NONSENSE who=gateway/3\n", "unknown message 'NONSENSE'"),
        ("PEER_DATA who=gateway/3 origin_peer=1 octets=a\n", "'octets' is not base64"),
        ("TIMER gateway/3\n", "not name=value"),
        ("DIRECTORY_UPDATE who=gateway/3 bank=4 mode=1 stamp=1\n", "list 4 was never given"),
        ("TABLE bank=0 records=2\n" + LIST.splitlines()[1] + "\n", "the list is short"),
        ("RETURNED who=gateway/3 corr=a trial=0 switch=s rc=odd elapsed_us=1\n", "'rc' is unknown: 'odd'"),
        ("BEGIN who=gateway/4 entropy=1\n", "'params' is missing"),
        ("BEGIN who=gateway/4 entropy=1 params={\n", "not JSON"),
        ("BEGIN who=gateway/4 entropy=1 params={}\n", "'domain' is missing"),
        (begin("gateway/4", {**PARAMS, "balancers": "x"}), "wrong form"),
        (begin("gateway/4", {**PARAMS, "balancers": 0}), "'balancers' must be above 0"),
    ],
)
def test_bad_input_ends_with_a_plain_message(bad: str, said: str) -> None:
    status, _, trouble = run("ROUND moment_us=9 seq=1\n" + begin() + bad + "FLUSH\n")
    assert status == 1
    assert said in trouble and trouble.startswith("bitternbeam: line ")


def test_input_that_ends_inside_a_batch_is_told() -> None:
    assert run("ROUND moment_us=9 seq=1\n")[0] == 1
    assert run("FLUSH\n")[0] == 1
    assert run("")[0] == 0


def test_a_fault_in_a_decision_is_reported_with_its_cause() -> None:
    text = (
        "ROUND moment_us=9 seq=1\n" + begin()
        + "CALL who=gateway/3 corr=a class=odd terminates_at=0 grace_us=9\nFLUSH\n"
    )  # fmt: skip
    _, lines, _ = run(text)
    assert lines[0].startswith("BAIL_OUT who=gateway/3 what=ValueError: call a: class 'odd'")


def test_every_action_and_event_word_is_distinct() -> None:
    assert len(drill.OUTCOMES) == len(api.Outcome)
    assert len(drill.KINDS) == len(api.ListKind)


def test_a_repeated_begin_starts_the_instance_anew() -> None:
    host = InstanceHost()
    entry = iter(LIST.splitlines()[1:])
    for line in (
        begin("gateway/1").strip(),
        LIST.splitlines()[0],
        "DIRECTORY_UPDATE who=gateway/1 bank=0 mode=2",
    ):
        host.handle_line(9, line, entry)
    assert host.instances["gateway/1"].switches
    host.handle_line(9, begin("gateway/1").strip(), entry)
    assert not host.instances["gateway/1"].switches
