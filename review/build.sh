#!/bin/sh
# Build what the cases start, after the build line of the deploy file. The stand-ins are plain Python scripts in
# this folder, of the standard library alone, so it is enough that they compile. No network is needed.
cd "$(dirname "$0")/.." && exec .venv/bin/python -B - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
PY
