"""Customers' rate limits, as token buckets in the zone's share."""

from __future__ import annotations

import dataclasses

BURST_S = 2.0
"""How many seconds' worth of its rate a customer may use at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """A customer's limit in one zone; None where there is none.

    Attributes:
        requests_per_s: Requests a second.
        tokens_per_s: Cost a second, as ``queue.weigh`` counts it.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None


@dataclasses.dataclass(slots=True)
class _Bucket:
    rate: float
    level: float
    filled_at: float

    def get_wait(self, amount: float, now: float) -> float:
        """Returns the seconds until the amount may be taken, 0 for now."""
        full = max(self.rate * BURST_S, 1.0)
        level = self.level + (now - self.filled_at) * self.rate
        self.level = min(full, level)
        self.filled_at = now
        # A request larger than the bucket passes when the bucket is full.
        missing = min(amount, full) - self.level
        return max(0.0, missing / self.rate)


class Limits:
    """The token buckets of all customers of a shard."""

    def __init__(self, rates: dict[str, Rate]) -> None:
        self._rates = rates
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def check(self, customer: str, cost: int, now: float) -> float:
        """Takes a request from the customer's buckets if it fits.

        Returns:
            0 where the request fits, else the seconds until it would.
        """
        rate = self._rates.get(customer)
        if rate is None:
            return 0.0
        wanted = [
            (self._get("requests", customer, rate.requests_per_s, now), 1.0),
            (self._get("tokens", customer, rate.tokens_per_s, now), cost),
        ]
        present = [(bucket, amount) for bucket, amount in wanted if bucket]
        wait_s = max(
            (bucket.get_wait(amount, now) for bucket, amount in present),
            default=0.0,
        )
        if wait_s == 0.0:
            for bucket, amount in present:
                bucket.level -= amount
        return wait_s

    def _get(
        self, kind: str, customer: str, rate: float | None, now: float
    ) -> _Bucket | None:
        if rate is None:
            return None
        key = (kind, customer)
        if key not in self._buckets:
            full = max(rate * BURST_S, 1.0)
            self._buckets[key] = _Bucket(rate, full, now)
        return self._buckets[key]
