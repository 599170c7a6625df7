"""What a controller answers to an offer, and to a service that won't stop offering what is no good.

offer older than what runs, without `rollback`      turned down: a fresh server knows less than we do
offer of what runs, same content                    acknowledged at once
offer of what runs, other content                   turned down: one number, two contents
delta from a base that is not held                  turned down with `whole`
content that was turned down a short while ago      turned down again, at once, with the time to wait
larger than the limit                               turned down before a byte of it is sent
anything else                                       wanted, from the chunk that is missing
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.messages import Ack, Nack, Offer, Want
from bitternbeam.configuration.transfer import Transfer

SECOND = 1_000_000
MOST_REMEMBERED = 256  # contents that were turned down


@dataclass(slots=True)
class Refusal:
    """A content that was turned down."""

    reason: str
    key: str
    until_us: int
    times: int = 1


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a service may send."""

    version_bytes: int = 48 * 1024 * 1024
    version_entries: int = 250_000  # about 1.4 kB of memory each
    again_us: int = 1 * SECOND  # before a content that was turned down is looked at again; then doubling
    again_most_us: int = 60 * SECOND


class Negotiation:
    """Answers offers; it holds no connection, and what it remembers outlives them all."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.running = Number(0, 0)
        self.content = ""
        self.floor = Number(0, 0)  # the highest number ever acknowledged and not rolled back from
        self.transfer: Transfer | None = None
        self.refused: OrderedDict[str, Refusal] = OrderedDict()  # by content

    def runs(self, number: Number, content: str, *, on_purpose: bool = False) -> None:
        """Note which version runs, or is about to; on purpose: an older one that the service asked back."""
        self.running, self.content = number, content
        self.floor = number if on_purpose else max(self.floor, number)

    def answer(self, now_us: int, offer: Offer) -> Want | Ack | Nack:
        """Return what is to be said to an offer."""
        if offer.number == self.running and offer.content == self.content:
            return Ack(offer.nonce, offer.number)
        if reason := self._out_of_order(offer):
            return self.nack(offer, reason)
        if offer.size > self.bounds.version_bytes:
            return self.nack(offer, f"{offer.size} bytes; the most is {self.bounds.version_bytes}")
        if offer.size == 0 and offer.base is None:
            return self.nack(offer, "an empty version")
        known = self.refused.get(offer.content)
        if known and now_us < known.until_us:
            wait_ms = (known.until_us - now_us) // 1000 + 1
            return self.nack(offer, known.reason, known.key, retry_ms=wait_ms)
        if offer.base is not None and offer.base != self.running:
            return self.nack(offer, f"its base {offer.base} is not held", whole=True)
        if self.transfer is None or not self.transfer.fits(offer):
            self.transfer = Transfer(offer, self.bounds.version_entries)
        else:
            self.transfer.offer = offer
        return Want(offer.nonce, self.transfer.next)

    def _out_of_order(self, offer: Offer) -> str:
        if offer.number == self.running:
            return "another content under the number of what runs"
        if offer.rollback:
            return ""
        if offer.number.epoch < self.floor.epoch:
            return f"epoch {offer.number.epoch} is older than {self.floor.epoch}"
        if offer.number <= self.floor:
            return f"{offer.number} is not newer than {self.floor}"
        return ""

    def nack(
        self, offer: Offer, reason: str, key: str = "", *, whole: bool = False, retry_ms: int = 0
    ) -> Nack:
        """Return a plain refusal."""
        return Nack(
            offer.nonce, offer.number, self.running, reason, key, whole=whole, retry_ms=retry_ms
        )  # fmt: skip

    def turned_down(self, now_us: int, content: str, reason: str, key: str) -> int:
        """Remember a content that was turned down; returns for how long it is not looked at again, in us."""
        times = self.refused.pop(content).times + 1 if content in self.refused else 1
        wait_us = min(self.bounds.again_us << min(times - 1, 16), self.bounds.again_most_us)
        self.refused[content] = Refusal(reason, key, now_us + wait_us, times)
        if len(self.refused) > MOST_REMEMBERED:
            self.refused.popitem(last=False)
        return wait_us

    def rolled_back(self, now_us: int, number: Number, content: str, reason: str) -> None:
        """Remember a version under which service collapsed: it is not taken again for the longest time."""
        self.turned_down(now_us, content, reason, "")
        self.refused[content].until_us = now_us + self.bounds.again_most_us

    def drop(self) -> None:
        """Forget what is held of a payload."""
        self.transfer = None
