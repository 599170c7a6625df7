"""SIP messages read (RFC 3261, section 7): start line, headers and body as slices of what came in."""

from __future__ import annotations

import re
from collections.abc import Iterable

from bitternbeam.net.sip.message import VERSION, MalformedError, Message, data

COLON = ord(":")
CRLF = b"\r\n"
COMPACT = {
    "i": "call-id", "m": "contact", "e": "content-encoding", "l": "content-length", "c": "content-type",
    "f": "from", "s": "subject", "k": "supported", "t": "to", "v": "via",
}  # fmt: skip
METHOD = re.compile(r"[A-Za-z0-9.!%*_+`'~-]+")


def read_head(lines: Iterable[bytes | memoryview]) -> Message:
    """Read a start line and headers; folded lines are joined, which copies them."""
    rows = iter(lines)
    try:
        first = str(next(rows), "utf-8")
    except (StopIteration, UnicodeDecodeError):
        raise MalformedError("start line") from None
    message = read_start(first)
    for row in rows:
        view = memoryview(row)
        if bytes(view[:1]) in (b" ", b"\t"):
            if not message.headers:
                raise MalformedError("a fold without a header", 400, message)
            name, value = message.headers[-1]
            message.headers[-1] = (name, data(value) + b" " + bytes(view).strip())
            continue
        colon = next((place for place, char in enumerate(view) if char == COLON), 0)
        if colon <= 0:
            raise MalformedError("a line without a header's name", 400, message)
        name = str(view[:colon], "ascii", "replace").strip().lower()
        message.headers.append((COMPACT.get(name, name), _strip(view[colon + 1 :])))
    return message


def read_start(first: str) -> Message:
    """Read a request line or a status line."""
    parts = first.split(" ", 2)
    if len(parts) == 3 and parts[0] == VERSION and len(parts[1]) == 3 and parts[1].isdigit():
        status = int(parts[1])
        if 100 <= status < 700:
            return Message(status=status, reason=parts[2])
    if len(parts) != 3 or not METHOD.fullmatch(parts[0]) or not parts[2].upper().startswith("SIP/"):
        raise MalformedError(f"start line {first[:80]!r}")
    message = Message(method=parts[0], uri=parts[1])
    if parts[2].upper() != VERSION:
        # Its headers are read all the same: the answer needs them.
        message.reason = parts[2]
    return message


def _strip(view: memoryview) -> memoryview:
    start, end = 0, len(view)
    while start < end and view[start] in b" \t":
        start += 1
    while end > start and view[end - 1] in b" \t":
        end -= 1
    return view[start:end]


def read_datagram(packet: bytes) -> Message:
    """Read a message that came whole: headers and body are slices of the packet."""
    end = packet.find(b"\r\n\r\n")
    if end < 0:
        raise MalformedError("no end of the head")
    view, rows, start = memoryview(packet), [], 0
    while start < end:
        stop = packet.find(CRLF, start, end)
        stop = end if stop < 0 else stop
        rows.append(view[start:stop])
        start = stop + 2
    message = read_head(rows)
    rest = view[end + 4 :]
    length = body_length(message)
    if length is not None and length > len(rest):
        raise MalformedError("the body is shorter than its Content-Length", 400, message)
    message.body = rest if length is None else rest[:length]
    return message


def body_length(message: Message) -> int | None:
    """Return Content-Length; None if it is not told."""
    told = message.get("content-length")
    if not message.has("content-length"):
        return None
    if not told.isdigit() or len(told) > 9:
        raise MalformedError("Content-Length", 400, message)
    return int(told)
