#!/bin/sh
# Build what the cases start, after the build line of the deploy file. The stand-ins are plain Python scripts in
# this folder, so it is enough that they compile. Case 3 has the SIP side on, whose file `run` reads with a library
# of requirements-full.txt: it is installed if it can be had; without it that case starts its own launcher.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -c 'import msgspec' 2>/dev/null ||
    .venv/bin/pip -q --retries 0 install -r requirements-full.txt >/dev/null 2>&1 ||
    echo "requirements-full.txt could not be installed: case 3 starts review/3/launch.py"
exec .venv/bin/python -B - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
PY
