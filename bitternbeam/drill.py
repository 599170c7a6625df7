"""The adapter: wire lines to events, actions to wire lines. It decides nothing.

Many instances share a process and nothing else: each has its own Controller. Bad input ends the
process with a plain message; a fault inside a decision is reported on the wire with its cause.
"""

from __future__ import annotations

import base64
import sys
from collections.abc import Iterator
from typing import TextIO, TypeVar

from bitternbeam.decision import interface as api
from bitternbeam.decision.choice import Controller
from bitternbeam.settings import REPORT_FIELDS, InputError, read_settings

T = TypeVar("T")

STATES = {"1": api.SwitchState.READY, "2": api.SwitchState.DRAINING, "0": api.SwitchState.GONE}
KINDS = {
    "0": api.ListKind.CHANGES,
    "1": api.ListKind.COMPLETE,
    "2": api.ListKind.CACHED,
    "3": api.ListKind.FAILED,
}
OUTCOMES = {
    "served": api.Outcome.SERVED,
    "server_error": api.Outcome.ERROR,
    "turned_away": api.Outcome.TURNED_AWAY,
    "no_answer": api.Outcome.NO_ANSWER,
    "no_connection": api.Outcome.NO_CONNECTION,
    "connection_lost": api.Outcome.CUT,
    "called_off": api.Outcome.CALLED_OFF,
    "not_sent": api.Outcome.NOT_SENT,
}
FULL_CAUSES = (3, 18)  # the processor, or the one beyond, was full


class Fields:
    """The name=value parts of one line, read by name."""

    def __init__(self, parts: list[str]) -> None:
        """Split the parts; each needs a name."""
        self.values: dict[str, str] = {}
        for part in parts:
            name, equals, value = part.partition("=")
            if not equals or not name:
                raise InputError(f"part {part!r} is not name=value")
            self.values[name] = value

    def text(self, name: str) -> str:
        """Return a required value."""
        if self.values.get(name, "") == "":
            raise InputError(f"value {name!r} is missing")
        return self.values[name]

    def integer(self, name: str, absent: int | None = None) -> int:
        """Return a whole number; absent is what the wire means by leaving it out."""
        if absent is not None and name not in self.values:
            return absent
        text = self.text(name)
        try:
            return int(text)
        except ValueError:
            raise InputError(f"value {name!r} is not a whole number: {text!r}") from None

    def flag(self, name: str) -> bool:
        """Return a bool; absent means false on this wire."""
        text = self.values.get(name, "0")
        if text not in ("0", "1"):
            raise InputError(f"value {name!r} is neither 0 nor 1: {text!r}")
        return text == "1"

    def choice(self, name: str, words: dict[str, T]) -> T:
        """Return what a listed word stands for."""
        text = self.text(name)
        if text not in words:
            raise InputError(f"value {name!r} is unknown: {text!r}")
        return words[text]

    def report(self) -> api.Report | None:
        """Return the processor's figures; None if there are none (-1: not told)."""
        text = self.values.get("health_info", "")
        figures: dict[str, float] = {}
        for pair in text.split(",") if text else ():
            name, colon, value = pair.partition(":")
            try:
                figure = float(value)
            except ValueError:
                colon = ""
            if not colon:
                raise InputError(f"load report holds {pair!r}")
            if name in REPORT_FIELDS and figure >= 0:
                figures[REPORT_FIELDS[name]] = figure
        return api.Report(**figures) if figures else None


def read_event(word: str, fields: Fields) -> api.Event:
    """Turn one instance's line into an event (lists are read by the host)."""
    if word == "CALL":
        advice = fields.integer("hop", absent=-1)
        return api.NewCall(
            call=fields.text("corr"),
            call_class=fields.text("class"),
            cell=fields.integer("terminates_at"),
            left_us=fields.integer("grace_us"),
            number=fields.values.get("item", ""),
            tenant=fields.values.get("billing"),
            redial=fields.flag("retry"),
            transit=fields.flag("transit"),
            again=fields.flag("again"),
            suggested_cell=None if advice < 0 else advice,
        )
    if word == "ACCEPTED":
        return api.AttemptAnswered(
            fields.text("corr"), fields.integer("trial"), fields.text("switch"), fields.integer("elapsed_us")
        )
    if word == "RETURNED":
        cause = fields.integer("cause", absent=0)
        full = cause & 15 == 3 or cause in FULL_CAUSES
        return api.AttemptEnded(
            call=fields.text("corr"),
            attempt=fields.integer("trial"),
            switch=fields.text("switch"),
            outcome=fields.choice("rc", OUTCOMES),
            took_us=fields.integer("elapsed_us"),
            finished=fields.flag("last"),
            processor_full=full,
            no_line=cause == 1,
            wait_hint_ms=cause >> 4 if cause & 15 == 3 else 0,
            report=fields.report(),
        )
    if word == "WITHDRAWN":
        return api.Withdrawn(fields.text("corr"))
    if word == "TIMER":
        return api.TimerDue(fields.integer("ref"))
    if word == "PROBE_DONE":
        served = fields.choice("rc", OUTCOMES) is api.Outcome.SERVED
        return api.ProbeAnswer(
            fields.text("switch"), fields.integer("elapsed_us"), fields.report() if served else None
        )
    if word == "PEER_DATA":
        octets = fields.text("octets")
        try:
            data = b"" if octets == "-" else base64.b64decode(octets, validate=True)
        except ValueError:
            raise InputError(f"value 'octets' is not base64: {octets!r}") from None
        return api.PeerMessage(fields.integer("origin_peer"), data)
    raise InputError(f"unknown message {word!r}")


def write_action(who: str, action: api.Action) -> str:
    """Turn an action into its line."""
    if isinstance(action, api.Send):
        return (
            f"CALL_OUT who={who} corr={action.call} give_up_after_us={action.timeout_us} "
            f"switch={action.switch}"
        )
    if isinstance(action, api.Refuse):
        return f"SHED who={who} corr={action.call} stay_away_us={action.retry_after_us}"
    if isinstance(action, api.Fail):
        return f"REPORT_FAILURE who={who} corr={action.call}"
    if isinstance(action, api.Cancel):
        return f"DROP_ATTEMPT who={who} corr={action.call} trial={action.attempt}"
    if isinstance(action, api.SetTimer):
        return f"SET_ALARM who={who} when_us={action.at_us} ref={action.ref}"
    if isinstance(action, api.Probe):
        return f"ASK_LOAD who={who} switch={action.switch}"
    if isinstance(action, api.Subscribe):
        return f"KEEP_INFORMED who={who} on=1"
    return f"RECORD who={who} what={' '.join(action.text.split())}"


class InstanceHost:
    """The instances of one process and the numbered lists it was given."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.instances: dict[str, Controller] = {}
        self.lists: dict[int, tuple[api.SwitchEntry, ...]] = {}

    def handle_line(self, now_us: int, line: str, lines: Iterator[str]) -> list[str]:
        """Handle one line of a batch; a list takes its entries from the lines that follow."""
        word, _, rest = line.partition(" ")
        if word == "BEGIN":
            return self.start_instance(now_us, rest)
        fields = Fields(rest.split(" ") if rest else [])
        if word == "TABLE":
            count = fields.integer("records")
            self.lists[fields.integer("bank")] = tuple(read_entry(next(lines, "")) for _ in range(count))
            return []
        who = fields.text("who")
        if word == "STOP":
            self.instances.pop(who, None)
            return []
        if who not in self.instances:
            raise InputError(f"instance {who!r} was never started")
        if word == "DIRECTORY_UPDATE":
            kind = fields.choice("mode", KINDS)
            bank = -1 if kind is api.ListKind.FAILED else fields.integer("bank")
            if bank >= 0 and bank not in self.lists:
                raise InputError(f"list {bank} was never given")
            event: api.Event = api.ListEvent(kind, self.lists[bank] if bank >= 0 else ())
        else:
            event = read_event(word, fields)
        return self.run_decision(who, now_us, event)

    def start_instance(self, now_us: int, rest: str) -> list[str]:
        """Start an instance; its settings run to the end of the line."""
        head, mark, text = rest.partition("params=")
        if not mark:
            raise InputError("value 'params' is missing")
        fields = Fields(head.split())
        who = fields.text("who")
        self.instances[who] = Controller(read_settings(text), fields.integer("entropy"))
        return []

    def run_decision(self, who: str, now_us: int, event: api.Event) -> list[str]:
        """Put an event to its instance; a fault in there is told with its cause."""
        try:
            return [write_action(who, action) for action in self.instances[who].handle(now_us, event)]
        except Exception as error:
            return [f"BAIL_OUT who={who} what={type(error).__name__}: {error}".replace("\n", " ")]


def read_entry(line: str) -> api.SwitchEntry:
    """Read a line of a list."""
    word, _, rest = line.partition(" ")
    if word != "ENTRY":
        raise InputError(f"the list is short: found {line!r}")
    fields = Fields(rest.split(" "))
    return api.SwitchEntry(
        switch=fields.text("switch"),
        cell=fields.integer("cell"),
        state=fields.choice("mode", STATES),
        started_at_us=fields.integer("started_at_us", absent=0),
    )


def serve(source: TextIO, sink: TextIO, trouble: TextIO) -> int:
    """Answer batches until the input ends; the exit status is 0 unless the input is unreadable."""
    host = InstanceHost()
    number = 0
    line = ""
    now_us: int | None = None
    seq = ""

    def numbered() -> Iterator[str]:
        nonlocal number, line
        for raw in source:
            number += 1
            line = raw.rstrip("\r\n")
            yield line

    lines = numbered()
    reply: list[str] = []
    try:
        for text in lines:
            word, _, rest = text.partition(" ")
            if word == "ROUND":
                if now_us is not None:
                    raise InputError("a batch began inside a batch")
                fields = Fields(rest.split(" "))
                now_us, seq, reply = fields.integer("moment_us"), fields.text("seq"), []
            elif word == "":
                continue
            elif now_us is None:
                raise InputError(f"message {word!r} outside a batch")
            elif word == "FLUSH":
                sink.write("\n".join([*reply, f"READY seq={seq}"]) + "\n")
                sink.flush()
                now_us = None
            else:
                reply.extend(host.handle_line(now_us, text, lines))
        if now_us is not None:
            raise InputError("the input ended inside a batch")
    except (InputError, UnicodeDecodeError) as error:
        trouble.write(f"bitternbeam: line {number}: {error}: {line[:200]}\n")
        return 1
    return 0


def main() -> int:
    """Serve standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
