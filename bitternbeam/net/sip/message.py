"""SIP messages (RFC 3261, section 7), their headers, and the responses to them; parsing.py reads them.

Nothing here keeps state. A parsed message holds memoryviews into the buffer that it came in; a
value becomes text when it is asked for, so headers that nobody reads are never copied.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field

VERSION = "SIP/2.0"
MAGIC = "z9hG4bK"
CRLF = b"\r\n"
REASONS = {
    100: "Trying", 180: "Ringing", 200: "OK", 400: "Bad Request", 405: "Method Not Allowed",
    408: "Request Timeout", 416: "Unsupported URI Scheme", 420: "Bad Extension",
    481: "Call/Transaction Does Not Exist", 482: "Loop Detected", 483: "Too Many Hops",
    487: "Request Terminated", 488: "Not Acceptable Here", 500: "Server Internal Error",
    503: "Service Unavailable", 505: "Version Not Supported", 513: "Message Too Large",
}  # fmt: skip
TAG = re.compile(r";\s*tag\s*=\s*([^;\s>]+)", re.IGNORECASE)

Value = str | bytes | memoryview


class MalformedError(Exception):
    """Bytes that are no SIP message, or one that breaks the grammar.

    `status` is the answer that a request with enough of a head gets.
    """

    def __init__(self, why: str, status: int = 400, message: Message | None = None) -> None:
        super().__init__(why)
        self.status = status
        self.message = message


def text(value: Value) -> str:
    """Return a header's value as text; bytes that are no UTF-8 are kept apart, not refused."""
    return value if isinstance(value, str) else str(value, "utf-8", "surrogateescape")


def data(value: Value) -> bytes:
    """Return a value's bytes."""
    return value.encode("utf-8", "surrogateescape") if isinstance(value, str) else bytes(value)


@dataclass(slots=True)
class Message:
    """A request (with a method) or a response (with a status)."""

    method: str = ""
    uri: str = ""
    status: int = 0
    reason: str = ""
    headers: list[tuple[str, Value]] = field(default_factory=list)
    body: Value = b""

    @property
    def is_request(self) -> bool:
        """Whether it is a request."""
        return not self.status

    def get(self, name: str) -> str:
        """Return the first value of a header; empty if there is none."""
        for key, value in self.headers:
            if key == name:
                return text(value)
        return ""

    def all(self, name: str) -> list[str]:
        """Return all values of a header, those on one line apart."""
        return [
            part for key, value in self.headers if key == name for part in split_values(text(value)) if part
        ]

    def has(self, name: str) -> bool:
        """Whether the header is there."""
        return any(key == name for key, _ in self.headers)

    @property
    def call_id(self) -> str:
        """The Call-ID."""
        return self.get("call-id")

    @property
    def sequence(self) -> tuple[int, str]:
        """The number and the method of CSeq."""
        number, _, method = self.get("cseq").strip().partition(" ")
        if not number.isdigit() or int(number) >= 1 << 31 or not method.strip():
            raise MalformedError("CSeq", 400, self)
        return int(number), method.strip()

    @property
    def from_tag(self) -> str:
        """The tag of From."""
        return tag_of(self.get("from"))

    @property
    def to_tag(self) -> str:
        """The tag of To."""
        return tag_of(self.get("to"))

    @property
    def via(self) -> Via:
        """The topmost Via."""
        values = self.all("via")
        if not values:
            raise MalformedError("no Via", 400, self)
        return Via.parse(values[0])

    def encode(self) -> bytes:
        """Write it out, with its true Content-Length."""
        first = f"{self.method} {self.uri} {VERSION}" if self.method else ""
        parts = [(first or f"{VERSION} {self.status} {self.reason}").encode(), CRLF]
        for name, value in self.headers:
            if name != "content-length":
                parts += (name.title().replace("Call-Id", "Call-ID").replace("Cseq", "CSeq").encode(), b": ")
                parts += (data(value), CRLF)
        body = data(self.body)
        parts += (b"Content-Length: %d\r\n\r\n" % len(body), body)
        return b"".join(parts)


@dataclass(frozen=True, slots=True)
class Via:
    """One Via value."""

    transport: str
    host: str
    port: int
    branch: str
    rport: bool

    @staticmethod
    def parse(value: str) -> Via:
        """Read `SIP/2.0/UDP host:port;branch=...`."""
        head, *parameters = value.split(";")
        protocol, _, sent_by = head.strip().partition(" ")
        parts = protocol.split("/")
        host, port = split_host(sent_by.strip())
        if len(parts) != 3 or not host:
            raise MalformedError(f"Via {value!r}")
        known = dict(part.strip().partition("=")[::2] for part in parameters)
        return Via(parts[2].upper(), host, port, known.get("branch", ""), "rport" in known)


def split_host(where: str, default: int = 5060) -> tuple[str, int]:
    """Split host[:port]."""
    host, colon, port = where.partition(":")
    if colon and (not port.isdigit() or int(port) > 65535):
        raise MalformedError(f"port of {where!r}")
    return host, int(port) if colon else default


def split_values(line: str) -> list[str]:
    """Split a header's line at its commas, but not inside quotes or angle brackets."""
    if "," not in line:
        return [line.strip()]
    parts, start, quoted, angle, escaped = [], 0, False, False, False
    for place, char in enumerate(line):
        if escaped:
            escaped = False
        elif quoted:
            escaped, quoted = char == "\\", char != '"'
        elif char == '"':
            quoted = True
        elif char in "<>":
            angle = char == "<"
        elif char == "," and not angle:
            parts.append(line[start:place].strip())
            start = place + 1
    return [*parts, line[start:].strip()]


def tag_of(value: str) -> str:
    """Return the tag parameter, which stands behind the address."""
    found = TAG.search(value.rpartition(">")[2] if ">" in value else value)
    return found.group(1) if found else ""


def address_of(value: str) -> str:
    """Return the URI of a name-addr or addr-spec."""
    if "<" in value:
        return value.partition("<")[2].partition(">")[0].strip()
    return value.partition(";")[0].strip()


def user_and_host(uri: str) -> tuple[str, str, int]:
    """Return the user, the host and the port of a SIP URI; other schemes are not known here."""
    scheme, _, rest = uri.partition(":")
    if scheme.lower() != "sip":
        raise MalformedError(f"scheme of {uri!r}", 416)
    rest = rest.partition(";")[0].partition("?")[0]
    user, at, where = rest.rpartition("@")
    host, port = split_host(where)
    if not host:
        raise MalformedError(f"host of {uri!r}")
    return user.partition(":")[0] if at else "", host, port


def check_request(message: Message) -> None:
    """Refuse a request that cannot be served (RFC 3261, 8.1.1 and 8.2)."""
    for name in ("via", "from", "to", "call-id", "cseq"):
        if not message.get(name):
            raise MalformedError(f"no {name}", 400, message)
    _ = message.via
    if message.reason:
        raise MalformedError(f"version {message.reason!r}", 505, message)
    if message.sequence[1] != message.method:
        raise MalformedError("the method of CSeq is another", 400, message)
    hops = message.get("max-forwards") or "70"
    if not hops.isdigit() or int(hops) > 255:
        raise MalformedError("Max-Forwards", 400, message)
    if int(hops) == 0 and message.method not in ("ACK", "CANCEL", "BYE"):
        raise MalformedError("no hop left", 483, message)


def respond(
    request: Message, status: int, to_tag: str = "", extra: Sequence[tuple[str, Value]] = ()
) -> Message:
    """Build the response to a request; the copied values must outlive its buffer."""
    headers: list[tuple[str, Value]] = [
        (name, bytes(value) if isinstance(value, memoryview) else value)
        for name, value in request.headers
        if name in ("via", "from", "to", "call-id", "cseq") or (name == "record-route" and status < 300)
    ]
    if to_tag and status > 100 and not request.to_tag:
        headers = [
            (name, data(value) + b";tag=" + to_tag.encode() if name == "to" else value)
            for name, value in headers
        ]
    return Message(status=status, reason=REASONS.get(status, "Answer"), headers=[*headers, *extra])


def stamp(message: Message, host: str, port: int) -> None:
    """Note in the topmost Via where a request came from (18.2.1, RFC 3581)."""
    via = message.via
    if not via.rport and via.host == host:
        return
    for place, (name, value) in enumerate(message.headers):
        if name == "via":
            first, *others = split_values(text(value))
            first = f"{re.sub(r';rport(?=;|$)', f';rport={port}', first)};received={host}"
            message.headers[place] = (name, ", ".join([first, *others]))
            return
