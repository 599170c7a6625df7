#!/bin/bash
# After the build of the deploy file: builds what the cases 6 to 10 start.
# Their stand-ins are new ones in Python, without dependencies. Case 10 starts the SIP front, which needs the
# project's own requirements-full.txt beside requirements.txt; without it that case can't run and exits with 2.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import immutables, msgspec, blake3' 2>/dev/null; then
    .venv/bin/pip -q install -r requirements-full.txt || echo "requirements-full.txt: not installed; case 10 can't run"
fi
.venv/bin/python -m py_compile review/rig_2.py review/{6,7,8,9,10}/*.py
