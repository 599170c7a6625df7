"""The version record: which version of the configuration the fleet commits; decisions are fleet.commit."""

from __future__ import annotations

import logging
from typing import Any

from bitternbeam.configuration.life import Stage
from bitternbeam.configuration.versions import Versions, content_of
from bitternbeam.fleet.commit import Committed, parse_committed, version_to_publish
from bitternbeam.wiring.fleet.bench import Bench
from bitternbeam.wiring.fleet.work import Work

log = logging.getLogger(__name__)


class VersionWork(Work):
    """Committing a configuration version for the fleet: the number and content that proved good."""

    def __init__(self, bench: Bench, versions: Versions) -> None:
        super().__init__(bench, "version")
        self.versions = versions
        self.committed: Committed | None = None

    def good(self) -> Committed | None:
        """Return the version that runs here, None while it is still judged."""
        versions = self.versions
        if versions.version.stage is not Stage.GOOD and versions.running.number != versions.good.number:
            return None
        return Committed(str(versions.running.number), content_of(versions.running))

    def value(self) -> dict[str, Any] | None:
        """Return what the owner commits."""
        good = self.good()
        if good is None:
            return None
        back = {str(one.number) for one in self.versions.ended if one.stage is Stage.ROLLED_BACK}
        return version_to_publish(good, self.committed, back).value()

    def heard(self, value: dict[str, Any]) -> None:
        """Note what the fleet committed, and say so once if this member runs something else."""
        committed = parse_committed(value)
        if committed is None:
            self.bench.counters.add("fleet.records_malformed")
            return
        if self.committed == committed:
            return
        self.committed = committed
        good = self.good()
        if good is not None and good.content != committed.content:
            log.warning("fleet: version %s is committed, this member runs %s", committed.number, good.number)
            self.bench.counters.add("fleet.versions_differ")

    def status(self) -> dict[str, Any]:
        """Return what is committed, and whether this member runs it."""
        committed, good = self.committed, self.good()
        agrees = committed is not None and good is not None and committed.content == good.content
        return {"committed": committed.number if committed else None, "runs_committed": agrees}
