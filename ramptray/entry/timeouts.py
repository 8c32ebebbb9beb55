"""Timeouts of an entry's requests that wait for schedulers."""

from __future__ import annotations

from ramptray.core import message, request
from ramptray.entry import owners
from ramptray.entry import ticket as tickets

NO_OWNER_TIMEOUT_S = 3.0
"""How long a request waits for any scheduler before it is rejected."""

REFUSAL_GRACE_S = 0.12
"""How long after the end of its waiting time a request is still left to its
owner, in seconds, besides the owner's usual reply time.  The owner should have
rejected it by then."""

MAX_SPARED_TICKS = 6
"""Late ticks at which a request that has timed out is not refused yet.  After a
stop of the process several may pass before a grant is read, as a process that
is short of processor time runs a few turns of its event loop at a time."""

LINK_OPENING_DELAYS = 6
"""One-way delays until the first reply from another zone: those of two
handshakes, the request and the reply."""

QUEUE_SILENCE_TIMEOUT_S = 0.4
"""How long a scheduler with queued requests may be silent at least, in seconds.
It sends more than two keep-alive messages in this time.  The distance delays
all of them alike."""

MAX_KEEP_ALIVE_GAP_S = 0.28
"""Longest time between two messages of a scheduler with queued requests, in
seconds: ``hub.STILL_WAITING_INTERVAL_S`` and a tick of the hub."""


def is_owner_silent(
    ticket: tickets.Ticket,
    owner_selector: owners.OwnerSelector,
    owner: str,
    now: float,
) -> bool:
    """Returns whether a request's owner has been silent for too long.

    A message about any request shows that the owner is alive, even if it is too
    busy to decide on this one.

    Args:
        ticket: The request.
        owner_selector: Times of the owners' messages and replies.
        owner: Address of the request's owner.
        now: The entry's clock.
    """
    silence_s = owner_selector.get_silence_s(owner, ticket.enqueued_at, now)
    if ticket.awaiting_reply:
        timeout_s = owner_selector.get_reply_timeout_s(owner)
        if not owner_selector.has_replied(owner):
            timeout_s += LINK_OPENING_DELAYS * ticket.delay_s
        return silence_s > timeout_s
    jitter_s = owner_selector.get_jitter_s(owner)
    return silence_s > max(
        QUEUE_SILENCE_TIMEOUT_S, MAX_KEEP_ALIVE_GAP_S + jitter_s
    )


def is_grant_possible(
    ticket: tickets.Ticket, reason: message.Reason | None, is_lagging: bool
) -> bool:
    """Returns whether a request that timed out may have an unread grant.

    It is spared at a limited number of ticks, as all ticks of a busy VM are
    late.  A grant after its deadline would be of no use.

    Args:
        ticket: The request.
        reason: Why it has timed out; None if it has not.
        is_lagging: Whether this tick or the one before it was late.
    """
    is_of_use = reason in (message.Reason.OVERLOADED, message.Reason.NOT_READY)
    return is_of_use and is_lagging and ticket.spared_ticks < MAX_SPARED_TICKS


def find_timeout_reason(
    ticket: tickets.Ticket, now: float, owner_rtt_s: float = 0.0
) -> message.Reason | None:
    """Returns why a waiting request has timed out; None if it has not.

    Args:
        ticket: The request.
        now: The entry's clock.
        owner_rtt_s: Usual reply time of the request's owner, in seconds.
    """
    if ticket.machine.state is not request.State.WAITING:
        return None
    if now >= ticket.deadline:
        pending = ticket.machine.claim is request.Claim.PENDING
        granted = ticket.machine.grant is not None
        if pending and granted:
            return message.Reason.LOG_UNAVAILABLE
        return message.Reason.DEADLINE
    if ticket.continues_answer:
        return None
    wait_s = ticket.info.wait_s
    if wait_s is not None:
        # After a failed attempt, the owner needs time to decide on the retry.
        due = max(ticket.started_at + wait_s, ticket.enqueued_at)
        if now > due + REFUSAL_GRACE_S + owner_rtt_s:
            # The owner should have rejected it by now.
            return message.Reason.OVERLOADED
    no_owner_since = ticket.no_owner_since
    if no_owner_since is not None and now - no_owner_since > NO_OWNER_TIMEOUT_S:
        return message.Reason.NOT_READY
    return None
