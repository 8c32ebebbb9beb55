"""What zones tell one another of their shards."""

from __future__ import annotations

import msgspec

from ramptray.core import message


class ShardSummary(msgspec.Struct, frozen=True):
    """What other zones need to know of a shard, to send requests there.

    Attributes:
        shard: The shard.
        owner: The address of the scheduler that owns it.
        limit: Cost that may wait, as ``queue.compute_cost`` counts it.
        waiting: Cost that waits, by tier, highest tier first.
        has_backend: Whether any backend server is left.
        version: Wall clock value when it was made; the newest counts.
        uses: Use of customers' limits that other zones may want to know.
    """

    shard: message.ShardKey
    owner: str
    limit: int
    waiting: tuple[int, ...]
    has_backend: bool
    version: int
    uses: dict[str, float] = msgspec.field(default_factory=dict)

    def has_room(self, rank: int, cost: int) -> bool:
        """Returns whether a request of this tier would be kept there."""
        ahead = sum(self.waiting[: rank + 1])
        return self.has_backend and ahead + cost <= self.limit
