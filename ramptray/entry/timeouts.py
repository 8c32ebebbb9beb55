"""How long an entry waits for schedulers before it gives a request up."""

from __future__ import annotations

from ramptray.core import message, request
from ramptray.entry import owners
from ramptray.entry import ticket as tickets

NO_OWNER_TIMEOUT_S = 3.0
"""How long a request waits for any scheduler before it is refused."""

REFUSAL_GRACE_S = 0.12
"""How long after its time a request is left to its owner, which should have
refused it by then, in seconds."""

QUEUE_SILENCE_TIMEOUT_S = 0.4
"""How long a scheduler with waiting requests may be silent, in seconds: it says
more than twice in that time that they still wait."""


def is_owner_silent(
    ticket: tickets.Ticket, known: owners.OwnerSelector, owner: str, now: float
) -> bool:
    """Returns whether a request's owner has said nothing for too long.

    A word on any request shows that it lives, though it may be busy.

    Args:
        ticket: The request.
        known: What is known of owners.
        owner: Address of its owner.
        now: The entry's clock.
    """
    silence_s = known.get_silence_s(owner, ticket.enqueued_at, now)
    if ticket.awaiting_reply:
        return silence_s > known.get_reply_timeout_s(owner)
    return silence_s > QUEUE_SILENCE_TIMEOUT_S


def find_timeout_reason(
    ticket: tickets.Ticket, now: float
) -> message.Reason | None:
    """Returns why a waiting request is given up; None where it is not."""
    if ticket.machine.state is not request.State.WAITING:
        return None
    if now >= ticket.deadline:
        pending = ticket.machine.claim is request.Claim.PENDING
        granted = ticket.machine.grant is not None
        if pending and granted:
            return message.Reason.LOG_UNAVAILABLE
        return message.Reason.DEADLINE
    wait_s = ticket.info.wait_s
    if wait_s is not None:
        # Of a further attempt the owner has only just been told.
        due = max(ticket.started_at + wait_s, ticket.enqueued_at)
        if now > due + REFUSAL_GRACE_S:
            # Its owner should have refused it by now.
            return message.Reason.OVERLOADED
    down = ticket.no_owner_since
    if down is not None and now - down > NO_OWNER_TIMEOUT_S:
        return message.Reason.NOT_READY
    return None
