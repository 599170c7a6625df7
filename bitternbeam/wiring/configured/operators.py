"""The operators' socket as a part of the daemon: its questions answered."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.rollout import Result
from bitternbeam.configuration.schema import SECTIONS, AnyEntry
from bitternbeam.configuration.versions import Draft
from bitternbeam.net.control.operators import Answer, AskError, OperatorSocket
from bitternbeam.wiring.configured.part import ConfigurationPart
from bitternbeam.wiring.daemon import Daemon
from bitternbeam.wiring.parts import Part


class OperatorsPart(Part):
    """The operators' socket and what it answers."""

    name = "operators"

    def __init__(self, daemon: Daemon, configuration: ConfigurationPart, path: Path) -> None:
        self.daemon = daemon
        self.keeper = configuration.keeper
        answers: dict[str, Answer] = {
            "status": self.status_asked,
            "bookers": self.bookers,
            "calls": self.calls,
            "versions": self.versions,
            "show": self.show,
            "diff": self.diff,
            "rollback": self.rollback,
        }
        self.socket = OperatorSocket(daemon.reactor, path, answers, daemon.limits)

    def start(self) -> None:
        """Listen."""
        self.socket.start()

    def stop(self) -> None:
        """Listen no more."""
        self.socket.stop()

    def status_asked(self, _question: dict[str, Any]) -> Any:
        """Return what each part says of itself."""
        name = self.daemon.common.config.name
        told = {part.name: part.status() for part in self.daemon.parts}
        return {"name": name} | {part: status for part, status in told.items() if status}

    def bookers(self, _question: dict[str, Any]) -> Iterator[Any]:
        """Yield every listed booker as its side, name, cell and state."""
        for part in self.daemon.serving:
            for name, state in list(part.core.states.items()):
                yield [part.name, name, part.core.cells.get(name, -1), state.value]

    def calls(self, question: dict[str, Any]) -> Iterator[Any]:
        """Yield every open call, or those of one version."""
        now_us = self.daemon.deadlines.now_us()
        for part in self.daemon.serving:
            for call in part.core.calls.values():
                if question.get("version") in (None, call.plan.version):
                    yield {
                        "side": part.name,
                        "call": call.offer.uid,
                        "class": call.offer.call_class,
                        "state": call.state.value,
                        "booker": call.current_attempt.booker if call.current_attempt else "",
                        "attempts": call.attempts,
                        "version": call.plan.version,
                        "age_ms": (now_us - call.offer.received_us) // 1000,
                    }

    def versions(self, _question: dict[str, Any]) -> Any:
        """Return what runs, what can be gone back to, and how others ended."""
        versions = self.keeper.versions
        now = versions.version
        return {
            "running": {"number": str(now.number), "stage": now.stage.value, "reason": now.reason},
            "past": [
                {"number": str(one.number), "at_us": one.at_us, "reason": one.reason, "content": one.content}
                for one in versions.past
            ],
            "ended": [
                {
                    "number": str(one.number),
                    "stage": one.stage.value,
                    "reason": one.reason,
                    "key": one.key,
                    "at_us": one.steps[-1][1],
                }
                for one in versions.ended
            ],
        }

    def show(self, question: dict[str, Any]) -> Iterator[Any]:
        """Yield the entries of the running version, or of one section or key."""
        section, name = question.get("section"), question.get("name")
        if section is not None and section not in SECTIONS:
            raise AskError(f"section {section!r}: known are {', '.join(sorted(SECTIONS))}")
        entries = self.keeper.versions.running.entries
        if name is not None:
            found = entries.get((str(section), str(name)))
            if found is None:
                raise AskError(f"{section}.{name}: no such entry in version {self.running()}")
            return iter([told(str(section), str(name), found)])
        return (told(*key, entry) for key, entry in entries.items() if section in (None, key[0]))

    def running(self) -> Number:
        """Return the number of what runs."""
        return self.keeper.versions.running.number

    def diff(self, question: dict[str, Any]) -> Iterator[Any]:
        """Yield the entries in which two versions differ."""
        first, second = Number.read(str(question["first"])), Number.read(str(question["second"]))
        try:
            pairs = self.keeper.versions.compare(first, second)
        except KeyError as error:
            raise AskError(f"version {error.args[0]} is not among those that are kept") from None
        return ([*key, plain(old), plain(new)] for key, (old, new) in pairs.items())

    def rollback(self, question: dict[str, Any]) -> Any:
        """Go back to a good version of the past; the answer comes once it is held."""
        number = Number.read(str(question["number"]))
        if number == self.running():
            raise AskError(f"version {number} runs already")
        try:
            changes = self.keeper.versions.changes_to(number)
        except KeyError:
            raise AskError(f"version {number} is not among those that are kept") from None
        version = Version(number, "operator")
        version.step(Stage.RECEIVED, self.daemon.deadlines.now_us())
        answer: Deferred[Any] = Deferred()

        def done(result: Result) -> None:
            if result.held:
                answer.callback({"number": str(number), "durable": result.durable})
            else:
                answer.callback({"number": str(number), "faults": [str(one) for one in result.faults]})

        self.keeper.submit(Draft(version, changes, whole=False), done)
        return answer


def plain(entry: AnyEntry | None) -> Any:
    """Return an entry as plain values, without secrets."""
    if entry is None:
        return None
    values = msgspec.to_builtins(entry)
    return {**values, "token": "***"} if values.get("token") else values


def told(section: str, name: str, entry: AnyEntry) -> list[Any]:
    """Return an entry as an answer has it."""
    return [section, name, plain(entry)]
