"""Load reports, in the form that both wires carry: `util:0.5;queue:3`."""

from __future__ import annotations

from math import isfinite

from bitternbeam.decision.interface import Report
from bitternbeam.settings import REPORT_FIELDS


def pairs(text: object) -> dict[str, float]:
    """Return the figures of a text like `dest:2;width:1`; what is malformed is left out."""
    found: dict[str, float] = {}
    for part in text.split(";") if isinstance(text, str) else ():
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if isfinite(number):
            found[name.strip()] = number
    return found


def figures(text: object) -> dict[str, float] | None:
    """Return the figures of a text like `dest:2;width:1`; None if any of it is not one."""
    if not isinstance(text, str):
        return None
    found = pairs(text)
    return found if len(found) == len(text.split(";") if text else ()) else None


def read_report(text: object) -> Report | None:
    """Return a report; figures below 0 are not told."""
    figures = {
        REPORT_FIELDS[name]: value
        for name, value in pairs(text).items()
        if name in REPORT_FIELDS and value >= 0
    }
    return Report(**figures) if figures else None
