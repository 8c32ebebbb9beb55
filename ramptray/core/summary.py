"""Summaries of shards that zones exchange."""

from __future__ import annotations

import msgspec

from ramptray.core import message


class ShardSummary(msgspec.Struct, frozen=True):
    """State of a shard that other zones need to redirect requests to it.

    Attributes:
        shard: The shard.
        owner: The address of the scheduler that owns it.
        limit: Capacity of the queue, as a cost by ``queue.compute_cost``.
        waiting: Cost of the queued requests by tier, highest tier first.
        has_backend: Whether any backend server is usable.
        version: Wall clock value when it was made; the newest one applies.
        uses: Customers' use of their limits, if relevant to other zones.
        age_s: Seconds since it arrived; set by the receiver.
        delay_s: One-way delay between the zones in seconds, as measured by the
            receiver; None if the decision does not depend on it.
    """

    shard: message.ShardKey
    owner: str
    limit: int
    waiting: tuple[int, ...]
    has_backend: bool
    version: int
    uses: dict[str, float] = msgspec.field(default_factory=dict)
    age_s: float = 0.0
    delay_s: float | None = None

    def has_room(self, rank: int, cost: int) -> bool:
        """Returns whether a request of this tier would be accepted there."""
        ahead = sum(self.waiting[: rank + 1])
        return self.has_backend and ahead + cost <= self.limit
