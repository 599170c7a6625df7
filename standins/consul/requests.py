"""One request as the API takes it, and the answer it gets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, `X-Consul-Index`, the JSON value (text goes as it is), and whether state may have changed."""

    code: int
    index: int
    value: Any
    changed: bool = False


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """What one request asks for."""

    method: str
    path: str
    args: dict[str, str]
    body: bytes
    agent: str = ""

    @property
    def parts(self) -> list[str]:
        """Return the path's segments."""
        return self.path.strip("/").split("/")

    @property
    def key(self) -> str:
        """Return the key of a path below `/v1/kv/`; a prefix may end in a slash."""
        return "/".join(self.parts[2:])

    @property
    def recurse(self) -> bool:
        """Whether all keys below a prefix are asked for."""
        return "recurse" in self.args

    @property
    def kind(self) -> str:
        """Return the kind of a request for counting: `kv`, `session`, `health`, ..."""
        parts = self.parts
        return parts[1] if len(parts) > 1 and parts[0] == "v1" else parts[0]

    @property
    def operation(self) -> str:
        """Name the kind as traps and the log do: acquire, release, cas, put, get, watch, create, ..."""
        if self.kind == "kv" and self.method == "PUT":
            return next((one for one in ("acquire", "release", "cas") if one in self.args), "put")
        if self.kind in ("session", "agent"):
            return self.parts[3 if self.kind == "agent" else 2]
        return "watch" if "index" in self.args else "get"

    @property
    def waits_past(self) -> int:
        """Return the index that a blocking query waits past; 0 for any other request."""
        index = self.args.get("index", "")
        return int(index) if self.method == "GET" and index.isdigit() else 0
