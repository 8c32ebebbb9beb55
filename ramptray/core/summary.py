"""Summaries of shards that zones exchange."""

from __future__ import annotations

import msgspec

from ramptray.core import message


class ShardSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of a shard that other zones need to redirect requests to it.

    Attributes:
        shard: The shard.
        owner: The address of the scheduler that owns it.
        limit: Capacity of the queue, as a cost by ``queue.compute_cost``.
        waiting: Cost of the queued requests by tier, highest tier first.
        has_backend: Whether any backend server is usable.
        version: Wall clock value when it was made; the newest one applies.
        uses: Customers' use of their limits, if relevant to other zones.
        slots: Slots of the faster servers.
        free_slots: Free slots of the faster servers.
        waits: Expected wait of a new request of each tier, in seconds.
        prefill_rate: Prompt tokens per second of a faster server; 0 if unknown.
        fixed_s: Fixed part of its time to a first token, in seconds.
        step_s: Its time between two tokens, in seconds.
        regions: Regions of the usable servers; None if not sent.
        releases: Releases of the usable servers; None if not sent.
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
    slots: int = 0
    free_slots: int = 0
    waits: tuple[float, ...] = ()
    prefill_rate: float = 0.0
    fixed_s: float = 0.0
    step_s: float = 0.0
    regions: tuple[str, ...] | None = None
    age_s: float = 0.0
    delay_s: float | None = None
    releases: tuple[str, ...] | None = None

    def has_room(self, rank: int, cost: int) -> bool:
        """Returns whether a request of this tier would be accepted there."""
        ahead = sum(self.waiting[: rank + 1])
        return self.has_backend and ahead + cost <= self.limit

    def allows(self, request: message.RequestInfo) -> bool:
        """Returns whether a request may run on some server there."""
        if request.release is not None and request.release not in (
            self.releases or ()
        ):
            return False
        if request.regions is None:
            return True
        return bool(set(request.regions) & set(self.regions or ()))

    def get_wait(self, rank: int) -> float:
        """Returns the expected wait of a tier in seconds."""
        if not self.waits:
            return 0.0
        return self.waits[min(rank, len(self.waits) - 1)]
