#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && PYTHONPATH=. exec .venv/bin/python -B review/2/shutdown_hang.py
