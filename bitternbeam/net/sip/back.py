"""SIP servers: the client side of the B2BUA. It implements the core's Backend."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from bitternbeam.core.calls import Attempt, AttemptEnd
from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.decision.interface import Outcome, Report
from bitternbeam.limits import Limits
from bitternbeam.net.reports import read_report
from bitternbeam.net.sip.client_transaction import ClientTransaction
from bitternbeam.net.sip.dialog import Dialog, Identity
from bitternbeam.net.sip.message import Message, Value, data, respond
from bitternbeam.net.sip.server_transaction import ServerTransaction
from bitternbeam.net.sip.settings import SipSettings
from bitternbeam.net.sip.transaction import Transactions
from bitternbeam.net.sip.transport import Hop

OUTCOMES = {
    503: Outcome.TURNED_AWAY, 480: Outcome.TURNED_AWAY, 487: Outcome.CALLED_OFF, 408: Outcome.NO_ANSWER,
}  # fmt: skip


@dataclass(slots=True, eq=False)
class Leg:
    """A booker's side of a call."""

    attempt: Attempt
    hop: Hop
    invite: ClientTransaction | None = None
    dialog: Dialog | None = None
    others: dict[str, Dialog] = field(default_factory=dict)  # of a forked INVITE: ended at once
    cancelling: bool = False
    cancelled: bool = False  # CANCEL has gone out
    ended: bool = False  # the core knows


class SipBack:
    """Turns attempts into INVITEs and their responses into outcomes."""

    def __init__(
        self,
        *,
        core: CallControl,
        transactions: Transactions,
        settings: SipSettings,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.core = core
        self.transactions = transactions
        self.settings = settings
        self.limits = limits
        self.counters = counters
        self.hops: dict[str, Hop] = {}
        self.legs: dict[int, Leg] = {}  # by the core's handle; one attempt of a call at a time
        self.by_invite: dict[ClientTransaction, Leg] = {}
        self.by_dialog: dict[Identity, Leg] = {}
        self.closing: dict[ClientTransaction, Leg] = {}  # by the BYE of an unwanted 200

    # The core's Backend.

    def set_up(self, attempt: Attempt) -> None:
        """Send an INVITE of our own: new Call-ID and tag, the caller's description unchanged."""
        hop = self.hops.get(attempt.booker)
        if hop is None:
            self.core.attempt_ended(attempt, AttemptEnd(Outcome.NO_CONNECTION))
            return
        leg = Leg(attempt, hop)
        offer, transports = attempt.offer, self.transactions.transports
        where = f"{hop.host}:{hop.port}"
        own = f"sip:{transports.host}:{transports.port}"
        headers: list[tuple[str, Value]] = [
            ("via", self.transactions.new_via(hop.transport)),
            ("from", f"<{own}>;tag={secrets.token_hex(6)}"),
            ("to", f"<sip:{offer.number}@{where}>"),
            ("call-id", f"{secrets.token_hex(8)}@{transports.host}"),
            ("cseq", "1 INVITE"),
            ("max-forwards", "70"),
            ("contact", self.settings.contact(transports, hop)),
            (self.settings.class_header.lower(), offer.call_class),
            ("expires", str(max(1, -(-attempt.timeout_us // 1_000_000)))),
        ]
        kind, body = offer.body if isinstance(offer.body, tuple) else ("", b"")
        if kind:
            headers.append(("content-type", kind))
        request = Message("INVITE", f"sip:{offer.number}@{where}", headers=headers, body=body)
        self.legs[attempt.call_handle] = leg
        leg.invite = self.transactions.request(request, hop, self)
        self.by_invite[leg.invite] = leg
        self.core.attempt_written(attempt)

    def probe(self, booker: str) -> None:
        """Ask nothing: on this wire no answer carries a report."""

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Cancel an INVITE as soon as that is allowed; its end is told when it has come (9.1)."""
        leg = self.legs.get(attempt.call_handle)
        if leg is None or leg.attempt is not attempt:
            return True
        leg.cancelling = True
        if leg.invite is not None and leg.invite.provisional:
            self._cancel(leg)
        return False

    def _cancel(self, leg: Leg) -> None:
        if leg.invite is not None and not leg.cancelled:
            leg.cancelled = True
            self.counters.add("sip.cancels")
            self.transactions.request(leg.invite.cancel(), leg.hop, self)

    def release(self, attempt: Attempt) -> None:
        """End a call that stands."""
        leg = self.legs.pop(attempt.call_handle, None)
        if leg is not None and leg.dialog is not None:
            leg.ended = True
            self._bye(leg.dialog)

    def _bye(self, dialog: Dialog) -> ClientTransaction:
        self.by_dialog.pop(dialog.identity, None)
        hop = dialog.next_hop()
        self.counters.add("sip.byes")
        request = dialog.request("BYE", self.transactions.new_via(hop.transport))
        return self.transactions.request(request, hop, self)

    # Responses.

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """Take a response to an INVITE; those to a CANCEL or BYE change nothing."""
        if response.status >= 200 and (closed := self.closing.pop(transaction, None)):
            self._end(closed, AttemptEnd(Outcome.CALLED_OFF))
        leg = self.by_invite.get(transaction)
        if leg is None:
            return
        if response.status < 200:
            if leg.cancelling:
                self._cancel(leg)
            elif response.status > 100:
                self.core.attempt_progressed(leg.attempt)
        elif response.status < 300:
            self._stands(leg, transaction, response)
        else:
            del self.by_invite[transaction]
            full = response.status == 503
            outcome = OUTCOMES.get(response.status, Outcome.ERROR)
            self._end(leg, AttemptEnd(outcome, full, response.status == 480, self._report(response)))

    def _stands(self, leg: Leg, transaction: ClientTransaction, response: Message) -> None:
        """ACK every 200; one that nobody waits for is ended by BYE."""
        known = leg.others.get(response.to_tag)
        if known is not None:
            self._acknowledge(known)  # its 200 came again: our ACK was lost
            return
        dialog = leg.others[response.to_tag] = Dialog.of_caller(transaction.request, response, leg.hop)
        self._acknowledge(dialog)
        first = leg.dialog is None
        if first:
            leg.dialog = dialog
            self.by_dialog[dialog.identity] = leg
            body = (response.get("content-type"), data(response.body))
            if self.core.attempt_answered(leg.attempt, body):
                return
        # It crossed our CANCEL, or a fork answered second. The pause before the next send counts from here.
        self.counters.add("sip.unwanted_200s")
        bye = self._bye(dialog)
        if first:
            # Danger: a BYE may be lost and sent again; until the booker has answered it, what the call
            # held may stay taken.
            self.closing[bye] = leg

    def _acknowledge(self, dialog: Dialog) -> None:
        hop = dialog.next_hop()
        self.transactions.send(dialog.request("ACK", self.transactions.new_via(hop.transport)), hop)

    def unanswered(self, transaction: ClientTransaction, sent: bool) -> None:
        """Take an INVITE without any answer as one that may have gone on."""
        leg = self.by_invite.get(transaction) or self.closing.pop(transaction, None)
        if leg is not None:
            leg.cancelling = True  # what still comes of it is ended
            self._end(leg, AttemptEnd(Outcome.NO_ANSWER if sent else Outcome.NO_CONNECTION))
        if not sent:
            self.settled(transaction)

    def settled(self, transaction: ClientTransaction) -> None:
        """Forget an INVITE that nothing more will come of."""
        self.by_invite.pop(transaction, None)

    def ended(self, transaction: ServerTransaction, request: Message) -> bool:
        """Take a booker's BYE; False if it is of no dialog here."""
        leg = self.by_dialog.get((request.call_id, request.to_tag, request.from_tag))
        if leg is None or leg.dialog is None:
            return False
        if not leg.dialog.in_order(request):
            transaction.respond(respond(request, 500))
            return True
        transaction.respond(respond(request, 200))
        self.by_dialog.pop(leg.dialog.identity, None)
        reason = request.get("reason").replace(" ", "").lower()
        cut = "cause=" in reason and "cause=16" not in reason and "cause=200" not in reason
        self._end(leg, AttemptEnd(Outcome.CUT if cut else Outcome.SERVED, report=self._report(request)))
        return True

    def _end(self, leg: Leg, end: AttemptEnd) -> None:
        if not leg.ended:
            leg.ended = True
            self.legs.pop(leg.attempt.call_handle, None)
            self.core.attempt_ended(leg.attempt, end)

    def _report(self, message: Message) -> Report | None:
        return read_report(message.get(self.settings.load_header.lower()))
