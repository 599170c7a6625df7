"""Which listed bookers the decision module avoids at present, read from its state without changing it."""

from __future__ import annotations

from collections.abc import Mapping

from bitternbeam.decision.interface import SwitchState
from bitternbeam.decision.routing import FAILING_ERROR_SHARE
from bitternbeam.decision.state import Switch


def count_ejected(switches: Mapping[str, Switch], listed: Mapping[str, SwitchState]) -> int:
    """Count the listed bookers that get no ordinary traffic: draining, suspect, or failing what others take.

    A suspect booker gets single trial set-ups and a failing one is the last resort (decision/routing.py);
    both are what operators call ejected. A listed booker the module has not heard of yet is not counted.
    """
    count = 0
    for name, state in listed.items():
        switch = switches.get(name)
        if state is not SwitchState.READY or (
            switch is not None and (switch.suspect or switch.error_share > FAILING_ERROR_SHARE)
        ):
            count += 1
    return count
