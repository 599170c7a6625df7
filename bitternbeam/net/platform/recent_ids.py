"""The ids of recently finished requests and calls."""

from __future__ import annotations

from collections import OrderedDict

from bitternbeam.net.platform.shared_ids import SharedIds


class RecentIds:
    """Ids that must not be used again yet.

    An answer or a release of the old attempt may still arrive, and a server could not tell a new attempt
    with the same id from the old one. The pause after an attempt in doubt would not be kept either.
    """

    def __init__(self, retention_us: int, max_ids: int) -> None:
        """Keep each id for `retention_us`, and at most `max_ids`; past that the oldest is dropped."""
        self.retention_us = retention_us
        self.max_ids = max_ids
        self.shared_ids: SharedIds | None = None  # where another process serves the same clients
        self._expiry_us: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._expiry_us)

    def add(self, uid: str, now_us: int) -> None:
        """Record an id whose request or call has just finished."""
        if self.shared_ids:
            self.shared_ids.renew(uid)
        self._expire(now_us)
        self._expiry_us[uid] = now_us + self.retention_us
        self._expiry_us.move_to_end(uid)
        if len(self._expiry_us) > self.max_ids:
            self._expiry_us.popitem(last=False)

    def claim(self, uid: str, now_us: int) -> bool:
        """Return whether a request with this id may be offered: it was used neither here nor elsewhere."""
        return not self.contains(uid, now_us) and (self.shared_ids is None or self.shared_ids.claim(uid))

    def contains(self, uid: str, now_us: int) -> bool:
        """Return whether an id's request or call finished within the retention time."""
        return self._expiry_us.get(uid, now_us) > now_us

    def _expire(self, now_us: int) -> None:
        while self._expiry_us and next(iter(self._expiry_us.values())) <= now_us:
            self._expiry_us.popitem(last=False)
