"""Limits for tests that ask late on a busy machine: a client that is still silent is not closed meanwhile."""

from __future__ import annotations

from dataclasses import replace

from tests.test_platform import LIMITS

PATIENT = replace(LIMITS, client_first_request_us=60_000_000)
