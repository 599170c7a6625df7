"""Structured logs, as text lines or JSON objects, with fields such as call, booker and version.

All modules log through the standard library, as the platform's `run` does; the values they pass as
`extra` become fields of the log record here.
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog

FIELDS = ("call", "booker", "version", "caller", "key")


def configure_logging(form: str, level: str, sink: TextIO | None = None) -> None:
    """Send all logs to a stream (standard error by default) as `plain` or `json`."""
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(allow=FIELDS),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderer: structlog.typing.Processor
    if form == "json":
        shared.append(structlog.processors.format_exc_info)
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False, pad_event_to=0, pad_level=False)
    handler = logging.StreamHandler(sink or sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
