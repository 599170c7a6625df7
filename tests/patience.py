"""Limits for tests on a busy machine: a client that is slow to send its request is not disconnected."""

from __future__ import annotations

from dataclasses import replace

from tests.test_platform import LIMITS

PATIENT = replace(LIMITS, client_first_request_us=60_000_000)
