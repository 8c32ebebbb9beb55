"""Estimates of waiting times in a shard's queue."""

from __future__ import annotations

from ramptray.core import fleet, limit, meter, queue

WINDOW_S = 5.0
"""Window over which grants and refusals are counted, in seconds."""


class WaitEstimator:
    """Estimates waiting times from the rate of grants.

    If all backend servers have announced a rate limit, their total is used
    instead.

    Args:
        shard_queue: The shard's queue.
        servers: Its backend servers.
        limits: The rate limits, of which this owner hands out a part.
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
        """Counts a granted request."""
        self._granted.add(waiting.cost, now)

    def count_refusal(self, waiting: queue.QueuedRequest, now: float) -> None:
        """Counts a refused request."""
        self._refused.add(waiting.cost, now)
        self._refused_count.add(1, now)

    def get_rate_limit(self, now: float) -> float | None:
        """Returns the total requests a second that this owner may send.

        Returns:
            The rate; None if it is not limited.
        """
        return self._fleet.get_rate_limit(now, self._limits.server_part)

    def estimate_wait(self, waiting: queue.QueuedRequest, now: float) -> float:
        """Returns the seconds until the requests before one are served."""
        if rate_per_s := self.get_rate_limit(now):
            return self._queue.get_count_ahead(waiting) / rate_per_s
        rate = self._granted.get_rate(now)
        return self._queue.get_cost_ahead(waiting) / rate if rate else 0.0

    def estimate_retry_after(
        self, waiting: queue.QueuedRequest, now: float
    ) -> float:
        """Returns the seconds after which a refused request should be retried.

        When many requests are refused within a few seconds, the same short time
        for all would make their retries collide.  So each one gets the time in
        which all recently refused requests can be served.
        """
        if rate_per_s := self.get_rate_limit(now):
            ahead = self._queue.get_count_ahead(waiting)
            refused = self._refused_count.get_sum(now)
            return (ahead + refused) / rate_per_s
        rate = self._granted.get_rate(now)
        return self._refused.get_sum(now) / rate if rate else 0.0
