"""What the bundle says about a shard."""

from __future__ import annotations

import msgspec

from ramptray.core import limit


class ShardRules(msgspec.Struct, frozen=True):
    """What the bundle says about a shard.

    Attributes:
        ranks: Rank of each tier by name; 0 is the highest.
        queue_cost: Cost that may wait, as ``queue.compute_cost`` counts it.
        headroom: Part of each engine's places kept for the highest tier.
        shares: Weight of each customer within a tier.
        limits: Rates of each customer in this zone.
        version: The model version to serve, as ``service@version``.
    """

    ranks: dict[str, int]
    queue_cost: int
    headroom: float
    shares: dict[str, float]
    limits: dict[str, limit.RateLimit]
    version: str = ""
