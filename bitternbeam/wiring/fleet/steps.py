"""A claim's steps carried to the engine: acquire, the token's counter, check, release (fleet.claim.Step)."""

from __future__ import annotations

from typing import Any

from bitternbeam.fleet.claim import Claim, Step
from bitternbeam.fleet.lease import Session
from bitternbeam.net.coordination import ConsulApi, Reply, entry_of


def carry(api: ConsulApi, claim: Claim, step: Step, session: Session, *, name: str, now_us: int) -> Any:
    """Send one step of a claim for a member and tell the claim its answer; a Deferred that may fail."""
    held = session.id or ""
    if step is Step.ACQUIRE:
        made = api.kv_put(claim.key, name, acquire=held)
        return made.addCallback(lambda reply: claim.acquire_answered(reply.body is True, now_us))
    if step is Step.READ_COUNTER:

        def read(reply: Reply) -> None:
            entry = entry_of(reply.body)
            stored = int(entry.value) if entry and entry.value.isdigit() else 0
            claim.counter_read(stored, entry.modify_index if entry else 0)

        return api.kv_get(f"{claim.key}/token").addCallback(read)
    if step is Step.WRITE_COUNTER:
        number = claim.number_to_write()
        made = api.kv_put(f"{claim.key}/token", str(number), cas=str(claim.counter_index))
        return made.addCallback(lambda reply: claim.counter_written(reply.body is True))
    if step is Step.CHECK:

        def checked(reply: Reply) -> None:
            entry = entry_of(reply.body)
            claim.check_answered(entry.session if entry else None, session)

        return api.kv_get(claim.key).addCallback(checked)
    return api.kv_put(claim.key, "", release=held).addCallback(lambda _reply: claim.released())
