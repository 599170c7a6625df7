"""Lays the files that the bench reads beside a site file into this folder, from the folder of a kit.

The site files here are the project's own; the names on the sockets, the wire and the kinds of trouble are
the kit's. They are copied when a run needs them, by `python deploy/sites/lay_files.py --from PATH`, and git
ignores them.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from collections.abc import Sequence
from pathlib import Path

REQUIRED = ("real.json", "wire.json", "unlock.txt")
OPTIONAL = ("design.json",)  # without it the bench checks no claims about the design


class MissingFileError(Exception):
    """The folder given lacks a file without which the bench can't play a site."""


def lay(source: Path, destination: Path) -> list[str]:
    """Copy the files from `source` to `destination` and return their names.

    Nothing is copied unless every required file is there. Raises MissingFileError if one is not, and OSError
    if a copy fails.
    """
    for name in REQUIRED:
        if not (source / name).is_file():
            raise MissingFileError(f"{source / name}: no such file")
    present = [*REQUIRED, *(name for name in OPTIONAL if (source / name).is_file())]
    for name in present:
        shutil.copyfile(source / name, destination / name)  # not the mode: a kit is read-only
    return present


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; 0 if all was copied, 1 with one line on standard error if not."""
    parser = argparse.ArgumentParser(description="Copy the bench's files beside the site files.")
    parser.add_argument(
        "--from", dest="source", type=Path, required=True, metavar="PATH", help="the kit's sites"
    )
    parser.add_argument(
        "--to", type=Path, default=Path(__file__).parent, metavar="PATH", help="default: here"
    )
    options = parser.parse_args(arguments)
    try:
        names = lay(options.source, options.to)
    except (MissingFileError, OSError) as error:
        print(f"lay_files: {error}", file=sys.stderr)
        return 1
    print("\n".join(names))
    return 0


if __name__ == "__main__":
    sys.exit(main())
