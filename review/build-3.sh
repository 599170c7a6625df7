#!/bin/sh
# Builds what the cases of this review need beside the deploy file's build: an environment from the project's own
# requirements-full.txt, as README.md asks for SIP, Consul and `run --config`. The stand-ins need no build: they
# use the standard library alone.
set -e
cd "$(dirname "$0")/.."
if ! cmp -s requirements-full.txt review/env-3/.venv/built-from; then
    rm -rf review/env-3/.venv
    python3 -m venv review/env-3/.venv
    review/env-3/.venv/bin/pip -q install -r requirements-full.txt
    cp requirements-full.txt review/env-3/.venv/built-from
fi
review/env-3/.venv/bin/python -c 'import msgspec, twisted'
