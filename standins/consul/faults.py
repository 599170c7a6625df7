"""What the lab asked the stand-in to do wrong, and what it counted of its requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from standins.consul.requests import ApiRequest

MODES = ("silent", "garbage", "error", "well")


class Trap(NamedTuple):
    """The next request of an operation whose path holds the text is never answered.

    It is carried out with `when` after, and not with before.
    """

    operation: str
    text: str
    when: str

    def catches(self, request: ApiRequest) -> bool:
        """Tell whether a request is the one."""
        return self.operation == request.operation and self.text in request.path


@dataclass
class Faults:
    """The fault that is on, and the requests counted so far."""

    mode: str = "well"  # one of MODES
    slow_ms: int = 0
    asked: Counter[str] = field(default_factory=Counter)
    askers: Counter[str] = field(default_factory=Counter)
    operations: Counter[str] = field(default_factory=Counter)
    trap: Trap | None = None

    def count(self, request: ApiRequest) -> None:
        """Count a request by kind, by asker and by operation."""
        self.asked[request.kind] += 1
        self.askers[request.agent] += 1
        self.operations[f"{request.operation} {'/'.join(request.path.split('/')[2:6])}"] += 1

    def counted(self) -> dict[str, Any]:
        """Return the counts as `GET /lab/requests` shows them."""
        return {"kinds": dict(self.asked), "askers": dict(self.askers), "operations": dict(self.operations)}
