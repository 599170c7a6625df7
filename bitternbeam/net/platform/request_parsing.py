"""Parses a client's request message."""

from __future__ import annotations

import re
from collections.abc import Collection
from typing import Any

from bitternbeam.core.calls import Offer
from bitternbeam.net.platform.json_lines import Message, parse_number
from bitternbeam.net.reports import figures

REQUEST_ID_PATTERN = re.compile("[0-9a-fA-F]{16}")
MAX_WIDTH_CIRCUITS = 1_000
NO_CELL = -1  # the request has no destination


class InvalidRequestError(Exception):
    """A field of a request has a wrong type or value; the text is the field's name."""


def is_request_id(uid: str) -> bool:
    """Return whether an id has the protocol's form of 16 hexadecimal digits."""
    return REQUEST_ID_PATTERN.fullmatch(uid) is not None


def parse_request(
    message: Message, *, uid: str, client: str, arrived_us: int, classes: Collection[str],
    longest_us: int, key_chars: int,
) -> Offer:  # fmt: skip
    """Return the request as an offer to the core; raises InvalidRequestError.

    All values are checked here: servers do not receive the `extras`, so they would accept a request with
    invalid ones.
    """
    meta: dict[str, Any] = message.get("meta", {})
    call_class, key, body = meta.get("class"), meta.get("key", ""), message.get("body", "")
    if not isinstance(call_class, str) or call_class not in classes:
        raise InvalidRequestError("class")
    if not isinstance(key, str) or len(key) > key_chars:
        raise InvalidRequestError("key")  # kept for retries by the client, so the length is bounded
    if not isinstance(body, str):
        raise InvalidRequestError("body")
    left_ms = parse_number(meta, "left")
    if left_ms is None or not 0 < left_ms * 1000 <= longest_us:
        raise InvalidRequestError("left")
    extras = figures(meta.get("extras", ""))
    if extras is None:
        raise InvalidRequestError("extras")
    cell, width = extras.get("dest", NO_CELL), extras.get("width", 1)
    if cell < NO_CELL or not 0 < width <= MAX_WIDTH_CIRCUITS:
        raise InvalidRequestError("extras")
    return Offer(
        uid=uid,
        call_class=call_class,
        cell=int(cell),
        left_us=int(left_ms * 1000),
        received_us=arrived_us,
        number=key,
        body=body,
        redial=extras.get("retry", 0) > 0,
        again=extras.get("again", 0) > 0,
        client=client,
    )
