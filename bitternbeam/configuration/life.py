"""The life of a version, as a state machine: every step is listed here, and every end has a reason.

    announced -> received -> checked -> staged -> applied -> on probation -> good

Up to staged it may be turned down or superseded; from applied on it may be rolled back or superseded.

A version is announced when a source offers it, received when all of its bytes are there, checked once it has
compiled without a fault, staged when the store holds it durably, applied when calls are offered under it, on
probation while a judge watches them, and good when that time is over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from bitternbeam.configuration.delta import Number


class Stage(Enum):
    """How far a version has come."""

    ANNOUNCED = "announced"
    RECEIVED = "received"
    CHECKED = "checked"
    STAGED = "staged"
    APPLIED = "applied"
    PROBATION = "on probation"
    GOOD = "good"
    TURNED_DOWN = "turned down"
    SUPERSEDED = "superseded"
    ROLLED_BACK = "rolled back"


ENDS = frozenset({Stage.TURNED_DOWN, Stage.SUPERSEDED, Stage.ROLLED_BACK})
RUNS = frozenset({Stage.APPLIED, Stage.PROBATION, Stage.GOOD})  # calls are offered under it

STEPS: dict[Stage, frozenset[Stage]] = {
    Stage.ANNOUNCED: frozenset({Stage.RECEIVED, Stage.TURNED_DOWN, Stage.SUPERSEDED}),
    Stage.RECEIVED: frozenset({Stage.CHECKED, Stage.TURNED_DOWN, Stage.SUPERSEDED}),
    Stage.CHECKED: frozenset({Stage.STAGED, Stage.TURNED_DOWN, Stage.SUPERSEDED}),
    Stage.STAGED: frozenset({Stage.APPLIED, Stage.TURNED_DOWN, Stage.SUPERSEDED}),
    Stage.APPLIED: frozenset({Stage.PROBATION, Stage.SUPERSEDED, Stage.ROLLED_BACK}),
    Stage.PROBATION: frozenset({Stage.GOOD, Stage.SUPERSEDED, Stage.ROLLED_BACK}),
    Stage.GOOD: frozenset({Stage.SUPERSEDED, Stage.ROLLED_BACK}),
    Stage.TURNED_DOWN: frozenset(),
    Stage.SUPERSEDED: frozenset(),
    Stage.ROLLED_BACK: frozenset(),
}


class StepError(Exception):
    """A step that a version can't take from where it stands: a fault of the program."""


@dataclass(slots=True)
class Version:
    """One version's record; times are Unix microseconds."""

    number: Number
    source: str  # "file", "stream" or "operator"
    stage: Stage = Stage.ANNOUNCED
    reason: str = ""  # of the last step
    key: str = ""  # the key path that it was turned down for
    steps: list[tuple[Stage, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        if not self.steps:
            self.steps = [(self.stage, 0)]

    @property
    def over(self) -> bool:
        """Whether it came to its end."""
        return self.stage in ENDS

    @property
    def runs(self) -> bool:
        """Whether calls are offered under it."""
        return self.stage in RUNS

    def step(self, stage: Stage, now_us: int, reason: str = "", key: str = "") -> None:
        """Take a step. Raises StepError for one that is not listed, and for an end without a reason."""
        if stage not in STEPS[self.stage]:
            raise StepError(f"version {self.number}: from {self.stage.value} to {stage.value}")
        if stage in ENDS and not reason:
            raise StepError(f"version {self.number}: {stage.value} without a reason")
        self.stage, self.reason, self.key = stage, reason, key
        self.steps.append((stage, now_us))
