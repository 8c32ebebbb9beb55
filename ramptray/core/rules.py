"""The configuration of a shard."""

from __future__ import annotations

import msgspec

from ramptray.core import limit


class ShardRules(msgspec.Struct, frozen=True):
    """The configuration of a shard, taken from the bundle.

    Attributes:
        ranks: Rank of each tier by name; 0 is the highest.
        queue_cost: Capacity of the queue, as a cost by ``queue.compute_cost``.
        headroom: Part of each engine's slots reserved for the highest tier.
        shares: Weight of each customer within a tier.
        limits: Rate limits of each customer in this zone.
        version: The model version to serve, as ``service@version``.
        zones: Number of scheduling zones, whose owners share what applies to
            all backend servers of a service.
    """

    ranks: dict[str, int]
    queue_cost: int
    headroom: float
    shares: dict[str, float]
    limits: dict[str, limit.RateLimit]
    version: str = ""
    zones: int = 1
