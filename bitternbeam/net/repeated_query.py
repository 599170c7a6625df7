"""What asks one question after the other, with a pause between them."""

from __future__ import annotations

from typing import Any

from bitternbeam.tables.deadlines import Deadline


class RepeatedQuery:
    """At most one query is out, or the next one waits for its time; stopping it cancels both."""

    def __init__(self) -> None:
        self.stopped = False
        self.query: Any = None  # a Deferred; also after it fired
        self.later: Deadline | None = None  # of the next query

    def stop(self) -> None:
        """Ask no more."""
        self.stopped = True
        if self.later:
            self.later.cancel()
        if self.query:
            self.query.cancel()
