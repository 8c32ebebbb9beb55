"""How fast a shard's queue is served, for estimates of waiting."""

from __future__ import annotations

from ramptray.core import fleet, limit, meter, queue

WINDOW_S = 5.0
"""Span over which grants and refusals are counted, in seconds."""


class WaitEstimator:
    """Measures the rate of grants; a rate limit of all servers goes before it.

    Args:
        shard_queue: The shard's queue.
        servers: Its backend servers.
        limits: The part of each limit that this owner hands out.
    """

    def __init__(
        self,
        shard_queue: queue.ShardQueue,
        servers: fleet.Fleet,
        limits: limit.Limits,
    ) -> None:
        self._queue = shard_queue
        self._fleet = servers
        self._limits = limits
        self._granted = meter.RateMeter(WINDOW_S)
        self._refused = meter.RateMeter(WINDOW_S)
        self._refused_count = meter.RateMeter(WINDOW_S)

    def count_grant(self, waiting: queue.QueuedRequest, now: float) -> None:
        """Counts a request that was granted."""
        self._granted.add(waiting.cost, now)

    def count_refusal(self, waiting: queue.QueuedRequest, now: float) -> None:
        """Counts a request that was refused."""
        self._refused.add(waiting.cost, now)
        self._refused_count.add(1, now)

    def get_rate_limit(self, now: float) -> float | None:
        """Returns the requests a second that this owner may send in all."""
        return self._fleet.get_rate_limit(now, self._limits.server_part)

    def estimate_wait(self, waiting: queue.QueuedRequest, now: float) -> float:
        """Returns the seconds that the requests before one take."""
        if rate_per_s := self.get_rate_limit(now):
            return self._queue.get_count_ahead(waiting) / rate_per_s
        rate = self._granted.get_rate(now)
        return self._queue.get_cost_ahead(waiting) / rate if rate else 0.0

    def estimate_retry_after(
        self, waiting: queue.QueuedRequest, now: float
    ) -> float:
        """Returns the seconds until a refused request may be served.

        Load pattern: many are refused within a few seconds and come back.
        With the same short time they would meet each other again, so each gets
        the time in which all that were refused lately can be served.
        """
        if rate_per_s := self.get_rate_limit(now):
            ahead = self._queue.get_count_ahead(waiting)
            refused = self._refused_count.get_sum(now)
            return (ahead + refused) / rate_per_s
        rate = self._granted.get_rate(now)
        return self._refused.get_sum(now) / rate if rate else 0.0
