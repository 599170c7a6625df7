"""One piece of the fleet's work: what its owner does under a token, publishes, and hears from others.

Each says what its owner does (`act`), publishes through the fenced record of `fleet.record` (`value`), and
takes what others published (`heard`).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bitternbeam.fleet.claim import Claim
from bitternbeam.fleet.placement import Lock
from bitternbeam.fleet.record import Publication, ReadResult, RecordReader, Write
from bitternbeam.fleet.tokens import Token
from bitternbeam.net.coordination import KvEntry, Reply, entry_of
from bitternbeam.wiring.fleet.bench import Bench


class Work:
    """One piece of work: its lease, the record it publishes, and the follower of what others publish."""

    def __init__(self, bench: Bench, kind: str, name: str = "") -> None:
        self.bench = bench
        self.name = f"{kind}/{name}" if name else kind
        prefix = bench.fleet.prefix
        self.claim = Claim(f"{prefix}/lease/{self.name}", bench.fleet.name, bench.times)
        self.lock = Lock()
        self.key = f"{prefix}/record/{self.name}"
        age_us = bench.fleet.view_age_ms * 1000
        self.follower = RecordReader(age_us)
        self.publication = Publication(age_us // 3)
        self.aside_until_us = 0
        self.asides = 0

    def leased(self, entries: Mapping[str, KvEntry], now_us: int) -> None:
        """Take what the watch shows of the lease and the token's counter."""
        lock, counter = entries.get(self.claim.key), entries.get(f"{self.claim.key}/token")
        self.lock.observe(lock.session if lock else None, now_us)
        if counter and counter.value.isdigit() and len(counter.value) <= 18:
            self.claim.highest_seen = max(self.claim.highest_seen, int(counter.value))

    def shown(self, entries: Mapping[str, KvEntry], now_us: int) -> None:
        """Take what the watch shows of the record."""
        record = entries.get(self.key)
        if not self.publication.busy:
            self.stands(*((record.modify_index, record.value) if record else (0, None)))
        if record is not None:
            heard = self.follower.read(record.value, now_us, now_us // 1000)
            if heard is ReadResult.NEW and self.follower.record is not None:
                self.claim.highest_seen = max(self.claim.highest_seen, self.follower.record.token.number)
                self.heard(self.follower.record.value)
            elif heard is not ReadResult.SAME:
                self.bench.counters.add(f"fleet.records_{heard.value}")

    def heard(self, value: dict[str, Any]) -> None:
        """Take what was published."""

    def act(self, token: Token, now_us: int) -> None:
        """Do what the owner does now."""

    def value(self) -> dict[str, Any] | None:
        """Return what the owner would publish now; None: nothing yet."""
        return None

    def publish(self, token: Token, now_us: int) -> None:
        """Write the record if there is something to write."""
        value = self.value()
        if value is None or not self.publication.due(token, value, now_us):
            return
        write = self.publication.write(token, value, now_us, now_us // 1000)
        if write is None:
            self.look_up()
        else:
            self.send(write)

    def send(self, write: Write | Token) -> None:
        """Send a write, or note the newer token that stands in its way."""
        if isinstance(write, Token):
            self.refused(write)
        else:
            self.put(write)

    def refused(self, highest: Token | None) -> None:
        """Note that a newer token stands in the way."""
        self.bench.counters.add("fleet.acts_refused")
        self.claim.act_refused(highest)

    def stands(self, index: int, text: str | None) -> None:
        """Take what the engine holds of the record: its ModifyIndex and text, or (0, None)."""
        self.publication.record_read(index, text)

    def written(self, done: bool, write: Write) -> None:
        """Take the engine's answer to a write."""
        self.publication.written(done, write)

    def failed(self) -> None:
        """Note that no answer came: whether it was written is not known."""
        self.publication.failed()

    def put(self, write: Write) -> None:
        """Send a write."""
        self.bench.counters.add("fleet.records_written")
        made = self.bench.api.kv_put(self.key, write.record.text(), cas=str(write.cas))
        made.addCallbacks(
            lambda reply: self.written(reply.body is True, write), lambda _failure: self.failed()
        )

    def look_up(self) -> None:
        """Read the record that is about to be replaced: the watch may lag behind."""
        self.publication.busy = True

        def read(reply: Reply) -> None:
            entry = entry_of(reply.body)
            self.publication.busy = False
            self.stands(*((entry.modify_index, entry.value) if entry else (0, None)))

        made = self.bench.api.kv_get(self.key)
        made.addCallback(read)
        made.addErrback(lambda _failure: self.failed())

    def restarted(self) -> None:
        """Forget what the engine held: it starts anew."""
        self.publication.forget()
