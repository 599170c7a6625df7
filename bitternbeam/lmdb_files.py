"""What every file that LMDB maps is looked at for before it is read."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def describe_truncation(env: Any, file: Path) -> str:
    """Return how much of an environment's file is missing, as `4096 bytes of 8192`; empty: nothing is.

    Danger: LMDB reads its file as memory; a page that is not there ends the process with SIGBUS.
    """
    wanted = (env.info()["last_pgno"] + 1) * env.stat()["psize"]
    size = file.stat().st_size
    return f"{size} bytes of {wanted}" if size < wanted else ""
