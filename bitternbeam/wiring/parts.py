"""What the daemon asks of each of its parts, and what each part is handed."""

from __future__ import annotations

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

    def closed(self) -> bool:
        """Tell whether nothing is left that was to close after `stop`."""
        return True

    def reload(self) -> None:
        """Read anew what may change while the daemon runs (SIGHUP)."""

    def status(self) -> dict[str, Any]:
        """Return what `bitternbeam status` shows of it."""
        return {}


class Serving(Part):
    """A part with calls: a front and a back around a core."""

    core: CallControl

    def ready(self) -> bool:
        """Tell whether it can serve: listening, with a list of bookers."""
        return True

    def listening(self) -> bool:
        """Tell whether requests can arrive at all."""
        return True

    # In the order of a shutdown (see shutdown.py).

    def drain(self) -> None:
        """Fail readiness checks, and never begin to listen; requests are still served."""

    def refuse_new(self) -> None:
        """Take no further requests, where the protocol lets them come for longer than the drain lasts."""

    def busy(self) -> bool:
        """Tell whether a request is open, or on its way in."""
        return len(self.core.calls) > 0

    def answer_rest(self) -> None:
        """Give the final answer to every request that is open or has arrived."""
        self.core.hang_up_all()

    def status(self) -> dict[str, Any]:
        """Return the number of calls and what is known of the list."""
        states = [state.value for state in self.core.states.values()]
        return {
            "calls": len(self.core.calls),
            "bookers": {state: states.count(state) for state in sorted(set(states))},
        }
