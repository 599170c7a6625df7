"""A fleet in the laboratory: an engine, receivers, the fault relay and members, all processes of their own.

Each member reaches the engine and each receiver over links of its own, so that a fault falls between any two
parties. What happened is read from the logs of the engine and of the receivers, never asked of a member.
"""

from __future__ import annotations

import base64
import json
import socket
import time
import urllib.error
import urllib.request
from itertools import permutations, product
from pathlib import Path
from typing import Any, Self

from bitternbeam.lab.judging import Act, acts_of
from bitternbeam.lab.processes import ROOT, LabError, Process, StandIn, free_port, wait_for
from bitternbeam.lab.terms import Terms

ORDER_S = 10.0


class Laboratory:
    """The processes of one run; use it as a context."""

    apart_ms = 0  # so far apart are the members' clocks

    def __init__(
        self,
        folder: Path,
        *,
        processes: int,
        bookers: int,
        terms: Terms | None = None,
        fleet: dict[str, Any] | None = None,
        toml: str = "",
    ) -> None:
        self.folder = folder
        self.terms = terms or Terms()
        self.more = fleet or {}  # further keys of [fleet]
        self.toml = toml  # further tables of a member's file
        self.resized: dict[str, str] = {}  # what differs in a file for a fleet of another size
        self.listen: dict[str, int] = {}  # where each member takes calls
        self.bookers = [f"b{number}" for number in range(bookers)]
        self.names = [f"ctl-{number:02}" for number in range(processes)]
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.jsonl"):
            old.unlink()  # Danger: of another run in this folder; its calls would count as held for ever
        self.engine_log, self.receiver_log = folder / "engine.jsonl", folder / "receivers.jsonl"
        self.engine = StandIn("engine", "standins.consul", folder, "--log", str(self.engine_log))
        self.receivers = StandIn("receivers", "standins.receiver", folder, "--log", str(self.receiver_log))
        self.relay = StandIn("relay", "standins.relay", folder)
        self.board = StandIn("board", "standins.board", folder)
        self.members: dict[str, Process] = {}
        self.wall_less_monotonic_us = 0
        self.read: dict[Path, tuple[int, list[dict[str, Any]]]] = {}

    def __enter__(self) -> Self:
        """Start everything; what fails ends it all."""
        try:
            self.enter()
        except BaseException:
            self.close()
            raise
        return self

    def enter(self) -> None:
        """Start the stand-ins, then all members at once, and wait until each piece of work has an owner."""
        self.wall_less_monotonic_us = int(time.time() * 1e6) - time.monotonic_ns() // 1000
        for one in (self.engine, self.receivers, self.relay, self.board):
            one.start()
        self.list_bookers()
        for name in self.names:
            self.members[name] = self._member(name)
        for process in self.members.values():
            process.start()
        self.settled()

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End every process that was started here."""
        for process in [*self.members.values(), self.board, self.relay, self.receivers, self.engine]:
            process.end()

    def _member(self, name: str) -> Process:
        terms = self.terms
        engine = self._link(name, "engine", self.engine.port)
        probes = [f"{one}=127.0.0.1:{self._link(name, one, self.receivers.port)}" for one in self.bookers]
        self.listen[name] = free_port()
        platform = self.platform()
        platform |= {"name": name, "listen": f"127.0.0.1:{self.listen[name]}"}
        platform |= {"board": f"127.0.0.1:{self.board.port}"}
        (self.folder / f"{name}.json").write_text(json.dumps(platform))
        times = {key: getattr(terms, key) for key in Terms.__slots__}
        lines = ["[node]", f'platform = "{name}.json"', 'log = "json"', f'socket = "{name}.sock"', "[fleet]"]
        lines += [f'engine = "127.0.0.1:{engine}"', f'name = "{name}"', 'directory = "bookers"']
        lines += [f"{key} = {json.dumps(value)}" for key, value in (times | self.more).items()]
        lines += [f"probes = {json.dumps(probes)}", self.toml, ""]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines))
        run = ["-m", "bitternbeam"]
        if self.apart_ms:
            part = self.names.index(name) / max(1, len(self.names) - 1) - 0.5
            run = ["-m", "bitternbeam.lab.clocks", str(round(self.apart_ms * part))]
        return Process(name, [*run, "run", "--config", str(path)], self.folder / f"{name}.log.jsonl")

    def platform(self) -> dict[str, Any]:
        """Return the platform's JSON that members start from."""
        found: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
        return found

    # What a script does to the fleet.

    def list_booker(self, booker: str, number: int, **meta: str) -> None:
        """Register a booker with the directory, passing."""
        body = {"Name": "bookers", "ID": booker, "Address": "127.0.0.1", "Port": 20_000 + number}
        body["Meta"] = {"cell": "0"} | meta
        self.ask_engine("PUT", "/v1/agent/service/register", body)

    def list_bookers(self) -> None:
        """Register all bookers, as their agents do at their start and after the engine lost its data."""
        for number, booker in enumerate(self.bookers):
            self.list_booker(booker, number)

    def unlist_booker(self, booker: str) -> None:
        """Take a booker out of the directory."""
        self.ask_engine("PUT", f"/v1/agent/service/deregister/{booker}")

    def ask_engine(self, method: str, path: str, body: Any = None) -> Any:
        """Ask the engine directly, past the relay."""
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.engine.port}{path}",
            data,
            {"Content-Type": "application/json"},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=ORDER_S) as answer:
                raw = answer.read()
        except urllib.error.HTTPError as error:
            raise LabError(f"engine: {path}: status {error.code}") from None
        return json.loads(raw) if raw.strip() else None

    def engine_fault(self, what: str) -> None:
        """Let the engine go wrong: restart, keep, back, slow?ms=N, silent, garbage, error, well, trap?..."""
        self.ask_engine("PUT", f"/lab/{what}")

    def _order(self, port: int, line: str) -> str:
        with socket.create_connection(("127.0.0.1", port), timeout=ORDER_S) as wire:
            wire.sendall(line.encode() + b"\n")
            with wire.makefile("r") as answers:
                return answers.readline().strip()

    def receiver(self, order: str) -> None:
        """Give the receivers an order of the lab's."""
        self.order(self.receivers, order)

    def order(self, stand_in: StandIn, order: str) -> None:
        """Give a stand-in an order of the lab's."""
        if self._order(stand_in.port, f"LAB {order}") != "OK":
            raise LabError(f"{stand_in.name}: {order!r} is no order")

    def fault(self, source: str, target: str, **what: Any) -> None:
        """Set what the links between two parties do from now on (`*` matches all); none of it: healed."""
        self._relay(do="fault", **{"from": source, "to": target}, **what)

    def reset(self, source: str, target: str) -> None:
        """Reset what stands between two parties."""
        self._relay(do="reset", **{"from": source, "to": target})

    def partition(self, *groups: set[str]) -> None:
        """Cut every pair of parties that stand in different groups; parties in no group stay as they are."""
        for one, other in permutations(groups, 2):
            for source, target in product(one, other):
                self.fault(source, target, cut="both")

    def _link(self, source: str, target: str, port: int) -> int:
        made = self._relay(do="link", at=f"127.0.0.1:{port}", **{"from": source, "to": target})
        return int(made["port"])

    def _relay(self, **order: Any) -> dict[str, Any]:
        answer: dict[str, Any] = json.loads(self._order(self.relay.port, json.dumps(order)))
        if "error" in answer:
            raise LabError(f"relay: {answer['error']}")
        return answer

    # What the receivers saw.

    def lines(self, path: Path) -> list[dict[str, Any]]:
        """Return a log's whole lines so far; only what is new is read."""
        at, known = self.read.get(path, (0, []))
        if path.exists():
            with path.open("rb") as log:
                log.seek(at)
                raw = log.read()
            whole, _, _rest = raw.rpartition(b"\n")
            known = known + [json.loads(line) for line in whole.splitlines()] if whole else known
            self.read[path] = (at + len(whole) + bool(whole), known)
        return known

    def acts(self) -> list[Act]:
        """Return every act that a receiver or the engine judged, in order."""
        return acts_of(self.lines(self.receiver_log), self.lines(self.engine_log))

    def now_us(self) -> int:
        """Return the time of the receivers' logs."""
        return time.monotonic_ns() // 1000

    def owners(self, within_us: int | None = None) -> dict[str, str]:
        """Return who acted last on each piece of work, as accepted; only acts of the last `within_us`."""
        bound_us = 0 if within_us is None else self.now_us() - within_us
        return {one.work: one.holder for one in self.acts() if one.accepted and one.at_us >= bound_us}

    def works(self) -> list[str]:
        """Return the pieces of work: every booker's probes, the view and the version."""
        return [*(f"probe/{one}" for one in self.bookers), "view", "version"]

    def running(self) -> set[str]:
        """Return the members that run and are not paused."""
        return {name for name, one in self.members.items() if one.alive and not one.paused}

    def settled(self, seconds: float = 60) -> None:
        """Wait until every member is in the catalogue, passing, and every piece of work was acted on."""
        wanted = self.running()
        wait_for(lambda: self.present() >= wanted, seconds, "every member is in the catalogue")
        wait_for(lambda: self.owners().keys() >= set(self.works()), seconds, "every work has an owner")

    def present(self) -> set[str]:
        """Return the members that the catalogue shows as passing."""
        found = self.ask_engine("GET", "/v1/health/service/bitternbeam?passing=1")
        return {one["Service"]["ID"] for one in found}

    def record(self, name: str) -> dict[str, Any] | None:
        """Return what a record holds in the engine, None where there is none."""
        try:
            found = self.ask_engine("GET", f"/v1/kv/bitternbeam/fleet/record/{name}")
        except LabError:
            return None
        told: dict[str, Any] = json.loads(base64.b64decode(found[0]["Value"]))["is"]
        return told

    def trapped(self, since_us: int) -> str | None:
        """Return whom a trap caught since then, if it did."""
        for line in [*self.lines(self.engine_log), *self.lines(self.receiver_log)]:
            if line["event"] == "trap" and line["at_us"] >= since_us:
                return str(line["agent"])
        return None

    def await_takeovers(self, victim: str, works: list[str], since_us: int, seconds: float) -> dict[str, int]:
        """Wait until another holder acted on each work; returns how long that took, in microseconds."""
        found: dict[str, int] = {}

        def all_taken() -> bool:
            for one in self.acts():
                if one.accepted and one.at_us > since_us and one.holder != victim and one.work in works:
                    found.setdefault(one.work, one.at_us - since_us)
            return found.keys() >= set(works)

        wait_for(all_taken, seconds, f"others act for {victim} on {', '.join(works)}")
        return found
