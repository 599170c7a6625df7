"""What the daemon asks of each of its parts, and what each part is handed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bitternbeam.config import Config
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.tables.deadlines import Deadlines


@dataclass(frozen=True, slots=True)
class Common:
    """What all parts share."""

    reactor: Any
    config: Config
    deadlines: Deadlines
    limits: Limits
    counters: Counters


class Part:
    """One part of the daemon. A new subsystem is one more of these; the daemon has no branch for it."""

    name = "part"

    def start(self) -> Any:
        """Begin. A Deferred that fails, as one that can't listen, ends the daemon."""

    def stop(self) -> None:
        """End; what was written may still leave within limits.flush_us."""

    def reload(self) -> None:
        """Read anew what may change while the daemon runs (SIGHUP)."""

    def status(self) -> dict[str, Any]:
        """Return what `bitternbeam status` shows of it."""
        return {}


class Serving(Part):
    """A part with calls: a front and a back around a core."""

    core: CallControl

    def closing(self) -> None:
        """Take no further connections where that can be told already; requests are still served."""

    def ready(self) -> bool:
        """Tell whether it can serve: listening, with a list of bookers."""
        return True

    def last_orders(self) -> None:
        """Take no further requests."""

    def when_idle(self, idle: Callable[[], None]) -> None:
        """Call idle once no call is left."""
        self.core.when_idle(idle)

    def hang_up(self) -> None:
        """Answer what is owed and release what stands."""
        self.core.hang_up_all()

    def status(self) -> dict[str, Any]:
        """Return the number of calls and what is known of the list."""
        states = [state.value for state in self.core.listed_as.values()]
        return {
            "calls": len(self.core.calls),
            "bookers": {state: states.count(state) for state in sorted(set(states))},
        }
