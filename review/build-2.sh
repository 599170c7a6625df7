#!/bin/bash
# After the build line of the deploy file: builds what the cases 6 to 10 start.
# Their stand-ins are new ones in Python. Cases 6 and 10 need the project's own requirements-full.txt beside
# requirements.txt (`run --config`, the store and the SIP side's file read with it, and the stand-in of the control
# service needs its blake3); without it these two can't run and exit with 2.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import immutables, msgspec, blake3, lmdb' 2>/dev/null; then
    .venv/bin/pip -q install -r requirements-full.txt || echo "requirements-full.txt: not installed; 6 and 10 can't run"
fi
.venv/bin/python -m py_compile review/rig_*.py review/{6,7,8,9,10}/*.py
