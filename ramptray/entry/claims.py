"""Sends claims on idempotency keys to the schedulers that record them."""

from __future__ import annotations

from collections.abc import Callable

from ramptray import steadyclock
from ramptray.core import claim, message
from ramptray.entry import owners
from ramptray.entry import ticket as tickets
from ramptray.peer import message as peer_message


class ClaimSender:
    """Sends claims to the owner of the key's partition.

    Messages are dropped while no owner is known: the dispatcher sends pending
    claims again with the next membership view.

    Args:
        zone: The entry's own zone.
        owner_selector: Chooses the owner.
        send: Sends a message to a scheduler, by its address.
    """

    def __init__(
        self,
        zone: str,
        owner_selector: owners.OwnerSelector,
        send: Callable[[str, object], None],
    ) -> None:
        self._zone = zone
        self._owners = owner_selector
        self._send = send

    def send(self, ticket: tickets.Ticket) -> None:
        """Claims the request's idempotency key."""
        assert ticket.claim_request is not None
        claim_request = ticket.claim_request
        attempt = ticket.info.request_id
        body = peer_message.ClaimKey(
            claim_request.key, attempt, claim_request.digest
        )
        self._send_to_owner(claim_request.key, body)

    def release(self, ticket: tickets.Ticket) -> None:
        """Releases the key of a request that will never be dispatched."""
        assert ticket.claim_request is not None
        key = ticket.claim_request.key
        body = peer_message.ReleaseKey(key, ticket.info.request_id)
        self._send_to_owner(key, body)

    def finish(self, ticket: tickets.Ticket, status: int) -> None:
        """Marks the key of a completely answered request as finished."""
        assert ticket.claim_request is not None
        key = ticket.claim_request.key
        body = peer_message.FinishKey(key, ticket.info.request_id, status)
        self._send_to_owner(key, body)

    def _send_to_owner(self, key: str, body: object) -> None:
        shard: message.ShardKey = claim.get_partition_shard(self._zone, key)
        owner = self._owners.find_owner(shard, steadyclock.read())
        if owner is not None:
            self._send(owner, body)
