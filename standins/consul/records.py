"""What the stand-in for Consul keeps: sessions, KV entries and services, and Consul's durations."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Any

SECOND_US = 1_000_000


def duration_us(text: str, default_us: int) -> int:
    """Read a Consul duration such as `10s`, `500ms` or `1m`; the default for an empty one."""
    text = text.strip()
    if not text:
        return default_us
    for unit, scale in (
        ("ms", 1_000),
        ("us", 1),
        ("s", SECOND_US),
        ("m", 60 * SECOND_US),
        ("h", 3600 * SECOND_US),
    ):
        if text.endswith(unit) and text[: -len(unit)].replace(".", "", 1).isdigit():
            return int(float(text[: -len(unit)]) * scale)
    raise ValueError(f"bad duration {text!r}")


@dataclass(slots=True)
class SessionRecord:
    """One session: its TTL, lock-delay, behaviour, and when it was last renewed."""

    id: str
    name: str
    ttl_us: int
    lock_delay_us: int
    behavior: str
    renewed_us: int
    create_index: int


@dataclass(slots=True)
class Entry:
    """One KV entry as Consul shows it."""

    key: str
    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str | None = None
    flags: int = 0

    def shown(self) -> dict[str, Any]:
        """Show the entry in Consul's JSON form."""
        told: dict[str, Any] = {
            "Key": self.key,
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
            "LockIndex": self.lock_index,
            "Flags": self.flags,
            "Value": base64.b64encode(self.value).decode() if self.value else None,
        }
        if self.session:
            told["Session"] = self.session
        return told


@dataclass(slots=True)
class Service:
    """One registered instance with its TTL check."""

    id: str
    name: str
    address: str
    port: int
    meta: dict[str, str]
    check_ttl_us: int
    passed_us: int
    index: int
