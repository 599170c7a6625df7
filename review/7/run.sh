#!/bin/bash
# TROUBLE=0: the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec .venv/bin/python -B "$here/lost_answer.py"
