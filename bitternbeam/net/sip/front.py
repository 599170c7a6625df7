"""SIP callers: the server side of the B2BUA. It implements the core's Frontend."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from zlib import crc32

from bitternbeam.core.calls import Offer
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome
from bitternbeam.limits import SECOND, Limits
from bitternbeam.net.sip.client_transaction import ClientTransaction
from bitternbeam.net.sip.dialog import Dialog, Identity
from bitternbeam.net.sip.message import Message, Value, data, respond, user_and_host
from bitternbeam.net.sip.server_transaction import ServerTransaction
from bitternbeam.net.sip.settings import SipSettings
from bitternbeam.net.sip.transaction import Transactions
from bitternbeam.tables.deadlines import Deadline, Deadlines
from bitternbeam.tables.slots import SlotTable

METHODS = "INVITE, ACK, CANCEL, BYE, OPTIONS"
SDP = "application/sdp"


@dataclass(slots=True, eq=False)
class Leg:
    """A caller's side of a call."""

    invite: ServerTransaction
    tag: str
    call: int = 0  # the core's handle
    dialog: Dialog | None = None  # from the 200 on
    repeat: Deadline | None = None  # the 200 is sent again until its ACK comes
    give_up_us: int = 0
    gap_us: int = 0
    ringing: bool = False
    acknowledged: bool = False
    over: bool = False  # released while its ACK was missing: BYE follows it


class SipFront:
    """Turns INVITEs into offers and the core's answers into responses."""

    def __init__(
        self,
        *,
        core: CallControl,
        transactions: Transactions,
        settings: SipSettings,
        deadlines: Deadlines,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.core = core
        self.transactions = transactions
        self.settings = settings
        self.deadlines = deadlines
        self.limits = limits
        self.counters = counters
        self.legs: SlotTable[Leg] = SlotTable(limits.calls + 1)
        self.by_invite: dict[ServerTransaction, int] = {}
        self.by_dialog: dict[Identity, int] = {}
        self.closing = False

    # Requests; the side of the bookers hands on those of its own dialogs first.

    def invited(self, transaction: ServerTransaction, request: Message) -> None:
        """Take an INVITE."""
        if request.to_tag:
            # A change of a standing call's description is not offered: it stays as the booker gave it.
            known = (request.call_id, request.to_tag, request.from_tag) in self.by_dialog
            self.answer(transaction, request, 488 if known else 481)
            return
        number, _, _ = user_and_host(request.uri)
        if self.legs.full or self.closing:
            self.answer(transaction, request, 503, [("retry-after", "1")])
            return
        transaction.respond(respond(request, 100))
        taken_us = self.deadlines.now_us()
        leg = Leg(transaction, secrets.token_hex(6))
        ref = self.legs.put(leg)
        self.by_invite[transaction] = ref
        kind = request.get(self.settings.class_header.lower()) or self.settings.call_class
        cells = self.settings.cells
        leg.call = self.core.offer(
            self,
            Offer(
                uid=secrets.token_hex(8),
                call_class=kind if kind in self.core.classes else self.settings.call_class,
                cell=cells[crc32(number.encode()) % len(cells)] if cells else -1,
                left_us=self._left_us(request),
                received_us=taken_us,
                number=number,
                # It outlives the buffer that it came in, so this is the one place where it is copied.
                body=(request.get("content-type") or SDP, data(request.body)) if request.body else ("", b""),
                ref=ref,
                client=transaction.hop.host,
            ),
        )

    def _left_us(self, request: Message) -> int:
        """Return how long the caller waits: its Expires, or what the operators say."""
        told = request.get("expires").strip()
        most_us = self.settings.answer_us
        return min(most_us, int(told) * SECOND) if told.isdigit() and len(told) < 9 else most_us

    def cancelled(self, transaction: ServerTransaction) -> None:
        """End an INVITE that its caller gives up."""
        leg = self.legs.pop(self.by_invite.pop(transaction, 0))
        if leg is not None:
            transaction.respond(respond(transaction.request, 487, leg.tag))
            self.core.withdraw(leg.call)

    def acknowledged(self, request: Message) -> bool:
        """Take the ACK of a 200; False if it is not of a caller's dialog."""
        leg = self._leg_of(request)
        if leg is None:
            return False
        if not leg.acknowledged:
            leg.acknowledged = True
            if leg.repeat:
                leg.repeat.cancel()
            if leg.over:
                self._bye(leg)
        return True

    def ended(self, transaction: ServerTransaction, request: Message) -> bool:
        """Take a BYE; False if it is not of a caller's dialog."""
        leg = self._leg_of(request)
        if leg is None or leg.dialog is None:
            return False
        if not leg.dialog.in_order(request):
            self.answer(transaction, request, 500)
            return True
        self.answer(transaction, request, 200)
        self._drop(leg)
        self.core.release(leg.call)
        return True

    def _leg_of(self, request: Message) -> Leg | None:
        identity = (request.call_id, request.to_tag, request.from_tag)
        return self.legs.get(self.by_dialog.get(identity, 0))

    @staticmethod
    def answer(
        transaction: ServerTransaction,
        request: Message,
        status: int,
        extra: list[tuple[str, Value]] | None = None,
    ) -> None:
        """Give a final answer that needs no leg."""
        transaction.respond(respond(request, status, secrets.token_hex(4), extra or []))

    # The core's Frontend.

    def send_progress(self, ref: int) -> None:
        """Let the caller's telephone ring, once."""
        leg = self.legs.get(ref)
        if leg is not None and not leg.ringing:
            leg.ringing = True
            leg.invite.respond(respond(leg.invite.request, 180, leg.tag, [self._contact(leg)]))

    def send_answer(self, ref: int, body: object) -> None:
        """Send 200 with the booker's description, and again until its ACK comes (13.3.1.4)."""
        leg = self.legs.get(ref)
        if leg is None:
            return
        request = leg.invite.request
        kind, description = body if isinstance(body, tuple) else (SDP, body)
        headers: list[tuple[str, Value]] = [self._contact(leg), ("allow", METHODS)]
        if kind:
            headers.append(("content-type", kind))
        response = respond(request, 200, leg.tag, headers)
        response.body = description if isinstance(description, (bytes, str)) else b""
        leg.dialog = Dialog.of_callee(request, leg.tag, leg.invite.hop)
        self.by_dialog[leg.dialog.identity] = ref
        self.by_invite.pop(leg.invite, None)
        leg.invite.respond(response)
        leg.gap_us = self.limits.sip_t1_us
        leg.give_up_us = self.deadlines.now_us() + 64 * self.limits.sip_t1_us
        wire = leg.invite.last
        leg.repeat = self.deadlines.after(leg.gap_us, lambda: self._repeat(leg, wire))

    def _repeat(self, leg: Leg, wire: bytes) -> None:
        """Send the 200 again, over any transport; without an ACK the call is over."""
        if self.deadlines.now_us() >= leg.give_up_us:
            self.counters.add("sip.unacknowledged")
            self._bye(leg)
            self.core.release(leg.call)
            return
        self.counters.add("sip.repeated_200s")
        self.transactions.transports.send(wire, leg.invite.hop)
        leg.gap_us = min(2 * leg.gap_us, self.limits.sip_t2_us)
        leg.repeat = self.deadlines.after(leg.gap_us, lambda: self._repeat(leg, wire))

    def is_client_waiting(self, ref: int) -> bool:
        """Tell whether a final response is owed: a CANCEL that was read has taken the leg from the table."""
        return self.legs.get(ref) is not None

    def send_refusal(self, ref: int, stay_away_us: int) -> None:
        """Turn a caller away: 503 says when to come back, in whole seconds."""
        seconds = max(1, -(-stay_away_us // SECOND))
        self._final(ref, 503, [("retry-after", str(seconds))])

    def send_failure(self, ref: int, late: bool) -> None:
        """Tell a caller that its time is up, or that the call failed."""
        self._final(ref, 408 if late else 500)

    def _final(self, ref: int, status: int, extra: list[tuple[str, Value]] | None = None) -> None:
        leg = self.legs.pop(ref)
        if leg is not None:
            self.by_invite.pop(leg.invite, None)
            leg.invite.respond(respond(leg.invite.request, status, leg.tag, extra or []))

    def send_release(self, ref: int, outcome: Outcome) -> None:
        """End a caller's call; BYE must not overtake the ACK that its 200 still lacks (15)."""
        leg = self.legs.get(ref)
        if leg is None:
            return
        if leg.acknowledged:
            self._bye(leg, outcome)
        else:
            leg.over = True

    def _bye(self, leg: Leg, outcome: Outcome = Outcome.SERVED) -> None:
        self._drop(leg)
        if leg.dialog is None:
            return
        hop = leg.dialog.next_hop()
        request = leg.dialog.request("BYE", self.transactions.new_via(hop.transport))
        if outcome is not Outcome.SERVED:
            request.headers.append(("reason", 'Q.850;cause=41;text="call cut"'))
        self.counters.add("sip.byes")
        self.transactions.request(request, hop, self)

    def _drop(self, leg: Leg) -> None:
        if leg.repeat:
            leg.repeat.cancel()
        if leg.dialog is not None:
            self.legs.pop(self.by_dialog.pop(leg.dialog.identity, 0))

    def _contact(self, leg: Leg) -> tuple[str, Value]:
        return ("contact", self.settings.contact(self.transactions.transports, leg.invite.hop))

    # Answers to its BYEs.

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """Nothing follows a BYE, whatever its answer."""

    def unanswered(self, transaction: ClientTransaction, sent: bool) -> None:
        """Count a caller that is gone."""
        self.counters.add("sip.unanswered_byes")

    def settled(self, transaction: ClientTransaction) -> None:
        """Do nothing: a front sends no INVITE."""
