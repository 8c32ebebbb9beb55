"""An entry's words to the schedulers that keep claims on idempotency keys."""

from __future__ import annotations

from collections.abc import Callable

from ramptray import steadyclock
from ramptray.core import claim, message
from ramptray.entry import owners
from ramptray.entry import ticket as tickets
from ramptray.peer import message as peer_message


class ClaimSender:
    """Sends claims to the owner of the key's partition.

    What is said while no owner is known is dropped: claims that are pending are
    sent again with the next view.

    Args:
        zone: The entry's own zone.
        known: Chooses the owner.
        tell: Sends a message to an address.
    """

    def __init__(
        self,
        zone: str,
        known: owners.OwnerSelector,
        tell: Callable[[str, object], None],
    ) -> None:
        self._zone = zone
        self._owners = known
        self._tell = tell

    def send(self, ticket: tickets.Ticket) -> None:
        """Claims the request's key for it."""
        assert ticket.claim_request is not None
        wish = ticket.claim_request
        attempt = ticket.info.request_id
        body = peer_message.ClaimKey(wish.key, attempt, wish.digest)
        self._tell_owner(wish.key, body)

    def release(self, ticket: tickets.Ticket) -> None:
        """Says that the request will never be dispatched."""
        assert ticket.claim_request is not None
        key = ticket.claim_request.key
        body = peer_message.ReleaseKey(key, ticket.info.request_id)
        self._tell_owner(key, body)

    def finish(self, ticket: tickets.Ticket, status: int) -> None:
        """Says that the request's answer was whole."""
        assert ticket.claim_request is not None
        key = ticket.claim_request.key
        body = peer_message.FinishKey(key, ticket.info.request_id, status)
        self._tell_owner(key, body)

    def _tell_owner(self, key: str, body: object) -> None:
        shard: message.ShardKey = claim.get_partition_shard(self._zone, key)
        owner = self._owners.find_owner(shard, steadyclock.read())
        if owner is not None:
            self._tell(owner, body)
