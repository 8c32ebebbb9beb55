"""Estimates of waiting times in a shard's queue."""

from __future__ import annotations

from ramptray.core import fleet, limit, message, meter, queue

WINDOW_S = 5.0
"""Window over which grants and refusals are counted, in seconds."""

ARRIVAL_WINDOW_S = 1.0
"""Window over which arriving work is counted, in seconds: bursts begin and end
within a second, and shorter windows hold too few large requests."""

MIN_SPARE_PART = 0.05
"""Fraction of the capacity below which none counts as spare: the estimates of
work and capacity are no more accurate."""


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
        self._arrived_us = meter.RateMeter(ARRIVAL_WINDOW_S)
        self._refused = meter.RateMeter(WINDOW_S)
        self._refused_count = meter.RateMeter(WINDOW_S)

    def count_arrival(self, waiting: queue.QueuedRequest, now: float) -> None:
        """Counts the work of a request that may be served in time."""
        work_s = self.estimate_work(waiting.request)
        self._arrived_us.add(int(work_s * 1e6), now)

    def estimate_work(self, request: message.RequestInfo) -> float:
        """Estimates how long a request occupies a slot.

        Returns:
            Seconds on a server with the speed of the shard's latency line.
        """
        return self._fleet.estimate_work(request)

    def estimate_spare(self, now: float) -> float:
        """Estimates the capacity that arriving requests leave for others.

        Load pattern: a burst beyond capacity.  The rate of grants depends on
        the mix of requests and lags behind the end of the burst; slots, speeds
        and arrivals show it within a second.

        Returns:
            Slots of servers with the speed of the shard's latency line; 0 if
            there are none, or if all servers have a rate limit.
        """
        if self.get_rate_limit(now) is not None:
            return 0.0
        capacity = self._fleet.estimate_capacity(now)
        used = self._arrived_us.get_sum(now) / 1e6 / ARRIVAL_WINDOW_S
        spare = capacity - used
        return spare if spare > MIN_SPARE_PART * capacity else 0.0

    def is_overloaded(self, now: float) -> bool:
        """Returns whether arriving requests exceed the capacity.

        False if all servers have a rate limit, at which the queue is served, or
        if none is open.
        """
        return (
            self.get_rate_limit(now) is None
            and self._fleet.estimate_capacity(now) > 0.0
            and self.estimate_spare(now) == 0.0
        )

    def count_grant(self, waiting: queue.QueuedRequest, now: float) -> None:
        """Counts a granted request.

        The work of one that is asked again after each refusal arrives here, so
        that it counts once.
        """
        self._granted.add(waiting.cost, now)
        if waiting.request.asks_again:
            self.count_arrival(waiting, now)

    def count_decline(
        self, request: message.RequestInfo, granted_at: float
    ) -> None:
        """Removes the work that arrived with a grant that was not used."""
        if request.asks_again:
            work_s = self.estimate_work(request)
            self._arrived_us.remove(int(work_s * 1e6), granted_at)

    def count_refusal(self, waiting: queue.QueuedRequest, now: float) -> None:
        """Counts a refused request, whose caller is expected to retry."""
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
