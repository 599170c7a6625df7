"""Structured logs: lines for people or JSON objects, with call, booker and version where they apply.

The parts log through the standard library, as the platform's `run` does; what they hand over as `extra`
becomes the fields of a record here.
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog

FIELDS = ("call", "booker", "version", "caller", "key")


def configure_logging(form: str, level: str, sink: TextIO | None = None) -> None:
    """Send all logs to a stream (standard error) as `plain` or `json`."""
    before: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(allow=FIELDS),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    last: structlog.typing.Processor
    if form == "json":
        before.append(structlog.processors.format_exc_info)
        last = structlog.processors.JSONRenderer()
    else:
        last = structlog.dev.ConsoleRenderer(colors=False, pad_event_to=0, pad_level=False)
    handler = logging.StreamHandler(sink or sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=before,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
