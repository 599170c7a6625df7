"""The listed bookers that the decision module avoids, read from its state without changing it."""

from __future__ import annotations

from collections.abc import Mapping

from bitternbeam.decision.interface import SwitchState
from bitternbeam.decision.routing import FAILING_ERROR_SHARE
from bitternbeam.decision.state import Switch


def count_ejected(switches: Mapping[str, Switch], listed: Mapping[str, SwitchState]) -> int:
    """Count the listed bookers without ordinary traffic: draining, suspect, or failing.

    A suspect booker gets single trial set-ups and a failing one is the last resort (decision/routing.py);
    operators call both ejected. A listed booker that the module does not know yet is not counted.
    """
    count = 0
    for name, state in listed.items():
        switch = switches.get(name)
        if state is not SwitchState.READY or (
            switch is not None and (switch.suspect or switch.error_share > FAILING_ERROR_SHARE)
        ):
            count += 1
    return count
