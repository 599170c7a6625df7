"""The ids of requests and calls that were over a short while ago."""

from __future__ import annotations

from collections import OrderedDict


class RecentIds:
    """Ids that are not to be used again yet.

    An answer or a release of the old attempt may still come, and a new attempt under the same id could not
    be told from it at the server; nor would the pause after an attempt in doubt be kept.
    """

    def __init__(self, retention_us: int, max_ids: int) -> None:
        """Keep each id for keep_us, and at most so many of them: the oldest goes first."""
        self.retention_us = retention_us
        self.max_ids = max_ids
        self._expiry_us: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._expiry_us)

    def add(self, uid: str, now_us: int) -> None:
        """Note an id whose request or call is over now."""
        self._expire(now_us)
        self._expiry_us[uid] = now_us + self.retention_us
        self._expiry_us.move_to_end(uid)
        if len(self._expiry_us) > self.max_ids:
            self._expiry_us.popitem(last=False)

    def contains(self, uid: str, now_us: int) -> bool:
        """Tell whether an id was over so short a while ago."""
        return self._expiry_us.get(uid, now_us) > now_us

    def _expire(self, now_us: int) -> None:
        while self._expiry_us and next(iter(self._expiry_us.values())) <= now_us:
            self._expiry_us.popitem(last=False)
