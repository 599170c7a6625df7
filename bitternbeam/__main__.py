"""`python -m bitternbeam`: without arguments the platform's `run`, otherwise the command line."""

from __future__ import annotations

import gc
import signal
import sys


def main() -> int:
    """Return the exit status."""
    if len(sys.argv) > 1:
        from bitternbeam.commands.main import main as commands  # noqa: PLC0415 - click is not for `run`

        return commands()
    # Without a handler a signal that arrives during loading would end the process. Blocked here, it is
    # delivered once the handlers are installed; a SIGHUP then still reloads the configuration.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGUSR1))
    # Imports create hardly any garbage, but the collector would scan their objects repeatedly during
    # loading and again at each full collection while the process serves.
    gc.disable()
    from bitternbeam.wiring.run import main as run  # noqa: PLC0415 - its reactor is not for the commands

    gc.freeze()
    gc.enable()
    return run()


if __name__ == "__main__":
    sys.exit(main())
