"""Requests sorted between the two sides of the B2BUA; what neither serves is answered here."""

from __future__ import annotations

from typing import Protocol

from bitternbeam.net.sip.front import METHODS, SDP, SipFront
from bitternbeam.net.sip.message import MalformedError, Message
from bitternbeam.net.sip.server_transaction import ServerTransaction
from bitternbeam.net.sip.transaction import Transactions


class DialogSide(Protocol):
    """Who else has dialogs."""

    def ended(self, transaction: ServerTransaction, request: Message) -> bool:
        """Take a BYE; False if it is of no dialog there."""
        ...


class Router:
    """Sorts requests between the callers' and the bookers' dialogs."""

    def __init__(self, front: SipFront, back: DialogSide, transactions: Transactions) -> None:
        self.front = front
        self.back = back
        self.counters = transactions.counters
        transactions.user = self

    def requested(self, transaction: ServerTransaction, request: Message) -> None:
        """Answer a new request."""
        answer = self.front.answer
        try:
            needed = request.all("require")
            if needed and request.method != "ACK":
                answer(transaction, request, 420, [("unsupported", ", ".join(needed))])
            elif request.method == "INVITE":
                self.front.invited(transaction, request)
            elif request.method == "BYE":
                if not self.front.ended(transaction, request) and not self.back.ended(transaction, request):
                    answer(transaction, request, 481)
            elif request.method == "OPTIONS":
                answer(transaction, request, 200, [("allow", METHODS), ("accept", SDP)])
            else:
                answer(transaction, request, 405, [("allow", METHODS)])
        except MalformedError as fault:
            # The transaction is open, so its answer goes through it.
            answer(transaction, request, fault.status)

    def acknowledged(self, request: Message) -> None:
        """Take the ACK of a 200."""
        if not self.front.acknowledged(request):
            self.counters.add("sip.stray_acks")

    def cancelled(self, transaction: ServerTransaction) -> None:
        """Take a CANCEL."""
        self.front.cancelled(transaction)
