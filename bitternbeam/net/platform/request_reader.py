"""Turns a client's request message into a queued request, without the fields that nobody needs."""

from __future__ import annotations

from bitternbeam.core.calls import Offer
from bitternbeam.core.control import CallControl
from bitternbeam.limits import Limits
from bitternbeam.net.platform.client_requests import QueuedRequest
from bitternbeam.net.platform.json_lines import Message
from bitternbeam.net.platform.request_parsing import InvalidRequestError, parse_request
from bitternbeam.tables.deadlines import Deadlines


class RequestReader:
    """Reads request messages by the classes and limits of one front."""

    def __init__(self, core: CallControl, deadlines: Deadlines, limits: Limits) -> None:
        self._core = core
        self._deadlines = deadlines
        self._limits = limits

    def read(self, message: Message, uid: str, client: str, size_bytes: int) -> QueuedRequest:
        """Return the message as a request to be offered later, or to be failed then if it is invalid."""
        arrived_us = self._deadlines.earliest_arrival_us()
        content: Offer | InvalidRequestError
        try:
            content = parse_request(
                message,
                uid=uid,
                client=client,
                arrived_us=arrived_us,
                classes=self._core.classes,
                longest_us=self._core.longest_us,
                key_chars=self._limits.number_chars,
            )
        except InvalidRequestError as fault:
            content = InvalidRequestError(str(fault))  # without the traceback, which holds the message
        return QueuedRequest(uid, content, size_bytes, arrived_us, self._deadlines.now_us())
