"""A member whose wall clock is off: `python -m bitternbeam.lab.clocks MS run --config FILE`."""

from __future__ import annotations

import sys
import time


def main() -> int:
    """Set the clock off by so many milliseconds, then run as the program does."""
    off_s, true = int(sys.argv.pop(1)) / 1000, time.time
    time.time = lambda: true() + off_s
    from bitternbeam.__main__ import main as run  # noqa: PLC0415 - it reads the clock as it starts

    return run()


if __name__ == "__main__":
    sys.exit(main())
