"""A check of LMDB files for truncation before they are read."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def describe_truncation(env: Any, file: Path) -> str:
    """Return the size of a truncated file as `4096 bytes of 8192`, or '' if the file is complete.

    LMDB maps its file into memory: reading a page that is missing kills the process with SIGBUS.
    """
    wanted = (env.info()["last_pgno"] + 1) * env.stat()["psize"]
    size = file.stat().st_size
    return f"{size} bytes of {wanted}" if size < wanted else ""
