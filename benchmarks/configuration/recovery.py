"""A new process that comes up on what a store holds; prints how long imports and recovery took."""

from __future__ import annotations

import time

BEGAN = time.perf_counter()

import sys  # noqa: E402 - imports are part of what is measured
from pathlib import Path  # noqa: E402

from bitternbeam.config import read_config  # noqa: E402
from bitternbeam.configuration.probation import Terms  # noqa: E402
from bitternbeam.configuration.versions import content_of  # noqa: E402
from bitternbeam.store.versions import VersionStore  # noqa: E402
from bitternbeam.wiring.recovering import recover  # noqa: E402


def main() -> None:
    """Recover from the store of the folder named."""
    config = read_config()
    loaded = time.perf_counter()
    versions, _staged = recover(config.settings, {}, VersionStore(Path(sys.argv[1]), 1024), Terms(), 1)
    done = time.perf_counter()
    running = versions.running
    print(loaded - BEGAN, done - loaded, content_of(running), len(running.entries))


if __name__ == "__main__":
    main()
