"""A WebAssembly plug-in as the core's AdmissionFilter (docs/plugins.md has its interface).

It can't break a rule: it is asked before a call's first set-up, when refusing is harmless, it sees numbers
only, and it runs out of fuel before a caller would notice. One that traps is counted and never asked again.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

import wasmtime

from bitternbeam.config import ConfigError
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome
from bitternbeam.plugins.settings import PluginSettings

log = logging.getLogger(__name__)

MS = 1_000
MOST = 2**31 - 1
OUTCOMES = {
    outcome: number
    for number, outcome in enumerate(
        (
            Outcome.SERVED, Outcome.ERROR, Outcome.TURNED_AWAY, Outcome.NO_ANSWER,
            Outcome.NO_CONNECTION, Outcome.CUT, Outcome.CALLED_OFF, Outcome.NOT_SENT,
        )
    )
}  # fmt: skip


class WasmGate:
    """One instance of a plug-in, with fuel for each call and a limit to its memory."""

    def __init__(
        self, settings: PluginSettings, classes: Sequence[str], longest_away_us: int, counters: Counters
    ) -> None:
        self.settings = settings
        self.numbers = {name: number for number, name in enumerate(classes)}
        self.longest_away_us = longest_away_us
        self.counters = counters
        self.disabled = False
        try:
            config = wasmtime.Config()
            config.consume_fuel = True
            engine = wasmtime.Engine(config)
            module = wasmtime.Module.from_file(engine, str(settings.path))
            self.store = wasmtime.Store(engine)
            self.store.set_limits(memory_size=settings.memory_bytes, instances=1, memories=1, tables=1)
            self.store.set_fuel(settings.fuel)  # for its start function
            instance = wasmtime.Instance(self.store, module, [])
            exports = instance.exports(self.store)
            self.functions = {name: exports.get(name) for name in ("offered", "ended")}
        except (OSError, wasmtime.WasmtimeError, wasmtime.Trap) as error:
            raise ConfigError(f"plugin.file: {settings.path}: {str(error).splitlines()[0]}") from None
        i32 = wasmtime.ValType.i32()
        for name, results in (("offered", [i32]), ("ended", [])):
            function = self.functions[name]
            kind = function.type(self.store) if isinstance(function, wasmtime.Func) else None
            if kind is None or kind.params != [i32] * 4 or kind.results != results:
                raise ConfigError(f"plugin.file: {settings.path}: it exports no {name}() of the right type")

    def check_call(self, call_class: str, cell: int, left_us: int, redial: bool) -> int | None:
        """Ask it about a call: None to pass it, else how long its caller is to stay away."""
        number = self.numbers.get(call_class, -1)
        away_ms = self._run("offered", number, cell, left_us // MS, int(redial))
        if away_ms is None or away_ms < 0:
            return None
        return min(away_ms * MS, self.longest_away_us)

    def call_ended(self, call_class: str, outcome: Outcome, attempts: int, took_us: int) -> None:
        """Let it observe how a call ended."""
        self._run("ended", self.numbers.get(call_class, -1), OUTCOMES[outcome], attempts, took_us // MS)

    def _run(self, name: str, *figures: int) -> int | None:
        function = self.functions[name]
        if self.disabled or not isinstance(function, wasmtime.Func):
            return None
        try:
            self.store.set_fuel(self.settings.fuel)
            answer = function(self.store, *(max(-MOST, min(MOST, figure)) for figure in figures))
        except (wasmtime.WasmtimeError, wasmtime.Trap) as error:
            # Danger: what trapped once may be in any state; asked again it could refuse every call.
            self.disabled = True
            self.counters.add("plugin.disabled")
            log.error(
                "plug-in %s disabled in %s(): %s", self.settings.path, name, str(error).splitlines()[-1]
            )
            return None
        self.counters.add(f"plugin.{name}")
        return answer if isinstance(answer, int) else None
